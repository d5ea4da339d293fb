"""Tests of entry hosts as separate processes, against the stand-in over loopback."""

import json
import os
import random
import signal
import socket
import sys
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path

import attrs
import pytest
import trio

from rhubarbmount.http import HttpRequest
from rhubarbmount.http_client import connect
from rhubarbmount.standins.users_http import open_platform_http
from rhubarbmount.standins.users_platform import UsersPlatform
from rhubarbmount.standins.users_servers import TaskWork
from tests.addresses import AddressBlock
from tests.batch.world import HOST, catalogue, route

SETTINGS = """
node_id = "{node}"
ip = "{ip}"
zone = "a"
port_range = [7060, 7075]
[listen]
frontend = "{ip}:{port}"
ready = "{ip}:{ready}"
[platform]
addr = "{store}"
row_bytes = 65536
[cloud_api]
addr = "{machines}"
[bounds]
contact_ms = 3000
drain_ms = 2000
grace_s = 6
hold_max_ms = 10000
early_ms = 250
status_s = 120
visible_ms = 3000
lease_ms = 3000
migrate_s = 1.5
notice_ms = 4500
checkpoint_s = 1
remote_factor = 3
"""
WORK = TaskWork(0.3, 1000, 500)
PHASE = {"count": 3, "cpu": 1000, "mem_mb": 500, "estimate_ms": 300}
PHASES = [PHASE, {**PHASE, "after": [0]}]
WAIT_S = 30.0


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


@attrs.define
class EntryHostProcess:
    """The process of one entry host, and its address and ports."""

    ip: str
    port: int
    ready: int
    process: trio.Process
    restart: Callable
    log_path: Path

    async def call(self, method, path, body=None, port=None):
        connection = await connect(self.ip, port or self.port, 2.0)
        data = b"" if body is None else json.dumps(body).encode()
        headers = [(b"host", HOST.encode()), (b"x-deadline-ms", b"3000")]
        try:
            request = HttpRequest(method, path, headers, data)
            return await connection.exchange(request)
        finally:
            await connection.aclose()


async def start_process(nursery, tmp_path, node, ip, http):
    port, ready = free_port(ip), free_port(ip)
    path = tmp_path / f"{node}.toml"
    path.write_text(
        SETTINGS.format(
            node=node,
            ip=ip,
            port=port,
            ready=ready,
            store=http.store_address,
            machines=http.machines_address,
        )
    )

    log_path = tmp_path / f"{node}.log"

    async def start():
        with log_path.open("ab") as log:
            return await trio.lowlevel.open_process(
                [sys.executable, "-m", "rhubarbmount", "serve"],
                env={**os.environ, "RHUBARBMOUNT_NODE_FILE": str(path)},
                stdout=log,
            )

    return EntryHostProcess(ip, port, ready, await start(), start, log_path)


async def wait_until(condition):
    with trio.fail_after(WAIT_S):
        while not await condition():
            await trio.sleep(0.1)


@asynccontextmanager
async def entry_hosts(
    tmp_path, count, work_of=lambda task: WORK, observe=lambda *event: None
):
    with AddressBlock() as block:
        async with _entry_hosts(tmp_path, count, block, work_of, observe) as started:
            yield started


@asynccontextmanager
async def _entry_hosts(tmp_path, count, block, work_of, observe):
    async with trio.open_nursery() as nursery:
        platform = UsersPlatform(nursery, work_of, observe)
        async with open_platform_http(platform, nursery, 4) as http:
            platform.put_catalogue(
                catalogue(1, [route("/one/", "one")], ["one"], "rest")
            )
            for number in range(4):
                platform.add_machine(f"m{number}", "one" if number < 2 else "rest", "r")
            hosts = [
                await start_process(
                    nursery, tmp_path, f"n{n}", block.new_address(), http
                )
                for n in range(count)
            ]
            try:
                for host in hosts:
                    await wait_until(lambda host=host: is_ready(host))
                yield platform, hosts
            finally:
                for host in hosts:
                    if host.process.returncode is None:
                        host.process.kill()
                nursery.cancel_scope.cancel()


async def is_ready(host):
    try:
        return (await host.call("GET", "/readyz", port=host.ready)).status == 200
    except Exception:
        return False


async def run_jobs(hosts, count, generator):
    ids = [f"{generator.getrandbits(64):016x}" for _ in range(count)]
    for number, job_id in enumerate(ids):
        body = {"spec": "x", "phases": PHASES}
        host = hosts[number % len(hosts)]
        assert (await host.call("POST", f"/one/{job_id}", body)).status == 200

    async def are_complete():
        for job_id in ids:
            response = await hosts[0].call("GET", f"/one/{job_id}")
            if json.loads(response.body).get("state") != "complete":
                return False
        return True

    await wait_until(are_complete)


@pytest.mark.scenario
async def test_jobs_complete_and_a_planned_stop_hands_over(tmp_path):
    generator = random.Random(1)
    async with entry_hosts(tmp_path, 2) as (_, hosts):
        await run_jobs(hosts, 6, generator)
        logs = [(tmp_path / f"n{n}.log").read_text() for n in range(2)]
        holder = next(n for n in range(2) if "event=lease-won" in logs[n])
        metrics = await hosts[holder].call("GET", "/metrics", port=9464)
        assert b'rhubarbmount_batch_starts_total{outcome="done"}' in metrics.body
        hosts[holder].process.send_signal(signal.SIGTERM)
        other = hosts[1 - holder]
        await run_jobs([other], 3, generator)
        with trio.fail_after(WAIT_S):
            assert await hosts[holder].process.wait() == 0
        assert "event=stopped cut=0" in (tmp_path / f"n{holder}.log").read_text()


@pytest.mark.scenario
async def test_another_host_takes_over_from_a_killed_holder(tmp_path):
    generator = random.Random(2)
    async with entry_hosts(tmp_path, 2) as (_, hosts):
        await run_jobs(hosts, 3, generator)
        logs = [(tmp_path / f"n{n}.log").read_text() for n in range(2)]
        holder = next(n for n in range(2) if "event=lease-won" in logs[n])
        hosts[holder].process.kill()
        await run_jobs([hosts[1 - holder]], 3, generator)


@pytest.mark.scenario
async def test_all_invalid_settings_are_reported_at_once(tmp_path):
    path = tmp_path / "boot.toml"
    path.write_text('node_id = 7\n[listen]\nfrontend = "x"\n')
    result = await trio.run_process(
        [sys.executable, "-m", "rhubarbmount", "serve"],
        env={**os.environ, "RHUBARBMOUNT_NODE_FILE": str(path)},
        capture_stderr=True,
        check=False,
    )
    assert result.returncode == 1
    for place in (b"node_id", b"listen.frontend", b"platform.addr"):
        assert place in result.stderr
