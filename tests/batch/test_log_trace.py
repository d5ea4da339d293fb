"""Tests for finding the cause of a failed or late request in the log by its ID."""

import logging

import pytest
import trio
from trio.testing import MockClock

from rhubarbmount import porcelain
from rhubarbmount.batch.log_trace import parse_line, trace
from rhubarbmount.http import HttpRequest
from rhubarbmount.standins.users_servers import TaskWork
from tests.batch.test_days import job, open_day
from tests.batch.world import HOST, World


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


class LogCapture(logging.Handler):
    """Records log lines with the simulated time, as a log collector would."""

    def __init__(self):
        super().__init__()
        self.texts = []

    def emit(self, record):
        millis = int(trio.current_time() * 1000)
        time_text = f"2026-05-01T00:00:{millis // 1000:02}.{millis % 1000:03}"
        self.texts.append(f"time={time_text} level=INFO {record.getMessage()}")

    def trace(self, subject):
        parsed = (parse_line(text, "all") for text in self.texts)
        return trace([line for line in parsed if line is not None], subject)


@pytest.fixture
def lines():
    handler = LogCapture()
    logger = logging.getLogger("rhubarbmount")
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    yield handler
    logger.removeHandler(handler)
    logger.setLevel(level)


async def send_request(world: World, request_id, method, path, body=b""):
    headers = [
        (b"host", HOST.encode()),
        (b"x-deadline-ms", b"3000"),
        (b"request-id", request_id.encode()),
    ]
    request = HttpRequest(method, path, headers, body)
    node = world.node_by_id[sorted(world.node_by_id)[0]]
    return await node.job_api.handle(request)


async def submit(world, request_id, new_job):
    job_id, phases, works = new_job
    world.add_work(job_id, phases, works)
    body = str({"spec": "x", "phases": phases}).replace("'", '"').encode()
    return await send_request(world, request_id, "POST", f"/one/{job_id}", body)


async def test_the_cause_of_a_refused_request(monkeypatch, autojump_clock, lines):
    async with open_day(monkeypatch, nodes="a") as (world, _):
        world.faults.store_is_down = True
        await trio.sleep(4.0)
        response = await submit(world, "req-1", job(world.generator))
    assert response.status == 503
    cause = lines.trace("req-1").cause
    assert cause.startswith("refused by all with store-out-of-reach")
    assert "store calls failed since" in cause


async def test_the_cause_of_a_delayed_job(monkeypatch, autojump_clock, lines):
    async with open_day(monkeypatch, nodes="ab") as (world, _):
        job_id, phases, works = job(world.generator)
        world.add_work(job_id, phases, works)
        world.faults.nodes_cut_from_store = set(world.holders())
        other = next(n for n in "ab" if n not in world.faults.nodes_cut_from_store)
        body = {"spec": "x", "phases": phases}
        status, _ = await world.call("POST", f"/one/{job_id}", body, other)
        assert status == 200
        await trio.sleep(9.0)
    result = lines.trace(job_id)
    pause, _, between = result.cause.partition("; in between: ")
    assert pause.endswith(" and start")
    assert "lease-won" in between.split(", ")


async def test_the_cause_of_a_failed_job(monkeypatch, autojump_clock, lines):
    async with open_day(monkeypatch, nodes="a") as (world, _):
        job_id, phases, _ = job(world.generator)
        works = [TaskWork(0.2, 1000, 500, fails=True) for _ in phases]
        await submit(world, "req-3", (job_id, phases, works))
        await trio.sleep(8.0)
    cause = lines.trace("req-3").cause
    assert "failed 3 times on" in cause
    assert cause.endswith("servers: the task")


def test_a_request_without_log_lines():
    assert trace([], "req-4").cause.startswith("no line names it")


def test_text_that_is_not_a_log_line_is_ignored():
    assert parse_line("Traceback (most recent call last):", "e1") is None
    assert parse_line("time=yesterday level=INFO event=start", "e1") is None


def test_explain_log_reads_log_files(tmp_path, capsys):
    path = tmp_path / "e1.log"
    path.write_text(
        "time=2026-05-01T00:00:01.000 level=WARNING event=store-lost code=timeout\n"
        "noise\n"
        "time=2026-05-01T00:00:02.000 level=INFO event=refused request=r1 code=c\n"
    )
    assert porcelain.explain_log("r1", str(path)) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0].startswith("| 2026-05-01T00:00:01.000 e1 store-lost")
    assert shown[1].startswith("  2026-05-01T00:00:02.000 e1 refused")
    assert shown[2].startswith("cause: refused by e1 with c; its store calls failed")
    assert porcelain.explain_log("r2", str(path)) == 1


def lines_of(*texts):
    parsed = (
        parse_line(f"time=2026-05-01T00:00:0{second}.000 level=INFO {text}", "e1")
        for second, text in enumerate(texts)
    )
    return [line for line in parsed if line is not None]


# Guards against an explanation that leaves out what became of a server, as it had
# started again under its name.
def test_what_became_of_a_server_is_shown_whichever_lifetime_it_has():
    lines = lines_of(
        "event=run-sent job=j1 task=0.0.0 server=s1@7",
        "event=lifetime-began server=s1@8 earlier=s1@7",
        "event=lifetime-began server=s2@8 earlier=s2@7",
        "event=run-ended job=j1 task=0.0.0 server=s1@8 how=done",
    )
    [shown] = trace(lines, "j1").context
    assert shown.fields["server"] == "s1@8"


# Guards against the blame of a task for a server on which all runs fail, and which has
# started again meanwhile.
def test_lifetimes_of_one_server_count_as_one_server_that_fails():
    lines = lines_of(
        "event=run-ended job=j1 task=0.0.0 server=s1@7 how=failed",
        "event=run-ended job=j1 task=0.0.0 server=s1@8 how=failed",
        "event=job-ended job=j1 state=failed",
    )
    cause = trace(lines, "j1").cause
    assert cause == "task 0.0.0 failed 2 times on 1 servers: the backend server"
