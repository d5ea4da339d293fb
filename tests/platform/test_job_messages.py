"""Decoding of the jobs that callers submit."""

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbmount.batch.model import Queue, QueueName
from rhubarbmount.errors import UsageError
from rhubarbmount.platform.job_messages import decode_job

QUEUE = Queue(QueueName("h", "/q/"), "one", 0, 3, 1.6, 0.6)
JOB_ID = "5c0e7a21d94b36f8"
STEP = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}


def decode(body):
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return decode_job(JOB_ID, QUEUE, data, 0.0)


def test_decode_job():
    spec = decode({"spec": "text", "phases": [STEP, {**STEP, "after": [0]}]})
    assert [step.after for step in spec.steps] == [(), (0,)]
    assert spec.steps[0].estimate_s == 0.9


# Guards against a request that gets no answer, as its body ends in another error.
@pytest.mark.parametrize(
    "change",
    [
        {"count": float("nan")},
        {"count": 1e999},
        {"cpu": float("inf")},
        {"after": 3},
        {"after": {"0": 1}},
        {"after": "0"},
        {"count": True},
        {"mem_mb": -1},
        {"gpu": "1"},
    ],
)
def test_a_job_with_an_odd_step_is_refused(change):
    with pytest.raises(UsageError):
        decode({"phases": [STEP, {**STEP, **change}]})


@pytest.mark.parametrize("key", ["repeats", "start_ms", "period_ms"])
@pytest.mark.parametrize("value", [float("nan"), float("inf"), 1e300, "soon"])
def test_a_job_with_odd_times_is_refused(key, value):
    with pytest.raises(UsageError):
        decode({"phases": [STEP], key: value})


# Guards against a job that takes the memory of each holder in turn.
@pytest.mark.parametrize("repeats", [0, 10_000_000])
def test_a_job_of_too_many_tasks_is_refused(repeats):
    steps = [{**STEP, "count": 1 if repeats else 9_000}] * 10
    with pytest.raises(UsageError):
        decode({"phases": steps, "repeats": repeats})


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from([*STEP, "after", "gang"]), inner, max_size=4)
    ),
    max_leaves=8,
)


@given(JSON_VALUES)
def test_decode_job_raises_only_usage_errors(step):
    with suppress(UsageError):
        decode({"phases": [STEP, step]})
