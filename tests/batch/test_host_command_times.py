"""Orders of two holders to one host do not take turns."""

from rhubarbmount.batch.host_command_times import HostCommandTimes


def make(clock, pause_s=3.0):
    return HostCommandTimes(lambda: clock[0], pause_s)


def test_a_next_holder_waits_for_hosts_that_were_just_ordered():
    clock = [100.0]
    first = make(clock)
    first.note("m1")
    clock[0] = 101.0
    second = make(clock)
    second.load(first.encode())
    assert not second.may_command("m1")
    assert second.may_command("m2")
    clock[0] = 103.4
    assert not second.may_command("m1")
    clock[0] = 103.5
    assert second.may_command("m1")


def test_a_holder_does_not_wait_for_itself():
    clock = [100.0]
    command_times = make(clock)
    command_times.note("m1")
    assert command_times.may_command("m1")


def test_old_orders_are_forgotten():
    clock = [100.0]
    command_times = make(clock)
    command_times.note("m1")
    clock[0] = 140.0
    command_times.note("m2")
    assert b"m1" not in command_times.encode()
