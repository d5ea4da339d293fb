"""A small fleet on the embedded platform, and a wrapper that counts its calls."""

from collections import Counter

import attrs

from rhubarbmount.entries import Pool, dump_entry
from rhubarbmount.hostrows import HostChange, host_terms
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.platform.interface import LiveHost, Transaction
from rhubarbmount.platform.memory import MemoryPlatform


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


async def commit(platform, name, terms):
    return await platform.transact(
        Transaction(name, tuple(terms.preconditions), tuple(terms.writes))
    )


async def fill(platform, pools, hosts):
    """Write entries and hosts, and list every host as live."""
    terms = host_terms(None, [HostChange(None, host) for host in hosts])
    for pool in pools:
        terms.write("entries", f"pool/{pool.name}", pool_row(pool))
    await commit(platform, "fill", terms)
    platform.hosts = [LiveHost(host.host_id) for host in hosts]


@attrs.define
class CountedPlatform:
    """Pass calls on and count them by method and table."""

    inner: MemoryPlatform = attrs.field(factory=MemoryPlatform)
    calls: Counter = attrs.field(factory=Counter)

    async def read(self, table, key):
        self.calls["read", table] += 1
        return await self.inner.read(table, key)

    async def scan(self, table, prefix=""):
        self.calls["scan", table] += 1
        return await self.inner.scan(table, prefix)

    async def transact(self, transaction):
        self.calls["transact", ""] += 1
        return await self.inner.transact(transaction)

    async def live_hosts(self):
        self.calls["live_hosts", ""] += 1
        return await self.inner.live_hosts()

    async def command_host(self, command):
        self.calls["command_host", ""] += 1
        await self.inner.command_host(command)
