from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.backend_health import AttemptResult, BackendHealth, HealthAction
from rhubarbmount.health import PoolHealth

deterministic = settings(derandomize=True, deadline=None, database=None)
SUCCESS, FAILURE = AttemptResult.SUCCESS, AttemptResult.FAILURE


def make_pool_health(count, hosts_down_limit=1, hosts_down=0):
    pool = PoolHealth(hosts_down_limit, hosts_down)
    return pool, [pool.add(f"w{number}") for number in range(count)]


def record_repeatedly(pool, health, result, times, now_s=0.0, **facts):
    return [pool.record(health, result, now_s, **facts) for _ in range(times)][-1]


def test_an_outlier_by_failures_is_ejected():
    pool, members = make_pool_health(4)
    change = record_repeatedly(pool, members[0], FAILURE, 5)
    assert change.action is HealthAction.EJECTED
    assert members[0].cap(8) == 0


def test_an_outlier_by_latency_is_ejected():
    pool, members = make_pool_health(4)
    changes = [pool.record(members[0], SUCCESS, 0.0, slowness=5.0) for _ in range(20)]
    assert HealthAction.EJECTED in {c.action for c in changes if c is not None}


def test_a_pool_that_fails_as_a_whole_keeps_all_its_members():
    pool, members = make_pool_health(4, hosts_down_limit=4)
    for _ in range(30):
        for health in members:
            pool.record(health, FAILURE, 0.0)
    assert pool.absent == set()


def test_hosts_that_are_down_by_their_row_use_up_the_limit():
    pool, members = make_pool_health(4, hosts_down_limit=1, hosts_down=1)
    change = record_repeatedly(pool, members[0], FAILURE, 20)
    assert change.action is HealthAction.EJECTION_CAPPED
    assert members[0].cap(8) == 8
    assert members[0].penalty(0.0) > 100


def test_the_last_host_that_serves_is_not_ejected():
    pool, (health, _drained) = make_pool_health(2, hosts_down_limit=2, hosts_down=1)
    change = record_repeatedly(pool, health, FAILURE, 20)
    assert change.action is HealthAction.EJECTION_CAPPED
    assert health.cap(8) == 8


def test_ejections_end_when_nobody_else_serves():
    pool, (health, _other) = make_pool_health(2, hosts_down_limit=2)
    record_repeatedly(pool, health, FAILURE, 5)
    assert pool.readmit() == []
    pool.hosts_down = 1
    assert [change.host_id for change in pool.readmit()] == [health.host_id]


def test_unreachable_hosts_sit_out_beyond_the_limit_but_not_for_long():
    pool, members = make_pool_health(4, hosts_down_limit=0)
    for health in members:
        pool.record(health, AttemptResult.UNREACHABLE, 0.0)
    assert [health.cap(8) for health in members] == [0] * 4
    assert all(health.due_s() <= 2.0 for health in members)


def test_pauses_of_an_unreachable_host_grow_to_a_bound():
    pool, (health,) = make_pool_health(1)
    pauses = []
    now_s = 0.0
    for _ in range(6):
        change = pool.record(health, AttemptResult.UNREACHABLE, now_s)
        pauses.append(change.until_s - now_s)
        now_s = change.until_s
        health.wake(now_s, 8)
        assert health.cap(8) == 1
    assert pauses == [0.5, 1.0, 2.0, 2.0, 2.0, 2.0]


def test_many_failed_connections_at_once_count_as_one():
    pool, (health,) = make_pool_health(1)
    record_repeatedly(pool, health, AttemptResult.UNREACHABLE, 8)
    assert health.due_s() == 0.5


def test_a_guard_refusal_limits_work_and_is_no_failure():
    pool, (health, _) = make_pool_health(2)
    refusal = AttemptResult.GUARD_REFUSAL
    change = record_repeatedly(pool, health, refusal, 10, others_in_flight=3)
    assert change.action is HealthAction.LIMITED
    assert health.success_rate == 1.0
    assert health.cap(8) == 3
    for second in range(1, 6):
        health.wake(float(second), 8)
    assert health.cap(8) == 8


def test_a_backend_whose_guard_refuses_all_work_gets_none():
    pool, (health, _) = make_pool_health(2)
    change = record_repeatedly(
        pool, health, AttemptResult.GUARD_REFUSAL, 1, others_in_flight=0
    )
    assert change.action is HealthAction.REFUSING
    assert health.cap(8) == 0


def test_a_probe_that_fails_is_followed_by_a_longer_ejection():
    pool, (health, *_) = make_pool_health(4)
    record_repeatedly(pool, health, FAILURE, 5)
    health.wake(5.0, 8)
    assert health.cap(8) == 1
    change = pool.record(health, FAILURE, 5.0)
    assert change.action is HealthAction.EJECTED
    assert change.until_s == 15.0


def test_a_probe_that_succeeds_restores_with_a_slow_start():
    pool, (health, *_) = make_pool_health(4)
    record_repeatedly(pool, health, FAILURE, 5)
    health.wake(5.0, 8)
    change = pool.record(health, SUCCESS, 5.0, slowness=1.0)
    assert change.action is HealthAction.RESTORED
    assert health.cap(8) == 8
    assert pool.absent == set()
    assert health.penalty(5.0) > health.penalty(10.0) > health.penalty(60.0)


def test_a_cancelled_attempt_does_not_change_health():
    pool, (health,) = make_pool_health(1)
    assert record_repeatedly(pool, health, AttemptResult.CANCELLED, 10) is None
    assert (health.results, health.cap(8)) == (0, 8)


def test_penalties_decay_so_that_a_recovered_backend_is_tried_again():
    health = BackendHealth("w1", relative_slowness=10.0, suspect=True)
    assert health.penalty(0.0) == 100.0
    assert health.penalty(60.0) == 1.0


@deterministic
@given(
    st.integers(0, 3),
    st.integers(0, 3),
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.sampled_from(AttemptResult),
            st.floats(0.1, 20),
            st.floats(0, 3),
        ),
        max_size=200,
    ),
)
def test_ejections_stay_within_the_limit(limit, hosts_down, steps):
    pool, members = make_pool_health(6, limit, hosts_down)
    now_s = 0.0
    for index, result, slowness, pause_s in steps:
        now_s += pause_s
        health = members[index]
        health.wake(now_s, 8)
        before = {item.host_id for item in members if item.ejected}
        change = pool.record(health, result, now_s, slowness=slowness)
        assert health.penalty(now_s) >= 1.0
        ejected = {item.host_id for item in members if item.ejected}
        if change is not None and ejected - before:
            assert hosts_down + len(pool.absent) <= limit


def test_a_pool_that_slows_down_as_a_whole_keeps_all_its_members():
    for count in (1, 2, 8):
        pool, members = make_pool_health(count, hosts_down_limit=count)
        for _ in range(30):
            for health in members:
                pool.record(health, SUCCESS, 0.0, slowness=8.0)
        assert pool.absent == set()
        assert all(health.penalty(0.0) < 2.0 for health in members)


def test_one_of_two_that_is_slow_is_ejected():
    pool, (slow, healthy) = make_pool_health(2)
    for _ in range(20):
        pool.record(healthy, SUCCESS, 0.0, slowness=0.4)
        pool.record(slow, SUCCESS, 0.0, slowness=1.6)
    assert pool.absent == {"w0"}


def test_old_latencies_do_not_mark_a_rarely_used_backend_as_slow():
    pool, (rare, *others) = make_pool_health(4)
    for health in (rare, *others) * 20:
        pool.record(health, SUCCESS, 0.0, slowness=8.0)
    for step in range(600):
        for health in others:
            pool.record(health, SUCCESS, step * 0.1, slowness=1.0)
    pool.record(rare, SUCCESS, 60.0, slowness=1.0)
    assert pool.absent == set()
    assert rare.penalty(60.0) == 1.0


def pool_health_with_slow_member(slowness, hosts_down_limit=0):
    """Return the health of a pool of 8 and of its first member, the slow one.

    ``slowness`` is that member's latency relative to the others.
    """
    pool, members = make_pool_health(8, hosts_down_limit)
    for _ in range(40):
        for health in members[1:]:
            pool.record(health, SUCCESS, 0.0, slowness=1.0)
        pool.record(members[0], SUCCESS, 0.0, slowness=slowness)
    return pool, members[0]


def test_a_slow_member_that_may_not_be_ejected_holds_fewer_requests():
    pool, slow = pool_health_with_slow_member(3.0)
    assert pool.absent == set()
    assert slow.cap(64) in (7, 8)
    assert slow.cap(2) == 1


def test_a_slow_member_rests_between_requests_when_one_at_a_time_is_too_many():
    _, slow = pool_health_with_slow_member(5.0)
    slow.rest(10.0, 0.1, 2)
    assert slow.cap(2) == 0
    assert 11.0 < slow.due_s() <= 12.0
    slow.wake(slow.due_s(), 2)
    assert slow.cap(2) == 1


def test_the_rest_of_a_slow_member_has_a_bound():
    _, slow = pool_health_with_slow_member(9.0)
    slow.rest(10.0, 5.0, 1)
    assert slow.due_s() == 12.0


def test_a_member_that_is_as_fast_as_the_others_does_not_rest():
    _, as_fast = pool_health_with_slow_member(1.2)
    as_fast.rest(10.0, 5.0, 2)
    assert as_fast.cap(2) == 2
