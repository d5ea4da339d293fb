"""Print where a wave's time over its lower bound goes, by cause."""

import logging
from collections import Counter, defaultdict

import attrs
import defopt
import trio

from bench.measures import LARGE_ROUND_S, make_world
from bench.wave_run import WAVE, Run
from bench.waves import HOUR_S, make_fleet
from rhubarbmount.hosts import HostState
from rhubarbmount.wave_bounds import lower_bound_s

STEP_S_BY_STATE = {
    HostState.DRAINING: WAVE.drain_s,
    HostState.DRAINED: 0.0,
    HostState.MAINTENANCE: WAVE.reboot_s,
    HostState.RETURNING: WAVE.warm_s,
}
POOLS_SHOWN = 3
WATCHED_S = 6 * HOUR_S
REPAIRS = ("repair:", "reboot:", "replace:")


@attrs.define
class Trace:
    """What the slots of each pool are used for, in host seconds by cause."""

    run: Run
    ahead: list = attrs.field(factory=list)
    extra_s: Counter = attrs.field(factory=Counter)
    spent_s: dict = attrs.field(factory=lambda: defaultdict(Counter))
    finish_s: dict = attrs.field(factory=dict)

    def round(self):
        """Account for the round that has just ended."""
        rows = [row.value for row in self.run.platform.tables["hosts"].values()]
        by_pool = defaultdict(list)
        for row in rows:
            by_pool[row["pool"]].append(row)
        for pool in self.run.pools:
            self._account(pool, by_pool[pool.name])
        self._foresee({row["host_id"]: row for row in rows})

    def _foresee(self, row_by_id):
        """Note the least host time that the next round's failures cost their pools."""
        next_s = self.run.now_s + self.run.round_s
        while self.ahead and self.ahead[0].at_s <= next_s:
            for host_id in self.ahead.pop(0).host_ids:
                row = row_by_id.get(host_id)
                if row is not None and row["pool"] not in self.finish_s:
                    self.extra_s[row["pool"]] += self._least_extra_s(row, next_s)

    def _least_extra_s(self, row, now_s):
        """Return what a failure adds: repair of a maintained host, or a lost turn."""
        if row["maintained_s"] >= self.run.started_s:
            return WAVE.reboot_s + WAVE.warm_s
        if row["state"] == HostState.MAINTENANCE.value:
            return now_s - row["since_s"]
        return 0.0

    def _account(self, pool, rows):
        uses = {row["host_id"]: self._use(row) for row in rows}
        down = {row["host_id"]: row["rack"] for row in rows if uses[row["host_id"]]}
        due = [row for row in rows if row["maintained_s"] < self.run.started_s]
        at_work = any(
            row["cause"].startswith("maintain:") and uses[row["host_id"]]
            for row in rows
        )
        if pool.name in self.finish_s:
            return
        if not due and not at_work:
            self.finish_s[pool.name] = self.run.now_s - self.run.started_s
            return
        spent = self.spent_s[pool.name]
        for use in filter(None, uses.values()):
            spent[use] += self.run.round_s
        idle = pool.hosts_down_limit - len(down)
        if idle > 0:
            waiting = [row for row in due if row["host_id"] not in down]
            spent[self._why_idle(pool, uses, down, waiting)] += idle * self.run.round_s

    def _use(self, row):
        """Return what a host that is out of service is doing."""
        host_id, state = row["host_id"], HostState(row["state"])
        failing = not self.run.is_ready(host_id)
        if state is HostState.IN_SERVICE:
            return "failed, no repair begun" if failing else None
        if state is HostState.QUARANTINED:
            return "quarantined, no repair begun"
        if row["cause"].startswith(REPAIRS):
            return "repair"
        elapsed_s = self.run.now_s - row["since_s"]
        declared_s = STEP_S_BY_STATE.get(state, 0.0)
        if elapsed_s < declared_s:
            return "turn"
        is_slow = elapsed_s > declared_s + 30.0
        return "turn longer than declared" if is_slow else "rounds in a turn"

    def _why_idle(self, pool, uses, down, waiting):
        if not waiting:
            return "idle: nothing left to begin"
        racks = set(down.values())
        failing = any(use == "failed, no repair begun" for use in uses.values())
        if failing and len(racks) > pool.racks_down_limit:
            return "idle: failed host in one rack too many"
        free = len(racks) < pool.racks_down_limit
        if free or any(row["rack"] in racks for row in waiting):
            return "idle: a host might begin"
        if any(use == "repair" for use in uses.values()):
            return "idle: racks, one in repair"
        return "idle: racks"


def carry_out(fleet, failures, round_s):
    """Carry a wave out without spares and return its trace and length."""
    run = Run(list(fleet.pools), list(fleet.hosts), round_s=round_s, with_repair=True)
    run.failures = [attrs.evolve(item, at_s=run.now_s + item.at_s) for item in failures]
    trace = Trace(run, list(run.failures))
    run.after_round = trace.round
    length_s, _ = trio.run(run.carry_out, "", {})
    for pool in fleet.pools:
        trace.finish_s.setdefault(pool.name, length_s)
    return trace, length_s


def failures_met(fleet, failures, length_s):
    """Return the pools of the hosts that failed while the wave ran."""
    pool_by_id = {host.host_id: host.pool for host in fleet.hosts}
    return Counter(
        pool_by_id[host_id]
        for item in failures
        if item.at_s < length_s
        for host_id in item.host_ids
        if host_id in pool_by_id
    )


def struck_pools(fleet, failures):
    """Return the fleet's pools that failures meet, alone; pools share no budget."""
    met = failures_met(fleet, failures, WATCHED_S)
    pools = [pool for pool in fleet.pools if met[pool.name]]
    hosts = [host for host in fleet.hosts if met[host.pool]]
    return attrs.evolve(fleet, pools=pools, hosts=hosts)


def bound_with_failures_s(trace, fleet, bound_s):
    """Return the least time with the failures as they met this wave.

    It is above the bound only where a pool's slots are full; failures elsewhere end
    within the longest pool's time.
    """
    hosts = Counter(host.pool for host in fleet.hosts)
    least_s = [
        (hosts[pool.name] * WAVE.host_s + trace.extra_s[pool.name])
        / pool.hosts_down_limit
        for pool in fleet.pools
    ]
    return max([bound_s, *least_s])


def report(trace, fleet, failures, length_s):
    """Print the causes for the pools that ended last."""
    bound_s = lower_bound_s(fleet.pools, fleet.hosts, 0.0, WAVE)
    least_s = bound_with_failures_s(trace, fleet, bound_s)
    met = failures_met(fleet, failures, length_s)
    print(
        f"  {length_s / HOUR_S:.2f} h, {length_s / bound_s:.3f} of the bound without"
        f" failures, {length_s / least_s:.3f} with them;"
        f" {met.total()} failures; {trace.run.breaks} broken"
    )
    last = sorted(trace.finish_s, key=trace.finish_s.get, reverse=True)
    for name in last[:POOLS_SHOWN]:
        print(
            f"  {name} ended after {trace.finish_s[name] / HOUR_S:.2f} h,"
            f" {met[name]} failed"
        )
        slots = fleet.pools[0].hosts_down_limit
        for use, host_s in trace.spent_s[name].most_common():
            print(f"    {use:40} {host_s / slots / HOUR_S:8.3f}", flush=True)


def main(
    *,
    seeds: int = 3,
    first: int = 1,
    rate: float = 1.0,
    round_s: float = LARGE_ROUND_S,
    whole: bool = False,
) -> None:
    """Print where the time of waves over 2,600 workers goes, as hours of a pool.

    :param seeds: how many seeds of failures
    :param first: the first of them
    :param rate: how many times as many failures as the users have
    :param round_s: length of a round of the duties
    :param whole: carry out the pools that no failure meets, too
    """
    logging.disable(logging.INFO)
    fleet = make_fleet("2,600 in 25", 25, 104, 10, (5, 2), 0, 1)
    for seed in range(first, first + seeds):
        failures = make_world(fleet.hosts, seed, False, rate).failures
        part = fleet if whole else struck_pools(fleet, failures)
        trace, length_s = carry_out(part, failures, round_s)
        print(f"seed {seed}, {len(part.pools)} pools", flush=True)
        report(trace, part, failures, length_s)


if __name__ == "__main__":
    defopt.run(main)
