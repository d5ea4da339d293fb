"""Duties that are held for long periods and rarely act."""

import attrs
import pytest
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.fleet_duties import RELEASE_TIMEOUT_S, FleetDuties, PacedDuty
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.timers import TimerService


@attrs.define
class CountedDuty:
    """A duty that counts its rounds."""

    name: str = "counted"
    rounds: int = 0

    async def do_round(self, lease):
        self.rounds += 1

    def forget(self):
        pass


@attrs.define
class ImpairedPlatform(MemoryPlatform):
    """A platform whose calls take time and whose next writes fail."""

    latency_s: float = 0.0
    errors: list[Exception] = attrs.field(factory=list)

    async def read(self, table, key):
        await trio.sleep(self.latency_s)
        return await MemoryPlatform.read(self, table, key)

    async def transact(self, transaction):
        await trio.sleep(self.latency_s)
        if self.errors:
            raise self.errors.pop()
        return await MemoryPlatform.transact(self, transaction)


async def test_rounds_are_a_period_apart_and_due_at_once_after_a_change_of_holder(
    autojump_clock,
):
    duty = CountedDuty()
    paced = PacedDuty(duty, 5.0)
    for _ in range(10):
        await paced.do_round(None)
        await trio.sleep(1.0)
    assert duty.rounds == 2
    paced.forget()
    await paced.do_round(None)
    assert duty.rounds == 3


async def test_a_duty_is_not_held_once_its_lease_has_lapsed(autojump_clock):
    duties = FleetDuties("a", MemoryPlatform(), lambda: ("a",))
    duties.add(CountedDuty(), 1.0)
    for _ in range(3):
        await duties._duty_tasks[0].runner.step()
        await trio.sleep(1.0)
    assert duties.holds("counted") and not duties.holds("other")
    await trio.sleep(10.0)
    assert not duties.holds("counted")


async def test_a_duty_that_may_not_pause_does_a_round_at_once(autojump_clock):
    duty = CountedDuty()
    paced = PacedDuty(duty, 5.0, may_pause=lambda: duty.rounds >= 3)
    for _ in range(10):
        await paced.do_round(None)
    assert duty.rounds == 3


async def test_a_contender_for_a_frequent_duty_checks_only_at_its_poll_rate(
    autojump_clock, nursery
):
    check_times_s = []

    def members():
        check_times_s.append(trio.current_time())
        return ("a", "b")

    platform = MemoryPlatform()
    held = {"holder": "b", "token": 1, "renewals": 0}
    await platform.transact(Transaction("x", (), (Write("leases", "counted", held),)))
    duties = FleetDuties("a", platform, members)
    duties.add(CountedDuty(), 0.25)
    nursery.start_soon(duties.run, TimerService(seed=1))
    await trio.sleep(7.0)
    assert len(set(check_times_s)) <= 7.0 / (0.9 * duties.bounds.poll_s) + 2
    nursery.cancel_scope.cancel()


# Guards against a successor that waits for the lease to lapse after a planned stop.
@pytest.mark.parametrize(
    "impairment",
    [
        {"latency_s": 1.5},
        {"errors": [PlatformUnavailable("one call failed")]},
        {"errors": [OutcomeUnknown("one response was lost")]},
    ],
    ids=["slow", "failed", "lost"],
)
async def test_a_stop_releases_the_duties_though_the_platform_is_impaired(
    autojump_clock, nursery, impairment
):
    platform = ImpairedPlatform()
    duties = FleetDuties("a", platform, lambda: ("a",))
    duties.add(CountedDuty(), 1.0)
    nursery.start_soon(duties.run, TimerService(seed=1))
    while not duties.holds("counted"):
        await trio.sleep(0.1)
    for name, value in impairment.items():
        setattr(platform, name, value)
    await duties.release()
    platform.latency_s = 0.0
    assert (await platform.read("leases", "counted")).value["holder"] == ""


async def test_a_stop_does_not_wait_long_for_a_platform_that_is_out(
    autojump_clock, nursery
):
    platform = ImpairedPlatform()
    duties = FleetDuties("a", platform, lambda: ("a",))
    duties.add(CountedDuty(), 1.0)
    nursery.start_soon(duties.run, TimerService(seed=1))
    while not duties.holds("counted"):
        await trio.sleep(0.1)
    platform.errors = [PlatformUnavailable("out")] * 1000
    stopped_s = trio.current_time()
    await duties.release()
    assert trio.current_time() - stopped_s <= RELEASE_TIMEOUT_S
