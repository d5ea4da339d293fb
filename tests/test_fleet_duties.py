"""Duties that are held for long and act seldom."""

import attrs
import trio

from rhubarbmount.fleet_duties import FleetDuties, PacedDuty
from rhubarbmount.platform.memory import MemoryPlatform


@attrs.define
class CountedDuty:
    """Counts its rounds."""

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
        await duties._parts[0].runner.step()
        await trio.sleep(1.0)
    assert duties.holds("counted") and not duties.holds("other")
    await trio.sleep(10.0)
    assert not duties.holds("counted")
