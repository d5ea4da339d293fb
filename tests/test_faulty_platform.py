"""The faults that tests bring about are the ones that were asked for."""

import pytest

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.standins.faulty_platform import Faults, FaultyPlatform
from rhubarbmount.store.interface import LiveHost, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform


async def test_the_list_of_hosts_lags_by_so_many_calls(nursery):
    memory = MemoryPlatform()
    faulty = FaultyPlatform(memory, nursery, Faults(hosts_lag=2))
    seen = []
    for number in range(5):
        memory.hosts = [LiveHost(f"h{number}")]
        seen.append((await faulty.live_hosts())[0].host_id)
    assert seen == ["h0", "h0", "h0", "h1", "h2"]


@pytest.mark.parametrize(
    ("faults", "error", "has_effect"),
    [
        (Faults(down=True), PlatformUnavailable, False),
        (Faults(lost_call_share=1.0), OutcomeUnknown, False),
        (Faults(lost_answer_share=1.0), OutcomeUnknown, True),
    ],
)
async def test_a_write_fails_with_or_without_effect(nursery, faults, error, has_effect):
    memory = MemoryPlatform()
    faulty = FaultyPlatform(memory, nursery, faults)
    with pytest.raises(error):
        await faulty.transact(Transaction("a", (), (Write("t", "x", {}),)))
    assert (await memory.read("t", "x") is not None) == has_effect
