"""The demo's fleet: entry hosts, a platform and backend servers in one process."""

import secrets
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

from rhubarbmount.catalogue import Snapshot
from rhubarbmount.edits import Operators
from rhubarbmount.entries import Entry, Pool, Service, Team
from rhubarbmount.host_work import WorkBounds
from rhubarbmount.hosts import Host, HostState, Shape, load_host
from rhubarbmount.server import EntryHost
from rhubarbmount.settings import (
    Endpoint,
    FleetSettings,
    OperatorSettings,
    PeerSettings,
    Settings,
)
from rhubarbmount.standins.backend import BackendStandin
from rhubarbmount.standins.platform import PlatformStandin
from rhubarbmount.standins.seed import Seed
from rhubarbmount.tables import HOSTS_TABLE
from rhubarbmount.zmqtrio import CurveKeys

__all__ = ["DemoFleet", "open_fleet"]

LOOPBACK = "127.0.0.1"
DATA_CENTRES = ("dc-a", "dc-b")
ENTRY_HOST_CENTRES = ("dc-a", "dc-a", "dc-b")
SERVICES = ("lodgements", "quotes")
HOSTS_PER_SERVICE = 4
OWNER = "demo"
SERVICE_TIME_S = 0.01
QUICK_WORK = WorkBounds(view_s=2.0, drain_s=2.0, reboot_min_s=1.0, warm_s=1.0)
REQUEST_TIMEOUT_MS = 2000
READY_LIMIT_S = 20.0
WATCH_PERIOD_S = 0.05


@attrs.define
class Watch:
    """What an onlooker saw of the hosts' rows."""

    rebooted: set[str] = attrs.field(factory=set)
    most_down_by_pool: Counter[str] = attrs.field(factory=Counter)
    pools_broken: bool = False

    def look(self, hosts: list[Host], expected: int) -> None:
        """Take in the rows as they are now."""
        self.pools_broken = self.pools_broken or len(hosts) != expected
        down = Counter(
            host.pool for host in hosts if host.state is not HostState.IN_SERVICE
        )
        for pool, count in down.items():
            most = self.most_down_by_pool[pool]
            self.most_down_by_pool[pool] = max(most, count)
        for host in hosts:
            if host.state is HostState.MAINTENANCE:
                self.rebooted.add(host.host_id)


@attrs.define(eq=False)
class DemoFleet:
    """The parts of the demo, and what can be read off them."""

    platform: PlatformStandin
    backends: list[BackendStandin]
    entry_hosts: list[EntryHost]
    token: str
    watch: Watch = attrs.field(factory=Watch)

    def hosts(self) -> list[Host]:
        """Return the rows of all hosts."""
        rows = self.platform.memory.tables[HOSTS_TABLE].values()
        return [load_host(dict(row.value)) for row in rows]

    def pools_of(self, host_id: str) -> list[str]:
        """Return the pools that a host's rows name."""
        return [host.pool for host in self.hosts() if host.host_id == host_id]

    def in_service(self, host_id: str) -> bool:
        """Tell whether a host is in service."""
        return all(
            host.state is HostState.IN_SERVICE
            for host in self.hosts()
            if host.host_id == host_id
        )

    def all_in_service(self) -> bool:
        """Tell whether every host is in service."""
        return all(host.state is HostState.IN_SERVICE for host in self.hosts())

    def count_in_force(self, version: int) -> int:
        """Return how many entry hosts have a catalogue version or a later one."""
        versions = [host.configuration.version for host in self.entry_hosts]
        return sum(held >= version for held in versions)

    def runs_by_request(self) -> Counter[str]:
        """Return how often the backend servers ran each request."""
        runs: Counter[str] = Counter()
        for backend in self.backends:
            runs.update(backend.ran_by_request)
        return runs

    async def look_on(self) -> None:
        """Watch the hosts' rows until cancelled."""
        expected = len(self.hosts())
        while True:
            self.watch.look(self.hosts(), expected)
            await trio.sleep(WATCH_PERIOD_S)


@asynccontextmanager
async def open_fleet() -> AsyncIterator[DemoFleet]:
    """Start the fleet, and stop it at the end."""
    async with trio.open_nursery() as nursery:
        hosts, backends = await _start_backends(nursery)
        platform = PlatformStandin()
        await platform.load(Seed(hosts, _catalogue()))
        await nursery.start(platform.run, LOOPBACK, 0)
        token = secrets.token_urlsafe(16)
        entry_hosts = await _start_entry_hosts(nursery, platform, token)
        fleet = DemoFleet(platform, backends, entry_hosts, token)
        nursery.start_soon(fleet.look_on)
        yield fleet
        for entry_host in entry_hosts:
            entry_host.stopping.set()
        nursery.cancel_scope.cancel()


async def _start_backends(
    nursery: trio.Nursery,
) -> tuple[tuple[Host, ...], list[BackendStandin]]:
    hosts = []
    backends = []
    for service in SERVICES:
        for number in range(1, HOSTS_PER_SERVICE + 1):
            backend = BackendStandin(
                f"{service}-{number}", service_time_s=SERVICE_TIME_S
            )
            port = await nursery.start(backend.run, LOOPBACK, 0)
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            host = Host(
                host_id=backend.host_id,
                pool=service,
                data_centre=centre,
                rack=f"{centre}-rack-{number}",
                address=f"{LOOPBACK}:{port}",
                shape=Shape(16, 64),
            )
            hosts.append(host)
            backends.append(backend)
    return tuple(hosts), backends


def _catalogue() -> Snapshot:
    team = Team(name=OWNER, owner=OWNER, processors_quota=64, memory_quota_gb=256)
    snapshot = Snapshot().with_entry("team", team)
    for service in SERVICES:
        entries: tuple[tuple[str, Entry], ...] = (
            ("pool", Pool(name=service, owner=OWNER, hosts_wanted=HOSTS_PER_SERVICE)),
            ("service", _service(service)),
        )
        for kind, entry in entries:
            snapshot = snapshot.with_entry(kind, entry)
    return snapshot


def _service(name: str) -> Service:
    return Service(
        name=name, owner=OWNER, pool=name, request_timeout_ms=REQUEST_TIMEOUT_MS
    )


async def _start_entry_hosts(
    nursery: trio.Nursery, platform: PlatformStandin, token: str
) -> list[EntryHost]:
    keys = CurveKeys.generate()
    operator = OperatorSettings(token_sha256=Operators.digest(token), owners=(OWNER,))
    entry_hosts: list[EntryHost] = []
    for number, centre in enumerate(ENTRY_HOST_CENTRES, start=1):
        any_port = Endpoint(address=LOOPBACK, port=0)
        settings = Settings(
            instance=f"entry-{number}",
            data_centre=centre,
            callers=any_port,
            operators=any_port,
            metrics=any_port,
            peers=PeerSettings(
                address=LOOPBACK,
                port=0,
                peers=tuple(host.peer_address for host in entry_hosts),
                public_key=keys.public,
                secret_key=keys.secret,
            ),
            fleet=FleetSettings(work=QUICK_WORK),
            operators_by_name={"demo": operator},
        )
        entry_host = EntryHost(settings, platform.memory)
        await nursery.start(entry_host.run)
        entry_hosts.append(entry_host)
    with trio.fail_after(READY_LIMIT_S):
        while not all(entry_host.is_ready() for entry_host in entry_hosts):
            await trio.sleep(0.05)
    return entry_hosts
