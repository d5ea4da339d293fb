"""Commands of two holders to one host do not interleave."""

import pytest

from rhubarbmount.batch.host_command_times import MAX_WINDOW_S, HostCommandTimes
from rhubarbmount.batch.record_fields import UnreadableRecord


def make_command_times(clock, pause_s=3.0):
    return HostCommandTimes(lambda: clock[0], pause_s)


def test_next_holder_leaves_recently_commanded_hosts_alone():
    clock = [100.0]
    first_holder = make_command_times(clock)
    first_holder.note("m1", 0.0)
    clock[0] = 101.0
    next_holder = make_command_times(clock)
    next_holder.load(first_holder.encode())
    assert not next_holder.may_command("m1")
    assert next_holder.may_command("m2")
    clock[0] = 103.4
    assert not next_holder.may_command("m1")
    clock[0] = 103.5
    assert next_holder.may_command("m1")


def test_holder_is_not_delayed_by_its_own_commands():
    clock = [100.0]
    command_times = make_command_times(clock)
    command_times.note("m1", 0.0)
    assert command_times.may_command("m1")


def test_old_commands_are_removed():
    clock = [100.0]
    command_times = make_command_times(clock)
    command_times.note("m1", 0.0)
    clock[0] = 140.0
    command_times.note("m2", 0.0)
    assert b"m1" not in command_times.encode()


def test_commands_may_be_sent_until_the_recorded_time():
    clock = [100.0]
    command_times = make_command_times(clock)
    assert not command_times.may_send("m1")
    command_times.note("m1", 0.5)
    clock[0] = 100.5
    assert command_times.may_send("m1")
    next_holder = make_command_times(clock)
    next_holder.load(command_times.encode())
    clock[0] = 103.9
    assert not command_times.may_send("m1")
    assert not next_holder.may_command("m1")
    clock[0] = 104.0
    assert next_holder.may_command("m1")


# Guards against two holders that take turns on a host.
@pytest.mark.parametrize("value", [b"{", b"[]", b'{"m1":"x"}', b'{"m1":NaN}'])
def test_no_host_is_commanded_soon_if_the_times_cant_be_read(value):
    clock = [100.0]
    first_holder = make_command_times(clock)
    first_holder.note("m1", 1000.0)
    latest_s = 100.0 + MAX_WINDOW_S
    clock[0] = latest_s
    assert first_holder.may_send("m1")
    clock[0] = latest_s + 0.01
    assert not first_holder.may_send("m1")
    clock[0] = 100.0
    next_holder = make_command_times(clock)
    with pytest.raises(UnreadableRecord):
        next_holder.load(value)
    next_holder.block_all()
    clock[0] = latest_s + 3.4
    assert not next_holder.may_command("m1")
    clock[0] = latest_s + 3.51
    assert next_holder.may_command("m1")
