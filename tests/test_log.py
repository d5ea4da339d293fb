"""Tests of the log lines of a request's decisions, and of log buffering."""

import logging
import subprocess
import sys

import pytest
import trio

from rhubarbmount import log
from rhubarbmount.backends import BackendConnections
from rhubarbmount.http import HttpRequest, header_value
from rhubarbmount.problem import REQUEST_ID_HEADER
from rhubarbmount.request_traces import RequestTraces
from rhubarbmount.timers import TimerService
from tests.test_forward import answer, fail, lose, not_connect, open_forwarder, refuse

logger = logging.getLogger("rhubarbmount.test")
KEYED = HttpRequest("POST", "/quotes/1", [(b"idempotency-key", b"k")])


@pytest.mark.parametrize(
    ("acts", "events"),
    [
        ([refuse, answer], ["route", "health", "attempt-failed", "route"]),
        ([not_connect], ["route", "health", "attempt-failed"] * 3),
        ([lose], ["route", "attempt-failed"]),
        ([fail], ["route"]),
    ],
)
async def test_each_line_of_a_requests_decisions_names_the_request(
    autojump_clock, nursery, caplog, acts, events
):
    caplog.set_level(logging.INFO, "rhubarbmount")
    forwarder = open_forwarder(*acts)
    nursery.start_soon(forwarder.claims.run)
    traces = RequestTraces("e1", forwarder.handle, lambda: 7)
    response = await traces.handle(KEYED)
    request_id = header_value(response.headers, REQUEST_ID_HEADER)
    wanted = [
        f"event={name} request={request_id}"
        for name in ["claimed", *events, "claim-finished"]
    ]
    assert [text.split(" ", 2)[:2] for text in caplog.messages] == [
        text.split() for text in wanted
    ]


async def test_refused_claim_line_has_id_of_its_request(
    autojump_clock, nursery, caplog
):
    caplog.set_level(logging.INFO, "rhubarbmount")
    forwarder = open_forwarder(answer)
    nursery.start_soon(forwarder.claims.run)
    traces = RequestTraces("e1", forwarder.handle, lambda: 7)
    await traces.handle(KEYED)
    caplog.clear()
    response = await traces.handle(KEYED)
    request_id = header_value(response.headers, REQUEST_ID_HEADER)
    (line,) = caplog.messages
    assert line.startswith(f"event=claim-refused request={request_id} ")


async def test_line_outside_a_request_has_no_request_id(caplog):
    caplog.set_level(logging.INFO, "rhubarbmount")

    async def handle(request):
        raise RuntimeError

    traces = RequestTraces("e1", handle, lambda: 7)
    log.event(logger, "before")
    with pytest.raises(RuntimeError):
        await traces.handle(KEYED)
    log.event(logger, "failed")
    traces.next_handler = open_forwarder(answer).handle
    await traces.handle(HttpRequest("GET", "/none"))
    log.event(logger, "after")
    texts = [text.split(" request=") for text in caplog.messages]
    assert [parts[0] for parts in texts] == [
        "event=before",
        "event=failed",
        "event=after",
    ]
    assert [len(parts) for parts in texts] == [1, 2, 1]


PROGRAM = """
import logging, os, signal, sys, time
from rhubarbmount import log
log.configure("info", sys.argv[1])
logger = logging.getLogger("rhubarbmount.test")
for number in range(3):
    log.frequent_event(logger, "route", number=number)
log.event(logger, "refused")
log.frequent_event(logger, "route", number=3)
"""


def events_written(tmp_path, end, destination="log"):
    """Run a program that logs and ends with ``end``; return the events written."""
    path = tmp_path / "entry-host.log"
    where = str(path) if destination == "log" else destination
    result = subprocess.run(
        [sys.executable, "-c", PROGRAM + end, where],
        capture_output=True,
        text=True,
        timeout=30,
    )
    text = path.read_text() if destination == "log" else result.stderr
    return [line.split("event=")[1] for line in text.splitlines() if "event=" in line]


BEFORE = ["route number=0", "route number=1", "route number=2", "refused"]


@pytest.mark.parametrize("destination", ["log", "stderr"])
@pytest.mark.parametrize(
    "end", ["", "sys.exit(1)", "raise RuntimeError", "log.flush()"]
)
def test_no_line_is_lost_when_the_process_ends_by_itself(tmp_path, destination, end):
    written = events_written(tmp_path, end, destination)
    assert written == [*BEFORE, "route number=3"]


def test_killed_process_loses_only_buffered_frequent_lines(tmp_path):
    killed = "os.kill(os.getpid(), signal.SIGKILL)"
    assert events_written(tmp_path, killed) == BEFORE


def test_a_killed_process_loses_at_most_a_second_of_frequent_lines(tmp_path):
    later = """
time.sleep(1.1)
log.frequent_event(logger, "route", number=4)
log.frequent_event(logger, "route", number=5)
os.kill(os.getpid(), signal.SIGKILL)
"""
    wanted = [*BEFORE, "route number=3", "route number=4"]
    assert events_written(tmp_path, later) == wanted


@pytest.fixture
def log_path(tmp_path):
    """Log to a file for the duration of a test."""
    root = logging.getLogger("rhubarbmount")
    handlers, propagate, level = root.handlers[:], root.propagate, root.level
    path = tmp_path / "entry-host.log"
    log.configure("info", str(path))
    yield path
    root.handlers[:], root.propagate = handlers, propagate
    root.setLevel(level)


async def test_frequent_lines_are_written_each_second_without_further_ones(
    log_path, nursery
):
    forwarder = open_forwarder(answer)
    forwarder.connections = BackendConnections()
    log.frequent_event(logger, "route")
    assert log_path.read_text() == ""
    nursery.start_soon(forwarder.run, TimerService())
    with trio.fail_after(5.0):
        while "event=route" not in log_path.read_text():
            await trio.sleep(0.05)
    nursery.cancel_scope.cancel()
