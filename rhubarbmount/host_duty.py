"""The duty that carries out all open host intents, whoever began them."""

import logging
from collections import defaultdict
from collections.abc import Callable, Iterable

import attrs

import rhubarbmount.host_actions  # noqa: F401
from rhubarbmount.budgets import PoolRows, read_pool_rows
from rhubarbmount.duty_runner import Lease
from rhubarbmount.errors import NotFound, Refused
from rhubarbmount.explain import DecisionRecorder
from rhubarbmount.fleet_counters import FleetCounters
from rhubarbmount.host_rows import HostRows, TransactionBuilder
from rhubarbmount.host_steps import (
    DueStep,
    OpenWork,
    can_leave,
    is_same_target,
    step_update,
)
from rhubarbmount.host_tasks import HostTasks
from rhubarbmount.host_waits import uncommanded, wait_reason
from rhubarbmount.host_work import (
    EFFECT_BY_STATE,
    HOST_PREFIX,
    HostTransition,
    Observation,
    Progress,
    WorkBounds,
    host_actions,
    load_intent,
)
from rhubarbmount.hosts import Host
from rhubarbmount.log import event
from rhubarbmount.store.interface import HostCommand, Platform, Row
from rhubarbmount.tables import INTENTS_TABLE

__all__ = ["HostDuty"]

NO_OBSERVATION = Observation()
logger = logging.getLogger("rhubarbmount.host_duty")


@attrs.define
class HostWatch:
    """Since when this lease holder has seen a host in one state under one intent.

    ``key`` is the intent's id and the host's state.
    """

    key: tuple[str, str]
    since_s: float
    was_unready: bool = False
    commanded: bool = False


@attrs.define
class HostDuty:
    """Duty that advances each open host intent by at most one step per round.

    ``observe`` returns what entry hosts see of a host. ``wall_clock`` returns seconds
    since the epoch, for the times in stored rows.
    """

    platform: Platform
    observe: Callable[[Host], Observation]
    wall_clock: Callable[[], float]
    bounds: WorkBounds = attrs.field(factory=WorkBounds)
    counters: FleetCounters = attrs.field(factory=FleetCounters)
    name: str = "hosts"
    recorder: DecisionRecorder = attrs.field(factory=DecisionRecorder)
    view: HostRows = attrs.field(init=False)
    tasks: HostTasks = attrs.field(init=False)
    _watch_by_host_id: dict[str, HostWatch] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.view = HostRows(self.platform)
        self.tasks = HostTasks(self.platform)

    def forget(self) -> None:
        """Discard cached state, so that every effect is sent again."""
        self.view = HostRows(self.platform)
        self.tasks = HostTasks(self.platform)
        self._watch_by_host_id.clear()

    async def do_round(self, lease: Lease) -> None:
        """Send the host commands that are missing, and take every step that is due."""
        rows = await self.platform.scan(INTENTS_TABLE, HOST_PREFIX)
        if not rows:
            self._watch_by_host_id.clear()
            return
        await self.view.refresh()
        work = list(self._open_work(rows))
        self._update_watches(work, lease)
        await self._send_effects(work, lease)
        due_by_pool: dict[str, list[DueStep]] = defaultdict(list)
        for due_step in await self._due_steps(work, lease):
            due_by_pool[due_step.item.row.host.pool].append(due_step)
        for pool in sorted(due_by_pool):
            await self._take_steps(pool, due_by_pool[pool], lease)

    def _open_work(self, rows: Iterable[Row]) -> Iterable[OpenWork]:
        for row in rows:
            intent = load_intent(row.value)
            host_row = self.view.row_by_host_id.get(intent.host_id)
            is_open = intent.state == "open" and intent.action in host_actions
            if host_row is not None and is_open:
                yield OpenWork(intent, row.version, host_row)

    def _update_watches(self, work: list[OpenWork], lease: Lease) -> None:
        watched = self._watch_by_host_id
        self._watch_by_host_id = {}
        for item in work:
            host_id = item.intent.host_id
            key = (item.intent.intent_id, item.row.host.state.value)
            watch = watched.get(host_id)
            if watch is None or watch.key != key:
                watch = HostWatch(key, lease.clock())
            self._watch_by_host_id[host_id] = watch

    async def _send_effects(self, work: list[OpenWork], lease: Lease) -> None:
        for item in work:
            effect = EFFECT_BY_STATE.get(item.row.host.state)
            watch = self._watch_by_host_id[item.intent.host_id]
            if effect is None or watch.commanded:
                continue
            effect_id = f"{item.intent.intent_id}/{effect}"
            command = HostCommand(effect_id, item.intent.host_id, effect)
            try:
                await lease.command_host(command)
            except (NotFound, Refused) as error:
                self._log_command(command, error.code)
                continue
            watch.commanded = True
            self._log_command(command, "accepted")

    def _log_command(self, command: HostCommand, result: str) -> None:
        host_id, action = command.host_id, command.action
        event(logger, "host-command", host=host_id, action=action, result=result)

    async def _due_steps(self, work: list[OpenWork], lease: Lease) -> list[DueStep]:
        """Return the steps that are due.

        Tasks that still run on a host count as in flight, so that its drain does not
        end before they do.
        """
        steps = [(item, self._next_step(item, lease)) for item in work]
        emptied = {
            item.intent.host_id
            for item, step in steps
            if step is not None and step.event == "empty"
        }
        running = await self.tasks.count(emptied)
        due = []
        for item, step in steps:
            tasks = running.get(item.intent.host_id, 0)
            if tasks:
                step = self._next_step(item, lease, tasks)
            if step is not None:
                due.append(DueStep(item, step))
        return due

    def _next_step(
        self, item: OpenWork, lease: Lease, tasks: int = 0
    ) -> HostTransition | None:
        host = item.row.host
        watch = self._watch_by_host_id[host.host_id]
        if not watch.commanded and host.state in EFFECT_BY_STATE:
            self._record_wait(item, uncommanded(host.state))
            return None
        observation = self.observe(host)
        if tasks:
            observation = attrs.evolve(
                observation, in_flight=(observation.in_flight or 0) + tasks
            )
        watch.was_unready = watch.was_unready or observation.ready is False
        progress = Progress(
            host=host,
            intent=item.intent,
            observation=observation,
            elapsed_s=lease.clock() - watch.since_s,
            was_unready=watch.was_unready,
            bounds=self.bounds,
        )
        step = host_actions.get(item.intent.action)(progress)
        if step is None:
            self._record_wait(item, wait_reason(progress), observation)
        return step

    def _record_wait(
        self, item: OpenWork, reason: str, observation: Observation = NO_OBSERVATION
    ) -> None:
        self.recorder.record(
            "host",
            item.intent.host_id,
            "waits",
            reason,
            action=item.intent.action,
            state=item.row.host.state.value,
            in_flight=observation.in_flight,
            ready=observation.ready,
        )

    async def _take_steps(self, pool: str, due: list[DueStep], lease: Lease) -> None:
        rows = await read_pool_rows(self.platform, pool)
        await self.view.refresh()
        due = [due_step for due_step in due if self._is_current(due_step.item)]
        if not due:
            return
        transaction = TransactionBuilder()
        due = [
            DueStep(item, await self._confirm_move(step, item, rows, transaction))
            for item, step in due
        ]
        transaction.add(step_update(rows, self.view.head, due, self.wall_clock()))
        if not await lease.commit(transaction):
            event(logger, "steps-conflict", pool=pool, hosts=len(due))
            self.view.doubt(item.intent.host_id for item, _ in due)
            for item, _ in due:
                self._record_wait(item, "another writer changed the rows")
            return
        for item, step in due:
            self._log_step(item, step)
            self._count_step(item, step)

    def _is_current(self, item: OpenWork) -> bool:
        row = self.view.row_by_host_id.get(item.intent.host_id)
        return row is not None and row.version == item.row.version

    async def _confirm_move(
        self,
        step: HostTransition,
        item: OpenWork,
        rows: PoolRows,
        transaction: TransactionBuilder,
    ) -> HostTransition:
        """Return the step, or a restore step if the move is no longer allowed.

        A move needs the target pool to have its owner still, and the host's pool to be
        able to spare it. Both entries become preconditions of the transaction.
        """
        if not step.pool:
            return step
        target = await read_pool_rows(self.platform, step.pool)
        members = self.view.of_pool(rows.name)
        if not is_same_target(item.intent, target):
            return HostTransition(
                "restore", reason="the pool to move to no longer wants it"
            )
        if not can_leave(rows, members, item.row.host):
            return HostTransition("restore", reason="its pool can't do without it")
        transaction.add(target.entry_update())
        transaction.add(rows.entry_update())
        return step

    def _count_step(self, item: OpenWork, step: HostTransition) -> None:
        if step.pool:
            self.counters.moves_by_pool[step.pool] += 1
        if step.event == "quarantine":
            self.counters.quarantines_by_pool[item.row.host.pool] += 1

    def _log_step(self, item: OpenWork, step: HostTransition) -> None:
        self.recorder.record(
            "host",
            item.intent.host_id,
            step.event,
            step.reason,
            action=item.intent.action,
            pool=step.pool or item.row.host.pool,
            intent=item.intent.intent_id,
        )
        event(
            logger,
            "host-step",
            host=item.intent.host_id,
            action=item.intent.action,
            step=step.event,
            pool=step.pool or item.row.host.pool,
            intent=item.intent.intent_id,
        )
