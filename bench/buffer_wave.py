"""Print how a buffer holds when hosts fail for good during a wave."""

import logging
import random
import statistics

import defopt
import trio

from bench.wave_run import WAVE, Failure, Run, buffer_of
from bench.waves import HOUR_S, make_fleet
from rhubarbmount.wave_plan import hosts_by_pool, plan_with_spares

FAILURES = 3
WITHIN_S = 1800.0


def draw_failures(fleet, seed):
    """Return as many failures for good as the buffer is sized for in a day."""
    chooser = random.Random(seed)
    hosts = chooser.sample(fleet.hosts, FAILURES)
    times_s = sorted(chooser.uniform(0.0, WITHIN_S) for _ in hosts)
    return [
        Failure(at_s, (host.host_id,), for_good=True)
        for at_s, host in zip(times_s, hosts, strict=True)
    ]


def carry_out(fleet, buffer_hosts, spares, seed):
    """Carry a wave out while hosts fail, and return the run and its hours."""
    reserve = buffer_hosts - spares
    pool, more = buffer_of(buffer_hosts, reserve)
    run = Run([*fleet.pools, pool], [*fleet.hosts, *more], with_repair=True)
    run.waits_for_repair = True
    run.spares_at_once = spares
    for failure in draw_failures(fleet, seed):
        at_s = run.now_s + failure.at_s
        run.failures.append(Failure(at_s, failure.host_ids, for_good=True))
    plan = plan_with_spares(
        fleet.pools, hosts_by_pool(fleet.hosts), 0.0, WAVE, spares=spares
    )
    length_s, _ = trio.run(run.carry_out, "buffer", plan.spares_by_pool)
    return run, length_s / HOUR_S


def main(*, seeds: int = 3) -> None:
    """Print one line for each fleet, buffer and number of spares in the wave.

    :param seeds: how many seeds of failures
    """
    logging.disable(logging.INFO)
    print(
        "fleet         buffer  spares  wave hours  worst  replaced"
        "  waited host min  breaks"
    )
    for fleet in (
        make_fleet("collective", 5, 6, 3, (1, 1), 0, 1),
        make_fleet("workshop", 5, 8, 4, (1, 1), 0, 1),
    ):
        for buffer_hosts, spares in ((3, 0), (3, 3), (13, 10)):
            runs = [
                carry_out(fleet, buffer_hosts, spares, seed)
                for seed in range(1, seeds + 1)
            ]
            hours = [item for _, item in runs]
            waited = sum(run.unreplaced_host_s for run, _ in runs) / 60
            replaced = sum(count_replaced(run) for run, _ in runs)
            breaks = sum(run.breaks for run, _ in runs)
            print(
                f"{fleet.name:14} {buffer_hosts:5} {spares:7}"
                f" {statistics.mean(hours):11.2f} {max(hours):6.2f}"
                f" {replaced:5} of {seeds * FAILURES}"
                f" {waited:15.1f} {breaks:7}",
                flush=True,
            )


def count_replaced(run):
    """Return how many of the fleet's hosts have left it."""
    left = {row.key for row in run.platform.tables["hosts"].values()}
    return sum(host.host_id not in left for host in run.hosts)


if __name__ == "__main__":
    defopt.run(main)
