"""Measure what control costs an idle entry host, by the size of the fleet.

Starts the real program with the stand-in platform for each size and samples the
process: memory, processor time, and calls to the platform. The roles: "follower" takes
no part in duties, "holder" holds all of them alone, "contender" holds none beside an
entry host that holds them all.
"""

import os
import sys
import tempfile
import time
from pathlib import Path

import attrs

from tests.deployment import Deployment

SIZES = (26, 260, 2600)
ROLES = ("follower", "contender", "holder")
HOSTS_PER_POOL = 104
TEAMS_PER_POOL = 9
SETTLE_S = 5.0
SAMPLE_S = 20.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class ProcessUse:
    """The processor time and the memory of a process at one moment."""

    processor_s: float
    resident_mb: float


@attrs.frozen
class Sample:
    """The state of a process, and what passed to the platform, at one moment."""

    process: ProcessUse
    platform_calls: int
    bytes_sent: int
    bytes_received: int


@attrs.frozen
class Cost:
    """What an entry host costs; the bytes are those to and from the platform."""

    memory_mb: float
    core_percent: float
    calls_per_s: float
    sent_per_s: float
    received_per_s: float


def read_use(pid: int) -> ProcessUse:
    """Read a process's processor time and memory."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    processor_s = (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return ProcessUse(processor_s, int(resident.split()[1]) / 1024)


def sample(deployment: Deployment, pid: int) -> Sample:
    """Read what a process uses, and what passed to the platform."""
    calls = deployment.set_platform()["calls"]
    relay = deployment.relay_by_name["e1-platform"]
    return Sample(read_use(pid), calls, relay.forward_bytes, relay.back_bytes)


def fill(deployment: Deployment, hosts: int) -> None:
    """Add pools, teams, services and hosts, none of them started."""
    pools = max(1, hosts // HOSTS_PER_POOL)
    for number in range(pools):
        name = f"pool-{number}"
        deployment.add_pool(name, owner=f"team-{number}", hosts_down_limit=4)
        deployment.add_service(name, owner=f"team-{number}")
        for extra in range(TEAMS_PER_POOL - 1):
            team = f"team-{number}-{extra}"
            deployment.entries["team"].append({"name": team, "owner": team})
    for number in range(hosts):
        deployment.add_backend(
            f"host-{number}",
            f"pool-{number % pools}",
            f"dc-{number % 10}",
            rack=f"rack-{number // 20}",
            start=False,
        )


def start(deployment: Deployment, role: str) -> None:
    """Start the entry hosts that the role needs; e1 is the one to sample."""
    if role == "contender":
        deployment.extra_settings["fleet"] = {"lease": {"settle_s": 600}}
        deployment.start_entry_host("e0", "dc-0")
        time.sleep(SETTLE_S)
    if role == "follower":
        deployment.extra_settings["fleet"] = {"duties": False}
    deployment.start_entry_host("e1", "dc-0")


def measure(hosts: int, role: str) -> Cost:
    """Return what an idle entry host costs in a role, beside so many hosts."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder)) as deployment,
    ):
        fill(deployment, hosts)
        deployment.start_platform()
        start(deployment, role)
        time.sleep(SETTLE_S)
        pid = deployment.entry_host_by_name["e1"].process.pid
        before = sample(deployment, pid)
        time.sleep(SAMPLE_S)
        after = sample(deployment, pid)
    return Cost(
        after.process.resident_mb,
        100 * (after.process.processor_s - before.process.processor_s) / SAMPLE_S,
        (after.platform_calls - before.platform_calls) / SAMPLE_S,
        (after.bytes_sent - before.bytes_sent) / SAMPLE_S,
        (after.bytes_received - before.bytes_received) / SAMPLE_S,
    )


def main() -> None:
    """Print a table; the calls count both entry hosts beside a contender."""
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    print(
        f"{'role':<10} {'hosts':>6} {'memory MB':>10} {'core %':>7}"
        f" {'calls/s':>8} {'sent B/s':>9} {'recv B/s':>9}"
    )
    for role in ROLES:
        for hosts in sizes:
            cost = measure(hosts, role)
            print(
                f"{role:<10} {hosts:>6} {cost.memory_mb:>10.1f}"
                f" {cost.core_percent:>7.2f} {cost.calls_per_s:>8.2f}"
                f" {cost.sent_per_s:>9.0f} {cost.received_per_s:>9.0f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
