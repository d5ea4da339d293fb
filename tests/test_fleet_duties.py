"""Duties that are held for long periods and rarely act."""

import attrs
import trio

from rhubarbmount.fleet_duties import FleetDuties, PacedDuty
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
