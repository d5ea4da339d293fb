"""Orders of two holders to one host do not take turns."""

from rhubarbmount.batch.host_orders import HostOrders


def make(clock, pause_s=3.0):
    return HostOrders(lambda: clock[0], pause_s)


def test_a_next_holder_waits_for_hosts_that_were_just_ordered():
    clock = [100.0]
    first = make(clock)
    first.note("m1")
    clock[0] = 101.0
    second = make(clock)
    second.load(first.encode())
    assert not second.may_order("m1")
    assert second.may_order("m2")
    clock[0] = 103.4
    assert not second.may_order("m1")
    clock[0] = 103.5
    assert second.may_order("m1")


def test_a_holder_does_not_wait_for_itself():
    clock = [100.0]
    orders = make(clock)
    orders.note("m1")
    assert orders.may_order("m1")


def test_old_orders_are_forgotten():
    clock = [100.0]
    orders = make(clock)
    orders.note("m1")
    clock[0] = 140.0
    orders.note("m2")
    assert b"m1" not in orders.encode()
