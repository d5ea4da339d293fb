"""A small fleet on the embedded platform, and a wrapper that counts its calls."""

from collections import Counter

import attrs

from rhubarbmount.entries import Pool, dump_entry
from rhubarbmount.host_rows import HostChange, host_update
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.store.interface import LiveHost, Transaction
from rhubarbmount.store.memory import MemoryPlatform


def make_pool(name="quotes", **limits):
    return Pool(name=name, owner="sfax", **{"hosts_wanted": 8, **limits})


def make_host(number, pool="quotes", **fields):
    values = {
        "host_id": f"{pool[0]}{number}",
        "pool": pool,
        "data_centre": "dc1",
        "rack": f"{pool[0]}r{number // 4}",
        "address": f"127.0.0.1:{9000 + number}",
        "shape": Shape(16, 64),
    }
    return Host(**{**values, **fields})


def pool_row(pool, version=1):
    return {"version": version, "values": dump_entry(pool)}


async def commit(platform, name, builder):
    return await platform.transact(
        Transaction(name, tuple(builder.preconditions), tuple(builder.writes))
    )


async def fill(platform, pools, hosts):
    """Write entries and hosts, and list every host as live."""
    builder = host_update(None, [HostChange(None, host) for host in hosts])
    for pool in pools:
        builder.write("entries", f"pool/{pool.name}", pool_row(pool))
    await commit(platform, "fill", builder)
    platform.hosts = [LiveHost(host.host_id) for host in hosts]


@attrs.define
class ManualClock:
    """A clock that moves when the test says so."""

    now_s: float = 1000.0

    def read(self):
        return self.now_s


@attrs.define
class CountedPlatform:
    """Pass calls on and count them, or raise the set error."""

    inner: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    calls: Counter = attrs.field(factory=Counter)
    error: Exception | None = None
    on_transact: object = None

    def _note(self, method, table=""):
        self.calls[method, table] += 1
        if self.error is not None:
            raise self.error

    async def read(self, table, key):
        self._note("read", table)
        return await self.inner.read(table, key)

    async def scan(self, table, prefix=""):
        self._note("scan", table)
        return await self.inner.scan(table, prefix)

    async def transact(self, transaction):
        self._note("transact")
        if self.on_transact is not None:
            return await self.on_transact(transaction)
        return await self.inner.transact(transaction)

    async def live_hosts(self):
        self._note("live_hosts")
        return await self.inner.live_hosts()

    async def command_host(self, command):
        self._note("command_host")
        await self.inner.command_host(command)
