"""Batched lease renewals: one transaction, and no lease depends on another."""

import attrs
import pytest
import trio
import trio.testing

from rhubarbmount.duties import LeaseRow
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.fleet_duties import FleetDuties
from rhubarbmount.lease_renewals import LeaseChange, LeaseRenewals
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.timers import TimerService
from tests.fleetkit import CountedPlatform

NAMES = ("hosts", "repair", "waves", "cadence", "scheduling")


@attrs.define
class CountedDuty:
    """A duty that only counts its rounds."""

    name: str
    rounds: int = 0

    async def do_round(self, lease):
        self.rounds += 1

    def forget(self):
        pass


@attrs.define
class SlowPlatform(CountedPlatform):
    """A platform whose scans take 10 ms."""

    async def scan(self, table, prefix=""):
        rows = await super().scan(table, prefix)
        await trio.sleep(0.01)
        return rows


def steal(platform, duty):
    row = platform.inner.tables["leases"][duty]
    stolen = {"holder": "b", "token": row.value["token"] + 1, "renewals": 0}
    platform.inner.tables["leases"][duty] = attrs.evolve(row, value=stolen)


@pytest.fixture
async def held(autojump_clock, nursery):
    """Return a platform and the duties of its one entry host, which holds them all."""
    platform = CountedPlatform()
    duties = FleetDuties("a", platform, lambda: ("a",))
    for name in NAMES:
        duties.add(CountedDuty(name), 1.0)
    nursery.start_soon(duties.run, TimerService(seed=1))
    await trio.sleep(5.0)
    assert all(duties.holds(name) for name in NAMES)
    return platform, duties


async def test_leases_of_an_entry_host_are_renewed_in_one_transaction(
    held, autojump_clock
):
    platform, duties = held
    platform.calls.clear()
    await trio.sleep(40.0)
    assert all(duties.holds(name) for name in NAMES)
    assert platform.calls["transact", ""] <= 40.0 / duties.bounds.renewal_s


async def test_contenders_of_an_entry_host_share_each_scan(autojump_clock, nursery):
    platform = SlowPlatform()
    for name in NAMES:
        row = {"holder": "b", "token": 1, "renewals": 0}
        write = Write("leases", name, row)
        await platform.inner.transact(Transaction(name, (), (write,)))
    duties = FleetDuties("a", platform, lambda: ("a", "b"))
    for name in NAMES:
        duties.add(CountedDuty(name), 1.0)
    nursery.start_soon(duties.run, TimerService(seed=1))
    await trio.sleep(3.5)
    platform.calls.clear()
    await trio.sleep(4.0)
    assert platform.calls["scan", "leases"] <= 5


async def test_the_other_leases_are_renewed_at_once_when_one_is_lost(
    held, autojump_clock
):
    platform, duties = held
    steal(platform, "waves")
    platform.calls.clear()
    start_s = trio.current_time()
    rounds = {
        task.runner.duty.name: task.runner.duty.rounds for task in duties._duty_tasks
    }
    while trio.current_time() - start_s < 5.0:
        await trio.sleep(0.1)
        assert all(duties.holds(name) for name in NAMES if name != "waves")
    assert not duties.holds("waves")
    assert platform.calls["read", "leases"] == 1
    for task in duties._duty_tasks:
        name, count = task.runner.duty.name, task.runner.duty.rounds
        if name != "waves":
            assert count - rounds[name] >= 4


def changes():
    return [LeaseChange(name, None, LeaseRow("a", 1, 0)) for name in NAMES]


async def renew_all(renewals):
    """Request all renewals at the same time and return the outcome of each."""
    outcomes = {}

    async def renew(change):
        try:
            outcomes[change.duty] = await renewals.renew(change)
        except (OutcomeUnknown, PlatformUnavailable) as error:
            outcomes[change.duty] = type(error)

    async with trio.open_nursery() as nursery:
        for change in changes():
            nursery.start_soon(renew, change)
    return outcomes


async def test_each_lost_lease_is_reported_to_its_own_duty_only():
    platform = CountedPlatform()
    for name in NAMES[:2]:
        row = {"holder": "b", "token": 1, "renewals": 0}
        write = Write("leases", name, row)
        await platform.inner.transact(Transaction(name, (), (write,)))
    outcomes = await renew_all(LeaseRenewals(platform, lambda: "x"))
    assert outcomes == {name: name not in NAMES[:2] for name in NAMES}
    assert platform.calls["transact", ""] == 2
    holders = {
        key: row.value["holder"] for key, row in platform.inner.tables["leases"].items()
    }
    assert holders == {name: "b" if name in NAMES[:2] else "a" for name in NAMES}


@pytest.mark.parametrize("error", [OutcomeUnknown, PlatformUnavailable])
async def test_an_error_is_reported_to_every_duty(error):
    platform = CountedPlatform(error=error("lost"))
    outcomes = await renew_all(LeaseRenewals(platform, lambda: "x"))
    assert outcomes == dict.fromkeys(NAMES, error)


async def test_batched_renewals_fail_when_the_sending_task_is_cancelled():
    platform = CountedPlatform()

    async def hang(transaction):
        await trio.sleep_forever()

    platform.on_transact = hang
    renewals = LeaseRenewals(platform, lambda: "x")
    scopes, outcomes = [], []

    async def renew(change):
        with trio.CancelScope() as scope:
            scopes.append(scope)
            try:
                await renewals.renew(change)
            except OutcomeUnknown:
                outcomes.append(change.duty)

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            for change in changes():
                nursery.start_soon(renew, change)
            await trio.testing.wait_all_tasks_blocked()
            scopes[0].cancel()
    assert len(outcomes) == len(NAMES) - 1
