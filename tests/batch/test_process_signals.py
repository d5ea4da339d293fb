"""Signals to the process of an entry host, from its start to its end."""

import random
import re
import signal
from pathlib import Path

import pytest
import trio

from rhubarbmount.http import NotSent, ResponseLost
from rhubarbmount.standins.users_http import open_platform_http
from rhubarbmount.standins.users_platform import UsersPlatform
from rhubarbmount.standins.users_store import StandinStore
from tests.addresses import AddressBlock
from tests.batch.test_process import (
    PHASES,
    WAIT_S,
    WORK,
    is_ready,
    start_process,
    wait_until,
)
from tests.batch.world import catalogue, route

# Longer than the host leaves open after it is told to stop, less than it may take.
WRITE_S = 0.8
REQUESTS = 12


class SlowStore(StandinStore):
    """Store that takes its time for each request that it writes."""

    async def handle(self, method, target, body):
        if body and any(put["table"] == "requests" for put in body["puts"]):
            await trio.sleep(WRITE_S)
        return await super().handle(method, target, body)


async def runs_program(host):
    """Return whether the interpreter has started and the program has begun."""
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    ignored = re.search(r"SigIgn:\t([0-9a-f]+)", status)
    return bool(int(ignored[1], 16) & 1 << signal.SIGHUP - 1)


# Guards against a reload or a second stop that ends the process, which cuts the
# requests under way, or ends it before it has begun.
@pytest.mark.scenario
@pytest.mark.parametrize("seed", range(4))
async def test_signals_cut_no_request_and_only_sigterm_ends_the_process(tmp_path, seed):
    generator = random.Random(seed)
    statuses, lost = [], []
    with AddressBlock() as block:
        async with trio.open_nursery() as nursery:
            platform = UsersPlatform(nursery, lambda task: WORK, store=SlowStore())
            async with open_platform_http(platform, nursery, 1) as http:
                routes = [route("/one/", "one")]
                platform.put_catalogue(catalogue(1, routes, ["one"], "rest"))
                platform.add_machine("m0", "one", "r")
                host = await start_process(
                    nursery, tmp_path, "n0", block.new_address(), http
                )
                try:
                    await wait_until(lambda: runs_program(host))
                    for _ in range(4):
                        host.process.send_signal(signal.SIGHUP)
                        await trio.sleep(generator.uniform(0.0, 0.2))
                    await wait_until(lambda: is_ready(host))

                    async def submit(number):
                        try:
                            response = await host.call(
                                "POST",
                                f"/one/{number:016x}",
                                {"spec": "x", "phases": PHASES},
                            )
                            statuses.append(response.status)
                        except (NotSent, ResponseLost) as error:
                            lost.append(error)

                    async with trio.open_nursery() as callers:
                        for number in range(REQUESTS):
                            callers.start_soon(submit, number)
                        await trio.sleep(0.3)
                        later = [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP]
                        generator.shuffle(later)
                        for number in (signal.SIGHUP, signal.SIGTERM, *later):
                            host.process.send_signal(number)
                            await trio.sleep(generator.uniform(0.0, 0.15))
                    with trio.fail_after(WAIT_S):
                        code = await host.process.wait()
                finally:
                    if host.process.returncode is None:
                        host.process.kill()
                    nursery.cancel_scope.cancel()
    assert (code, lost) == (0, [])
    assert statuses == [200] * REQUESTS
