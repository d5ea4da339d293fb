"""Writing the status of waves to the operator's rows."""

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch.wave_status import WaveStatusWriter
from rhubarbmount.errors import OutcomeUnknown
from rhubarbmount.platform.rows import RowStore
from tests.batch.world import STORE, SimulatedCaller, open_world


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


class RecordingStore:
    """A store that fails the first writes, and records the values of the others."""

    def __init__(self, failures=0):
        self.values = []
        self._failures = failures

    async def commit(self, expected, puts):
        await trio.sleep(0.01)
        if self._failures:
            self._failures -= 1
            raise OutcomeUnknown("no answer")
        self.values.extend(value for value in puts.values())
        return len(self.values)


async def test_a_status_is_written_once(autojump_clock, nursery):
    store = RecordingStore(failures=2)
    writer = WaveStatusWriter(store)
    nursery.start_soon(writer.run)
    for is_complete in (False, False, False, True, True):
        writer.put(1, is_complete)
        await trio.sleep(1.0)
    assert [b"complete" in value for value in store.values] == [False, True]


# Guards against a wave that is shown as active for ever.
async def test_a_status_requested_during_a_write_is_written_next(
    autojump_clock, nursery
):
    store = RecordingStore()
    writer = WaveStatusWriter(store)
    nursery.start_soon(writer.run)
    writer.put(1, False)
    await trio.sleep(0.005)
    writer.put(1, True)
    await trio.sleep(1.0)
    assert [b"complete" in value for value in store.values] == [False, True]


# Guards against a wave that is shown as active for ever: a holder that was cut
# off writes its status after its successor has written that it is complete.
async def test_a_replaced_holder_does_not_show_a_complete_wave_as_active(
    monkeypatch, autojump_clock
):
    async with open_world(monkeypatch) as world:
        first, second = (
            WaveStatusWriter(RowStore(SimulatedCaller(name, world), STORE))
            for name in "ab"
        )
        for writer in (first, second):
            world.nursery.start_soon(writer.run)
        first.put(1, False)
        await trio.sleep(1.0)
        world.faults.nodes_cut_from_store = {"a"}
        first.put(2, False)
        for wave in (1, 2):
            second.put(wave, True)
        await trio.sleep(1.0)
        world.faults.nodes_cut_from_store = set()
        await trio.sleep(3.0)
        states = [world.platform.wave_state(wave) for wave in (1, 2)]
        assert states == ["complete", "complete"]
