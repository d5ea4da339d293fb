"""Duties that are held for long and act seldom."""

import attrs
import trio

from rhubarbmount.fleet_duties import PacedDuty


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


async def test_a_duty_that_may_not_pause_does_a_round_at_once(autojump_clock):
    duty = CountedDuty()
    paced = PacedDuty(duty, 5.0, may_pause=lambda: duty.rounds >= 3)
    for _ in range(10):
        await paced.do_round(None)
    assert duty.rounds == 3
