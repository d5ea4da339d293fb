"""The sweeper deletes a bounded number of rows, only past their retention."""

from random import Random

import trio

from rhubarbmount.claim_guard import open_claims
from rhubarbmount.store.client import open_client
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.sweep import CLAIM_RETENTION_S, PERIOD_S, Bucket, Sweeper
from rhubarbmount.timers import open_timers

BUCKET = Bucket("claims", "quotes/", "claimed_s", 10.0)


async def add_claims(memory, count, claimed_s):
    start = len(await memory.scan("claims", ""))
    writes = tuple(
        Write("claims", f"quotes/{number:04}", {"claimed_s": claimed_s})
        for number in range(start, start + count)
    )
    await memory.transact(Transaction(f"add-{start}", (), writes))


async def test_only_expired_rows_are_deleted(autojump_clock):
    memory = MemoryPlatform()
    await add_claims(memory, 5, claimed_s=0.0)
    await add_claims(memory, 3, claimed_s=95.0)
    sweeper = Sweeper(open_client(memory), lambda: ["quotes"], lambda: 100.0)
    assert await sweeper.sweep(BUCKET) == 5
    assert len(await memory.scan("claims", "")) == 3


async def test_a_sweep_is_bounded_and_the_next_one_continues(autojump_clock):
    memory = MemoryPlatform()
    await add_claims(memory, 2000, claimed_s=0.0)
    client = open_client(memory, live_entry_hosts=lambda: 70, deadline_s=60.0)
    sweeper = Sweeper(client, lambda: ["quotes"], lambda: 100.0)
    first = await sweeper.sweep(BUCKET)
    assert 0 < first <= 20
    assert client.writes_acquired == first
    await sweeper.sweep(BUCKET)
    assert sweeper.deleted == 2 * first


async def test_a_row_written_since_the_scan_is_kept(autojump_clock):
    memory = MemoryPlatform()
    await add_claims(memory, 1, claimed_s=0.0)

    class Racing(MemoryPlatform):
        async def scan(self, table, prefix=""):
            rows = await memory.scan(table, prefix)
            write = Write("claims", "quotes/0000", {"claimed_s": 99.0})
            await memory.transact(Transaction("new", (), (write,)))
            return rows

        async def transact(self, transaction):
            return await memory.transact(transaction)

    sweeper = Sweeper(open_client(Racing()), lambda: ["quotes"], lambda: 100.0)
    assert await sweeper.sweep(BUCKET) == 0
    assert len(await memory.scan("claims", "")) == 1


async def test_random_buckets_reach_every_claim_and_operation(autojump_clock):
    memory = MemoryPlatform()
    client = open_client(memory, wall_clock=lambda: 0.0)
    async with open_claims("a", client, lambda: 0.0) as claims:
        for number in range(50):
            async with claims.guard("quotes", str(number), "r") as held:
                held.ran(201)
    await client.transact(Transaction("edit", (), ()))
    assert len(await memory.scan("claims", "")) == 50
    later_s = CLAIM_RETENTION_S + 1.0
    sweeper = Sweeper(client, lambda: ["quotes"], lambda: later_s, Random(1))
    async with open_timers(seed=1) as timers:
        with trio.move_on_after(PERIOD_S * 256 * 8):
            await sweeper.run(timers)
    assert await memory.scan("claims", "") == []
    assert await memory.scan("operations", "") == []
