"""Entry hosts, callers and backend servers as fakes around the real claims."""

from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import attrs
import trio
import trio.testing
from trio._core import _run as trio_run

from rhubarbmount.claim_guard import Claims, open_claims
from rhubarbmount.claims import HeldClaim
from rhubarbmount.standins.faulty_platform import Faults, FaultyPlatform
from rhubarbmount.store.client import PlatformClient, open_client
from rhubarbmount.store.memory import MemoryPlatform

__all__ = ["EntryHost", "Ledger", "NotRun", "Request", "World", "run_seeded"]

REQUEST_TIMEOUT_S = 2.0
BACKEND_S = 0.02
PLATFORM_S = 0.004
LATE_EFFECT_S = 5.0


class NotRun(Exception):
    """Surely no backend server ran the request."""


class AnswerLost(Exception):
    """A backend server may have run the request."""


@attrs.define(eq=False)
class Request:
    """One attempt of a lodgement; ``outcome`` stays None if no answer came."""

    lodgement: str
    key: str
    deadline_s: float
    outcome: str | None = None
    answered: trio.Event = attrs.field(factory=trio.Event)


@attrs.define(eq=False)
class Ledger:
    """What was run and what was told; finds doubled runs and false denials."""

    runs: Counter = attrs.field(factory=Counter)
    denied_s: dict[str, float] = attrs.field(factory=dict)
    falsely_denied: set[str] = attrs.field(factory=set)
    told: dict[str, str] = attrs.field(factory=dict)

    def ran(self, lodgement: str, started_s: float) -> None:
        """Record a run whose dispatch started then."""
        self.runs[lodgement] += 1
        if started_s < self.denied_s.get(lodgement, float("-inf")):
            self.falsely_denied.add(lodgement)

    def tell(self, lodgement: str, outcome: str) -> None:
        """Record what a caller was told."""
        self.told[lodgement] = outcome
        if outcome != "not-run":
            return
        self.denied_s[lodgement] = trio.current_time()
        if self.runs[lodgement]:
            self.falsely_denied.add(lodgement)

    @property
    def doubled(self) -> int:
        """How many lodgements ran more than once."""
        return sum(count > 1 for count in self.runs.values())


class PausableAdapter:
    """Pass calls on, unless the process they come from is paused."""

    def __init__(self, inner: FaultyPlatform, pause: Callable[[], Awaitable[Any]]):
        self._inner = inner
        self._pause = pause

    def __getattr__(self, name: str) -> Callable[..., Awaitable[Any]]:
        async def call(*args: Any) -> Any:
            await self._pause()
            try:
                return await getattr(self._inner, name)(*args)
            finally:
                with trio.CancelScope(shield=True):
                    await self._pause()

        return call


@attrs.define(eq=False)
class EntryHost:
    """One process: its claims, its memory, and the switches for its faults."""

    world: "World"
    instance: str
    data_centre: str
    faulty: FaultyPlatform
    client: PlatformClient
    claims: Claims
    nursery: trio.Nursery
    memory: dict[str, HeldClaim] = attrs.field(factory=dict)
    is_dead: bool = False
    _resumed: trio.Event | None = None

    @property
    def is_paused(self) -> bool:
        """Whether the process is paused."""
        return self._resumed is not None

    async def pause_point(self) -> None:
        """Stand still while the process is paused."""
        while self._resumed is not None:
            await self._resumed.wait()

    def pause(self) -> None:
        """Pause the process."""
        if self._resumed is None:
            self._resumed = trio.Event()

    def resume(self) -> None:
        """Resume the process."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    def kill(self) -> None:
        """End the process and lose its memory."""
        self.is_dead = True
        self.world.hosts.remove(self)
        self.resume()
        self.nursery.cancel_scope.cancel()

    async def ask(self, request: Request) -> str:
        """Send a request and wait for its outcome, as a caller or peer does."""
        if not self.is_dead:
            self.nursery.start_soon(self._serve, request)
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                await request.answered.wait()
        return request.outcome or "unknown"

    async def _serve(self, request: Request) -> None:
        try:
            await self.pause_point()
            request.outcome = await self.world.handle(self, request)
        finally:
            request.answered.set()

    async def dispatch(self, request: Request) -> int:
        """Have a backend server run it. Raises NotRun and AnswerLost."""
        await self.pause_point()
        started_s = trio.current_time()
        drawn = self.world.random.random()
        if started_s > request.deadline_s or drawn < self.world.not_run_share:
            raise NotRun
        await trio.sleep(self.world.random.expovariate(1 / BACKEND_S))
        self.world.ledger.ran(request.lodgement, started_s)
        if drawn > 1.0 - self.world.run_lost_share:
            raise AnswerLost
        await trio.sleep(self.world.random.expovariate(1 / BACKEND_S))
        await self.pause_point()
        return 201

    async def run_held(self, held: HeldClaim, request: Request) -> str:
        """Dispatch under a claim and say what became of it."""
        try:
            held.ran(await self.dispatch(request))
        except NotRun:
            held.not_run()
            return "not-run"
        except AnswerLost:
            return "unknown"
        return "ran"


Handler = Callable[[EntryHost, Request], Awaitable[str]]


@attrs.define(eq=False)
class World:
    """Data centres of entry hosts over one platform, with seeded faults."""

    nursery: trio.Nursery
    handle: Handler
    seed: int
    data_centres: tuple[str, ...] = ("east", "north", "west")
    hosts_per_data_centre: int = 2
    memory: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    ledger: Ledger = attrs.field(factory=Ledger)
    hosts: list[EntryHost] = attrs.field(factory=list)
    platform_is_out: bool = False
    cut_off: set[str] = attrs.field(factory=set)
    not_run_share: float = 0.02
    run_lost_share: float = 0.01
    lost_answer_share: float = 0.0
    lost_call_share: float = 0.0
    late_effect_share: float = 0.0
    random: Random = attrs.field(init=False)
    _started: Counter = attrs.field(factory=Counter)

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.seed)

    async def start(self) -> None:
        """Start every entry host."""
        for data_centre in self.data_centres:
            for _ in range(self.hosts_per_data_centre):
                await self.add_host(data_centre)

    async def add_host(self, data_centre: str) -> EntryHost:
        """Start an entry host under a name never used before."""
        self._started[data_centre] += 1
        instance = f"{data_centre}-{self._started[data_centre]}"
        host: EntryHost = await self.nursery.start(self._run, instance, data_centre)
        self.hosts.append(host)
        self.apply_outage()
        return host

    async def _run(self, instance: str, data_centre: str, task_status: Any) -> None:
        faulty = FaultyPlatform(
            self.memory, self.nursery, seed=self.random.getrandbits(32)
        )
        host: EntryHost

        async def pause_point() -> None:
            await host.pause_point()

        adapter = PausableAdapter(faulty, pause_point)
        client = open_client(
            adapter,
            live_entry_hosts=lambda: len(self.hosts),
            deadline_s=0.5,
        )
        async with trio.open_nursery() as nursery:
            async with open_claims(instance, client, lambda: 0.0) as claims:
                host = EntryHost(
                    self, instance, data_centre, faulty, client, claims, nursery
                )
                task_status.started(host)
                await trio.sleep_forever()

    def apply_outage(self) -> None:
        """Let every host meet the platform as the switches say."""
        for host in self.hosts:
            out = self.platform_is_out or host.data_centre in self.cut_off
            host.faulty.faults = Faults(
                down=out,
                latency_s=PLATFORM_S,
                lost_answer_share=self.lost_answer_share,
                lost_call_share=self.lost_call_share,
                late_effect_share=self.late_effect_share,
                late_effect_s=LATE_EFFECT_S,
            )

    def can_reach(self, host: EntryHost, other: EntryHost) -> bool:
        """Return whether a message gets from one host to the other."""
        if other.is_dead:
            return False
        apart = host.data_centre != other.data_centre
        ends = {host.data_centre, other.data_centre}
        return not (apart and ends & self.cut_off)

    def pick_host(self, data_centre: str) -> EntryHost:
        """Return a host as a balancer would for a caller of the data centre."""
        near = [h for h in self.hosts if h.data_centre == data_centre]
        if near and (data_centre in self.cut_off or self.random.random() < 0.6):
            return self.random.choice(near)
        far = [h for h in self.hosts if h.data_centre not in self.cut_off]
        return self.random.choice(far or self.hosts)


def run_seeded(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async function on a clock that jumps, with tasks in a seeded order."""
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)
