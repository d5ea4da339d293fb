"""Each call to a server, carried out by a lifetime that it was not meant for.

A call that got no answer may be carried out seconds later, by whichever lifetime of the
server is at the address then; so is a call that is under way at a restart, or repeated
after it. Enumerated is between which two answers the restart, the late call, a cut and
a takeover fall. CI plays a choice that is the same each time; INTERLEAVINGS is how many
cases each list has at least, and 300 plays all of them.

+---------------+--------------------------------+----------------------------------+
| call          | effect on a wrong lifetime     | what undoes or bounds it         |
+===============+================================+==================================+
| any           | it keeps the fencing token     | need not be: calls meant for it  |
|               |                                | have a higher one                |
+---------------+--------------------------------+----------------------------------+
| start         | a run that nobody wants there; | its sender bars it for 30 s; the |
|               | also if it is refused, as old  | first list has it moved or       |
|               | or for want of room, the       | stopped; if there is none, its   |
|               | longest lease                  | lease ends, 10 s after the call  |
|               |                                | was carried out                  |
+---------------+--------------------------------+----------------------------------+
| stop          | no run of the task up to that  | need not be: the next run has a  |
|               | number begins there            | higher number                    |
+---------------+--------------------------------+----------------------------------+
| renewal with  | ends up to that number are     | nothing                          |
| ack_cursor    | forgotten as they come         |                                  |
+---------------+--------------------------------+----------------------------------+
| renewal with  | the longest lease for what     | the sender expects it once the   |
| expires_ms    | runs or starts there           | later lifetime has answered; the |
|               |                                | row of its own lease says less   |
+---------------+--------------------------------+----------------------------------+
| pace          | none, the run is not there     | need not be                      |
+---------------+--------------------------------+----------------------------------+

A lifetime that has obeyed a call meant for it obeys none that was meant for the earlier
ones. An answer to a call for an earlier one bars nothing.
"""

import itertools
import random
from collections.abc import Awaitable, Callable, Iterable

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.standins.users_platform import Rebirth, StandinMachine
from tests.batch.checkers import JobChecker
from tests.batch.test_days import open_small_day, submit, wait_complete
from tests.batch.test_reborn_servers import CLOCKS_MS, breaches_by_rule, short_job
from tests.batch.test_stray_calls import (
    COMMIT_S,
    MACHINE_CPU,
    POLL_S,
    SETTLED_S,
    Renewals,
    is_acknowledgement,
    is_grant,
    is_start,
    job_of,
    keep_one_back,
)
from tests.batch.world import ServerCall, World
from tests.interleave import example_count

SEED = 57
# Calls of the table.
CALLS = ("start", "stop", "acknowledgement", "expiry", "pace")
HARMFUL_CALLS = ("start", "acknowledgement", "expiry")
# Points of a later lifetime, in order: its first answer to any call and to one that was
# meant for it, at the server and at the holder. It is ``unheard`` for a second if it is
# cut off or the holder is killed at its start.
POINTS = (
    "begun",
    "unheard",
    "answer",
    "answer read",
    "own answer",
    "own answer read",
    "later",
)
UNBARRED = ("begun", "unheard", "answer", "answer read")
BARRED = ("own answer", "own answer read", "later")
# Where the server is cut off, and where the holder is killed.
DISTURBANCES = (
    (None, None),
    (None, "begun"),
    (None, "answer read"),
    (None, "later"),
    ("own answer", None),
    ("begun", "begun"),
    ("begun", "later"),
    ("own answer", "begun"),
    ("answer", "answer"),
    ("own answer read", "own answer read"),
    ("later", "later"),
)
# Those that CI plays with each point of a restart.
MAIN_DISTURBANCES = (
    (None, None),
    (None, "answer read"),
    ("own answer", None),
    ("later", "later"),
)
# How long after the start of the later lifetime its first list has been requested.
OWN_ANSWER_WITHIN_S = 8.0
# Where the restart falls between two answers of the earlier lifetime.
RESTARTS = (
    "renewal waits",
    "answer under way",
    "renewal under way",
    "commit under way",
    "acknowledgement waits",
)
# After this time the last end is acknowledged and a renewal has been answered since.
QUIET_AFTER_S = 2.0
# After a takeover without a cut all tasks run again.
TAKEN_OVER_S = 6.0
READ_AFTER_S = 0.0025


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.frozen
class Case:
    """A restart, and the points at which a late call and anything else happen."""

    cut_at: str | None
    takeover_at: str | None
    clock_ms: int = min(CLOCKS_MS)
    call: str = ""
    late_at: str = ""
    restart_at: str = "renewal waits"

    @property
    def is_possible(self) -> bool:
        """Return whether the later lifetime reaches the point of the late call."""
        if self.late_at == "unheard":
            return "begun" in (self.cut_at, self.takeover_at)
        if self.late_at in ("", "begun") or self.cut_at is None:
            return True
        heard_at = "own answer" if self.late_at in BARRED else self.late_at
        return POINTS.index(self.cut_at) >= POINTS.index(heard_at)

    def features(self) -> set[tuple]:
        """Return what a choice of cases has to have.

        No grant for the earlier lifetime lasts on a clock that is ahead of its own.
        """
        disturbance = self.cut_at, self.takeover_at
        if not self.call:
            is_main = disturbance in MAIN_DISTURBANCES
            return {(self.restart_at, disturbance)} if is_main else set()
        features = {
            (self.call, self.late_at),
            (self.call, self.clock_ms),
            (self.late_at, disturbance),
        }
        if self.call in HARMFUL_CALLS and self.clock_ms == min(CLOCKS_MS):
            features.add((self.call, disturbance))
        return features


def late_cases(late_points: Iterable[str]) -> list[Case]:
    """Return the cases of calls that are late at some of the points."""
    choices = itertools.product(DISTURBANCES, CLOCKS_MS, CALLS, late_points)
    cases = [Case(*disturbance, *others) for disturbance, *others in choices]
    return [case for case in cases if case.is_possible]


def restart_cases() -> list[Case]:
    """Return the cases of calls that are under way at a restart."""
    choices = itertools.product(DISTURBANCES, RESTARTS)
    return [Case(*where, restart_at=restart_at) for where, restart_at in choices]


def choose_cases(cases: Iterable[Case]) -> list[Case]:
    """Return cases that have all features together, and others up to a number."""
    left = list(cases)
    random.Random(SEED).shuffle(left)
    missing = set().union(*(case.features() for case in left))
    chosen: list[Case] = []
    while left and (missing or len(chosen) < example_count(0)):
        best = max(left, key=lambda case: len(case.features() & missing))
        left.remove(best)
        chosen.append(best)
        missing -= best.features()
    return chosen


@attrs.define(eq=False)
class Play:
    """Plays one case: jobs run on machine m, whose server restarts."""

    world: World
    checker: JobChecker
    renewals: Renewals
    case: Case
    accepted: list[str] = attrs.field(factory=list)
    # The highest fencing token that the earlier lifetime has seen.
    earlier_token: int = 0

    @property
    def machine(self) -> StandinMachine:
        """Return the machine whose server restarts."""
        return self.world.platform.machine_by_id["m"]

    async def submit(self, new_job) -> None:
        """Submit a job that must be accepted."""
        assert await submit(self.world, self.checker, "/one/", new_job)

    async def submit_short(self, count: int) -> None:
        """Submit short jobs."""
        for _ in range(count):
            new_job = short_job(self.world.generator)
            if await submit(self.world, self.checker, "/one/", new_job):
                self.accepted.append(new_job[0])
            await trio.sleep(0.2)

    async def keep_call_back(self) -> ServerCall:
        """Bring the call of the case about; it gets no answer and is repeated."""
        cause_by_call: dict[str, tuple[Callable, Callable[[], Awaitable]]] = {
            "start": (is_start, lambda: self.submit(self._job())),
            "stop": (lambda call: call.target == "/run-stop", self._cancel_job),
            "acknowledgement": (is_acknowledgement, lambda: self.submit_short(1)),
            "expiry": (is_grant, trio.lowlevel.checkpoint),
            "pace": (is_grant, trio.lowlevel.checkpoint),
        }
        is_wanted, bring_about = cause_by_call[self.case.call]
        address = self.machine.server.address
        kept = keep_one_back(
            self.world, lambda call: call.address == address and is_wanted(call)
        )
        await bring_about()
        with trio.fail_after(5.0):
            while not kept:
                await trio.sleep(POLL_S)
        await trio.sleep(QUIET_AFTER_S)
        self.world.faults.keeps_back = None
        return self._paced(kept[0]) if self.case.call == "pace" else kept[0]

    def _job(self):
        return job_of(self.world.generator, 1, 1500)

    async def _cancel_job(self) -> None:
        new_job = self._job()
        await self.submit(new_job)
        await trio.sleep(0.2)
        self.checker.cancelled_at_s[new_job[0]] = trio.current_time()
        assert (await self.world.call("DELETE", f"/one/{new_job[0]}"))[0] == 200

    def _paced(self, call: ServerCall) -> ServerCall:
        run = next(iter(self.machine.server.run_by_task.values()))
        body = {
            "task_id": run.task,
            "run_id": run.run,
            "percent": 50,
            "fencing_token": call.body["fencing_token"],
        }
        return attrs.evolve(call, target="/pace", body=body)

    async def restart(self) -> None:
        """Restart the server at the moment that the case wants.

        The holder has just renewed its lease, so that its row is the next renewal's
        period behind when it is killed.
        """
        await self._wait_until_the_lease_is_renewed()
        server = self.machine.server
        self.earlier_token = server.fencing_token
        with trio.fail_after(5.0):
            match self.case.restart_at:
                case "answer under way":
                    await self.renewals.wait_for_answer(server)
                case "renewal under way":
                    await self.renewals.wait_for_answer(server)
                    await trio.sleep(READ_AFTER_S)
                case "commit under way":
                    await self._wait_for_end(server)
                    await trio.sleep(COMMIT_S)
                case "acknowledgement waits":
                    await self._wait_for_end(server)
                    while server.ended:
                        await trio.sleep(POLL_S)
                case _:
                    while self.renewals.has_just_answered(server):
                        await trio.sleep(POLL_S)
        rebirth = Rebirth(self.case.clock_ms, keeps_row=True)
        self.world.platform.crash("m", 0.001, rebirth=rebirth)
        await trio.sleep(0.001 + POLL_S)

    async def _wait_for_end(self, server) -> None:
        await self.submit_short(1)
        while not server.ended:
            await trio.sleep(POLL_S)

    async def _wait_until_the_lease_is_renewed(self) -> None:
        watch = self.world.node_by_id[self.world.holders()[0]].lease_manager.watch
        version = watch.version
        with trio.fail_after(5.0):
            while watch.version == version:
                await trio.sleep(POLL_S)

    async def disturb(self, late_call: ServerCall | None) -> None:
        """Do what the case wants at each point of the later lifetime."""

        async def carry_out() -> None:
            if late_call is not None:
                await self.world.carry_out(late_call)

        for point in POINTS:
            await self._reach(point)
            actions = [
                (self.case.late_at, carry_out),
                (self.case.cut_at, self._cut),
                (self.case.takeover_at, self._kill_holder),
            ]
            self.world.generator.shuffle(actions)
            for wanted_point, act in actions:
                if wanted_point == point:
                    await act()

    async def _reach(self, point: str) -> None:
        """Wait for a point, unless the server is cut off and never reaches it."""
        server = self.machine.server
        match point:
            case "unheard":
                if "begun" in (self.case.cut_at, self.case.takeover_at):
                    await trio.sleep(1.0)
            case "later":
                await trio.sleep(0.3)
            case _ if self.world.faults.servers_cut:
                return
            case "answer":
                await self.renewals.wait_for_answer(server)
            case "own answer":
                with trio.fail_after(OWN_ANSWER_WITHIN_S):
                    while server.fencing_token <= self.earlier_token:
                        await trio.sleep(POLL_S)
            case "answer read" | "own answer read":
                await trio.sleep(READ_AFTER_S)

    async def _cut(self) -> None:
        self.world.faults.servers_cut = {("*", self.machine.server.address)}
        self.world.platform.resize("n", MACHINE_CPU, 64000, after_s=0.1)

    async def _kill_holder(self) -> None:
        for holder in self.world.holders():
            self.world.kill_node(holder)


async def play(monkeypatch, case: Case) -> dict[str, int]:
    """Play a case; return how often each rule was broken."""
    renewals = Renewals(monkeypatch)
    async with open_small_day(monkeypatch, SEED, "m", "ab") as (world, checker):
        world.platform.add_machine("n", "one", "r", cpu=400)
        played = Play(world, checker, renewals, case)
        generator = world.generator
        lasting = job_of(generator, 2, 200, long_running=True, max_per_server=1)
        for new_job in (lasting, job_of(generator, 3, 1500)):
            await played.submit(new_job)
            await trio.sleep(0.2)
        await played.submit_short(2)
        await trio.sleep(QUIET_AFTER_S)
        late_call = await played.keep_call_back() if case.call else None
        await played.restart()
        world.nursery.start_soon(played.submit_short, 3)
        await played.disturb(late_call)
        await trio.sleep(SETTLED_S if case.cut_at else TAKEN_OVER_S)
        left = await wait_complete(world, checker, "/one/", played.accepted, 10.0)
        breaches = breaches_by_rule(checker)
        return dict(breaches, incomplete=len(left)) if left else dict(breaches)


async def must_break_nothing(monkeypatch, cases: Iterable[Case]) -> None:
    """Assert that no case breaks a rule."""
    broken = []
    for case in cases:
        with monkeypatch.context() as patch:
            breaches = await play(patch, case)
        if breaches:
            broken.append(f"{breaches} in {case}")
    assert not broken, "\n".join(broken)


# Guards against TWICE and UNREAD: what calls do that reach the later lifetime as their
# answers or they were under way at the restart, or their cause.
@pytest.mark.parametrize("restart_at", RESTARTS)
async def test_a_restart_between_any_two_answers_breaks_no_rule(
    monkeypatch, autojump_clock, restart_at
):
    cases = choose_cases(restart_cases())
    wanted = [case for case in cases if case.restart_at == restart_at]
    await must_break_nothing(monkeypatch, wanted)


# The same of late calls before the later lifetime has obeyed one that was meant for it,
# so that nothing bars them.
@pytest.mark.parametrize("call", CALLS)
async def test_calls_that_nothing_bars_at_a_later_lifetime_break_no_rule(
    monkeypatch, autojump_clock, call
):
    cases = choose_cases(late_cases(UNBARRED))
    wanted = [case for case in cases if case.call == call]
    await must_break_nothing(monkeypatch, wanted)


# Guards against a late call that is obeyed after that.
@pytest.mark.parametrize("call", CALLS)
async def test_calls_that_come_after_its_own_break_no_rule_at_a_later_lifetime(
    monkeypatch, autojump_clock, call
):
    cases = choose_cases(late_cases(BARRED))
    wanted = [case for case in cases if case.call == call]
    await must_break_nothing(monkeypatch, wanted)
