"""Pools without servers beside one whose tasks take every free place."""

import pytest

from rhubarbmount.batch.capacity import CapacityPlanner
from rhubarbmount.batch.model import Step, Task, TaskId, TaskState
from rhubarbmount.batch.placing import Shortage
from rhubarbmount.batch.starved_pools import EMPTYING_S, REST_S, STARVED_AFTER_S
from tests.batch.test_capacity import host, plan, usage

SHORTAGES = {"one": Shortage(1000, 0, 1, 1.0), "two": Shortage(90_000, 0, 90, 90.0)}


def busy(server_id, tasks=1, **step_fields):
    """Return a server of pool two with tasks."""
    result = usage(server_id, "two")
    for number in range(tasks):
        task = Task(TaskId(server_id, 0, 0, number), TaskState.ASSIGNED)
        task.server_id = server_id
        result.add(task, Step(tasks, 1000, 0, **step_fields))
    return result


def make_fleet(*usages):
    hosts = [
        host(f"m-{item.server.id}", "two", server_id=item.server.id) for item in usages
    ]
    return hosts, usages


@pytest.fixture
def planner():
    return CapacityPlanner()


def emptied_at(planner, now_s, fleet):
    """Plan at a time; return the moves and the hosts that are being emptied."""
    moves = plan(planner, now_s, *fleet, shortage=SHORTAGES)
    return moves, list(planner.starved.emptying_host_ids)


# Guards against a pool whose callers wait for as long as another has enough to do.
def test_a_host_is_emptied_and_moved_to_a_pool_without_servers(planner):
    fleet = make_fleet(busy("s0", 3), busy("s1", 1), busy("s2", 2))
    assert emptied_at(planner, 0.0, fleet) == ([], [])
    assert emptied_at(planner, STARVED_AFTER_S, fleet) == ([], ["m-s1"])
    hosts, usages = fleet
    fleet = hosts, [usages[0], usage("s1", "two"), usages[2]]
    moves, _ = emptied_at(planner, STARVED_AFTER_S + 0.5, fleet)
    assert [(move.host_id, move.pool) for move in moves] == [("m-s1", "one")]
    planner.note_command(moves[0], STARVED_AFTER_S + 0.5)
    assert emptied_at(planner, STARVED_AFTER_S + 0.6, fleet) == ([], [])


# Guards against hosts taken from a busy pool for one that is merely busier, or slow.
@pytest.mark.parametrize("slow_until_s", [0.0, 100.0])
def test_no_host_is_emptied_for_a_pool_that_has_one(planner, slow_until_s):
    fleet = make_fleet(busy("s0"), busy("s1"))
    hosts, usages = fleet
    own = usage("s9", "one")
    own.slow_until_s = slow_until_s
    fleet = [*hosts, host("m-s9", "one", server_id="s9")], [*usages, own]
    for now_s in (0.0, STARVED_AFTER_S, 2 * STARVED_AFTER_S):
        assert emptied_at(planner, now_s, fleet)[1] == []


# Guards against a pool that is left without servers, and tasks that last being moved.
@pytest.mark.parametrize(
    "usages",
    [
        (busy("s0"),),
        (busy("s0", is_long_running=True), busy("s1", is_long_running=True)),
    ],
)
def test_the_last_server_and_tasks_that_last_are_left_alone(planner, usages):
    fleet = make_fleet(*usages)
    for now_s in (0.0, STARVED_AFTER_S):
        assert emptied_at(planner, now_s, fleet)[1] == []


# Guards against a host that stays empty for nobody.
def test_a_host_is_given_back_once_the_pool_lacks_nothing(planner):
    fleet = make_fleet(busy("s0"), busy("s1"))
    emptied_at(planner, 0.0, fleet)
    assert emptied_at(planner, STARVED_AFTER_S, fleet)[1] == ["m-s0"]
    end_s = STARVED_AFTER_S + EMPTYING_S
    assert emptied_at(planner, end_s - 0.1, fleet)[1] == ["m-s0"]
    no_shortage = {"two": SHORTAGES["two"]}
    plan(planner, end_s - 0.1, *fleet, shortage=no_shortage)
    assert not planner.starved.emptying_host_ids


# Guards against a host that is closed for as long as a pool is starved, though it can't
# be emptied or moved: what needs just this host would wait for good.
def test_a_host_that_could_not_be_moved_takes_tasks_again(planner):
    fleet = make_fleet(busy("s0", 1), busy("s1", 2))
    emptied_at(planner, 0.0, fleet)
    assert emptied_at(planner, STARVED_AFTER_S, fleet)[1] == ["m-s0"]
    end_s = STARVED_AFTER_S + EMPTYING_S
    assert emptied_at(planner, end_s, fleet)[1] == ["m-s1"]
    assert emptied_at(planner, end_s + EMPTYING_S - 0.1, fleet)[1] == ["m-s1"]
    assert emptied_at(planner, end_s + REST_S, fleet)[1] == ["m-s0"]
