"""Placement of waiting tasks: what a pass costs and what it decides."""

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.model import Job, JobSpec, Queue, QueueName, Server, Step
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard

NAME = QueueName("h", "/q/")
QUEUE = Queue(NAME, "one", 0, 3, 1.6, 0.6)
SERVER = Server("s", "one", "a:1", "z", False, 8000, 8000, 0, frozenset(), "r", 1)


def make_shard(server_cpus, steps):
    """Return a shard with a server of each capacity and a job of each step."""
    shard = Shard(Catalogue(1, {NAME: QUEUE}, {}), wall_clock_s=100.0)
    for number, cpu in enumerate(server_cpus):
        server = attrs.evolve(
            SERVER, id=f"s{number:03}", cpu_millicores=cpu, rack=f"r{number % 2}"
        )
        shard.put_server(server, 0.0).is_reachable = True
    for number, step in enumerate(steps):
        shard.add_job(Job(JobSpec(f"j{number:04}", NAME, "one", "", (step,), 100.0)))
    return shard


class CountedUsage(ServerUsage):
    """A server that counts how often its capacity is looked at."""

    looks = 0

    def fits(self, step):
        CountedUsage.looks += 1
        return super().fits(step)


# Guards against too little served at a peak because passes take the holder's time.
def test_a_pass_over_full_servers_does_not_look_at_each_for_every_step(monkeypatch):
    monkeypatch.setattr("rhubarbmount.batch.shard.ServerUsage", CountedUsage)
    servers, steps = 80, 200
    shard = make_shard([8000] * servers, [Step(8, 2000, 100, estimate_s=0.7)] * steps)
    placer = Placer(shard)
    assert len(placer.place(0.0)) == servers * 4
    CountedUsage.looks = 0
    assert placer.place(0.0) == []
    assert CountedUsage.looks <= servers + steps


def place_by_trying_all(shard):
    """Place each task in turn on the first server that fits, fullest first."""
    chosen = {}
    for step_key in sorted(shard.waiting_by_step):
        step = shard.job_by_id[step_key[0]].spec.steps[0]
        usages = sorted(
            shard.usage_by_server_id.values(),
            key=lambda usage: (
                bool(step.data_rack) and step.data_rack != usage.server.rack,
                usage.free_cpu_millicores,
                usage.server.id,
            ),
        )
        for task in list(shard.waiting_by_step[step_key].values()):
            for usage in usages:
                if usage.fits(step):
                    shard.assign(task, usage, 0.0)
                    chosen[task.id] = usage.server.id
                    break
    return chosen


STEPS = st.builds(
    Step,
    count=st.integers(1, 4),
    cpu_millicores=st.integers(0, 4).map(lambda n: n * 1000),
    memory_mb=st.integers(0, 4).map(lambda n: n * 1000),
    estimate_s=st.just(0.5),
    data_rack=st.sampled_from(["", "r0", "r1"]),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.sampled_from([4000, 8000]), max_size=6), st.lists(STEPS, max_size=12)
)
def test_tasks_go_where_trying_every_server_would_put_them(server_cpus, steps):
    expected = place_by_trying_all(make_shard(server_cpus, steps))
    placed = Placer(make_shard(server_cpus, steps)).place(0.0)
    assert {item.task: item.server_id for item in placed} == expected


# Guards against tasks that wait although a rack has room for them, because another
# rack has more free processor time in pieces that are too small.
def test_a_step_for_one_rack_goes_to_a_rack_with_room_for_its_tasks():
    step = Step(1, 2000, 100, needs_one_rack=True)
    shard = make_shard([1000, 2000, 1000, 0, 1000], [step])
    assert [item.server_id for item in Placer(shard).place(0.0)] == ["s001"]


def test_a_step_for_one_rack_goes_to_a_rack_with_its_label():
    step = Step(1, 1000, 100, needs_one_rack=True, label="x")
    shard = make_shard([4000, 2000], [step])
    usage = shard.usage_by_server_id["s001"]
    usage.server = attrs.evolve(usage.server, labels=frozenset({"x"}))
    assert [item.server_id for item in Placer(shard).place(0.0)] == ["s001"]


def test_a_gang_for_one_rack_goes_to_a_rack_with_room_for_all_of_it():
    step = Step(4, 3000, 100, is_gang=True, needs_one_rack=True)
    shard = make_shard([5000, 6000, 5000, 6000, 5000], [step])
    placed = Placer(shard).place(0.0)
    assert sorted(item.server_id for item in placed) == ["s001"] * 2 + ["s003"] * 2
