"""The memory of decisions."""

import logging

import attrs

from rhubarbmount.decisions import Decision, Explanation, merge_explanations
from rhubarbmount.explain import DecisionMemory, DecisionRecorder


def decide(subject_id="j1", code="wait", time_s=0.0, **fields):
    return Decision(
        kind="job", subject_id=subject_id, code=code, time_s=time_s, **fields
    )


def test_the_last_reason_is_the_one_that_holds():
    memory = DecisionMemory()
    memory.record(decide(code="wait", reason="no host has 4 accelerators free"))
    memory.record(decide(code="placed", inputs={"host": "h1"}, time_s=1.0))
    found = memory.explain("job", "j1")
    assert [d.code for d in found.decisions] == ["wait", "placed"]
    assert found.reason == ""


def test_a_repeated_decision_takes_one_place_and_one_log_line(caplog):
    caplog.set_level(logging.INFO, "rhubarbmount.explain")
    memory = DecisionMemory()
    for second in range(100):
        memory.record(decide(reason="full", time_s=float(second)))
    (only,) = memory.explain("job", "j1").decisions
    assert (only.first_s, only.time_s, only.repeats) == (0.0, 99.0, 100)
    assert len(caplog.records) == 1


def test_memory_is_bounded_by_subjects_and_by_decisions():
    memory = DecisionMemory(limit_by_kind={"job": 6}, decisions_limit=2)
    for number in range(10):
        for step in range(5):
            memory.record(decide(f"j{number}", code=f"step-{step}"))
    assert len(memory) == 3
    assert not memory.explain("job", "j0").decisions
    kept = memory.explain("job", "j9").decisions
    assert [d.code for d in kept] == ["step-3", "step-4"]


def test_a_subject_decided_again_outlives_an_idle_one():
    memory = DecisionMemory(limit_by_kind={"job": 2})
    memory.record(decide("old"))
    memory.record(decide("idle"))
    memory.record(decide("old"))
    memory.record(decide("new"))
    assert memory.explain("job", "old").decisions
    assert not memory.explain("job", "idle").decisions


def test_memories_of_several_hosts_join_in_order_without_repeats():
    first, second = DecisionMemory(), DecisionMemory()
    shared = decide(code="wait", reason="full", time_s=1.0)
    first.record(shared)
    second.record(shared)
    second.record(decide(code="placed", time_s=2.0))
    parts = [memory.explain("job", "j1") for memory in (second, first)]
    sent = [Explanation.load(part.dump()) for part in parts]
    assert [d.code for d in merge_explanations(sent).decisions] == ["wait", "placed"]


def test_a_flood_of_jobs_pushes_out_no_host():
    memory = DecisionMemory(limit_by_kind={"job": 10, "host": 10})
    memory.record(attrs.evolve(decide("h1"), kind="host"))
    for number in range(1000):
        memory.record(decide(f"j{number}"))
    assert len(memory) == 11
    assert memory.explain("host", "h1").decisions


def test_asking_about_what_nobody_decided_takes_no_room():
    memory = DecisionMemory()
    for number in range(100):
        memory.explain("job", f"j{number}")
        memory.explain(f"kind-{number}", "j1")
    assert len(memory) == 0
    assert not memory._subjects_by_kind


def test_a_subject_with_a_huge_name_is_not_remembered():
    memory = DecisionMemory()
    memory.record(decide("j" * 1_000_000))
    assert len(memory) == 0


def test_long_texts_are_cut():
    memory = DecisionMemory()
    long = "x" * 10_000
    memory.record(decide(reason=long, inputs={"hosts": long, "names": [long], "n": 3}))
    (only,) = memory.explain("job", "j1").decisions
    assert {len(only.reason), len(only.inputs["hosts"])} == {200}
    assert len(only.inputs["names"]) == 200
    assert only.inputs["n"] == 3


def test_a_recorder_notes_version_and_time():
    recorder = DecisionRecorder(DecisionMemory(), lambda: 7, lambda: 99.0)
    recorder.record("host", "h1", "waits", "slow start", ready=True)
    recorder.record("entry", "pool/p", "accepted", version=8)
    (host,) = recorder.memory.explain("host", "h1").decisions
    assert (host.catalogue_version, host.time_s) == (7, 99.0)
    assert (host.reason, host.inputs) == ("slow start", {"ready": True})
    (entry,) = recorder.memory.explain("entry", "pool/p").decisions
    assert (entry.catalogue_version, entry.inputs) == (8, {})


def test_what_a_recorder_takes_is_not_logged_twice(caplog):
    caplog.set_level(logging.INFO, "rhubarbmount.explain")
    recorder = DecisionRecorder()
    recorder.record("host", "h1", "waits", "slow start")
    assert not caplog.records
    recorder.memory.record(decide())
    assert len(caplog.records) == 1


def test_a_refused_request_hides_no_reason_that_holds():
    memory = DecisionMemory()
    memory.record(decide(code="submission-refused", reason="exists"))
    assert memory.explain("job", "j1").reason == "exists"
    memory.record(decide(code="wait-quota", reason="team b is at its quota"))
    memory.record(decide(code="submission-refused", reason="exists"))
    assert memory.explain("job", "j1").reason == "team b is at its quota"
    memory.record(decide(code="placed"))
    assert memory.explain("job", "j1").reason == ""
