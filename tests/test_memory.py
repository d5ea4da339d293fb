"""Embedded in-memory platform."""

from rhubarbmount.store.interface import Precondition, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform


async def test_failed_precondition_changes_no_row():
    platform = MemoryPlatform()
    await platform.transact(Transaction("a", (), (Write("t", "x", {"n": 1}),)))
    result = await platform.transact(
        Transaction(
            "b",
            (Precondition("t", "x", version=0),),
            (Write("t", "x", {"n": 2}), Write("t", "y", {"n": 2})),
        )
    )
    assert result.conflicts == (("t", "x"),)
    assert (await platform.read("t", "x")).value == {"n": 1}
    assert await platform.read("t", "y") is None


async def test_recreated_row_has_a_higher_version():
    platform = MemoryPlatform()
    await platform.transact(Transaction("a", (), (Write("t", "x", {}),)))
    first = await platform.read("t", "x")
    await platform.transact(Transaction("b", (), (Write("t", "x", None),)))
    await platform.transact(Transaction("c", (), (Write("t", "x", {}),)))
    assert (await platform.read("t", "x")).version > first.version


async def test_scan_returns_prefix_matches_in_key_order():
    platform = MemoryPlatform()
    for key in ("b/2", "a/1", "b/1", "c/1"):
        await platform.transact(Transaction(key, (), (Write("t", key, {}),)))
    assert [row.key for row in await platform.scan("t", "b/")] == ["b/1", "b/2"]
