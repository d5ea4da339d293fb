"""Print the cost of one routing decision against the number of workers."""

import random
import time

from rhubarbmount.backend_health import AttemptResult
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.routing import PoolView
from rhubarbmount.shares import EntryHosts
from rhubarbmount.strategies import strategies

WORKERS = (8, 260, 2600)
DECISIONS = 100_000
SCAN_DECISIONS = 2_000
IN_FLIGHT = 6
ROUNDS = 3


def make_view(workers: int, strategy: str) -> PoolView:
    """Build a view of one pool in one data centre."""
    shape = Shape(processors=32, memory_gb=64)
    hosts = [
        Host(
            host_id=f"w{number}",
            pool="quotes",
            data_centre="dc1",
            rack=f"r{number // 4}",
            address=f"10.0.{number // 256}.{number % 256}:80",
            shape=shape,
        )
        for number in range(workers)
    ]
    view = PoolView(
        "quotes",
        EntryHosts("e1", "dc1", {"e1": "dc1"}),
        hosts_down_limit=2,
        generator=random.Random(7),
        strategy=strategy,
    )
    view.update_hosts(hosts, 0.0)
    return view


def measure(workers: int, strategy: str) -> float:
    """Return microseconds for a choice and the taking in of its result."""
    view = make_view(workers, strategy)
    scans = strategy == "least-own-in-flight" and workers > WORKERS[0]
    decisions = SCAN_DECISIONS if scans else DECISIONS
    held = [view.choose(0.0).backend for _ in range(IN_FLIGHT)]
    success = AttemptResult.SUCCESS
    begin_s = time.perf_counter()
    for number in range(decisions):
        now_s = number * 1e-4
        held.append(view.choose(now_s).backend)
        backend = held.pop(0)
        assert backend is not None
        view.finish(backend, success, now_s, service="quotes", latency_s=0.05)
    return (time.perf_counter() - begin_s) / decisions * 1e6


def main() -> None:
    """Print one row a strategy, with the growth from the fewest to the most."""
    names = "".join(f"{workers:>10}" for workers in WORKERS)
    print(f"microseconds a request{names}    growth")
    for strategy in strategies:
        costs = [
            min(measure(workers, strategy) for _ in range(ROUNDS))
            for workers in WORKERS
        ]
        figures = "".join(f"{cost:>10.2f}" for cost in costs)
        print(f"{strategy:<22}{figures}{costs[-1] / costs[0]:>10.2f}")


if __name__ == "__main__":
    main()
