"""Stand-in of the users' platform: store, machines and backend servers."""

import base64
import json
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import trio

from rhubarbmount.platform.json_client import JsonResponse
from rhubarbmount.standins.users_servers import StandinServer, TaskWork
from rhubarbmount.standins.users_store import StandinStore

__all__ = ["StandinMachine", "UsersPlatform"]

MOVE_S = 1.5
MAINTENANCE_S = 2.0
# How long a machine is down after a task has crashed its server.
TASK_CRASH_S = 3.0


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
    standby_pools: set[str] = attrs.field(factory=set)
    servers_guard_capacity: bool = True
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
        number = list(self.machine_by_id).index(machine.id)
        server = StandinServer(
            id=f"i-{self._lifetime_count}",
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
            clock_offset_ms=100_000 * (self._lifetime_count % 7 + 1),
        )
        machine.server = server
        machine.state = "up"
        self.server_by_address[server.address] = server
        self.register(machine)

    def register(self, machine: StandinMachine, state: str = "ready") -> None:
        """Write the row of a machine's backend server."""
        server = machine.server
        if server is None:
            return
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
            "seq": 1,
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

    def crash(self, machine_id: str, down_s: float = 2.0, pool: str = "") -> None:
        """End the server lifetime on a machine; another registers after ``down_s``.

        The other one is in ``pool`` if that is given.
        """
        machine = self.machine_by_id[machine_id]
        runs = list(machine.server.run_by_task) if machine.server else []
        self.observe("crash", machine, runs)
        self._end_lifetime(machine, "down")
        next_pool = pool or machine.pool
        self.nursery.start_soon(self._restart_after, machine, next_pool, down_s)

    def _end_lifetime(self, machine: StandinMachine, state: str) -> None:
        machine.state = state
        if machine.server is not None:
            machine.server.end_all_runs()
            self.server_by_address.pop(machine.server.address, None)
            self.store.remove("servers", machine.server.id)
        machine.server = None

    async def _restart_after(
        self, machine: StandinMachine, pool: str, after_s: float
    ) -> None:
        await trio.sleep(after_s)
        machine.pool = pool
        self._begin_lifetime(machine)
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
        self._end_lifetime(machine, state)
        self.nursery.start_soon(self._restart_after, machine, pool, for_s)
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
