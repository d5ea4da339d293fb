"""Measure entry hosts as separate processes, by default at the size designed for.

Starts the stand-in platform and the entry hosts, and prints what each node costs when
idle, how soon edits are in force everywhere, also when the entry host that accepted
them is killed right after its answer or a whole data centre is killed at once, and how
soon duties are taken up after their holder's death.
"""

import random
import statistics
import tempfile
import time
from datetime import UTC, datetime
from pathlib import Path

import attrs
import defopt

from bench.idle import fill, read_use
from tests.deployment import Deployment, wait_until

START_TIMEOUT_S = 180.0
SETTLE_S = 20.0
SAMPLE_S = 20.0
IN_FORCE_TIMEOUT_S = 30.0
TAKE_UP_TIMEOUT_S = 60.0
EDITS = 20
KILLS = 5
DUTIES = ("hosts", "waves", "repair", "scheduling")


@attrs.define
class Nodes:
    """The entry hosts of a deployment, by name."""

    deployment: Deployment
    data_centres: int
    each: int
    rng: random.Random
    _edits: int = 0

    @property
    def names(self) -> list[str]:
        """Return the names of the entry hosts that run."""
        programs = self.deployment.entry_host_by_name
        return [name for name in programs if programs[name].process.poll() is None]

    def start(self) -> None:
        """Start all entry hosts, and wait until each is ready."""
        for number in range(self.data_centres * self.each):
            centre = number % self.data_centres
            self.deployment.start_entry_host(
                f"e{number}", f"dc-{centre}", ready=number == 0
            )
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until every entry host that runs is ready."""
        for name in self.names:
            wait_until(
                lambda name=name: self.deployment.is_ready(name),
                START_TIMEOUT_S,
                f"{name} is ready",
            )

    def in_data_centre(self, centre: int) -> list[str]:
        """Return the names of the entry hosts of a data centre."""
        return [f"e{n}" for n in range(centre, self.count, self.data_centres)]

    @property
    def count(self) -> int:
        """Return how many entry hosts there are, those that are down too."""
        return self.data_centres * self.each

    def kill(self, name: str) -> None:
        """Kill an entry host."""
        self.deployment.entry_host_by_name[name].kill()

    def start_again(self, names: list[str]) -> None:
        """Start entry hosts that were killed, and let the others learn of them."""
        for name in names:
            self.deployment.entry_host_by_name[name].start()
        self.wait_ready()
        time.sleep(SETTLE_S / 2)

    def edit(self, name: str) -> int:
        """Change an entry at an entry host; return the accepted version."""
        self._edits += 1
        value = 10 + self._edits
        answer = self.deployment.edit(
            "admin", "service", "pool-0", "concurrency", value, name
        )
        assert answer.status == 200, answer
        return answer.json()["version"]

    def in_force_s(self, version: int) -> dict[str, float]:
        """Return when a version came in force, by the logs of those that run."""
        mark = f"event=configuration-in-force version={version} "
        found: dict[str, float] = {}

        def all_found() -> bool:
            for name in self.names:
                if name not in found:
                    log = self.deployment.entry_host_by_name[name].log()
                    found.update(self._time_of(name, mark, log))
            return set(self.names) <= set(found)

        wait_until(all_found, IN_FORCE_TIMEOUT_S, f"version {version} is in force")
        return found

    def _time_of(self, name: str, mark: str, log: str) -> dict[str, float]:
        lines = [line for line in log.splitlines() if mark in line]
        if not lines:
            return {}
        text = lines[-1].split(" ", 1)[0].removeprefix("time=")
        moment = datetime.fromisoformat(text).replace(tzinfo=UTC)
        return {name: moment.timestamp()}

    def holder(self, duty: str) -> str:
        """Return the entry host that holds a duty, or the empty string."""
        row = self.deployment.read_row("leases", duty)
        return row.get("value", {}).get("holder", "").split("/")[0]


def print_idle(nodes: Nodes) -> None:
    """Print what nodes cost, those that hold a duty apart from the others."""
    pid_by_name = {
        name: nodes.deployment.entry_host_by_name[name].process.pid
        for name in nodes.names
    }
    holders = {nodes.holder(duty) for duty in DUTIES}
    calls = nodes.deployment.set_platform()["calls"]
    before = {name: read_use(pid) for name, pid in pid_by_name.items()}
    time.sleep(SAMPLE_S)
    after = {name: read_use(pid) for name, pid in pid_by_name.items()}
    calls = nodes.deployment.set_platform()["calls"] - calls
    print(f"platform calls a second, all nodes: {calls / SAMPLE_S:.0f}")
    print(
        f"{'nodes':<16} {'count':>5} {'core % median':>14} {'most':>6} {'MB most':>8}"
    )
    for title, chosen in (
        ("hold a duty", holders),
        ("hold none", set(pid_by_name) - holders),
    ):
        used = [
            100 * (after[name].processor_s - before[name].processor_s) / SAMPLE_S
            for name in chosen
        ]
        most_mb = max(after[name].resident_mb for name in chosen)
        print(
            f"{title:<16} {len(chosen):>5} {statistics.median(used):>14.2f}"
            f" {max(used):>6.2f} {most_mb:>8.1f}",
            flush=True,
        )


def print_edits(title: str, seconds: list[float]) -> None:
    """Print the times from an edit's sending until its last entry host has it."""
    print(
        f"{title}: {len(seconds)} edits, in force everywhere after"
        f" {statistics.median(seconds):.2f} s (median), {max(seconds):.2f} s (most)",
        flush=True,
    )


def measure_edits(nodes: Nodes) -> None:
    """Measure edits while all run, and with the accepting entry host killed."""
    taken = []
    for _ in range(EDITS):
        sent_s = time.time()
        version = nodes.edit(nodes.rng.choice(nodes.names))
        taken.append(max(nodes.in_force_s(version).values()) - sent_s)
    print_edits("all entry hosts run", taken)
    taken = []
    for _ in range(KILLS):
        name = nodes.rng.choice(nodes.names)
        sent_s = time.time()
        version = nodes.edit(name)
        nodes.kill(name)
        taken.append(max(nodes.in_force_s(version).values()) - sent_s)
        nodes.start_again([name])
    print_edits("the accepting one is killed", taken)


def measure_lost_data_centre(nodes: Nodes) -> None:
    """Measure an edit right after a whole data centre was killed."""
    lost = nodes.in_data_centre(nodes.rng.randrange(nodes.data_centres))
    for name in lost:
        nodes.kill(name)
    sent_s = time.time()
    version = nodes.edit(nodes.rng.choice(nodes.names))
    taken = max(nodes.in_force_s(version).values()) - sent_s
    print_edits(f"{len(lost)} of a data centre are killed", [taken])
    nodes.start_again(lost)


def measure_take_up(nodes: Nodes) -> None:
    """Measure how soon each duty of a killed holder is held again."""
    taken = []
    for number in range(KILLS):
        duty = DUTIES[number % len(DUTIES)]
        name = nodes.holder(duty)
        nodes.kill(name)
        killed_s = time.monotonic()
        wait_until(
            lambda duty=duty, name=name: nodes.holder(duty) not in ("", name),
            TAKE_UP_TIMEOUT_S,
            f"{duty} is taken up",
        )
        taken.append(time.monotonic() - killed_s)
        nodes.start_again([name])
    print(
        f"duties are held again after {statistics.median(taken):.1f} s (median),"
        f" {max(taken):.1f} s (most) of {len(taken)} kills",
        flush=True,
    )


def main(
    *, data_centres: int = 10, each: int = 7, hosts: int = 2600, seed: int = 1
) -> None:
    """Print the measurements.

    :param data_centres: how many data centres
    :param each: entry hosts in each
    :param hosts: rows of hosts, of which none runs
    :param seed: of the choice of entry hosts
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder)) as deployment,
    ):
        deployment.cuts_data_centres = False
        deployment.operators_by_name["admin"]["owners"] = ["team-0"]
        fill(deployment, hosts)
        deployment.start_platform()
        nodes = Nodes(deployment, data_centres, each, random.Random(seed))
        started_s = time.monotonic()
        nodes.start()
        took_s = time.monotonic() - started_s
        print(f"seed {seed}: {nodes.count} entry hosts in {data_centres} data centres,")
        print(f"{hosts} host rows; all ready after {took_s:.1f} s", flush=True)
        time.sleep(SETTLE_S)
        print_idle(nodes)
        measure_edits(nodes)
        measure_lost_data_centre(nodes)
        measure_take_up(nodes)


if __name__ == "__main__":
    defopt.run(main)
