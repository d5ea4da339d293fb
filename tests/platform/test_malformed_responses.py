"""Malformed responses of the platform end a call, and nothing else."""

import contextlib

import pytest
import trio
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, TaskId
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.advice import AdviceClient
from rhubarbmount.platform.backend import BackendClient, StartCommand
from rhubarbmount.platform.hosts import HostClient
from rhubarbmount.platform.json_client import JsonResponse
from rhubarbmount.platform.rows import HistoryGone, RowConflict, RowName, RowStore

SERVER = Server("s", "one", "s:1", "a", False, 1, 1, 0, frozenset(), "r", 1)
TASK = TaskId("j", 0, 0, 0)
NAME = RowName("t", "p", "k")
EXPECTED_ERRORS = (PlatformUnavailable, OutcomeUnknown, RowConflict, HistoryGone)
FIELDS = [
    "ver",
    "now_ms",
    "rows",
    "more_pages",
    "clock_ms",
    "reason",
    "running",
    "finished",
    "machines",
    "next_token",
    "valid_ms",
    "granted",
    "table",
    "part",
    "key",
    "value",
    "deleted",
    "machine",
    "state",
    "capacity",
]

leaves = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=3)
)
values = st.recursive(
    leaves,
    lambda inner: st.one_of(
        st.lists(inner, max_size=5),
        st.dictionaries(st.sampled_from(FIELDS), inner, max_size=5),
    ),
    max_leaves=12,
)
bodies = st.dictionaries(st.sampled_from(FIELDS), values, max_size=6)
statuses = st.sampled_from([200, 400, 404, 409, 410, 412, 421, 429, 500, 503])


class OneResponse:
    """Client whose every call gets the same response, and the last page of a list."""

    def __init__(self, response):
        self.response = response
        self.calls = 0

    async def call(self, *args, **kwargs):
        self.calls += 1
        if self.calls > 3:
            raise OutcomeUnknown("no more pages")
        return self.response


def backend(client):
    return BackendClient(client, Lateness(BatchMetrics()))


CALLS = {
    "commit": lambda client: RowStore(client, "a:1").commit({NAME: 0}, {NAME: b""}),
    "read": lambda client: RowStore(client, "a:1").read("t"),
    "read_all": lambda client: RowStore(client, "a:1").read_all("t"),
    "feed": lambda client: RowStore(client, "a:1").feed("t", 1, 0.1, 1.0),
    "start": lambda client: backend(client).start(
        SERVER, StartCommand(TASK, 1, "", 1, 1)
    ),
    "stop": lambda client: backend(client).stop(SERVER, TASK, 1, 1),
    "pace": lambda client: backend(client).set_pace(SERVER, TASK, 1, 50, 1),
    "renew": lambda client: backend(client).renew(SERVER, 1, 0, None, 0.0),
    "hosts": lambda client: HostClient(client, "a:1", "n").list(),
    "move": lambda client: HostClient(client, "a:1", "n").move(
        "m", "one", 1, lambda: True
    ),
    "advice": lambda client: AdviceClient(client, "a:1").ask("j", 0, 0, []),
}


# An exception that no caller expects would end the whole process.
@pytest.mark.parametrize("name", CALLS)
@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(status=statuses, body=bodies)
def test_a_malformed_response_raises_only_what_callers_expect(name, status, body):
    async def call():
        with contextlib.suppress(EXPECTED_ERRORS):
            await CALLS[name](OneResponse(JsonResponse(status, body)))

    trio.run(call)


@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("commit", {"ver": "new"}),
        ("read", {"ver": None, "rows": []}),
        ("feed", {"ver": 3, "rows": [{"table": "t", "ver": "x"}]}),
        ("read", {"ver": 3, "now_ms": []}),
        ("start", {"clock_ms": "soon"}),
        ("renew", {"clock_ms": [1]}),
        ("renew", {"running": [["j.0.0.0", 1]]}),
        ("renew", {"running": [["j.0.0", 1, "r", 1]]}),
        ("renew", {"finished": [[1]]}),
        ("renew", {"finished": [[1, "j.0.0.0", 1, "done", 0], 7]}),
        ("hosts", {"machines": 5}),
        ("advice", {"valid_ms": "long"}),
        ("advice", {"granted": 7}),
    ],
)
async def test_a_malformed_response_leaves_the_outcome_unknown(name, body):
    with pytest.raises(OutcomeUnknown) as caught:
        await CALLS[name](OneResponse(JsonResponse(200, body)))
    assert caught.value.code == "answer-broken"
