"""Compare an entry host with a bare relay and with no relay, on loopback."""

import argparse
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import trio
import yaml

from tests.deployment import (
    BACKEND_PORT,
    CALLERS_PORT,
    METRICS_PORT,
    Deployment,
    call,
    wait_until,
)

RELAY_PORT = 9200
CALLERS = 16
ROUNDS = 60
LATENCY_REQUESTS = 40
IDLE_CONNECTIONS = 400
SLOTS = 128
REQUEST = (
    b"GET /quotes/1 HTTP/1.1\r\nhost: quotes\r\naccept: application/json\r\n"
    b"user-agent: bench\r\n\r\n"
)
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024


@attrs.define
class Target:
    """Where requests go, and the process whose cost is measured."""

    name: str
    address: tuple[str, int]
    process_id: int
    per_s: list[float] = attrs.field(factory=list)
    cpu_us: list[float] = attrs.field(factory=list)
    p50_us: list[float] = attrs.field(factory=list)
    p99_us: list[float] = attrs.field(factory=list)
    connection_kb: float = 0.0

    def cpu_s(self) -> float:
        """Return the processor time that the process has used."""
        text = Path(f"/proc/{self.process_id}/schedstat").read_text()
        return int(text.split()[0]) / 1e9

    def resident_kb(self) -> int:
        """Return the resident memory of the process."""
        return int(Path(f"/proc/{self.process_id}/statm").read_text().split()[1]) * (
            PAGE_KB
        )


class Caller:
    """A caller that keeps one connection and knows how long an answer is."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream

    async def request(self) -> None:
        """Send one request and read its whole answer."""
        await self.stream.send_all(REQUEST)
        data = b""
        while True:
            data += await self.stream.receive_some(65536)
            head, separator, body = data.partition(b"\r\n\r\n")
            if not separator:
                continue
            if not head.startswith(b"HTTP/1.1 200"):
                raise AssertionError(data.decode("latin-1"))
            length = head.lower().split(b"content-length: ")[1].split(b"\r\n")[0]
            if len(body) >= int(length):
                return


async def load(target: Target, length_s: float) -> int:
    """Send requests from many callers at once; return how many were answered."""
    counts = [0] * CALLERS
    end_s = time.perf_counter() + length_s

    async def run(number: int) -> None:
        async with await trio.open_tcp_stream(*target.address) as stream:
            caller = Caller(stream)
            while time.perf_counter() < end_s:
                await caller.request()
                counts[number] += 1

    async with trio.open_nursery() as nursery:
        for number in range(CALLERS):
            nursery.start_soon(run, number)
    return sum(counts)


async def measure_load(target: Target, length_s: float) -> None:
    """Note requests a second and processor time for each."""
    await load(target, 0.05)
    before_s, begin_s = target.cpu_s(), time.perf_counter()
    count = await load(target, length_s)
    target.cpu_us.append((target.cpu_s() - before_s) / count * 1e6)
    target.per_s.append(count / (time.perf_counter() - begin_s))


async def measure_latency(target: Target) -> None:
    """Note the latencies of one caller alone."""
    latencies_us = []
    async with await trio.open_tcp_stream(*target.address) as stream:
        caller = Caller(stream)
        for _ in range(LATENCY_REQUESTS):
            begin_s = time.perf_counter()
            await caller.request()
            latencies_us.append((time.perf_counter() - begin_s) * 1e6)
    latencies_us.sort()
    target.p50_us.append(latencies_us[len(latencies_us) // 2])
    target.p99_us.append(latencies_us[len(latencies_us) * 99 // 100])


async def measure_connections(target: Target) -> None:
    """Note the resident memory that an open connection takes, after one request."""
    before_kb = target.resident_kb()
    streams = []
    for _ in range(IDLE_CONNECTIONS):
        stream = await trio.open_tcp_stream(*target.address)
        await Caller(stream).request()
        streams.append(stream)
    target.connection_kb = (target.resident_kb() - before_kb) / IDLE_CONNECTIONS
    for stream in streams:
        await stream.aclose()


@contextmanager
def open_targets(log_level: str, baseline: Path | None) -> Iterator[list[Target]]:
    """Start a backend server, a bare relay and an entry host in front of it.

    A baseline is a checkout of another revision, whose entry host is started too.
    """
    folder = Path(tempfile.mkdtemp())
    with Deployment(folder) as deployment:
        deployment.add_pool("quotes")
        deployment.add_service("quotes", concurrency=512)
        deployment.add_backend("w1", "quotes", "dc1", slots=SLOTS)
        deployment.start_platform()
        deployment.extra_settings = {"log": {"level": log_level}}
        if baseline is not None:
            deployment.start_entry_host("duty-holder", "dc1")
        deployment.start_entry_host("e1", "dc1")
        backend = deployment.backend_by_name["w1"]
        entry_host = deployment.entry_host_by_name["e1"]
        address = deployment.new_address()
        arguments = [f"--address={address}", f"--port={RELAY_PORT}"]
        target = f"--target={backend.address}:{BACKEND_PORT}"
        relay = subprocess.Popen(
            [sys.executable, "-m", "bench.bare_relay", *arguments, target]
        )
        try:
            deployment.wait_for_port(address, RELAY_PORT)
            targets = [
                Target("direct", (backend.address, BACKEND_PORT), backend.process.pid),
                Target("bare relay", (address, RELAY_PORT), relay.pid),
                Target(
                    "entry host",
                    (entry_host.address, CALLERS_PORT),
                    entry_host.process.pid,
                ),
            ]
            with open_baseline(deployment, baseline) as others:
                yield targets + others
        finally:
            relay.kill()
            relay.wait()


@contextmanager
def open_baseline(
    deployment: Deployment, baseline: Path | None
) -> Iterator[list[Target]]:
    """Start the baseline's entry host; like the other one, it holds no duties."""
    if baseline is None:
        yield []
        return
    settings = yaml.safe_load((deployment.folder / "e1.yaml").read_text())
    address = deployment.new_address()
    settings["instance"] = "e2"
    for listener in ("callers", "operators", "metrics", "peers"):
        settings[listener]["address"] = address
    path = deployment.folder / "e2.yaml"
    path.write_text(yaml.safe_dump(settings))
    log = deployment.folder / "e2.log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-m", "rhubarbmount", "serve", str(path)],
            cwd=baseline,
            env=dict(os.environ, PYTHONPATH=str(baseline)),
            stderr=output,
        )
    try:
        deployment.wait_for_port(address, METRICS_PORT)
        wait_until(
            lambda: call(address, METRICS_PORT, "GET", "/readyz").status == 200,
            10.0,
            "the baseline is ready",
        )
        yield [Target("baseline", (address, CALLERS_PORT), process.pid)]
    finally:
        process.kill()
        process.wait()


async def measure(targets: list[Target], length_s: float) -> None:
    """Measure all targets in turn, several times."""
    for _ in range(ROUNDS):
        for target in targets:
            await measure_load(target, length_s)
            await measure_latency(target)
    for target in targets[1:]:
        await measure_connections(target)


def lower_quartile(values: list[float]) -> float:
    """Return the value that a quarter of the values lie below."""
    return sorted(values)[len(values) // 4]


def paired(values: list[float], others: list[float]) -> float:
    """Return the median over the rounds of one target's value by another's."""
    return statistics.median(a / b for a, b in zip(values, others, strict=True))


def show(targets: list[Target]) -> None:
    """Print medians, and ratios to the bare relay and to no relay.

    Other work on the machine makes processor time a request longer, never shorter:
    its ratio is given within each round, and between the lower quartiles.
    """
    columns = "requests/s   CPU us/request   p50 us   p99 us   KB/connection"
    print(f"{'':<14} {columns}")
    for target in targets:
        print(
            f"{target.name:<14}{statistics.median(target.per_s):>11.0f}"
            f"{statistics.median(target.cpu_us):>17.0f}"
            f"{statistics.median(target.p50_us):>9.0f}"
            f"{statistics.median(target.p99_us):>9.0f}{target.connection_kb:>16.1f}"
        )
    direct, relay, entry = targets[:3]
    for target in targets[2:]:
        show_cpu_ratio(target, relay)
    for target in targets[3:]:
        show_cpu_ratio(entry, target)
    for name, values in (("requests a second", "per_s"), ("p50", "p50_us")):
        medians = [statistics.median(getattr(target, values)) for target in targets]
        print(
            f"{name}: entry host / bare relay {medians[2] / medians[1]:.2f},"
            f" entry host / direct {medians[2] / medians[0]:.2f}"
        )
    added_us = statistics.median(entry.p50_us) - statistics.median(direct.p50_us)
    print(f"added latency, p50: {added_us:.0f} us")


def show_cpu_ratio(target: Target, other: Target) -> None:
    """Print the ratio of two targets' processor time a request."""
    low, other_low = lower_quartile(target.cpu_us), lower_quartile(other.cpu_us)
    print(
        f"CPU a request, {target.name} / {other.name}:"
        f" {paired(target.cpu_us, other.cpu_us):.2f} within rounds,"
        f" {low / other_low:.2f} between lower quartiles"
        f" ({low:.0f} / {other_low:.0f} us)"
    )


def main() -> None:
    """Print one table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=0.1)
    parser.add_argument("--log-level", default="info")
    parser.add_argument("--baseline", type=Path, help="a checkout to compare with")
    arguments = parser.parse_args()
    with open_targets(arguments.log_level, arguments.baseline) as targets:
        trio.run(measure, targets, arguments.seconds)
    show(targets)


if __name__ == "__main__":
    main()
