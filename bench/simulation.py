"""Discrete-event simulation of routing policy: no sockets, no processes, no clock."""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from rhubarbmount.backend_health import AttemptResult
from rhubarbmount.entries import Service
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.limits import Admission, AdmissionCode, Limiter
from rhubarbmount.retries import (
    AttemptFacts,
    Ending,
    RetryBudget,
    classify,
    decide_retry,
)
from rhubarbmount.routing import PoolView
from rhubarbmount.service_limits import PoolSlots
from rhubarbmount.shares import EntryHosts
from rhubarbmount.strategies import Backend

SERVICE_MEAN_S = 0.05
SERVICE_SIGMA = 0.5
NEAR_S = 0.0005
FAR_S = 0.0015
CONNECT_TIMEOUT_S = 0.3
HEARTBEAT_S = 1.0
PEER_TIMEOUT_S = 3.0
FAIL_FAST_S = 0.002
SLOTS = 8
CROWDING = 0.3


class Clock:
    """Run callbacks in the order of their simulated times."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call back after a delay."""
        event = (self.now_s + delay_s, next(self._numbers), callback)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run all events up to the time."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._events)
            callback()


@attrs.define(eq=False)
class Worker:
    """A simulated backend server with a guard on its true number of slots."""

    host: Host
    slots: int
    slowdown: float = 1.0
    failing: bool = False
    down: bool = False
    running: int = 0
    attempts: int = 0
    ran: int = 0


@attrs.define(eq=False)
class Request:
    """A caller's request on its way."""

    service: str
    work_s: float
    sent_s: float
    deadline_s: float
    attempts: int = 0
    resends: int = 0
    unplaced: bool = True
    tried: list[str] = attrs.field(factory=list)


@attrs.define
class Totals:
    """What happened to the requests, and when."""

    latencies_s: dict[str, list[float]] = attrs.field(factory=dict)
    done_by_second: Counter[int] = attrs.field(factory=Counter)
    tries_by_second: Counter[int] = attrs.field(factory=Counter)
    attempts_by_second: Counter[int] = attrs.field(factory=Counter)
    counts: Counter[str] = attrs.field(factory=Counter)

    def quantile_s(self, fraction: float, service: str = "quotes") -> float:
        """Return a quantile of the latencies of answered requests."""
        ordered = sorted(self.latencies_s.get(service, []))
        if not ordered:
            return math.nan
        return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


class World:
    """Workers, entry hosts and callers on one simulated clock."""

    def __init__(self, seed: int) -> None:
        self.clock = Clock()
        self.totals = Totals()
        self.arrivals = random.Random(seed)
        self.work = random.Random(seed + 1)
        self.policy = random.Random(seed + 2)
        self.workers: dict[str, Worker] = {}
        self.entry_hosts: list[EntryHost] = []
        self.cut = False
        self.warm_up_s = 0.0

    def add_workers(
        self,
        count: int,
        *,
        pool: str = "quotes",
        data_centre: str = "dc1",
        slots: int = SLOTS,
    ) -> list[Worker]:
        """Add workers that all have the slots that they declare."""
        first = len(self.workers)
        added = []
        for number in range(first, first + count):
            host = Host(
                host_id=f"w{number}",
                pool=pool,
                data_centre=data_centre,
                rack=f"r{number // 4}",
                address=f"10.0.0.{number}:80",
                shape=Shape(processors=16, memory_gb=64),
                slots=slots,
            )
            worker = Worker(host, slots)
            self.workers[host.host_id] = worker
            added.append(worker)
        return added

    def open_entry_hosts(
        self,
        places: Sequence[str],
        services: list[Service],
        *,
        strategy: str = "two-choices",
        hosts_down_limit: int = 2,
        total: int = 512,
    ) -> None:
        """Start one entry host in each of the named data centres."""
        places_by_id = {f"e{number}": place for number, place in enumerate(places)}
        for entry_id, place in places_by_id.items():
            members = EntryHosts(entry_id, place, places_by_id)
            entry = EntryHost(
                self, members, services, strategy, hosts_down_limit, total
            )
            self.entry_hosts.append(entry)
        self.clock.after(HEARTBEAT_S, self._exchange)

    def arrive(
        self,
        rate_per_s: float,
        until_s: float,
        *,
        service: str = "quotes",
        entries: Sequence[int] | None = None,
        start_s: float = 0.0,
        timeout_s: float = 5.0,
    ) -> None:
        """Send requests at random times, evenly over the entry hosts."""
        chosen = entries or range(len(self.entry_hosts))
        time_s = start_s
        sigma = SERVICE_SIGMA
        mu = math.log(SERVICE_MEAN_S) - sigma * sigma / 2
        while True:
            time_s += self.arrivals.expovariate(rate_per_s)
            if time_s >= until_s:
                return
            work_s = self.work.lognormvariate(mu, sigma)
            request = Request(service, work_s, time_s, time_s + timeout_s)
            entry = self.entry_hosts[self.arrivals.choice(chosen)]
            self.clock.after(time_s, lambda e=entry, r=request: e.receive(r))

    def set_cut(self) -> None:
        """Cut the data centres off from each other."""
        self.cut = True
        self.clock.after(PEER_TIMEOUT_S, self._drop_peers)

    def _drop_peers(self) -> None:
        for entry in self.entry_hosts:
            members = entry.members
            near = members.near(members.data_centre)
            places = dict.fromkeys(near, members.data_centre)
            entry.set_members(EntryHosts(members.own_id, members.data_centre, places))

    def _exchange(self) -> None:
        for entry in self.entry_hosts:
            for view in entry.views.values():
                sums: Counter[str] = Counter()
                for peer in self.entry_hosts:
                    if peer is entry or self._parted(entry.members, peer.members):
                        continue
                    for host_id, backend in peer.views[
                        view.pool
                    ].backend_by_host_id.items():
                        sums[host_id] += backend.own_in_flight
                view.set_peers_in_flight(sums)
        self.clock.after(HEARTBEAT_S, self._exchange)

    def _parted(self, one: EntryHosts, other: EntryHosts) -> bool:
        return self.cut and one.data_centre != other.data_centre


class EntryHost:
    """A simulated entry host around the product's own decisions."""

    def __init__(
        self,
        world: World,
        members: EntryHosts,
        services: list[Service],
        strategy: str,
        hosts_down_limit: int,
        total: int,
    ) -> None:
        self.world = world
        self.members = members
        self.services = {service.name: service for service in services}
        self.budgets = {s.name: RetryBudget(s.retry_share) for s in services}
        self.views: dict[str, PoolView] = {}
        for pool in sorted({service.pool for service in services}):
            view = PoolView(
                pool,
                members,
                hosts_down_limit=hosts_down_limit,
                generator=world.policy,
                strategy=strategy,
            )
            view.update_hosts([w.host for w in world.workers.values()], 0.0)
            self.views[pool] = view
        self.limiter = Limiter(
            total, generator=world.policy, pool_slots=self._pool_slots
        )
        self.limiter.update_services(services, members.members(), members.own_id)
        self._tick()

    def set_members(self, members: EntryHosts) -> None:
        """Divide slots and limits among other entry hosts."""
        self.members = members
        for view in self.views.values():
            view.set_entry_hosts(members)
        services = list(self.services.values())
        self.limiter.update_services(services, members.members(), members.own_id)

    def receive(self, request: Request) -> None:
        """Admit, queue or refuse a request."""
        clock = self.world.clock
        admission = self.limiter.offer(
            request.service,
            clock.now_s,
            request.deadline_s,
            lambda: self._attempt(request),
        )
        if admission.code is AdmissionCode.ADMITTED:
            self._attempt(request)
        else:
            self._wait(request, admission)

    def _wait(self, request: Request, admission: Admission) -> None:
        waiting = admission.waiting
        if waiting is None:
            self._refuse(request, admission.code, admission.retry_after_s)
            return

        def time_out() -> None:
            if not waiting.admitted:
                refusal = self.limiter.give_up(waiting)
                self._refuse(request, refusal.code, refusal.retry_after_s)

        clock = self.world.clock
        clock.after(max(waiting.give_up_s - clock.now_s, 0.0), time_out)

    def _tick(self) -> None:
        self.limiter.admit_waiting(self.world.clock.now_s)
        self.world.clock.after(0.1, self._tick)

    def _pool_slots(self, service: str, now_s: float) -> PoolSlots:
        return self.views[self.services[service].pool].available_slots(now_s)

    def _refuse(self, request: Request, code: str, retry_after_s: int | None) -> None:
        totals = self.world.totals
        if request.sent_s >= self.world.warm_up_s:
            totals.counts["refused"] += 1
            totals.counts[f"refused {request.service}"] += 1
            totals.counts[str(code)] += 1

    def _attempt(self, request: Request) -> None:
        world = self.world
        now_s = world.clock.now_s
        view = self.views[self.services[request.service].pool]
        decision = view.choose(now_s, request.tried)
        if request.unplaced:
            self.limiter.place(request.service)
            request.unplaced = False
        if decision.backend is None:
            self._put_back(request)
            return
        backend = decision.backend
        request.attempts += 1
        request.tried.append(backend.host.host_id)
        if request.sent_s >= world.warm_up_s:
            world.totals.counts["attempts"] += 1
            world.totals.counts[str(decision.reason)] += 1
        self._send(request, view, backend)

    def _put_back(self, request: Request) -> None:
        request.tried.clear()
        request.unplaced = True
        admission = self.limiter.put_back(
            request.service,
            self.world.clock.now_s,
            request.deadline_s,
            lambda: self._attempt(request),
        )
        self._wait(request, admission)

    def _send(self, request: Request, view: PoolView, backend: Backend) -> None:
        world = self.world
        worker = world.workers[backend.host.host_id]
        far = backend.host.data_centre != self.members.data_centre
        trip_s = FAR_S if far else NEAR_S
        begin_s = world.clock.now_s

        def end(result: AttemptResult, facts: AttemptFacts) -> None:
            self._end(request, view, backend, result, facts, begin_s)

        world.totals.tries_by_second[int(begin_s)] += 1
        if worker.down or (world.cut and far):
            facts = AttemptFacts(Ending.NOT_CONNECTED, bytes_left=False)
            delay_s = 2 * trip_s if worker.down else CONNECT_TIMEOUT_S
            world.clock.after(delay_s, lambda: end(AttemptResult.UNREACHABLE, facts))
            return
        worker.attempts += 1
        world.totals.attempts_by_second[int(begin_s)] += 1
        if worker.running >= worker.slots:
            facts = AttemptFacts(Ending.ANSWERED, guard_refused=True)
            world.clock.after(
                2 * trip_s, lambda: end(AttemptResult.GUARD_REFUSAL, facts)
            )
            return
        worker.running += 1
        worker.ran += 1
        crowding = 1.0 + CROWDING * (worker.running - 1) / SLOTS
        work_s = request.work_s * worker.slowdown * crowding
        if worker.failing:
            work_s = FAIL_FAST_S
        failing = worker.failing

        def answer() -> None:
            worker.running -= 1
            result = AttemptResult.FAILURE if failing else AttemptResult.SUCCESS
            end(result, AttemptFacts(Ending.ANSWERED))

        world.clock.after(2 * trip_s + work_s, answer)

    def _end(
        self,
        request: Request,
        view: PoolView,
        backend: Backend,
        result: AttemptResult,
        facts: AttemptFacts,
        begin_s: float,
    ) -> None:
        now_s = self.world.clock.now_s
        latency_s = now_s - begin_s
        answered = result in (AttemptResult.SUCCESS, AttemptResult.FAILURE)
        view.finish(
            backend,
            result,
            now_s,
            service=request.service,
            latency_s=latency_s if answered else None,
        )
        budget = self.budgets[request.service]
        decision = decide_retry(
            facts,
            idempotent=True,
            replayable=True,
            attempts=request.attempts,
            now_s=now_s,
            deadline_s=request.deadline_s,
            expected_s=SERVICE_MEAN_S,
            budget=budget,
        )
        if decision.retry:
            self.world.totals.counts["retries"] += request.sent_s >= (
                self.world.warm_up_s
            )
            self._attempt(request)
            return
        succeeded = result is AttemptResult.SUCCESS
        self.limiter.finish(request.service, now_s, latency_s if answered else None)
        self._answer(request, succeeded, answered, classify(facts))

    def _answer(
        self, request: Request, succeeded: bool, answered: bool, outcome: str
    ) -> None:
        world = self.world
        now_s = world.clock.now_s
        if succeeded:
            self.budgets[request.service].succeed()
            world.totals.done_by_second[int(now_s)] += 1
        if request.sent_s < world.warm_up_s:
            return
        if succeeded:
            latencies = world.totals.latencies_s.setdefault(request.service, [])
            latencies.append(now_s - request.sent_s)
        elif answered:
            world.totals.counts["failed"] += 1
        else:
            world.totals.counts["refused"] += 1
            world.totals.counts[f"refused {request.service}"] += 1
