"""Carry waves out on the embedded platform and compare them with their plans."""

import itertools
import logging
import math
import time
from collections import Counter
from collections.abc import Callable

import attrs
import defopt
import trio

from bench.waves import HOUR_S, make_fleet, spares_offer
from rhubarbmount.duty_runner import DutyRunner
from rhubarbmount.entries import dump_entry
from rhubarbmount.host_duty import HostDuty
from rhubarbmount.host_rows import HostChange, host_update
from rhubarbmount.host_work import Observation, WorkBounds
from rhubarbmount.hosts import Host, HostState, Shape
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.repair import RepairDuty
from rhubarbmount.store.interface import LiveHost, Transaction
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.wave_bounds import lower_bound_s
from rhubarbmount.wave_duty import WaveDuty
from rhubarbmount.wave_plan import plan_wave
from rhubarbmount.waves import WaveOperator

ROUND_S = 1.0
GIVE_UP_S = 7 * 24 * HOUR_S
WAVE = WaveSettings()
WORK = WorkBounds(reboot_min_s=1.0, warm_s=WAVE.warm_s)
SERVING = (HostState.IN_SERVICE, HostState.RETURNING)


@attrs.frozen
class Failure:
    """Hosts that fail together.

    With ``away_s`` they come back by themselves; ``for_good``, no reboot helps them.
    """

    at_s: float
    host_ids: tuple
    away_s: float = 0.0
    for_good: bool = False


@attrs.define
class Run:
    """A fleet in virtual time, its duties held by one instance."""

    pools: list
    hosts: list
    platform: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    calls: Counter = attrs.field(factory=Counter)
    now_s: float = 1_000_000.0
    command_s: dict = attrs.field(factory=dict)
    moves: int = 0
    breaks: int = 0
    ids: itertools.count = attrs.field(factory=itertools.count)
    round_s: float = ROUND_S
    failures: list = attrs.field(factory=list)
    reboot_s_by_id: dict = attrs.field(factory=dict)
    with_repair: bool = False
    failed_s: dict = attrs.field(factory=dict)
    away_until_s: dict = attrs.field(factory=dict)
    spares_at_once: int = 0
    waits_for_repair: bool = False
    unreplaced_host_s: float = 0.0
    repair: RepairDuty | None = None
    started_s: float = 0.0
    after_round: Callable = lambda: None

    async def read(self, table, key):
        self.calls["read"] += 1
        return await self.platform.read(table, key)

    async def scan(self, table, prefix=""):
        self.calls["read"] += 1
        return await self.platform.scan(table, prefix)

    async def live_hosts(self):
        self.calls["read"] += 1
        return await self.platform.live_hosts()

    async def transact(self, transaction):
        self.calls["write"] += len(transaction.writes)
        before = {}
        for write in transaction.writes:
            if write.table in ("hosts", "budgets"):
                row = await self.platform.read(write.table, write.key)
                before[write.table, write.key] = row.value if row else None
        result = await self.platform.transact(transaction)
        if result.committed:
            await self.check(transaction, before)
        return result

    async def command_host(self, command):
        self.calls["command"] += 1
        if command.intent_id not in self.platform.host_commands:
            self.command_s[command.host_id, command.action] = self.now_s
        await self.platform.command_host(command)

    async def check(self, transaction, before):
        """Count moves, and budgets that a host which served was taken beyond."""
        for write in transaction.writes:
            old = before.get((write.table, write.key))
            if write.table == "hosts":
                stays = old is not None and write.value is not None
                self.moves += stays and old["pool"] != write.value["pool"]
            if write.table == "budgets":
                known = old["permits"] if old else {}
                added = write.value["permits"].keys() - known.keys()
                if any(before["hosts", key]["state"] in SERVING for key in added):
                    await self.check_budget(write)

    async def check_budget(self, write):
        entry = await self.platform.read("entries", f"pool/{write.key}")
        limits = entry.value["values"]
        racks = write.value["permits"].values()
        self.breaks += (
            len(racks) > limits["hosts_down_limit"]
            or len(set(racks)) > limits["racks_down_limit"]
        )

    def observe(self, host):
        """Return a host empty after its drain, and ready after its reboot."""
        host_id = host.host_id
        drained_s = self.command_s.get((host_id, "drain"), self.now_s)
        is_empty = self.now_s - drained_s >= WAVE.drain_s
        return Observation(0 if is_empty else 1, self.is_ready(host_id))

    def is_ready(self, host_id):
        rebooted_s = self.command_s.get((host_id, "reboot"), 0.0)
        reboot_s = self.reboot_s_by_id.get(host_id, WAVE.reboot_s)
        return (
            self.now_s - rebooted_s >= reboot_s
            and self.failed_s.get(host_id, -1.0) < rebooted_s
            and self.away_until_s.get(host_id, 0.0) <= self.now_s
        )

    def strike(self):
        """Let the failures that are due happen; a lost rack leaves the live list."""
        while self.failures and self.failures[0].at_s <= self.now_s:
            failure = self.failures.pop(0)
            for host_id in failure.host_ids:
                if failure.away_s:
                    self.away_until_s[host_id] = self.now_s + failure.away_s
                else:
                    end_s = math.inf if failure.for_good else self.now_s
                    self.failed_s[host_id] = end_s
        away = {key for key, end_s in self.away_until_s.items() if end_s > self.now_s}
        self.platform.hosts = [
            LiveHost(host.host_id) for host in self.hosts if host.host_id not in away
        ]

    def runners(self, buffer_pool):
        """Return the duties that the one instance holds."""
        duties = [
            HostDuty(self, self.observe, lambda: self.now_s, WORK),
            WaveDuty(self, lambda: self.now_s, WAVE, observe=self.observe),
        ]
        if self.with_repair:
            self.repair = RepairDuty(
                self, self.observe, lambda: self.now_s, buffer_pool
            )
            duties.append(self.repair)
        return [
            DutyRunner(duty, "a", self, lambda: self.now_s, self.new_id, lambda: ("a",))
            for duty in duties
        ]

    def new_id(self):
        return f"id{next(self.ids)}"

    async def fill(self):
        transaction = host_update(None, [HostChange(None, host) for host in self.hosts])
        for pool in self.pools:
            row = {"version": 1, "values": dump_entry(pool)}
            transaction.write("entries", f"pool/{pool.name}", row)
        await self.transact(Transaction("fill", (), tuple(transaction.writes)))
        self.platform.hosts = [LiveHost(host.host_id) for host in self.hosts]

    async def carry_out(self, spares_pool, spares_by_pool):
        """Run the wave; return its length and the processor seconds it took."""
        await self.fill()
        operator = WaveOperator(self.platform, lambda: self.now_s, self.new_id)
        wave_id = await operator.start(
            (), spares_pool, spares_by_pool, spares_at_once=self.spares_at_once
        )
        runners = self.runners(spares_pool)
        self.calls.clear()
        start_s, spent_s = self.now_s, time.process_time()
        self.started_s = start_s
        done_s = None
        while done_s is None or (self.waits_for_repair and await self.is_repairing()):
            self.now_s += self.round_s
            if self.now_s - start_s > GIVE_UP_S:
                break
            self.strike()
            for runner in runners:
                await runner.step()
            self.after_round()
            self.unreplaced_host_s += self.round_s * self.count_unreplaced()
            wave = (await operator.read(wave_id)).wave
            if wave.state == "done" and done_s is None:
                done_s = self.now_s
        return (done_s or self.now_s) - start_s, time.process_time() - spent_s

    def count_unreplaced(self):
        """Return how many bad hosts wait for a spare."""
        if self.repair is None:
            return 0
        return sum(code == "no-spare" for code, _ in self.repair._held.values())

    async def is_repairing(self):
        """Tell whether hosts are bad, or work on hosts is open."""
        rows = await self.platform.scan("hosts")
        intents = await self.platform.scan("intents", "host/")
        states = {row.value["state"] for row in rows}
        return bool(intents) or HostState.QUARANTINED in states


def buffer_of(count, reserve=0):
    """Return a buffer pool and its hosts; the reserve is left to failures."""
    pool = attrs.evolve(spares_offer(count).pool, hosts_wanted=reserve)
    hosts = [
        Host(
            host_id=f"b{number:03}",
            pool="buffer",
            data_centre="dc0",
            rack=f"buffer-r{number // 4}",
            address="127.0.0.1:1",
            shape=Shape(32, 64),
        )
        for number in range(count)
    ]
    return pool, hosts


def main(*, seed: int = 1, large: bool = False) -> None:
    """Print the length, moves, broken budgets and store calls of waves.

    :param seed: seed of the order of hosts
    :param large: whether to run the wave over 2,600 workers too
    """
    logging.disable(logging.INFO)
    cases = [
        (make_fleet("collective 5x6, 1 down", 5, 6, 3, (1, 1), 15, seed), 0),
        (make_fleet("collective, 15 spares", 5, 6, 3, (1, 1), 15, seed), 15),
        (make_fleet("collective 5x6, 2 down", 5, 6, 3, (2, 1), 15, seed), 0),
        (make_fleet("workshop 5x8, 1 down", 5, 8, 4, (1, 1), 15, seed), 0),
        (make_fleet("workshop, 15 spares", 5, 8, 4, (1, 1), 15, seed), 15),
        (make_fleet("workshop 5x8, 2 down", 5, 8, 4, (2, 1), 15, seed), 0),
    ]
    if large:
        cases.append((make_fleet("2,600 in 25", 25, 104, 10, (5, 2), 0, seed), 0))
    print(
        "fleet                   hours    /plan   /bound  moves  planned  breaks"
        "  reads/s  writes/s  cpu %"
    )
    for fleet, spares in cases:
        pools, hosts = list(fleet.pools), list(fleet.hosts)
        share = {pool.name: spares // 5 for pool in pools} if spares else {}
        settings = attrs.evolve(WAVE, hour_weight=100.0, move_weight=0.0)
        plan = plan_wave(pools, hosts, 0.0, settings, spares_offer(spares))
        bound_s = lower_bound_s(pools, hosts, 0.0, WAVE)
        if spares:
            pool, more = buffer_of(spares)
            pools.append(pool)
            hosts.extend(more)
        run = Run(pools, hosts)
        length_s, spent_s = trio.run(run.carry_out, "buffer" if spares else "", share)
        ratios = f"{length_s / plan.roll_out_s:8.3f} {length_s / bound_s:8.3f}"
        counts = f"{run.moves:6} {plan.moves:8} {run.breaks:7}"
        reads, writes = (run.calls[kind] / length_s for kind in ("read", "write"))
        print(
            f"{fleet.name:22} {length_s / HOUR_S:6.2f} {ratios} {counts}"
            f" {reads:8.2f} {writes:9.2f} {100 * spent_s / length_s:6.2f}"
        )


if __name__ == "__main__":
    defopt.run(main)
