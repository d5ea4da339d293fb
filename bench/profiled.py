"""Run the program, under a profiler of processor time between two signals.

python -m bench.profiled STATISTICS serve SETTINGS
"""

import cProfile
import signal
import sys
import time
from types import FrameType

from rhubarbmount import cli


def main() -> None:
    """Profile from SIGUSR1 to SIGUSR2, which writes the statistics."""
    profile = cProfile.Profile(time.thread_time)

    def begin(number: int, frame: FrameType | None) -> None:
        profile.enable()

    def end(number: int, frame: FrameType | None) -> None:
        profile.disable()
        profile.dump_stats(sys.argv[1])

    signal.signal(signal.SIGUSR1, begin)
    signal.signal(signal.SIGUSR2, end)
    sys.exit(cli.run(sys.argv[2:]))


if __name__ == "__main__":
    main()
