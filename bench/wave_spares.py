"""Carry waves with spares out in large pools and compare them with their plans."""

import logging
import time

import attrs
import defopt
import trio

from bench.measures import make_world
from bench.wave_run import WAVE, Run, buffer_of
from bench.waves import HOUR_S, make_fleet
from rhubarbmount.wave_bounds import spares_bound_s
from rhubarbmount.wave_plan import hosts_by_pool, plan_with_spares

SMALL_ROUND_S = 1.4
LARGE_ROUND_S = 2.0


def report(pools, hosts, spares, round_s, seed=0):
    """Carry one wave out and print its line; a seed draws failures."""
    fleet = make_fleet("", pools, hosts, 10, (5, 2), 0, 1)
    due = hosts_by_pool(fleet.hosts)
    plan = plan_with_spares(fleet.pools, due, 0.0, WAVE, spares=spares)
    bound_s = spares_bound_s(fleet.pools, fleet.hosts, 0.0, WAVE, spares)
    buffer, more = buffer_of(spares)
    run = Run([*fleet.pools, buffer], [*fleet.hosts, *more], round_s=round_s)
    if seed:
        run.with_repair = True
        run.failures = [
            attrs.evolve(failure, at_s=run.now_s + failure.at_s)
            for failure in make_world(fleet.hosts, seed, False).failures
        ]
    start_s = time.process_time()
    length_s, _ = trio.run(run.carry_out, "buffer", plan.spares_by_pool)
    spent_s = time.process_time() - start_s
    print(
        f"{pools:5} {hosts:6} {spares:7} {round_s:8.1f} {length_s / HOUR_S:6.2f}"
        f" {length_s / plan.roll_out_s:6.3f} {length_s / bound_s:7.3f}"
        f" {plan.roll_out_s / bound_s:11.3f} {run.moves:6} {plan.moves:8}"
        f" {run.breaks:7} {100 * spent_s / length_s:6.2f}",
        flush=True,
    )


def main(*, large: bool = False, seed: int = 0) -> None:
    """Print length over plan, moves, broken budgets and processor share.

    :param large: 2,600 workers in 25 pools in place of three pools
    :param seed: seed of failures at the users' rates; 0 has none
    """
    logging.disable(logging.INFO)
    print(
        "pools  hosts  spares  round s  hours  /plan  /bound  plan/bound"
        "  moves  planned  breaks  cpu %"
    )
    if large:
        for spares in (50, 150, 250):
            report(25, 104, spares, LARGE_ROUND_S, seed)
        return
    for hosts, spares in ((40, 10), (40, 20), (104, 10), (104, 40)):
        report(3, hosts, spares, SMALL_ROUND_S, seed)


if __name__ == "__main__":
    defopt.run(main)
