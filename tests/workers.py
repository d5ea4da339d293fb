"""Workers behind the embedded platform: they run tasks under leases, and fail."""

import attrs

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.hosts import Host
from rhubarbmount.jobs import load_task
from rhubarbmount.resources import NO_RESOURCES, resources_needed, resources_offered
from rhubarbmount.store.interface import LiveHost, Row, TaskCommand
from rhubarbmount.store.memory import MemoryPlatform


@attrs.define
class RunningTask:
    task_id: str
    host_id: str
    lease_s: float
    lease_until_s: float


@attrs.define
class Workers:
    """Run what the platform is told to, and check at each start what must hold."""

    platform: MemoryPlatform
    host_by_id: dict[str, Host]
    list_lag_s: float = 5.0
    now_s: float = 1000.0
    running_by_id: dict[str, RunningTask] = attrs.field(factory=dict)
    cut_hosts: set[str] = attrs.field(factory=set)
    failing_hosts: set[str] = attrs.field(factory=set)
    starts: list[str] = attrs.field(factory=list)
    faults: list[str] = attrs.field(factory=list)
    _cuts: list[tuple[float, frozenset[str]]] = attrs.field(factory=list)
    _withheld: dict[str, dict] = attrs.field(factory=dict)
    _undelivered: list[tuple[float, TaskCommand]] = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.platform.on_task_command = self.take_command
        self.list_hosts()

    def clock(self):
        return self.now_s

    def take_command(self, command: TaskCommand):
        if command.host_id in self.cut_hosts:
            self._undelivered.append((self.now_s, command))
            return
        if command.action == "start":
            self._start(command)
        elif command.task_id in self.running_by_id:
            self.end(command.task_id, f"{command.action}ped".replace("tped", "ted"))

    def end(self, task_id, outcome):
        task = self.running_by_id.pop(task_id)
        report = {"task_id": task_id, "outcome": outcome}
        if task.host_id in self.cut_hosts:
            self._withheld[task_id] = report | {"host_id": task.host_id}
        else:
            self._report(report)

    def advance(self, seconds):
        """Pass time in steps; connected workers renew their leases."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.now_s = min(self.now_s + 0.5, until_s)
            for task in list(self.running_by_id.values()):
                if task.host_id not in self.cut_hosts:
                    task.lease_until_s = self.now_s + task.lease_s
                elif self.now_s >= task.lease_until_s:
                    self.end(task.task_id, "lapsed")
            self.list_hosts()

    def cut(self, host_id):
        self.cut_hosts.add(host_id)

    def join(self, host_id):
        """Reconnect a worker; a start that is older than its lease is void."""
        self.cut_hosts.discard(host_id)
        for time_s, command in self._undelivered:
            late = self.now_s - time_s >= command.lease_s
            if command.host_id != host_id:
                continue
            if command.action == "start" and late:
                self._report({"task_id": command.task_id, "outcome": "lapsed"})
            else:
                self.take_command(command)
        self._undelivered = [c for c in self._undelivered if c[1].host_id != host_id]
        for task_id, report in list(self._withheld.items()):
            if report["host_id"] == host_id:
                del self._withheld[task_id]
                self._report({key: report[key] for key in ("task_id", "outcome")})

    def list_hosts(self):
        """Publish the list as it was a lag ago."""
        self._cuts.append((self.now_s, frozenset(self.cut_hosts)))
        while len(self._cuts) > 1 and self._cuts[1][0] <= self.now_s - self.list_lag_s:
            del self._cuts[0]
        shown = self._cuts[0][1]
        self.platform.hosts = [
            LiveHost(host_id) for host_id in self.host_by_id if host_id not in shown
        ]

    def _start(self, command):
        row = self.platform._table("tasks").get(command.task_id)
        self.starts.append(command.task_id)
        job_id = command.task_id.rpartition("/")[0]
        for other in self.running_by_id:
            if other.rpartition("/")[0] == job_id:
                self.faults.append(f"{command.task_id} starts while {other} runs")
        self.running_by_id[command.task_id] = RunningTask(
            command.task_id,
            command.host_id,
            command.lease_s,
            self.now_s + command.lease_s,
        )
        if row is None:
            self.faults.append(f"{command.task_id} starts without a row")
        if command.host_id in self.failing_hosts:
            self.end(command.task_id, "failed")
        self.check_rooms()

    def check_rooms(self):
        """Check that running tasks keep within the shape of each host."""
        used = {}
        for task in self.running_by_id.values():
            row = self.platform._table("tasks").get(task.task_id)
            if row is not None:
                amount = resources_needed(load_task(row.value).reserved)
                used[task.host_id] = used.get(task.host_id, NO_RESOURCES).plus(amount)
        for host_id, amount in used.items():
            if not amount.fits(resources_offered(self.host_by_id[host_id].shape)):
                self.faults.append(f"{host_id} holds {amount}")

    def check_quota(self, quotas):
        """Check that running tasks keep within their teams' quotas."""
        held = {}
        for task in self.running_by_id.values():
            row = self.platform._table("tasks").get(task.task_id)
            if row is not None:
                value = load_task(row.value)
                amount = resources_needed(value.reserved)
                held[value.team] = held.get(value.team, NO_RESOURCES).plus(amount)
        for team, amount in held.items():
            if not amount.fits(quotas[team]):
                self.faults.append(f"team {team} holds {amount}")

    def _report(self, values):
        key = f"ended/{values['task_id']}"
        self.platform._last_version += 1
        row = Row("task-reports", key, values, self.platform._last_version)
        self.platform._table("task-reports")[key] = row


@attrs.define
class Link:
    """One instance's connection to the platform: it fails, loses answers, stalls."""

    platform: MemoryPlatform
    down: bool = False
    commands_down: bool = False
    lose_answers: int = 0
    delays_next: bool = False
    delayed: list = attrs.field(factory=list)
    stall_at_call: int = 0
    stalled: object = None
    calls: int = 0

    async def _pass(self, method, *arguments):
        self.calls += 1
        if self.stall_at_call and self.calls == self.stall_at_call:
            await self.stalled.wait()
        if self.down:
            raise PlatformUnavailable("the platform is down")
        answer = await method(*arguments)
        if self.lose_answers and method.__name__ in ("transact", "command_task"):
            self.lose_answers -= 1
            raise OutcomeUnknown("the answer was lost")
        return answer

    async def read(self, table, key):
        return await self._pass(self.platform.read, table, key)

    async def scan(self, table, prefix=""):
        return await self._pass(self.platform.scan, table, prefix)

    async def transact(self, transaction):
        if self.delays_next and not self.down:
            self.delays_next = False
            self.delayed.append(transaction)
            raise OutcomeUnknown("the answer is late")
        return await self._pass(self.platform.transact, transaction)

    async def live_hosts(self):
        return await self._pass(self.platform.live_hosts)

    async def land(self):
        """Let delayed transactions take effect."""
        while self.delayed:
            await self.platform.transact(self.delayed.pop())

    async def command_task(self, command):
        if self.commands_down:
            raise PlatformUnavailable("commands are not taken")
        return await self._pass(self.platform.command_task, command)
