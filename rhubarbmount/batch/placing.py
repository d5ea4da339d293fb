"""Assigns waiting tasks to backend servers; performs no I/O."""

import enum
from collections.abc import Callable, Iterable, Mapping

import attrs

from rhubarbmount.batch.end_trials import TrialStep, order_for_trials
from rhubarbmount.batch.model import Assignment, Job, JobState, Queue, Step, Task
from rhubarbmount.batch.objective import LatestStart, latest_start
from rhubarbmount.batch.open_servers import OpenServers, group_by_pool
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.shard_jobs import StepKey
from rhubarbmount.registry import Registry

__all__ = ["Placer", "Shortage", "Urgency", "placement_filters", "urgency_of"]

# Estimates are rough; a job slightly past its latest start may still be on time. It
# must not take the place of one that is not past it, which would be late in its turn.
ESTIMATE_TOLERANCE_S = 0.3
EXPIRING_WINDOW_S = 0.5
# How long a task that has to run alone waits for a server without other tasks.
OWN_SERVER_WAIT_S = 2.5
# How long it waits before that, at most, for a time at which no servers are lost.
CALM_WAIT_S = 10.0

PlacementFilter = Callable[[ServerUsage, Step, Task], bool]
placement_filters: Registry[PlacementFilter] = Registry("placement rule")


@placement_filters.register("room")
def _has_capacity(usage: ServerUsage, step: Step, task: Task) -> bool:
    return usage.fits(step)


@placement_filters.register("label")
def _accepts_label(usage: ServerUsage, step: Step, task: Task) -> bool:
    return usage.has_label(step)


@placement_filters.register("spread")
def _is_below_max_per_server(usage: ServerUsage, step: Step, task: Task) -> bool:
    return usage.is_below_max_per_server(step, task.id)


@placement_filters.register("another-server")
def _avoids_failed_server(usage: ServerUsage, step: Step, task: Task) -> bool:
    return task.failed_on != usage.server.id


@placement_filters.register("suspects-apart")
def _keeps_suspects_apart(usage: ServerUsage, step: Step, task: Task) -> bool:
    """Return whether a task may crash the server without harm to others.

    One that has waited long for a server of its own may share it with tasks that are
    not suspected of anything.
    """
    if not usage.suspect_ids and not task.is_suspect:
        return True
    if usage.has_only(task.id[:3]) and (step.is_gang or usage.is_idle):
        return True
    return not usage.suspect_ids and task.may_share_server


class Urgency(enum.IntEnum):
    """Order in which waiting tasks of the same priority are placed."""

    # Late, and about to expire.
    EXPIRING = 1
    ON_TIME = 2
    # On time only if it takes no longer, or less, than expected.
    DOUBTFUL = 3
    LATE = 4
    EXPIRED = 5


def urgency_of(
    latest_start_times: LatestStart, now_s: float, has_begun: bool = False
) -> Urgency:
    """Return the urgency of the rest of a job, given its latest start times."""
    reserve_s = 0.0 if has_begun else latest_start_times.reserve_s
    if now_s <= latest_start_times.on_time_s - reserve_s:
        return Urgency.ON_TIME
    if now_s <= latest_start_times.on_time_s + ESTIMATE_TOLERANCE_S:
        return Urgency.DOUBTFUL
    if now_s > latest_start_times.useful_s + ESTIMATE_TOLERANCE_S:
        return Urgency.EXPIRED
    if now_s >= latest_start_times.useful_s - EXPIRING_WINDOW_S:
        return Urgency.EXPIRING
    return Urgency.LATE


@attrs.define
class Shortage:
    """Capacity that a pool lacked for the tasks that still wait."""

    cpu_millicores: int = 0
    servers: int = 0
    tasks: int = 0
    # Estimated work of these tasks; those without an estimate, as long-running
    # ones, count as 1 s.
    work_core_s: float = 0.0

    def add(self, step: Step, count: int, run_time_s: float) -> None:
        """Add tasks of a step that wait."""
        cpu = 0 if step.fills else step.cpu_millicores
        if step.max_per_server:
            self.servers = max(self.servers, -(-count // step.max_per_server))
        self.cpu_millicores += cpu * count
        self.tasks += count
        self.work_core_s += cpu / 1000 * count * (run_time_s or 1.0)


@attrs.define(eq=False)
class Placer:
    """Assigns waiting tasks in order of urgency to the fullest server that fits.

    Packing tasks onto few servers leaves others idle, so that their hosts can be
    released.
    """

    shard: Shard
    tickets: Mapping[StepKey, Mapping[str, str]] = attrs.field(factory=dict)
    shortage_by_pool: dict[str, Shortage] = attrs.field(factory=dict)
    # Tasks that the last pass assigned after the latest start of their step.
    late_starts: int = 0
    _filters: list[PlacementFilter] = attrs.field(init=False)
    _latest_start_by_step: dict[StepKey, tuple[Queue | None, LatestStart]] = (
        attrs.field(factory=dict)
    )

    def __attrs_post_init__(self) -> None:
        self._filters = [placement_filters.get(name) for name in placement_filters]

    def place(self, now_s: float) -> list[Assignment]:
        """Assign the tasks that fit and record what each pool lacks."""
        self.shortage_by_pool = {}
        self.late_starts = 0
        servers_by_pool = group_by_pool(
            usage
            for usage in self.shard.usage_by_server_id.values()
            if usage.is_open(now_s) and self.shard.knows_capacity(usage, now_s)
        )
        step_keys = self._steps_by_urgency()
        assignments = self._place_trials(step_keys, servers_by_pool, now_s)
        self._note_gang_trials(step_keys, servers_by_pool, now_s)
        held_by_pool: dict[str, ServerUsage] = {}
        emptying_pools: set[str] = set()
        for step_key in step_keys:
            if step_key not in self.shard.waiting_by_step:
                continue
            job = self.shard.job_by_id[step_key[0]]
            pool = self.shard.pool_of(job.spec)
            servers = servers_by_pool.get(pool)
            if servers is None:
                servers = servers_by_pool[pool] = OpenServers()
            if pool in held_by_pool and not job.spec.steps[step_key[2]].is_long_running:
                servers.usages.remove(held_by_pool.pop(pool))
            placed = self._place_step(job, step_key, servers, now_s)
            assignments.extend(placed)
            if placed and self._is_late(step_key):
                self.late_starts += len(placed)
            if step_key not in self.shard.waiting_by_step:
                continue
            self._note_shortage(pool, job, step_key)
            if self._has_suspects(step_key):
                if pool not in emptying_pools:
                    emptying_pools.add(pool)
                    self._hold_server_to_empty(job, step_key, servers)
                continue
            held = self._server_to_hold(job, step_key, servers)
            if held is not None:
                held_by_pool.setdefault(pool, held)
        # What has found no other server is worth a risk.
        assignments.extend(
            self._place_trials(step_keys, servers_by_pool, now_s, are_safe=False)
        )
        return assignments

    def _place_trials(
        self,
        step_keys: list[StepKey],
        servers_by_pool: Mapping[str, OpenServers],
        now_s: float,
        are_safe: bool = True,
    ) -> list[Assignment]:
        """Assign a task to each server that has to show whether it lists ends."""
        assignments: list[Assignment] = []
        for pool, servers in servers_by_pool.items():
            steps = self._trial_steps(step_keys, pool) if servers.doubtful else []
            may_rest = _has_other_server(servers, steps)
            untried = [
                usage
                for usage in servers.doubtful
                if usage.needs_trial(now_s, may_rest)
            ]
            for item in order_for_trials(steps, are_safe):
                assignments.extend(self._try_step(item, untried, now_s))
        return assignments

    def _note_gang_trials(
        self,
        step_keys: list[StepKey],
        servers_by_pool: Mapping[str, OpenServers],
        now_s: float,
    ) -> None:
        """Let gangs show whether servers list ends for which they have waited."""
        for pool, servers in servers_by_pool.items():
            untried = [usage for usage in servers.doubtful if usage.needs_trial(now_s)]
            steps = self._trial_steps(step_keys, pool) if untried else []
            if any(item.step.is_gang for item in steps):
                servers.gang_trial_ids |= {
                    usage.server.id
                    for usage in untried
                    if usage.ends.may_try_gang(now_s)
                }

    def _trial_steps(self, step_keys: list[StepKey], pool: str) -> list[TrialStep]:
        """Return the steps of a pool that have waiting tasks."""
        steps = []
        for rank, key in enumerate(step_keys):
            spec = self.shard.job_by_id[key[0]].spec
            is_waiting = key in self.shard.waiting_by_step
            if is_waiting and self.shard.pool_of(spec) == pool:
                expected_s = self.shard.expected_run_time(spec, key[2]).expected_s
                has_suspects = self._has_suspects(key)
                step = spec.steps[key[2]]
                steps.append(TrialStep(key, step, expected_s, rank, has_suspects))
        return steps

    def _try_step(
        self, item: TrialStep, untried: list[ServerUsage], now_s: float
    ) -> list[Assignment]:
        """Assign tasks of a step to each server that they suit; remove these."""
        job = self.shard.job_by_id[item.key[0]]
        fitting = [usage for usage in untried if usage.fits(item.step)]
        tasks = self._trial_tasks(job, item) if fitting else []
        assignments = []
        for usage in self._eligible(fitting, job, item.key):
            placed = self._try_tasks(tasks, item.step, usage, now_s)
            assignments.extend(placed)
            if placed:
                untried.remove(usage)
        return assignments

    def _try_tasks(
        self, tasks: list[Task], step: Step, usage: ServerUsage, now_s: float
    ) -> list[Assignment]:
        """Assign as many tasks to a server as may be tried at once; remove these."""
        assignments: list[Assignment] = []
        for task in list(tasks):
            if len(assignments) == usage.ends.trials_at_once:
                break
            if self._accepts(usage, step, task):
                self.shard.assign(task, usage, now_s)
                tasks.remove(task)
                assignments.append(Assignment(task.id, task.run, usage.server.id))
        return assignments

    def _accepts(self, usage: ServerUsage, step: Step, task: Task) -> bool:
        """Return whether every placement rule accepts a server for a task."""
        return all(accepts(usage, step, task) for accepts in self._filters)

    def _trial_tasks(self, job: Job, item: TrialStep) -> list[Task]:
        """Return the tasks of a step that may be tried, those that begin anew first.

        Of a task with a checkpoint little may be left.
        """
        tasks = list(self.shard.waiting_by_step.get(item.key, {}).values())
        if item.has_suspects:
            tasks = self._with_one_suspect(job, tasks)
        return sorted(tasks, key=lambda task: bool(task.checkpoint))

    def _has_suspects(self, step_key: StepKey) -> bool:
        """Return whether tasks of a step wait that have to run alone."""
        if step_key not in self.shard.steps_with_losses:
            return False
        waiting = self.shard.waiting_by_step[step_key]
        return any(task.is_suspect for task in waiting.values())

    def _with_one_suspect(self, job: Job, tasks: list[Task]) -> list[Task]:
        """Return the tasks that may be placed now: of a job's suspects one at a time.

        If one of them crashes servers, the others needn't.
        """
        is_one_on_trial = any(map(self.shard.is_on_trial, job.tasks()))
        suspects = (
            [] if is_one_on_trial else [task for task in tasks if task.is_suspect]
        )
        return suspects[:1] + [task for task in tasks if not task.is_suspect]

    def _without_held_back(self, tasks: list[Task], now_s: float) -> list[Task]:
        """Return the tasks without those that wait until no servers are lost."""
        if self.shard.losses.is_calm(now_s):
            return tasks
        placeable = []
        for task in tasks:
            if _needs_calm(task):
                task.wants_calm_since_s = task.wants_calm_since_s or now_s
                if now_s < task.wants_calm_since_s + CALM_WAIT_S:
                    continue
            placeable.append(task)
        return placeable

    def _hold_server_to_empty(
        self, job: Job, step_key: StepKey, servers: OpenServers
    ) -> None:
        """Keep other tasks from the server that a suspect can soon have to itself."""
        step = job.spec.steps[step_key[2]]
        candidates = [
            usage
            for usage in self._eligible(servers.usages, job, step_key)
            if usage.will_take(step)
            and not usage.has_long_running
            and not usage.suspect_ids
            and usage.fits_among_long_running(step)
            and usage.has_label(step)
        ]
        held = min(
            candidates,
            key=lambda usage: (len(usage.task_by_id), usage.server.id),
            default=None,
        )
        if held is not None:
            servers.usages.remove(held)

    def _server_to_hold(
        self, job: Job, step_key: StepKey, servers: OpenServers
    ) -> ServerUsage | None:
        """Return the server that has room for a long-running task soonest.

        Short tasks are kept from it, as they would take each piece that becomes free.
        """
        step = job.spec.steps[step_key[2]]
        if not step.is_long_running or step.is_gang or step.needs_one_rack:
            return None
        task = next(iter(self.shard.waiting_by_step[step_key].values()))
        candidates = [
            usage
            for usage in self._eligible(servers.usages, job, step_key)
            if usage.accepts(step, task.id)
        ]
        return max(
            candidates,
            key=lambda usage: (
                not usage.is_due,
                usage.free_cpu_millicores,
                usage.server.id,
            ),
            default=None,
        )

    def _steps_by_urgency(self) -> list[StepKey]:
        known = self._latest_start_by_step
        self._latest_start_by_step = {
            step_key: known[step_key]
            for step_key in self.shard.waiting_by_step
            if step_key in known
        }
        return sorted(
            self.shard.waiting_by_step,
            # Suspects first, as each of them takes a server from all others.
            key=lambda key: (not self._has_suspects(key), *self._sort_key(key)),
        )

    def _sort_key(self, step_key: StepKey) -> tuple[bool, int, Urgency, float, StepKey]:
        """Return a sort key that puts long-running tasks before all others."""
        job = self.shard.job_by_id[step_key[0]]
        queue = self.shard.queue_of(job.spec)
        priority = queue.priority if queue is not None else 0
        if job.spec.steps[step_key[2]].is_long_running:
            return False, priority, Urgency.ON_TIME, 0.0, step_key
        latest_start_times = self._latest_start(step_key, job, queue)
        has_begun = job.state is JobState.ACTIVE
        urgency = urgency_of(latest_start_times, self.shard.wall_clock_s, has_begun)
        return True, priority, urgency, latest_start_times.on_time_s, step_key

    def _is_late(self, step_key: StepKey) -> bool:
        """Return whether the latest start of a step that was sorted has passed."""
        known = self._latest_start_by_step.get(step_key)
        return known is not None and self.shard.wall_clock_s > known[1].on_time_s

    def _latest_start(
        self, step_key: StepKey, job: Job, queue: Queue | None
    ) -> LatestStart:
        """Return the latest start times, kept as long as the queue is the same."""
        known = self._latest_start_by_step.get(step_key)
        if known is None or known[0] is not queue:
            run_times_s = self.shard.expected_run_times_s(job.spec)
            known = (
                queue,
                latest_start(
                    job.spec,
                    queue,
                    step_key[2],
                    run_times_s,
                    self.shard.dispatch_delay.expected_s,
                ),
            )
            self._latest_start_by_step[step_key] = known
        return known[1]

    def _eligible(
        self, usages: list[ServerUsage], job: Job, step_key: StepKey
    ) -> list[ServerUsage]:
        queue = self.shard.queue_of(job.spec)
        if queue is None or not queue.has_advice:
            return usages
        granted = self.tickets.get(step_key, {})
        return [usage for usage in usages if usage.server.id in granted]

    def _place_step(
        self, job: Job, step_key: StepKey, servers: OpenServers, now_s: float
    ) -> list[Assignment]:
        step = job.spec.steps[step_key[2]]
        waiting = self.shard.waiting_by_step[step_key]
        if step.is_gang and len(waiting) < step.count:
            return []
        candidates = self._eligible(servers.with_capacity(step), job, step_key)
        if step.needs_one_rack:
            candidates = _on_best_rack(candidates, step)
        if not candidates:
            _allow_failed_servers(waiting.values())
            return []
        tasks = list(waiting.values())
        if self._has_suspects(step_key) and not step.is_gang:
            tasks = self._without_held_back(self._with_one_suspect(job, tasks), now_s)
        candidates.sort(key=lambda usage: _preference_key(usage, step))
        assignments = [
            self._place_task(task, step, candidates, now_s) for task in tasks
        ]
        if step.is_gang:
            return self._complete_or_release_gang(tasks, assignments, now_s)
        return [assignment for assignment in assignments if assignment is not None]

    def _place_task(
        self, task: Task, step: Step, candidates: list[ServerUsage], now_s: float
    ) -> Assignment | None:
        """Assign a task to the first candidate that every placement rule accepts.

        A candidate without capacity for the next task of the step is removed.
        """
        task.may_share_server = (
            0.0 < task.wants_own_server_since_s <= now_s - OWN_SERVER_WAIT_S
        )
        is_apart = task.losses and not step.is_gang
        for usage in _apart_from_losses(candidates) if is_apart else candidates:
            if self._accepts(usage, step, task):
                self.shard.assign(task, usage, now_s)
                if not usage.fits(step):
                    candidates.remove(usage)
                return Assignment(task.id, task.run, usage.server.id)
        if task.failed_on:
            task.failed_on = ""
        if task.is_suspect and not task.wants_own_server_since_s:
            task.wants_own_server_since_s = now_s
        return None

    def _complete_or_release_gang(
        self, tasks: list[Task], assignments: list[Assignment | None], now_s: float
    ) -> list[Assignment]:
        if None in assignments:
            for task, assignment in zip(tasks, assignments, strict=True):
                if assignment is not None:
                    self.shard.release(task, now_s)
            return []
        run = max(task.run for task in tasks)
        checkpoint = max(task.checkpoint for task in tasks)
        for task in tasks:
            task.run = run
            task.checkpoint = checkpoint
        return [Assignment(task.id, run, task.server_id) for task in tasks]

    def _lacks_server(self, pool: str, step: Step) -> bool:
        """Return whether only another server can run a task that waits.

        Long-running tasks do not end, so that processor time which they leave in pieces
        never does the work of another one. An idle server shows that more do not help.
        """
        if not step.is_long_running and not step.fills:
            return False
        return not any(
            not step.is_long_running
            or usage.is_idle
            or usage.fits_among_long_running(step)
            for usage in self.shard.usage_by_server_id.values()
            if usage.server.service == pool and usage.stays and usage.will_take(step)
        )

    def _note_shortage(self, pool: str, job: Job, step_key: StepKey) -> None:
        step = job.spec.steps[step_key[2]]
        run_time_s = self.shard.expected_run_time(job.spec, step_key[2]).expected_s
        shortage = self.shortage_by_pool.get(pool)
        if shortage is None:
            shortage = self.shortage_by_pool[pool] = Shortage()
        shortage.add(step, len(self.shard.waiting_by_step[step_key]), run_time_s)
        if self._has_suspects(step_key) or (
            not step.max_per_server and self._lacks_server(pool, step)
        ):
            shortage.servers = max(shortage.servers, 1)


def _has_other_server(servers: OpenServers, steps: list[TrialStep]) -> bool:
    """Return whether a server that lists ends can run each step with waiting tasks."""
    certain = [usage for usage in servers.usages if usage.ends.are_certain]
    return all(
        any(usage.fits_among_long_running(item.step) for usage in certain)
        for item in steps
    )


def _apart_from_losses(usages: list[ServerUsage]) -> list[ServerUsage]:
    """Return the servers with the fewest tasks that have lost servers first.

    Tasks that lost a server together would otherwise lose the next one together too.
    """
    return sorted(usages, key=lambda usage: len(usage.ids_with_losses))


def _needs_calm(task: Task) -> bool:
    """Return whether a task's last server was lost together with others.

    Its next loss would tell nothing either while servers go on being lost.
    """
    return task.is_suspect and task.losses[-1].was_widespread


def _allow_failed_servers(tasks: Iterable[Task]) -> None:
    """Let tasks that found no server go to the one where they failed, next time."""
    for task in tasks:
        if task.failed_on:
            task.failed_on = ""


def _preference_key(
    usage: ServerUsage, step: Step
) -> tuple[bool, bool, bool, bool, int, str]:
    """Return a sort key for servers; the smallest is preferred."""
    is_remote_from_data = bool(step.data_rack) and step.data_rack != usage.server.rack
    interferes = (step.fills and usage.has_goal) or (
        bool(step.goal_ms) and usage.has_fills
    )
    return (
        is_remote_from_data,
        step.is_long_running and usage.is_due,
        interferes,
        not usage.has_long_running,
        usage.free_cpu_millicores,
        usage.server.id,
    )


def _on_best_rack(usages: list[ServerUsage], step: Step) -> list[ServerUsage]:
    """Return the servers on the rack that takes most tasks of a step.

    Each of ``usages`` has capacity for one. Among equals it is the rack where they have
    the most free processor time.
    """
    best_rack, best = None, (0, 0, "")
    for rack in {usage.server.rack for usage in usages}:
        on_rack = [usage for usage in usages if usage.server.rack == rack]
        accepting = [usage for usage in on_rack if usage.has_label(step)]
        places = min(step.count, sum(usage.places_for(step) for usage in accepting))
        free = sum(usage.free_cpu_millicores for usage in accepting)
        if (places, free, rack) > best:
            best_rack, best = rack, (places, free, rack)
    return [usage for usage in usages if usage.server.rack == best_rack]
