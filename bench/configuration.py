"""Print what a catalogue costs, and how soon an accepted edit is in force."""

import gc
import logging
import random
import statistics
import time
import tracemalloc
import zlib
from collections.abc import Mapping
from contextlib import AsyncExitStack
from typing import Any

import attrs
import defopt
import msgpack
import trio

from rhubarbmount.catalogue import Snapshot, decode_snapshot, encode_snapshot
from rhubarbmount.catalogue_checks import check_edit
from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.configuration import Configuration
from rhubarbmount.edits import Edit, Operator
from rhubarbmount.entries import Entry, JobTemplate, Pool, Service, Team
from rhubarbmount.hosts import Host, Shape, dump_host, load_host
from rhubarbmount.peers import Peers, new_identity, open_peers
from rhubarbmount.store.interface import Row, Transaction, TransactionResult
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import open_timers
from rhubarbmount.zmqtrio import CurveKeys

TEAMS = (55, 110, 220)
CHANGES_PER_DAY = 2500
SECONDS_PER_DAY = 86400
HOSTS_PER_DATA_CENTRE = 7
HOSTS = 2600
STORE_DELAY_S = 0.005
FIRST_PORT = 22000
WARM_UP_S = 15.0
OPERATOR = Operator("bench", frozenset({"team-0"}))


def catalogue(teams: int) -> Snapshot:
    """Return a catalogue with a service and a job template for each team."""
    rng = random.Random(teams)
    by_key: dict[str, Entry] = {}
    for n in range(teams):
        team = f"team-{n}"
        pool = f"pool-{n % 25}"
        quota = rng.randrange(8, 999)
        by_key[f"team/{team}"] = Team(
            name=team, owner=team, processors_quota=quota, memory_quota_gb=quota * 2
        )
        by_key[f"service/svc-{n}"] = Service(
            name=f"svc-{n}", owner=team, pool=pool, concurrency=quota
        )
        by_key[f"job-template/job-{n}"] = JobTemplate(
            name=f"job-{n}", owner=team, team=team, pool=pool, processors=2.0
        )
    for n in range(25):
        name = f"pool-{n}"
        by_key[f"pool/{name}"] = Pool(name=name, owner="team-0", hosts_wanted=104)
    changed = {key: rng.randrange(1, CHANGES_PER_DAY) for key in by_key}
    return Snapshot(CHANGES_PER_DAY, by_key, changed)


def best_ms(call, repeats: int = 9) -> float:
    """Return the shortest processor time of some calls."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        call()
        times.append(time.process_time() - started)
    return 1000 * min(times)


def print_sizes() -> None:
    """Print the cost of a snapshot at several sizes."""
    print("entries  bytes  B/s at 2,500 a day  encode ms  decode ms  checks ms")
    for teams in TEAMS:
        snapshot = catalogue(teams)
        body = encode_snapshot(snapshot)
        encode_ms = best_ms(lambda snapshot=snapshot: encode_snapshot(snapshot))
        decode_ms = best_ms(lambda body=body: decode_snapshot(body))
        check_ms = best_ms(lambda snapshot=snapshot: check_edit(snapshot, snapshot))
        rate = len(body) * CHANGES_PER_DAY / SECONDS_PER_DAY
        print(
            f"{len(snapshot.entry_by_key):7d}  {len(body):5d}  {rate:18.0f}"
            f"  {encode_ms:9.1f}"
            f"  {decode_ms:9.1f}  {check_ms:9.1f}"
        )


def host_values(number: int, extra: Mapping[str, object]) -> dict[str, Any]:
    """Return the plain values of a host's row."""
    host = Host(
        host_id=f"host-{number}",
        pool=f"pool-{number % 25}",
        data_centre=f"dc-{number % 10}",
        rack=f"rack-{number % 200}",
        address=f"10.0.{number // 250}.{number % 250}:9100",
        shape=Shape(32.0, 64.0),
        since_s=float(number),
    )
    return dump_host(host) | dict(extra)


def view_kb(body: bytes) -> float:
    """Return the memory of a view of the rows that the bytes hold."""
    gc.collect()
    tracemalloc.start()
    view = [load_host(values) for values in msgpack.unpackb(zlib.decompress(body))]
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del view
    return size / 1024


def print_host_rows() -> None:
    """Print the cost of all host rows, as this and as a newer version write them."""
    print("host rows  fields of a newer version  bytes  load ms  dump ms  view KB")
    for extra in ({}, {"x_newer": 17}):
        rows = [host_values(number, extra) for number in range(HOSTS)]
        hosts = [load_host(values) for values in rows]
        load_ms = best_ms(lambda rows=rows: [load_host(values) for values in rows])
        dump_ms = best_ms(lambda hosts=hosts: [dump_host(host) for host in hosts])
        body = zlib.compress(msgpack.packb(rows))
        print(
            f"{HOSTS:9d}  {len(extra):25d}  {len(body):5d}  {load_ms:7.1f}"
            f"  {dump_ms:7.1f}  {view_kb(body):7.0f}"
        )


@attrs.define
class SlowStore:
    """The embedded platform with a delay before each call."""

    inner: MemoryPlatform = attrs.field(factory=MemoryPlatform)

    async def read(self, table: str, key: str) -> Row | None:
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.read(table, key)

    async def transact(self, transaction: Transaction) -> TransactionResult:
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.transact(transaction)

    async def put_object(self, name: str, body: bytes) -> None:
        await trio.sleep(STORE_DELAY_S)
        await self.inner.put_object(name, body)

    async def get_object(self, name: str) -> bytes | None:
        await trio.sleep(STORE_DELAY_S)
        return await self.inner.get_object(name)


@attrs.define
class Spread:
    """Times from an accepted edit to its being in force everywhere, in seconds."""

    with_notice: list[float] = attrs.field(factory=list)
    polled_only: list[float] = attrs.field(factory=list)


async def measure_spread(data_centres: int, edits: int, first_port: int) -> Spread:
    """Accept edits, by turns with the accepting host silent after its answer."""
    store = SlowStore()
    keys = CurveKeys.generate()
    ports = iter(range(first_port, first_port + 500))
    identities = [
        new_identity(f"dc{dc}-e{n}", f"dc{dc}", f"127.0.0.1:{next(ports)}")
        for dc in range(data_centres)
        for n in range(HOSTS_PER_DATA_CENTRE)
    ]
    addresses = {identity.address: identity.data_centre for identity in identities}
    async with AsyncExitStack() as stack:
        timers = await stack.enter_async_context(open_timers(seed=1))
        nursery = await stack.enter_async_context(trio.open_nursery())
        nodes: list[tuple[Configuration, Peers]] = []
        for identity in identities:
            configuration = Configuration(platform=store)
            opened = open_peers(
                identity, keys, addresses, {"catalogue": configuration}, timers
            )
            peers = await stack.enter_async_context(opened)
            configuration.pull = peers.requests.pull
            nursery.start_soon(configuration.run, timers)
            nursery.start_soon(announce, configuration, peers)
            nodes.append((configuration, peers))
        await trio.sleep(WARM_UP_S)
        spread = await accept_edits(store, nodes, edits)
        nursery.cancel_scope.cancel()
    return spread


async def announce(configuration: Configuration, peers: Peers) -> None:
    """Tell the peers of each version that comes into force."""
    async for _ in configuration.subscribe():
        peers.announce_version()


async def accept_edits(
    store: SlowStore, nodes: list[tuple[Configuration, Peers]], edits: int
) -> Spread:
    """Time edits until every node has them in force."""
    spread = Spread()
    rng = random.Random(3)
    version = 0
    for number in range(2 * edits):
        await trio.sleep(rng.random())
        configuration, _ = nodes[number % len(nodes)]
        notices = number % 2 == 0
        on_accepted = configuration.offer if notices else None
        catalogue_writer = CatalogueWriter(store, time.time, on_accepted=on_accepted)
        team = Team(name="team-0", owner="team-0", processors_quota=number)
        edit = Edit(key="team/team-0", entry=team, expected_version=version)
        version = (await catalogue_writer.apply(OPERATOR, edit)).version
        started_s = trio.current_time()
        while any(node.version < version for node, _ in nodes):
            await trio.sleep(0.005)
        times = spread.with_notice if notices else spread.polled_only
        times.append(trio.current_time() - started_s)
    return spread


def main(*, edits: int = 10) -> None:
    """Print the tables.

    :param edits: how many edits are timed in each way
    """
    logging.disable(logging.CRITICAL)
    print_sizes()
    print_host_rows()
    print("nodes  in force everywhere, s: noticed p50  max   polled p50  max")
    for number, data_centres in enumerate((1, 5, 10)):
        first_port = FIRST_PORT + 500 * number
        spread = trio.run(measure_spread, data_centres, edits, first_port)
        noticed, polled = spread.with_notice, spread.polled_only
        print(
            f"{data_centres * HOSTS_PER_DATA_CENTRE:5d}"
            f"  {statistics.median(noticed):38.2f}  {max(noticed):4.2f}"
            f"   {statistics.median(polled):10.2f}  {max(polled):4.2f}"
        )


if __name__ == "__main__":
    defopt.run(main)
