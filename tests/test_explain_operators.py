"""Operators ask why things are as they are."""

import json

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from rhubarbmount.decisions import Decision, Explanation
from rhubarbmount.edits import Operator
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.explain import DecisionMemory
from rhubarbmount.explain_operators import ExplainApi, in_force_decision
from rhubarbmount.http import HttpRequest
from rhubarbmount.instances import ConfigurationStatus, weigh_status
from rhubarbmount.peer_explanations import InstanceMemory, PeerExplanations
from rhubarbmount.request_traces import RequestTraces
from rhubarbmount.router import Router
from rhubarbmount.store.memory import MemoryPlatform
from tests.fleetkit import CountedPlatform, fill, make_host, make_pool
from tests.test_job_handlers import LARGE, Operated

NOW_S = 1000.0


class Asked:
    """One entry host that operators ask, with the rows and peers of a test."""

    def __init__(self, platform=None, memory=None, answers=None, entry_version=0):
        self.memory = memory or DecisionMemory()
        self.answers = answers or PeerExplanations()
        self.hanging = trio.Event()
        self.router = Router()
        traces = RequestTraces("e1", None, lambda: 0)
        self.api = ExplainApi(
            lambda request: Operator("ana", frozenset()),
            InstanceMemory("e1", self.memory, traces),
            platform or MemoryPlatform(),
            lambda version: weigh_status(version, {"e2": 1, "e3": 2}, {"e1": 2}),
            lambda key: entry_version,
            lambda: NOW_S,
            self.explain_from_peers,
        )
        self.api.add_routes(self.router)

    async def explain_from_peers(self, kind, subject_id):
        return self.answers

    async def ask(self, path):
        answer = await self.router.handle(HttpRequest("GET", f"/explain/{path}"))
        return answer.status, json.loads(answer.body)


def decide(code, reason="", time_s=0.0, kind="host", subject_id="q1"):
    return Decision(
        kind=kind, subject_id=subject_id, code=code, reason=reason, time_s=time_s
    )


class HangingPlatform(CountedPlatform):
    """A platform that never answers."""

    async def read(self, table, key):
        await trio.sleep_forever()


async def test_why_a_job_waits_is_told_from_memory_or_from_its_row():
    world = Operated()
    memory = world.instances[0].duty.learned.memory
    job_id = await world.submit(team="b", shape=LARGE)
    await world.submit(team="b", shape=LARGE)
    waiting = await world.submit(team="b", shape=LARGE)
    await world.settle(1)
    asked = Asked(world.platform, memory)
    _, answer = await asked.ask(f"job/{waiting}")
    assert answer["reason"] == "team b is at its quota"
    asked = Asked(world.platform)
    _, answer = await asked.ask(f"job/{job_id}")
    assert [decision["code"] for decision in answer["decisions"]] == ["running"]
    assert (await asked.ask("host/h9"))[0] == 404


async def test_memory_peers_and_row_are_joined_in_order_of_time():
    platform = MemoryPlatform()
    await fill(platform, [make_pool()], [make_host(1, since_s=3.0, cause="move:warm")])
    memory = DecisionMemory()
    memory.record(decide("waits", "slow start", 1.0))
    told = Explanation("host", "q1", (decide("warm", time_s=2.0),))
    asked = Asked(platform, memory, PeerExplanations([told], ["e2"], ["e3"]))
    status, answer = await asked.ask("host/q1")
    assert status == 200
    codes = [decision["code"] for decision in answer["decisions"]]
    assert codes == ["waits", "warm", "in-service"]
    assert answer["reason"] == "move:warm"
    assert (answer["answered"], answer["silent"]) == (["e1", "e2"], ["e3"])
    sources = [decision["source"] for decision in answer["decisions"]]
    assert (sources[0], sources[2]) == ("e1", "platform")


@pytest.mark.parametrize("hangs", [True, False])
async def test_without_the_platform_memory_is_told_in_time(autojump_clock, hangs):
    platform = HangingPlatform() if hangs else CountedPlatform()
    platform.error = PlatformUnavailable("down")
    memory = DecisionMemory()
    memory.record(decide("waits", "slow start"))
    started_s = trio.current_time()
    status, answer = await Asked(platform, memory).ask("host/q1")
    assert trio.current_time() - started_s <= 2.0
    assert (status, answer["reason"]) == (200, "slow start")
    assert answer["platform"] == "silent"


async def test_when_nothing_is_known_the_silent_are_named():
    platform = CountedPlatform(error=PlatformUnavailable("down"))
    asked = Asked(platform, answers=PeerExplanations(silent=["e3"]))
    status, answer = await asked.ask("host/q1")
    assert status == 404
    assert "silent: e3" in answer["detail"]
    assert "the platform does not answer" in answer["detail"]


async def test_an_entry_tells_where_it_is_not_in_force_yet():
    status, answer = await Asked(entry_version=2).ask("entry/service%2Fquotes")
    assert (status, answer["reason"]) == (200, "e2 is not heard")
    (only,) = answer["decisions"]
    assert (only["code"], only["catalogue_version"]) == ("not-in-force", 2)
    assert only["inputs"] == {"in_force_at": "e1"}


def test_an_entry_is_in_force_where_a_later_version_runs():
    everywhere = ConfigurationStatus(3, ["e1"], {}, {"e2": 3})
    assert in_force_decision("team/a", 3, everywhere).code == "in-force"
    behind = ConfigurationStatus(3, ["e1"], {"e2": 2}, {})
    assert in_force_decision("team/a", 3, behind).reason == "e2 runs version 2"


async def test_too_many_questions_at_once_are_refused():
    asked = Asked()
    asked.api.explain_from_peers = lambda kind, subject_id: asked.hanging.wait()
    async with trio.open_nursery() as nursery:
        for _ in range(8):
            nursery.start_soon(asked.ask, "host/q1")
        await wait_all_tasks_blocked()
        status, answer = await asked.ask("host/q1")
        assert (status, answer["code"]) == (409, "too-many-questions")
        nursery.cancel_scope.cancel()
    asked.api.explain_from_peers = asked.explain_from_peers
    assert (await asked.ask("host/q1"))[0] == 404


async def test_an_unknown_kind_is_refused():
    assert (await Asked().ask("rack/r1"))[0] == 400
