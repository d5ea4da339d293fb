"""A stand-in for the platform, served over HTTP, with fault switches."""

import logging
from typing import Any

import attrs
import cattrs
import trio

from rhubarbmount import log
from rhubarbmount.http import HttpLimits, HttpRequest, HttpResponse
from rhubarbmount.listener import Listener
from rhubarbmount.problem import json_response, problem
from rhubarbmount.router import ApiRequest, Router
from rhubarbmount.standins.representation import represent
from rhubarbmount.standins.seed import Seed, write_seed
from rhubarbmount.standins.workers import WorkerFaults, Workers
from rhubarbmount.store.http import OBJECT_LIMIT_BYTES
from rhubarbmount.store.interface import (
    HostCommand,
    LiveHost,
    TaskCommand,
    Transaction,
)
from rhubarbmount.store.memory import MemoryPlatform

__all__ = ["PlatformFaults", "PlatformStandin"]

logger = logging.getLogger(__name__)
_converter = cattrs.Converter()


@attrs.define
class PlatformFaults(WorkerFaults):
    """What the stand-in does wrong; each switch stays until it is set again.

    ``lost_answers`` is the number of coming writes that take effect and whose answer
    is lost. ``lost_hosts`` are missing from the list of live hosts, and
    ``leaving_hosts`` are shown as leaving there.
    """

    down: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    host_list_lag_s: float = 0.0
    reboot_s: float = 0.5
    refuses_task_commands: bool = False
    lost_hosts: list[str] = attrs.field(factory=list)
    leaving_hosts: list[str] = attrs.field(factory=list)


@attrs.define(eq=False)
class PlatformStandin:
    """Tables, objects and hosts in memory, behind HTTP."""

    memory: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    faults: PlatformFaults = attrs.field(factory=PlatformFaults)
    call_count: int = 0
    workers: Workers = attrs.field(init=False)
    _nursery: trio.Nursery | None = None
    _listed: list[LiveHost] = attrs.field(factory=list)
    _router: Router = attrs.field(factory=Router)

    def __attrs_post_init__(self) -> None:
        self.memory.on_host_command = self._start_host_command
        self.workers = Workers(self.memory, lambda: self.faults)
        self.memory.on_task_command = self.workers.take_command
        routes: tuple[tuple[str, str, Any], ...] = (
            ("GET", "/tables/*/rows/*", self._read),
            ("GET", "/tables/*", self._scan),
            ("POST", "/transactions", self._transact),
            ("PUT", "/objects/*", self._put_object),
            ("GET", "/objects/*", self._get_object),
            ("GET", "/hosts", self._live_hosts),
            ("POST", "/host-commands", self._command_host),
            ("POST", "/task-commands", self._command_task),
        )
        for method, path, handler in routes:
            self._router.add(method, path, handler)

    async def load(self, seed: Seed) -> None:
        """Write the rows of a seed, and list its hosts as live."""
        await write_seed(self.memory, seed)
        self.memory.hosts = [LiveHost(host.host_id) for host in seed.hosts]
        self._listed = list(self.memory.hosts)

    async def run(
        self, address: str, port: int, task_status: Any = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled."""
        limits = HttpLimits(body_bytes=OBJECT_LIMIT_BYTES)
        listener = Listener("platform", self.handle, limits)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.workers.nursery = nursery
            await nursery.start(listener.run, address, port)
            task_status.started(listener.port)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call, with the faults that are switched on."""
        if request.target == "/control":
            return self._control(request)
        self.call_count += 1
        if self.faults.down:
            return problem(503, "down", "the platform is down")
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        answer = await self._router.handle(request)
        if request.method == "POST" and self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            await trio.sleep_forever()
        return represent(request, answer)

    def _control(self, request: HttpRequest) -> HttpResponse:
        if request.method == "POST":
            changes = ApiRequest(request, (), {}).json()
            try:
                self.faults = attrs.evolve(self.faults, **changes)
            except TypeError as error:
                return problem(400, "unknown-fault", str(error))
            log.event(logger, "faults", **changes)
        state = attrs.asdict(self.faults) | {
            "calls": self.call_count,
            "starts_by_job": dict(self.workers.starts_by_job),
            "most_at_once": self.workers.most_at_once,
        }
        return json_response(state)

    async def _read(self, request: ApiRequest) -> HttpResponse:
        row = await self.memory.read(request.parts[1], request.parts[3])
        if row is None:
            return problem(404, "no-row", "no such row")
        return json_response(attrs.asdict(row))

    async def _scan(self, request: ApiRequest) -> HttpResponse:
        rows = await self.memory.scan(request.parts[1], request.query.get("prefix", ""))
        return json_response([attrs.asdict(row) for row in rows])

    async def _transact(self, request: ApiRequest) -> HttpResponse:
        transaction = _converter.structure(request.json(), Transaction)
        result = await self.memory.transact(transaction)
        return json_response(attrs.asdict(result))

    async def _put_object(self, request: ApiRequest) -> HttpResponse:
        await self.memory.put_object(request.parts[1], request.request.body)
        return json_response({})

    async def _get_object(self, request: ApiRequest) -> HttpResponse:
        body = await self.memory.get_object(request.parts[1])
        if body is None:
            return problem(404, "no-object", "no such object")
        return HttpResponse(200, [(b"content-type", b"application/octet-stream")], body)

    async def _live_hosts(self, request: ApiRequest) -> HttpResponse:
        hosts = self._listed if self.faults.host_list_lag_s else self.memory.hosts
        lost = self.faults.lost_hosts
        found = [self._shown(host) for host in hosts if host.host_id not in lost]
        return json_response([attrs.asdict(host) for host in found])

    def _shown(self, host: LiveHost) -> LiveHost:
        leaving = host.leaving or host.host_id in self.faults.leaving_hosts
        return LiveHost(host.host_id, leaving)

    async def _command_host(self, request: ApiRequest) -> HttpResponse:
        command = _converter.structure(request.json(), HostCommand)
        await self.memory.command_host(command)
        return json_response({})

    async def _command_task(self, request: ApiRequest) -> HttpResponse:
        if self.faults.refuses_task_commands:
            return problem(503, "down", "task commands are not taken")
        command = _converter.structure(request.json(), TaskCommand)
        await self.memory.command_task(command)
        return json_response({})

    def _start_host_command(self, command: HostCommand) -> None:
        log.event(logger, "host-command", host=command.host_id, action=command.action)
        if self._nursery is not None:
            self._nursery.start_soon(self._run_host_command, command)

    async def _run_host_command(self, command: HostCommand) -> None:
        await self._list(command.host_id, leaving=command.action != "resume")
        if command.action in ("drain", "resume"):
            return
        await trio.sleep(self.faults.reboot_s)
        self.memory.hosts = [
            host for host in self.memory.hosts if host.host_id != command.host_id
        ]
        if command.action == "reboot":
            await trio.sleep(self.faults.reboot_s)
            await self._list(command.host_id, leaving=False)

    async def _list(self, host_id: str, leaving: bool) -> None:
        others = [host for host in self.memory.hosts if host.host_id != host_id]
        self.memory.hosts = [*others, LiveHost(host_id, leaving)]
        await trio.sleep(self.faults.host_list_lag_s)
        self._listed = list(self.memory.hosts)
