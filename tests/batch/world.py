"""Runs entry hosts against the stand-in platform, in one process and simulated time."""

import json
import random
from collections.abc import Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs
import trio

from rhubarbmount.batch import clocks
from rhubarbmount.batch.node import Node
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http import HttpRequest, NotSent
from rhubarbmount.http_client import make_head, split_address
from rhubarbmount.platform.json_client import JsonResponse, Peer, make_request
from rhubarbmount.platform.settings import Bounds, NodeSettings
from rhubarbmount.standins.users_platform import UsersPlatform
from rhubarbmount.standins.users_servers import StandinServer, TaskWork
from rhubarbmount.timers import TimerService

HOST = "jobs.example"
EPOCH_S = 1_700_000_000.0
STORE = "10.0.0.1:1"
MACHINES_ADDRESS = "10.0.0.2:1"
LATENCY_S = 0.002
PACKET_BYTES = 8192
BOUNDS = Bounds(
    contact_s=3.0,
    drain_s=2.0,
    grace_s=6.0,
    max_lease_s=10.0,
    early_s=0.25,
    status_s=120.0,
    lease_s=3.0,
    migrate_s=1.5,
    notice_s=4.5,
    checkpoint_s=1.0,
    remote_factor=3.0,
    visible_s=3.0,
    config_apply_s=2.0,
    stop_s=0.2,
)


def unix_time_s() -> float:
    """Return the simulated time of day."""
    return EPOCH_S + trio.current_time()


@attrs.frozen
class ServerCall:
    """A call to the backend server of an id."""

    address: str
    target: str
    expected_id: str
    body: Mapping[str, Any]


@attrs.define
class Faults:
    """The faults of the network and the store that are currently injected."""

    # Nodes whose calls to the store get no answer.
    nodes_cut_from_store: set[str] = attrs.field(factory=set)
    store_is_down: bool = False
    # Parts of the store that do not answer.
    store_parts_down: set[str] = attrs.field(factory=set)
    # Tables whose reads and feeds do not answer.
    store_tables_down: set[str] = attrs.field(factory=set)
    store_refuses: bool = False
    store_loses: float = 0.0
    store_is_late: float = 0.0
    late_command_share: float = 0.0
    # Share of calls, by their path, that get no answer and are carried out late. As all
    # late commands, whichever lifetime is then at the address carries them out if they
    # name its id.
    late_share_by_path: dict[str, float] = attrs.field(factory=dict)
    late_by_s: tuple[float, float] = (2.0, 12.0)
    # Returns whether a call to a backend server gets no answer and is kept back until
    # the test has it carried out.
    keeps_back: Callable[[ServerCall], bool] | None = None
    # Share of start commands that backend servers refuse, as when they shed load.
    refused_start_share: float = 0.0
    # Share of calls to backend servers that take effect but get no answer.
    lost_response_share: float = 0.0
    # Share of commands to machines that take effect but get no answer.
    lost_machine_response_share: float = 0.0
    # Time that a command to a machine takes to arrive; the sender may give up before.
    machine_command_delay_s: float = 0.0
    store_delay_s: float = 0.0
    # Tables whose reads and feeds are answered late, with what was true before.
    late_answers_s_by_table: dict[str, float] = attrs.field(factory=dict)
    # Time of its processor or link that each call takes from a node, one after another;
    # half of it to send the request and half to read the response.
    call_cost_s_by_node: dict[str, float] = attrs.field(factory=dict)
    # Time until which a node is paused. What it had decided to send goes out after it,
    # whatever its timeouts were, and responses are read after it.
    paused_until_s_by_node: dict[str, float] = attrs.field(factory=dict)
    # Bandwidth of a node's own link, which its responses share.
    link_bytes_per_s_by_node: dict[str, float] = attrs.field(factory=dict)
    # Time that responses of a lifetime take to arrive, which may end meanwhile.
    response_delay_s_by_server_id: dict[str, float] = attrs.field(factory=dict)
    # The same for lists of runs of one of several lifetimes under an id, by the id and
    # ``born``.
    list_delay_s_by_lifetime: dict[tuple[str, int], float] = attrs.field(factory=dict)
    # Pairs of a node, or "*" for all nodes, and the address of a backend server that
    # it can't reach.
    servers_cut: set[tuple[str, str]] = attrs.field(factory=set)


@attrs.define
class _Progress:
    """Whether more than the question to a peer may have been sent, and until when."""

    may_be_sent: bool
    scope: trio.CancelScope
    timeout_s: float


@attrs.define(eq=False)
class SimulatedConnection:
    """A connection to a backend server, which reaches no later lifetime of it."""

    server: StandinServer
    reaches_peer: bool = False


@attrs.define(eq=False)
class SimulatedCaller:
    """The client of one node, which calls the stand-in with latency and faults.

    Requests are encoded and addresses split as by the real client, and connections to
    backend servers are kept by peer as it keeps them.
    """

    node_id: str
    world: "World"
    # Addresses to which the connections were closed.
    forgotten: list[str] = attrs.field(factory=list)
    _idle_by_peer: dict[tuple[str, str], list[SimulatedConnection]] = attrs.field(
        factory=dict
    )
    _host: trio.Lock = attrs.field(factory=trio.Lock)
    _link: trio.Lock = attrs.field(factory=trio.Lock)

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        body: Mapping[str, Any] | None = None,
        timeout_s: float = 1.0,
        headers: Any = (),
        may_send: Callable[[], bool] = lambda: True,
        pause_s: float = 0.0,
        peer: Peer | None = None,
    ) -> JsonResponse:
        _check_request(make_request(address, method, target, headers=headers), address)
        with trio.move_on_after(timeout_s) as scope:
            progress = _Progress(peer is None, scope, timeout_s)
            await self._occupy_host()
            await self._await_resumption()
            if not may_send():
                raise PlatformUnavailable("not sent", code="expired")
            await trio.sleep(LATENCY_S)
            if peer is None:
                response = await self._deliver(address, method, target, body, headers)
            else:
                expected = dict(headers).get(b"x-expect-instance", b"").decode()
                call = ServerCall(address, target, expected, body)
                response = await self._call_peer(address, call, peer, progress)
            await trio.sleep(LATENCY_S)
            await self._occupy_link(response, scope, pause_s)
            await self._occupy_host()
            await self._await_resumption()
            return response
        error_class = OutcomeUnknown if progress.may_be_sent else PlatformUnavailable
        raise error_class("no answer in time", code="timeout")

    async def forget(self, address: str, peer_name: str = "") -> None:
        self.forgotten.append(address)
        self._idle_by_peer.pop((address, peer_name), None)

    async def forget_peers(self) -> None:
        self._idle_by_peer.clear()

    def idle_connections(self) -> list[SimulatedConnection]:
        """Return the open connections to backend servers that no call uses."""
        return [item for idle in self._idle_by_peer.values() for item in idle]

    async def _call_peer(self, address, call, peer, progress) -> JsonResponse:
        """Send a call on a connection that reaches the peer, as the real client."""
        idle = self._idle_by_peer.setdefault((address, peer.name), [])
        connection = await self._connect(address, idle)
        asks = peer.question is not None and not peer.is_asked_by(
            call.target, call.body
        )
        if asks and not connection.reaches_peer:
            response = await self._ask(connection, call, peer)
            if not connection.reaches_peer:
                return response
            progress.scope.deadline = trio.current_time() + progress.timeout_s
        progress.may_be_sent = True
        response = await self._exchange(connection, call, peer)
        if connection.reaches_peer:
            idle.append(connection)
        return response

    async def _ask(self, connection, call, peer) -> JsonResponse:
        question = attrs.evolve(call, target=peer.target, body=peer.question)
        try:
            response = await self._exchange(connection, question, peer)
        except OutcomeUnknown as error:
            raise PlatformUnavailable(error.message, code=error.code) from None
        await trio.sleep(2 * LATENCY_S)
        return response

    async def _connect(self, address, idle) -> SimulatedConnection:
        """Return an idle connection that has not been reset, or a new one."""
        cut = {(self.node_id, address), ("*", address)}
        server = self.world.platform.server_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.server is server:
                return connection
        if cut & self.world.faults.servers_cut:
            await trio.sleep_forever()
        if server is None:
            raise PlatformUnavailable("refused", code="not-sent")
        return SimulatedConnection(server)

    async def _exchange(self, connection, call, peer) -> JsonResponse:
        """Send a call on a connection; it reaches the peer if its check says so."""
        response = await self._deliver_to_server(connection.server, call)
        if not connection.reaches_peer:
            peer.check(response)
            connection.reaches_peer = response.status == 200
        return response

    async def _occupy_host(self) -> None:
        cost_s = self.world.faults.call_cost_s_by_node.get(self.node_id, 0.0)
        if cost_s:
            async with self._host:
                await trio.sleep(cost_s / 2)

    async def _await_resumption(self) -> None:
        paused_until_s = self.world.faults.paused_until_s_by_node.get(self.node_id, 0.0)
        if trio.current_time() < paused_until_s:
            with trio.CancelScope(shield=True):
                await trio.sleep_until(paused_until_s)

    async def _occupy_link(
        self, response: JsonResponse, scope: trio.CancelScope, pause_s: float
    ) -> None:
        bytes_per_s = self.world.faults.link_bytes_per_s_by_node.get(self.node_id)
        if bytes_per_s is None:
            return
        left = len(json.dumps(response.body))
        # Once sent by the peer, bytes take their time on the link, read or not.
        with trio.CancelScope(shield=True):
            while left > 0:
                async with self._link:
                    await trio.sleep(min(left, PACKET_BYTES) / bytes_per_s)
                left -= PACKET_BYTES
                if not scope.cancel_called:
                    next_by_s = trio.current_time() + pause_s
                    scope.deadline = max(scope.deadline, next_by_s)
        await trio.lowlevel.checkpoint()

    async def _deliver(self, address, method, target, body, headers) -> JsonResponse:
        if address == STORE:
            return await self._deliver_to_store(method, target, body)
        return await self._deliver_to_machines(method, target, dict(headers), body)

    async def _deliver_to_server(self, server, call) -> JsonResponse:
        world, faults = self.world, self.world.faults
        cut = {(self.node_id, server.address), ("*", server.address)}
        if cut & faults.servers_cut:
            await trio.sleep_forever()
        if server.is_gone:
            raise OutcomeUnknown("connection reset", code="answer-lost")
        if self._is_late(call.target):
            world.late_addresses.add(server.address)
            world.nursery.start_soon(self._deliver_late, call)
            await trio.sleep_forever()
        await self._keep_back(call)
        is_refused = world.generator.random() < faults.refused_start_share
        if call.target == "/run-start" and is_refused:
            return JsonResponse(503, {})
        response = await server.handle(call.target, call.expected_id, call.body)
        if server.is_gone:
            raise OutcomeUnknown("connection reset", code="answer-lost")
        await trio.sleep(faults.response_delay_s_by_server_id.get(server.id, 0.0))
        if call.target == "/hold":
            lifetime = server.id, server.born_ms
            await trio.sleep(faults.list_delay_s_by_lifetime.get(lifetime, 0.0))
        if world.generator.random() < faults.lost_response_share:
            await trio.sleep_forever()
        return response

    async def _keep_back(self, call: ServerCall) -> None:
        """Give no answer to a call that the test wants to keep back."""
        keeps_back = self.world.faults.keeps_back
        if keeps_back is not None and keeps_back(call):
            await trio.sleep_forever()

    def _is_late(self, target: str) -> bool:
        generator, faults = self.world.generator, self.world.faults
        if target != "/hold" and generator.random() < faults.late_command_share:
            return True
        share = faults.late_share_by_path.get(target, 0.0)
        return share > 0.0 and generator.random() < share

    async def _deliver_late(self, call) -> None:
        await trio.sleep(self.world.generator.uniform(*self.world.faults.late_by_s))
        await self.world.carry_out(call)

    async def _deliver_to_machines(self, method, target, headers, body) -> JsonResponse:
        world, faults = self.world, self.world.faults
        if method == "GET":
            return await world.platform.handle_machines(method, target, headers, body)
        answered = trio.Event()
        responses = []

        async def deliver() -> None:
            await trio.sleep(faults.machine_command_delay_s)
            responses.append(
                await world.platform.handle_machines(method, target, headers, body)
            )
            answered.set()

        world.nursery.start_soon(deliver)
        if world.generator.random() < faults.lost_machine_response_share:
            await trio.sleep_forever()
        await answered.wait()
        return responses[0]

    async def _deliver_to_store(self, method, target, body) -> JsonResponse:
        world, faults = self.world, self.world.faults
        if faults.store_is_down or self.node_id in faults.nodes_cut_from_store:
            await trio.sleep_forever()
        if faults.store_parts_down & _parts_of(target, body):
            await trio.sleep_forever()
        if faults.store_tables_down & _tables_of(target):
            await trio.sleep_forever()
        if faults.store_refuses:
            return JsonResponse(503, {})
        await trio.sleep(faults.store_delay_s)
        store = world.platform.store
        if method == "POST" and world.generator.random() < faults.store_is_late:
            world.nursery.start_soon(self._write_late, target, body)
            await trio.sleep_forever()
        response = await store.handle(method, target, body)
        for table in _tables_of(target):
            await trio.sleep(faults.late_answers_s_by_table.get(table, 0.0))
        if method == "POST" and world.generator.random() < faults.store_loses:
            await trio.sleep_forever()
        return response

    async def _write_late(self, target, body) -> None:
        await trio.sleep(self.world.generator.uniform(0.5, 4.0))
        await self.world.platform.store.handle("POST", target, body)


def _check_request(request: HttpRequest, address: str) -> None:
    """Raise what the real client raises for a request that it can't send."""
    try:
        make_head(request.method, request.target, request.headers, 0)
        split_address(address)
    except NotSent as error:
        raise PlatformUnavailable(error.message, code=error.code) from None


def _parts_of(target: str, body: Mapping[str, Any] | None) -> set[str]:
    """Return the parts that a call to the store reads or writes."""
    entries = [*body["expected"], *body["puts"], *body["remove"]] if body else []
    query = parse_qs(urlsplit(target).query)
    return {entry["part"] for entry in entries} | set(query.get("part", ()))


def _tables_of(target: str) -> set[str]:
    """Return the table that a call reads or follows."""
    return set(parse_qs(urlsplit(target).query).get("table", ()))


@attrs.define(eq=False)
class World:
    """A platform and entry hosts; observers receive the events of backend servers."""

    nursery: trio.Nursery
    seed: int = 0
    faults: Faults = attrs.field(factory=Faults)
    generator: random.Random = attrs.field(init=False)
    platform: UsersPlatform = attrs.field(init=False)
    node_by_id: dict[str, Node] = attrs.field(factory=dict)
    scope_by_node: dict[str, trio.CancelScope] = attrs.field(factory=dict)
    work_by_step: dict[tuple[str, str], TaskWork] = attrs.field(factory=dict)
    # Work of single tasks that differs from the rest of their step.
    work_by_task: dict[str, TaskWork] = attrs.field(factory=dict)
    observers: list[Any] = attrs.field(factory=list)
    # Addresses to which commands were sent that are or were late.
    late_addresses: set[str] = attrs.field(factory=set)
    # How many nodes have been killed or stopped.
    lost_nodes: int = 0

    def __attrs_post_init__(self) -> None:
        self.generator = random.Random(self.seed)
        self.platform = UsersPlatform(
            self.nursery, self.work_of, self.observe, unix_time_s=unix_time_s
        )

    def work_of(self, task: str) -> TaskWork:
        job_id, _, step, _ = task.split(".")
        return self.work_by_task.get(task) or self.work_by_step[job_id, step]

    def observe(self, *event: Any) -> None:
        for observer in list(self.observers):
            observer(*event)

    def start_node(self, node_id: str, link_mbps: float = 1000.0) -> Node:
        settings = NodeSettings(
            node_id=node_id,
            ip="10.0.0.9",
            data_centre="a",
            callers_address="10.0.0.9:1",
            ready_address="10.0.0.9:2",
            store_address=STORE,
            hosts_address=MACHINES_ADDRESS,
            advice_address="",
            first_port=1,
            row_bytes=65536,
            cores=1.0,
            link_mbps=link_mbps,
            bounds=BOUNDS,
        )
        timers = TimerService(self.generator.randrange(2**31))
        node = Node(settings, SimulatedCaller(node_id, self), timers)
        self.node_by_id[node_id] = node
        self.nursery.start_soon(self._run_node, node_id, node)
        return node

    async def _run_node(self, node_id: str, node: Node) -> None:
        with trio.CancelScope() as scope:
            self.scope_by_node[node_id] = scope
            await node.run_duties()

    def kill_node(self, node_id: str) -> None:
        """Kill a node, which does not release its lease."""
        self.scope_by_node[node_id].cancel()
        del self.node_by_id[node_id]
        self.lost_nodes += 1

    async def stop_node(self, node_id: str) -> None:
        """Stop a node after it has released its lease."""
        await self.node_by_id[node_id].hand_over()
        self.kill_node(node_id)

    def holders(self) -> list[str]:
        """Return the nodes that currently act as holders."""
        return [name for name, node in self.node_by_id.items() if node.is_holder]

    async def call(self, method: str, path: str, body: Any = None, node: str = ""):
        """Send a caller's request to a node; return the status and the body."""
        name = node or self.generator.choice(sorted(self.node_by_id))
        data = b"" if body is None else json.dumps(body).encode()
        headers = [(b"host", HOST.encode()), (b"x-deadline-ms", b"3000")]
        request = HttpRequest(method, path, headers, data)
        response = await self.node_by_id[name].job_api.handle(request)
        return response.status, json.loads(response.body or b"{}")

    async def carry_out(self, call: ServerCall) -> None:
        """Have the lifetime that is now at the address carry out a call late."""
        server = self.platform.server_by_address.get(call.address)
        if server is not None:
            body = {**call.body, "wait_ms": 0}
            await server.handle(call.target, call.expected_id, body)

    def add_work(self, job_id: str, phases: list[dict], works: list[TaskWork]) -> None:
        """Set the actual work of a job's tasks, step by step."""
        for step, work in enumerate(works):
            self.work_by_step[job_id, str(step)] = work


def route(prefix: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a queue as in the operator's configuration."""
    return {
        "name": prefix,
        "host": HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "latency_slo_ms": 600,
        "priority": 0,
        "service": service,
        "attempts": 3,
        "slack_factor": 1.6,
        **fields,
    }


def catalogue(version: int, routes: list[dict], pools: list[str], spare: str) -> dict:
    """Return a configuration as the operator stores it."""
    services = [{"name": name, "standby": name == spare} for name in [*pools, spare]]
    return {"version": version, "routes": routes, "services": services, "limits": {}}


@asynccontextmanager
async def open_world(monkeypatch, seed: int = 0):
    """Run a world on trio's clock, which the ``autojump_clock`` fixture advances."""
    monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
    monkeypatch.setattr(clocks.source, "wall_clock_s", unix_time_s)
    async with trio.open_nursery() as nursery:
        yield World(nursery, seed)
        nursery.cancel_scope.cancel()
