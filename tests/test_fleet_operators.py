"""Operators' requests about hosts and waves."""

import json

import pytest

from rhubarbmount.catalogue import Snapshot
from rhubarbmount.configuration import Configuration
from rhubarbmount.edits import Operator
from rhubarbmount.errors import AccessDenied
from rhubarbmount.fleet_operators import FleetApi
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.http import HttpRequest
from rhubarbmount.pool_plan import WaveSettings
from rhubarbmount.router import Router
from rhubarbmount.store.memory import MemoryPlatform
from tests.fleetkit import fill, make_host, make_pool

OWNERS = {"ana": {"sfax"}, "rita": {"rival"}}
TIME_WEIGHTED = WaveSettings(hour_weight=1000, buffer_weight=1, move_weight=0.01)


class ApiClient:
    """The operators' API on the in-memory platform."""

    def __init__(self, platform, configuration, view, settings):
        self.router = Router()
        self.api = FleetApi(
            self.authenticate, configuration, view, platform, settings, "buffer"
        )
        self.api.add_routes(self.router)

    def authenticate(self, request):
        name = dict(request.request.headers).get(b"operator", b"").decode()
        if name not in OWNERS:
            raise AccessDenied("who is it?")
        return Operator(name, frozenset(OWNERS[name]))

    async def send(self, method, target, body=None, operator="ana"):
        headers = [(b"operator", operator.encode())]
        content = b"" if body is None else json.dumps(body).encode()
        answer = await self.router.handle(HttpRequest(method, target, headers, content))
        return answer.status, json.loads(answer.body)


@pytest.fixture
async def make_client():
    async def make(settings=None):
        platform = MemoryPlatform()
        pools = [
            make_pool(),
            make_pool("parts", hosts_wanted=0),
            make_pool("buffer", hosts_wanted=0, hosts_down_limit=4, racks_down_limit=4),
        ]
        hosts = [make_host(n) for n in range(8)]
        hosts += [make_host(n, "buffer") for n in range(4)]
        await fill(platform, pools, hosts)
        configuration = Configuration(platform=platform)
        snapshot = Snapshot()
        for pool in pools:
            snapshot = snapshot.with_entry("pool", pool)
        configuration.offer(snapshot)
        view = FleetView(platform=platform)
        await view.summarise()
        return ApiClient(platform, configuration, view, settings or WaveSettings())

    return make


async def test_a_move_is_begun_once_and_can_be_cancelled(make_client):
    client = await make_client()
    status, _ = await client.send("POST", "/hosts/q1/move", {"pool": "parts"})
    assert status == 202
    status, body = await client.send("POST", "/hosts/q1/move", {"pool": "buffer"})
    assert (status, body["code"]) == (409, "host-busy")
    status, body = await client.send("POST", "/hosts/q2/move", {"pool": "parts"})
    assert (status, body["code"]) == (409, "hosts-exhausted")
    status, body = await client.send("DELETE", "/hosts/q1/move")
    assert (status, body["result"]) == (202, "cancelled")


async def test_an_operator_cannot_change_pools_of_another_owner(make_client):
    client = await make_client()
    for method, target, body in (
        ("POST", "/hosts/q1/move", {"pool": "parts"}),
        ("POST", "/waves", {"pools": ["quotes"]}),
        ("POST", "/waves", {"pools": []}),
        ("POST", "/waves", {}),
    ):
        status, answer = await client.send(method, target, body, operator="rita")
        assert (status, answer["code"]) == (403, "access-denied")
    status, body = await client.send("POST", "/waves", {"pools": ["quotes"]})
    target = f"/waves/{body['wave']}/control"
    status, _ = await client.send("POST", target, {"control": "paused"}, "rita")
    assert status == 403
    status, body = await client.send("POST", target, {"control": "paused"})
    assert (status, body["control"]) == (200, "paused")


async def test_invalid_requests_are_refused_with_their_status(make_client):
    client = await make_client()
    for method, target, body, wanted in (
        ("POST", "/hosts/q1/move", {}, 400),
        ("POST", "/hosts/q1/move", {"pool": "nowhere"}, 404),
        ("POST", "/hosts/nobody/move", {"pool": "parts"}, 404),
        ("POST", "/waves", {"spares_by_pool": {"quotes": -1}}, 400),
        ("POST", "/waves/none/control", {"control": "paused"}, 404),
        ("POST", "/waves/none/control", {"control": "sideways"}, 400),
    ):
        status, _ = await client.send(method, target, body)
        assert status == wanted, (target, body)


async def test_the_weights_decide_whether_a_wave_takes_spares(make_client):
    default_client, time_weighted = (
        await make_client(),
        await make_client(TIME_WEIGHTED),
    )
    _, body = await default_client.send("POST", "/waves/plan", {"pools": ["quotes"]})
    assert (body["buffer_hosts"], body["moves"]) == (0, 0)
    _, body = await time_weighted.send("POST", "/waves/plan", {"pools": ["quotes"]})
    assert body["spares_by_pool"] == {"quotes": 4}
    await time_weighted.send("POST", "/waves", {"pools": ["quotes"]})
    _, body = await time_weighted.send("GET", "/waves")
    assert body["waves"][0]["spares_by_pool"] == {"quotes": 4}
    assert body["waves"][0]["pools"] == ["buffer", "quotes"]


async def test_requested_spares_are_used_only_if_they_shorten_the_wave(
    make_client,
):
    client = await make_client()
    both = {"pools": ["parts", "quotes"], "spares_by_pool": {"parts": 1}}
    status, body = await client.send("POST", "/waves", both)
    assert (status, body["spares_by_pool"]) == (202, {})
    await client.send(
        "POST", f"/waves/{body['wave']}/control", {"control": "cancelled"}
    )
    other = await make_client()
    one = {"pools": ["quotes"], "spares_by_pool": {"quotes": 2}}
    status, body = await other.send("POST", "/waves", one)
    assert (status, body["spares_by_pool"]) == (202, {"quotes": 2})


def decisions_for(client, kind, subject_id):
    decisions = client.api.recorder.memory.explain(kind, subject_id).decisions
    return [(decision.code, decision.reason) for decision in decisions]


async def test_moves_and_wave_controls_are_recorded_with_their_reason(make_client):
    client = await make_client()
    await client.send("POST", "/hosts/q1/move", {"pool": "parts"})
    await client.send("POST", "/hosts/q2/move", {"pool": "parts"})
    await client.send("DELETE", "/hosts/q1/move")
    assert decisions_for(client, "host", "q1") == [
        ("move-begun", ""),
        ("move-cancelled", ""),
    ]
    held = "hosts-exhausted: 1 hosts in 1 racks of pool quotes are down"
    assert decisions_for(client, "host", "q2") == [("move-refused", held)]
    assert decisions_for(client, "pool", "quotes") == [("move-refused", held)]
    _, body = await client.send("POST", "/waves", {"pools": ["quotes"]})
    control = {"control": "paused"}
    await client.send("POST", f"/waves/{body['wave']}/control", control)
    assert decisions_for(client, "pool", "quotes")[1:] == [
        ("wave-started", ""),
        ("wave-paused", "the operator paused the wave"),
    ]
