"""Tests that an odd entry of another writer costs no more than what it describes."""

import base64
import json
import re

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import server_rows
from rhubarbmount.batch.election import TOKENS_PER_LEASE
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.platform.backend import BackendClient
from rhubarbmount.platform.hosts import HostClient
from rhubarbmount.platform.json_client import JsonResponse, open_json_client
from rhubarbmount.platform.row_formats import UnreadableRow, decode_server
from rhubarbmount.platform.rows import Row, RowName
from tests.batch.test_days import job, open_day, submit, wait_complete

NESTED = b'{"service":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
HUGE = 10**400
ENTRY = {
    "service": "one",
    "addr": "10.9.0.99:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_ms": 0,
    "capacity": {"cpu": 8000, "mem_mb": 64000, "gpu": 0},
    "labels": ["a", "r0"],
    "machine": "m-odd",
    "seq": 1,
}
ODD_KEYS = ["é-odd", "odd\nentry", "odd\x00", "i-1@5", " ", "x" * 70_000]
ODD_FIELDS = {
    "port out of range": {"addr": "10.9.0.99:99999"},
    "port 0": {"addr": "10.9.0.99:0"},
    "port of other digits": {"addr": "10.9.0.99:\u00b2"},
    "port of Arabic digits": {"addr": "10.9.0.99:\u0668\u0660"},
    "host that is not ASCII": {"addr": "é:80"},
    "long host": {"addr": "h" * 300 + ":80"},
    "host with a newline": {"addr": "10.9.0.99\n:80"},
    "host with half a character": {"addr": "\ud800:80"},
    "huge processor": {"capacity": {"cpu": HUGE, "mem_mb": 1, "gpu": 0}},
    "huge memory": {"capacity": {"cpu": 1, "mem_mb": 1e300, "gpu": 0}},
    "huge accelerators": {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": HUGE}},
    "negative processor": {"capacity": {"cpu": -1, "mem_mb": 1, "gpu": 0}},
    "no number": {"capacity": {"cpu": float("nan"), "mem_mb": 1, "gpu": 0}},
    "accelerators as text": {"capacity": {"cpu": 1, "mem_mb": 1, "gpu": "2"}},
    "huge start": {"born": HUGE},
    "negative start": {"born": -5},
    "service with half a character": {"service": "\ud800"},
    "label with half a character": {"labels": ["a", "\ud800"]},
    "host id with a newline": {"machine": "m\n1"},
}


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


def put_entry(world, key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    world.platform.store.put("servers", key, base64.b64encode(data).decode())


async def serve_jobs_beside(monkeypatch, caplog, key, value):
    """Run a day with an odd entry, and one that is rewritten, and check it."""
    caplog.set_level("INFO")
    async with open_day(monkeypatch, 3) as (world, checker):
        put_entry(world, key, value)
        accepted = []
        for _ in range(6):
            new_job = job(world.generator)
            assert await submit(world, checker, "/one/", new_job)
            accepted.append(new_job[0])
            await trio.sleep(1.0)
            put_entry(world, key, value)
        assert await wait_complete(world, checker, "/one/", accepted, 9.0) == []
        assert checker.breaches == []
        leases = [node.lease_manager.watch.lease for node in world.node_by_id.values()]
        assert {lease.fence for lease in leases} == {TOKENS_PER_LEASE}
    events = re.findall(r"event=([a-z-]+)", caplog.text)
    assert not {"duty-failed", "task-failed", "session-failed"} & set(events)


# Guards against LOST: one odd entry ends the duty of every host in turn.
@pytest.mark.parametrize("key", ODD_KEYS)
async def test_an_entry_with_an_odd_key_stops_no_work(
    monkeypatch, autojump_clock, caplog, key
):
    await serve_jobs_beside(monkeypatch, caplog, key, ENTRY)


# Guards against LOST: one odd entry ends the duty of every host in turn.
@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS.keys())
async def test_an_entry_with_an_odd_field_stops_no_work(
    monkeypatch, autojump_clock, caplog, fields
):
    await serve_jobs_beside(monkeypatch, caplog, "i-odd", {**ENTRY, **fields})


@pytest.mark.parametrize("value", [NESTED, b"[1]", b"\xff", b""])
async def test_an_entry_that_is_no_object_stops_no_work(
    monkeypatch, autojump_clock, caplog, value
):
    await serve_jobs_beside(monkeypatch, caplog, "i-odd", value)


# Guards against servers that are asked, or counted, by values that can't be true.
@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS.keys())
def test_an_odd_field_is_refused_where_it_enters(fields):
    value = json.dumps({**ENTRY, **fields}).encode()
    with pytest.raises(UnreadableRow):
        decode_server(Row(RowName("servers", "", "i-odd"), value, 1))


@pytest.mark.parametrize("key", ODD_KEYS)
def test_an_odd_key_is_refused_where_it_enters(key):
    value = json.dumps(ENTRY).encode()
    with pytest.raises(UnreadableRow):
        decode_server(Row(RowName("servers", "", key), value, 1))


class ListedHosts:
    """Client that answers with a list of hosts."""

    def __init__(self, *capacities):
        self.machines = [
            {"machine": f"m-{at}", "pool": "one", "state": "up", "capacity": capacity}
            for at, capacity in enumerate(capacities)
        ]

    async def call(self, *args, **options):
        return JsonResponse(200, {"machines": self.machines})


# Guards against moves and waves that one odd entry of the list of hosts stops.
@pytest.mark.parametrize("cpu", [HUGE, -HUGE, float("nan"), 1e300, "2", None])
async def test_a_host_with_an_odd_capacity_does_not_spoil_the_list(cpu):
    client = HostClient(ListedHosts({"cpu": 8000}, {"cpu": cpu}), "10.0.0.1:1", "e1")
    hosts = (await client.list()).hosts
    assert [host.id for host in hosts] == ["m-0", "m-1"]
    assert [host.cpu_millicores for host in hosts] == [8000, 0]


# Guards against LOST: an unexpected error with one server ends the duty.
async def test_an_unexpected_error_with_one_server_costs_that_server_only(
    monkeypatch, autojump_clock, caplog
):
    renew = BackendClient.renew

    async def fail(self, server, *args):
        if server.address == "10.9.0.99:80":
            raise ZeroDivisionError("a fault of the client")
        return await renew(self, server, *args)

    monkeypatch.setattr(BackendClient, "renew", fail)
    with pytest.raises(AssertionError, match="session-failed"):
        await serve_jobs_beside(monkeypatch, caplog, "i-odd", ENTRY)
    assert "duty-failed" not in caplog.text


# Guards against LOST: an unexpected error with one row ends the duty.
async def test_an_unexpected_error_with_one_row_costs_that_row_only(
    monkeypatch, autojump_clock, caplog
):
    decode = server_rows.decode_server

    def fail(row):
        if row.name.key == "i-odd":
            raise ZeroDivisionError("a fault of the decoder")
        return decode(row)

    monkeypatch.setattr(server_rows, "decode_server", fail)
    await serve_jobs_beside(monkeypatch, caplog, "i-odd", ENTRY)
    assert "event=server-row-failed" in caplog.text


ODD_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:\u00b2",
    "\u00e9:80",
    "h" * 300 + ":80",
    "127.0.0.1\n:80",
    "127.0.0.1\x00:80",
    "nowhere",
    "",
]


# Guards against errors that no caller of the real client expects.
@pytest.mark.parametrize("address", ODD_ADDRESSES)
async def test_the_real_client_refuses_an_odd_address(address):
    async with open_json_client() as client:
        with pytest.raises(PlatformUnavailable):
            await client.call(address, "GET", "/", timeout_s=1.0)


@pytest.mark.parametrize("name", ["\u00e9-odd", "odd\nentry", "odd\x00"])
async def test_the_real_client_refuses_an_odd_name(nursery, name):
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    server = decode_server(
        Row(RowName("servers", "", "i-1"), json.dumps(ENTRY).encode(), 1)
    )
    server = attrs.evolve(server, id=name, address=f"127.0.0.1:{port}")
    nursery.start_soon(
        trio.serve_listeners, lambda stream: trio.sleep_forever(), listeners
    )
    async with open_json_client() as client:
        backend = BackendClient(client, Lateness(BatchMetrics()))
        with pytest.raises(PlatformUnavailable):
            await backend.renew(server, 1, 0, None, 0.0)
    nursery.cancel_scope.cancel()
