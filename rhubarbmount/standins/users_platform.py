"""Stand-in of the users' platform: store, machines and backend servers."""

import base64
import json
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import trio

from rhubarbmount.platform.json_client import JsonResponse
from rhubarbmount.standins.users_servers import StandinServer, TaskWork
from rhubarbmount.standins.users_store import StandinStore

__all__ = ["Rebirth", "StandinMachine", "UsersPlatform"]

MOVE_S = 1.5
MAINTENANCE_S = 2.0
# How long a machine is down after a task has crashed its server.
TASK_CRASH_S = 3.0
HEARTBEAT_S = 1.5


@attrs.frozen
class Rebirth:
    """How a backend server starts again under the id that it had.

    The next lifetime holds and knows nothing of the earlier one, and all of its counts
    start anew.
    """

    # Reading of the next lifetime's clock at its start.
    clock_ms: int = 1000
    # Whether the row of the earlier lifetime stays until there is one of the next.
    keeps_row: bool = False
    row_after_s: float = 0.0
    # When the row of the earlier lifetime is written again, until the next heartbeat.
    earlier_row_after_s: float | None = None
    # Capacity of the next lifetime, if it is another one.
    cpu_millicores: int | None = None
    memory_mb: int | None = None
    # Pace of the next lifetime's clock.
    clock_rate: float = 1.0


@attrs.define
class StandinMachine:
    """A machine; ``server`` is the current lifetime of its backend server, if any."""

    id: str
    pool: str
    rack: str
    cpu_millicores: int
    memory_mb: int
    state: str = "up"
    server: StandinServer | None = None
    # Address of the next lifetimes, if it is not the one that the platform gives.
    address: str = ""
    next_pool: str = ""
    maintained_for: list[int] = attrs.field(factory=list)


@attrs.define(eq=False)
class UsersPlatform:
    """Machines in pools whose backend servers register in the store.

    ``observe`` is called for each event that an operator or a caller could see: starts
    and ends of runs, crashes, moves and maintenance, and machines that are up again.
    """

    nursery: trio.Nursery
    work_of: Callable[[str], TaskWork]
    observe: Callable[..., None] = lambda *event: None
    # Returns the address of a machine's backend servers from the machine's number.
    address_of: Callable[[int], str] = "10.9.0.{}:80".format
    store: StandinStore = attrs.field(factory=StandinStore)
    machine_by_id: dict[str, StandinMachine] = attrs.field(factory=dict)
    server_by_address: dict[str, StandinServer] = attrs.field(factory=dict)
    # Addresses of servers that are cut off: calls are neither carried out nor answered.
    cut_addresses: set[str] = attrs.field(factory=set)
    # Called when the server at an address has ended.
    end_by_address: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    standby_pools: set[str] = attrs.field(factory=set)
    servers_guard_capacity: bool = True
    # How servers start again that end from now on; otherwise their ids are new.
    rebirth: Rebirth | None = None
    unix_time_s: Callable[[], float] = time.time
    machine_commands: list[tuple[float, str, str, int]] = attrs.field(factory=list)
    _lifetime_count: int = 0

    # Actions of the operator.

    def put_catalogue(self, catalogue: Mapping[str, Any]) -> None:
        """Write the row of the operator's configuration."""
        self._put("op", "config", catalogue)
        self.standby_pools = {
            service["name"]
            for service in catalogue["services"]
            if service.get("standby")
        }

    def put_wave(self, number: int, machines: list[str], limit: int, s: float) -> None:
        """Request maintenance of machines with a deadline of ``s`` seconds."""
        wave = {"wave": number, "machines": machines, "deadline_s": s, "cap": limit}
        self._put("op", f"wave/{number}", wave)

    def wave_state(self, number: int) -> str:
        """Return the state that the system reports for a wave, or an empty string."""
        value = self.store.get("status", "", f"wave/{number}")
        return json.loads(base64.b64decode(value))["state"] if value else ""

    def _put(self, table: str, key: str, value: Mapping[str, Any]) -> None:
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.store.put(table, key, text)

    # Machines and the lifetimes of their backend servers.

    def add_machine(
        self, machine_id: str, pool: str, rack: str, cpu: int = 8000, mb: int = 64000
    ) -> None:
        """Add a machine that is up."""
        machine = StandinMachine(machine_id, pool, rack, cpu, mb)
        self.machine_by_id[machine_id] = machine
        self._begin_lifetime(machine)

    def _begin_lifetime(self, machine: StandinMachine) -> None:
        self._lifetime_count += 1
        offset_ms = 100_000 * (self._lifetime_count % 7 + 1)
        self._start_server(machine, f"i-{self._lifetime_count}", offset_ms)
        self.register(machine)

    def _start_server(
        self, machine: StandinMachine, server_id: str, clock_offset_ms: int
    ) -> None:
        number = list(self.machine_by_id).index(machine.id)
        server = StandinServer(
            id=server_id,
            machine_id=machine.id,
            service=machine.pool,
            address=machine.address or self.address_of(number),
            cpu_millicores=machine.cpu_millicores,
            memory_mb=machine.memory_mb,
            work_of=self.work_of,
            observe=self.observe,
            nursery=self.nursery,
            crash=lambda: self.crash(machine.id, TASK_CRASH_S),
            guards_capacity=self.servers_guard_capacity,
            born_ms=int(self.unix_time_s() * 1000),
            clock_offset_ms=clock_offset_ms,
        )
        machine.server = server
        machine.state = "up"
        self.server_by_address[server.address] = server

    def _begin_again(
        self, machine: StandinMachine, earlier: StandinServer, rebirth: Rebirth
    ) -> None:
        """Begin another lifetime under the id of an earlier one."""
        if rebirth.cpu_millicores is not None:
            machine.cpu_millicores = rebirth.cpu_millicores
        if rebirth.memory_mb is not None:
            machine.memory_mb = rebirth.memory_mb
        now_ms = int(trio.current_time() * 1000)
        self._start_server(machine, earlier.id, rebirth.clock_ms - now_ms)
        if machine.server is not None:
            machine.server.born_ms = max(machine.server.born_ms, earlier.born_ms + 1)
            machine.server.clock_rate = rebirth.clock_rate
        self.nursery.start_soon(self._register_after, machine, rebirth.row_after_s)

    async def _repeat_row(self, machine: StandinMachine, row: str, s: float) -> None:
        """Write the row of an earlier lifetime again, until the next heartbeat."""
        await trio.sleep(s)
        server = machine.server
        if server is None:
            return
        self.store.put("servers", server.id, row)
        await self._register_after(machine, HEARTBEAT_S)

    def register(self, machine: StandinMachine, state: str = "ready") -> None:
        """Write the row of a machine's backend server."""
        server = machine.server
        if server is None:
            return
        server.row_sequence += 1
        row = {
            "service": machine.pool,
            "addr": server.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_ms": 0,
            "capacity": {
                "cpu": machine.cpu_millicores,
                "mem_mb": machine.memory_mb,
                "gpu": 0,
            },
            "labels": ["a", machine.rack],
            "machine": machine.id,
            "clock_ms": server.clock_ms(),
            "born": server.born_ms,
            "seq": server.row_sequence,
        }
        self._put("servers", server.id, row)

    def resize(self, machine_id: str, cpu: int, mb: int, after_s: float) -> None:
        """Change a machine's capacity; the server's row shows it ``after_s`` later."""
        machine = self.machine_by_id[machine_id]
        machine.cpu_millicores, machine.memory_mb = cpu, mb
        if machine.server is not None:
            machine.server.resize(cpu, mb)
            self.nursery.start_soon(self._register_after, machine, after_s)

    async def _register_after(self, machine: StandinMachine, after_s: float) -> None:
        server = machine.server
        await trio.sleep(after_s)
        if machine.server is server:
            self.register(machine)

    def crash(
        self,
        machine_id: str,
        down_s: float = 2.0,
        pool: str = "",
        rebirth: Rebirth | None = None,
    ) -> None:
        """End the server lifetime on a machine; another registers after ``down_s``.

        The other one is in ``pool`` if that is given. It has the same id if ``rebirth``
        is given, or that of the platform.
        """
        machine = self.machine_by_id[machine_id]
        runs = list(machine.server.run_by_task) if machine.server else []
        self.observe("crash", machine, runs)
        next_pool = pool or machine.pool
        self._replace_lifetime(machine, "down", next_pool, down_s, rebirth)

    def _replace_lifetime(
        self,
        machine: StandinMachine,
        state: str,
        pool: str,
        after_s: float,
        rebirth: Rebirth | None = None,
    ) -> None:
        """End the server lifetime on a machine, and begin the next one later."""
        rebirth = rebirth or self.rebirth
        earlier = machine.server
        machine.state = state
        machine.server = None
        if earlier is None:
            rebirth = None
        else:
            self._end_lifetime(machine, earlier, rebirth)
        self.nursery.start_soon(
            self._restart_after, machine, pool, after_s, earlier, rebirth
        )

    def _end_lifetime(
        self, machine: StandinMachine, server: StandinServer, rebirth: Rebirth | None
    ) -> None:
        server.end_all_runs()
        self.server_by_address.pop(server.address, None)
        self.end_by_address.get(server.address, lambda: None)()
        row = self.store.get("servers", "", server.id)
        if rebirth is None or not rebirth.keeps_row:
            self.store.remove("servers", server.id)
        if rebirth is not None and rebirth.earlier_row_after_s is not None and row:
            self.nursery.start_soon(
                self._repeat_row, machine, row, rebirth.earlier_row_after_s
            )

    async def _restart_after(
        self,
        machine: StandinMachine,
        pool: str,
        after_s: float,
        earlier: StandinServer | None,
        rebirth: Rebirth | None,
    ) -> None:
        await trio.sleep(after_s)
        machine.pool = pool
        if earlier is None or rebirth is None:
            self._begin_lifetime(machine)
        else:
            self._begin_again(machine, earlier, rebirth)
        self.observe("up", machine)

    # Calls of the system under test.

    async def handle_machines(
        self, method: str, path: str, headers: Mapping[bytes, bytes], body: Any
    ) -> JsonResponse:
        """Handle a call about machines."""
        if (method, path) == ("GET", "/machines"):
            return JsonResponse(200, {"machines": self._list(), "next_token": None})
        machine = self.machine_by_id.get(body["machine"])
        if machine is None:
            return JsonResponse(400, {})
        self.machine_commands.append(
            (
                trio.current_time(),
                machine.id,
                headers[b"x-lease-holder"].decode(),
                int(headers[b"x-fencing-token"]),
            )
        )
        if path == "/machine-move":
            return self._move(machine, body["pool"])
        return self._maintain(machine, body["wave"])

    def _move(self, machine: StandinMachine, pool: str) -> JsonResponse:
        is_done = machine.state == "up" and machine.pool == pool
        if is_done or (machine.state == "moving" and machine.next_pool == pool):
            return JsonResponse(200, {})
        if machine.state != "up":
            return JsonResponse(409, {"reason": "busy"})
        return self._take_down(machine, "moving", pool, MOVE_S)

    def _maintain(self, machine: StandinMachine, wave: int) -> JsonResponse:
        if wave in machine.maintained_for:
            return JsonResponse(200, {})
        if machine.state != "up":
            return JsonResponse(409, {"reason": "busy"})
        machine.maintained_for.append(wave)
        return self._take_down(machine, "upkeep", machine.pool, MAINTENANCE_S)

    def _take_down(
        self, machine: StandinMachine, state: str, pool: str, for_s: float
    ) -> JsonResponse:
        runs = list(machine.server.run_by_task) if machine.server else []
        self.observe(state, machine, runs, pool)
        machine.next_pool = pool
        self._replace_lifetime(machine, state, pool, for_s)
        return JsonResponse(200, {})

    def _list(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": machine.id,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "a",
                "labels": ["a", machine.rack],
                "capacity": {"cpu": machine.cpu_millicores, "mem_mb": 1, "gpu": 0},
                "id": machine.server.id if machine.server else "",
            }
            for machine in self.machine_by_id.values()
        ]
