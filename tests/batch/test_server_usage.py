"""Resources of a backend server that its runs use."""

from rhubarbmount.batch.model import Step, Task, TaskId
from rhubarbmount.batch.server_usage import ServerUsage
from tests.batch.test_shard import server

STEP = Step(1, 3000, 500)


def make_usage():
    return ServerUsage(server("s"), 0.0, is_reachable=True)


# Guards against starts over the capacity of a server while runs there are stopped.
def test_runs_that_are_being_stopped_use_resources_until_they_are_gone():
    usage = make_usage()
    usage.set_strays([STEP])
    assert not usage.fits(STEP)
    assert usage.has_runs
    usage.set_strays([STEP])
    assert usage.used_cpu_millicores == STEP.cpu_millicores
    usage.set_strays([])
    assert usage.fits(STEP)
    assert not usage.has_runs


def test_no_task_is_assigned_beside_a_run_of_unknown_needs():
    usage = make_usage()
    usage.set_strays([None])
    assert not usage.is_open(0.0)
    usage.set_strays([])
    assert usage.is_open(0.0)


def test_tasks_that_come_and_go_leave_no_use_behind():
    usage = make_usage()
    long_running = Step(1, 1000, 100, is_long_running=True, goal_ms=5.0)
    best_effort = Step(1, 700, 100, is_long_running=True, fills=True)
    for number, step in enumerate((STEP, long_running, best_effort)):
        usage.add(Task(TaskId("j", 0, 0, number)), step)
    assert usage.used_cpu_millicores == 4000
    assert usage.long_running_cpu_millicores == 1000
    assert usage.has_long_running and usage.has_goal and usage.has_fills
    for number in range(3):
        usage.remove(TaskId("j", 0, 0, number), 1.0)
    assert usage.used_cpu_millicores == usage.used_memory_mb == 0
    assert usage.long_running_cpu_millicores == 0
    assert not (usage.has_long_running or usage.has_goal or usage.has_fills)
