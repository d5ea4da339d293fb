"""Which backend server each waiting task goes to; free of I/O."""

import enum
from collections.abc import Callable, Mapping

import attrs

from rhubarbmount.batch.model import Assignment, Job, Step, Task
from rhubarbmount.batch.objective import LatestBegin, latest_begin
from rhubarbmount.batch.rooms import ServerRoom
from rhubarbmount.batch.shard import Shard, StepKey
from rhubarbmount.registry import Registry

__all__ = ["Placer", "Shortage", "Urgency", "placement_rules", "urgency_of"]

# Estimates are rough; a job that is a little behind may still be in time.
ESTIMATE_TOLERANCE_S = 0.3
LAST_CHANCE_S = 0.5

PlacementRule = Callable[[ServerRoom, Step, Task], bool]
placement_rules: Registry[PlacementRule] = Registry("placement rule")


@placement_rules.register("room")
def _has_room(room: ServerRoom, step: Step, task: Task) -> bool:
    return room.fits(step)


@placement_rules.register("label")
def _has_label(room: ServerRoom, step: Step, task: Task) -> bool:
    return not step.label or step.label in room.server.labels


@placement_rules.register("spread")
def _is_spread(room: ServerRoom, step: Step, task: Task) -> bool:
    return not step.max_per_server or room.count_of(task.id) < step.max_per_server


@placement_rules.register("another-server")
def _is_another_server(room: ServerRoom, step: Step, task: Task) -> bool:
    return task.failed_on != room.server.id


class Urgency(enum.IntEnum):
    """In which order waiting tasks of one priority get room."""

    # Late, and soon of no use any more.
    LAST_CHANCE = 1
    IN_TIME = 2
    LATE = 3
    TOO_LATE = 4


def urgency_of(latest: LatestBegin, now_s: float) -> Urgency:
    """Return how urgent the rest of a job is that must begin at certain times."""
    if now_s <= latest.in_time_s + ESTIMATE_TOLERANCE_S:
        return Urgency.IN_TIME
    if now_s > latest.of_use_s + ESTIMATE_TOLERANCE_S:
        return Urgency.TOO_LATE
    if now_s >= latest.of_use_s - LAST_CHANCE_S:
        return Urgency.LAST_CHANCE
    return Urgency.LATE


@attrs.frozen
class Shortage:
    """What a pool lacked for the tasks that still wait."""

    cpu_millicores: int = 0
    servers: int = 0
    tasks: int = 0
    # Estimated work of these tasks; long-running ones count as a second.
    work_core_s: float = 0.0


@attrs.define(eq=False)
class Placer:
    """Assigns waiting tasks in order of urgency, to the fullest server that fits.

    Full servers first leaves others idle, so that they can be given back.
    """

    shard: Shard
    tickets: Mapping[StepKey, Mapping[str, str]] = attrs.field(factory=dict)
    shortage_by_pool: dict[str, Shortage] = attrs.field(factory=dict)

    def place(self, now_s: float) -> list[Assignment]:
        """Assign what has room; note what each pool lacks."""
        self.shortage_by_pool = {}
        rooms_by_pool = self._open_rooms(now_s)
        made: list[Assignment] = []
        for key in self._ordered_steps():
            job = self.shard.job_by_id[key[0]]
            pool = self.shard.pool_of(job.spec)
            rooms = self._eligible(rooms_by_pool.get(pool, ()), job, key)
            made.extend(self._place_step(job, key, rooms, now_s))
            if key in self.shard.waiting_by_step:
                self._note_shortage(pool, job.spec.steps[key[2]], key)
        return made

    def _open_rooms(self, now_s: float) -> dict[str, list[ServerRoom]]:
        rooms_by_pool: dict[str, list[ServerRoom]] = {}
        for room in self.shard.room_by_server.values():
            if room.is_open(now_s):
                rooms_by_pool.setdefault(room.server.service, []).append(room)
        return rooms_by_pool

    def _ordered_steps(self) -> list[StepKey]:
        return sorted(self.shard.waiting_by_step, key=self._urgency)

    def _urgency(self, key: StepKey) -> tuple[bool, int, Urgency, float, StepKey]:
        """Return what goes first, least first: long-running tasks before all others."""
        job = self.shard.job_by_id[key[0]]
        queue = self.shard.queue_of(job.spec)
        priority = queue.priority if queue is not None else 0
        if job.spec.steps[key[2]].is_long_running:
            return False, priority, Urgency.IN_TIME, 0.0, key
        latest = latest_begin(job.spec, queue, key[2])
        urgency = urgency_of(latest, self.shard.day_s)
        return True, priority, urgency, latest.in_time_s, key

    def _eligible(
        self, rooms: "list[ServerRoom] | tuple[()]", job: Job, key: StepKey
    ) -> list[ServerRoom]:
        queue = self.shard.queue_of(job.spec)
        if queue is not None and queue.has_advice:
            granted = self.tickets.get(key, {})
            return [room for room in rooms if room.server.id in granted]
        return list(rooms)

    def _place_step(
        self, job: Job, key: StepKey, rooms: list[ServerRoom], now_s: float
    ) -> list[Assignment]:
        step = job.spec.steps[key[2]]
        tasks = list(self.shard.waiting_by_step[key].values())
        if step.is_gang and len(tasks) < step.count:
            return []
        if step.needs_one_rack:
            rooms = _roomiest_rack(rooms)
        rooms.sort(key=lambda room: _preference(room, step))
        made = [self._place_task(task, step, rooms, now_s) for task in tasks]
        if step.is_gang:
            return self._keep_whole_gang(tasks, made, now_s)
        return [assignment for assignment in made if assignment is not None]

    def _place_task(
        self, task: Task, step: Step, rooms: list[ServerRoom], now_s: float
    ) -> Assignment | None:
        rules = [placement_rules.get(name) for name in placement_rules]
        for room in rooms:
            if all(rule(room, step, task) for rule in rules):
                self.shard.assign(task, room, now_s)
                return Assignment(task.id, task.run, room.server.id)
        if task.failed_on:
            task.failed_on = ""
        return None

    def _keep_whole_gang(
        self, tasks: list[Task], made: list[Assignment | None], now_s: float
    ) -> list[Assignment]:
        if None in made:
            for task, assignment in zip(tasks, made, strict=True):
                if assignment is not None:
                    self.shard.release(task, now_s)
            return []
        run = max(task.run for task in tasks)
        checkpoint = max(task.checkpoint for task in tasks)
        for task in tasks:
            task.run = run
            task.checkpoint = checkpoint
        return [Assignment(task.id, run, task.server_id) for task in tasks]

    def _note_shortage(self, pool: str, step: Step, key: StepKey) -> None:
        count = len(self.shard.waiting_by_step[key])
        had = self.shortage_by_pool.get(pool, Shortage())
        cpu = 0 if step.fills else step.cpu_millicores
        spread = -(-count // step.max_per_server) if step.max_per_server else 0
        self.shortage_by_pool[pool] = Shortage(
            had.cpu_millicores + cpu * count,
            max(had.servers, spread),
            had.tasks + count,
            had.work_core_s + cpu / 1000 * count * (step.estimate_s or 1.0),
        )


def _preference(
    room: ServerRoom, step: Step
) -> tuple[bool, bool, bool, bool, int, str]:
    """Return what is better, least first."""
    is_far = bool(step.data_rack) and step.data_rack != room.server.rack
    disturbs = (step.fills and room.has_goal) or (bool(step.goal_ms) and room.has_fills)
    return (
        is_far,
        step.is_long_running and room.is_due,
        disturbs,
        not room.has_long_running,
        room.free_cpu_millicores,
        room.server.id,
    )


def _roomiest_rack(rooms: list[ServerRoom]) -> list[ServerRoom]:
    free_by_rack: dict[str, int] = {}
    for room in rooms:
        free = free_by_rack.get(room.server.rack, 0) + room.free_cpu_millicores
        free_by_rack[room.server.rack] = free
    if not free_by_rack:
        return []
    best = max(free_by_rack, key=lambda rack: (free_by_rack[rack], rack))
    return [room for room in rooms if room.server.rack == best]
