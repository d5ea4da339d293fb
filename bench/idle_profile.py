"""Print by module what an idle entry host spends its processor time on.

The shares are of the time of Python code under the profiler, which slows calls down
and leaves out the thread of the sockets between entry hosts.
"""

import pstats
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path

import defopt

from bench.idle import SETTLE_S, fill, start
from tests.deployment import Deployment

PARTS_SHOWN = 30
WRITING_S = 2.0


class ProfiledDeployment(Deployment):
    """A deployment whose entry host e1 runs under the profiler."""

    def _module(self, name, data_centre, address):
        if name != "e1":
            return super()._module(name, data_centre, address)
        return ("bench.profiled", str(self.folder / "profile"))


def part_of(path: str) -> str:
    """Return the package, and for our own code the module, that a path is in."""
    parts = Path(path).parts
    if "rhubarbmount" in parts:
        return "/".join(parts[parts.index("rhubarbmount") :])
    if "site-packages" in parts:
        return parts[parts.index("site-packages") + 1]
    return Path(path).stem


def print_parts(path: str, lasted_s: float) -> None:
    """Print the share of a core that each part takes by itself, largest first."""
    spent_s: Counter[str] = Counter()
    calls: Counter[str] = Counter()
    for (place, _, _), row in pstats.Stats(path).stats.items():
        spent_s[part_of(place)] += row[2]
        calls[part_of(place)] += row[1]
    for part, spent in spent_s.most_common(PARTS_SHOWN):
        print(
            f"{part:<44} {100 * spent / lasted_s:>7.3f} {calls[part] / lasted_s:>9.0f}"
        )


def main(*, role: str = "holder", hosts: int = 2600, seconds: float = 40.0) -> None:
    """Print the parts of one role.

    :param role: follower, contender or holder
    :param hosts: rows of hosts, of which none runs
    :param seconds: how long the entry host is profiled
    """
    with (
        tempfile.TemporaryDirectory() as folder,
        ProfiledDeployment(Path(folder)) as deployment,
    ):
        fill(deployment, hosts)
        deployment.start_platform()
        start(deployment, role)
        time.sleep(SETTLE_S)
        program = deployment.entry_host_by_name["e1"]
        program.signal(signal.SIGUSR1)
        time.sleep(seconds)
        program.signal(signal.SIGUSR2)
        time.sleep(WRITING_S)
        print(f"{'part':<44} {'core %':>7} {'calls/s':>9}")
        print_parts(str(Path(folder) / "profile"), seconds)


if __name__ == "__main__":
    defopt.run(main)
