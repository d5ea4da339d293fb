"""Decoding of well-formed and malformed rows of the operator and backend servers."""

import json
from contextlib import suppress

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbmount.platform.row_formats import (
    UnreadableRow,
    decode_catalogue,
    decode_server,
    decode_wave,
)
from rhubarbmount.platform.rows import Row, RowName

SERVER = {
    "service": "one",
    "addr": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clock_ms": 5,
    "seq": 4,
}


def row(value, key="i-1"):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Row(RowName("servers", "", key), data, 3)


def test_decode_server():
    server = decode_server(row(SERVER))
    assert (server.id, server.service, server.rack) == ("i-1", "one", "r1-3")
    assert (server.cpu_millicores, server.memory_mb) == (16000, 32768)
    assert not server.is_draining


def test_decode_server_takes_the_host_if_it_is_given_as_text():
    assert decode_server(row({**SERVER, "machine": "m-1"})).host_id == "m-1"
    assert decode_server(row({**SERVER, "machine": 7})).host_id == ""
    assert decode_server(row(SERVER)).host_id == ""


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"state": None},
        {"addr": "nowhere"},
        {"addr": 7},
        {"service": ["one"]},
        {"capacity": 16000},
        {"capacity": {"cpu": "many", "mem_mb": 1}},
        {"capacity": {"cpu": True, "mem_mb": 1}},
        {"labels": "a"},
        {"labels": [1]},
    ],
)
def test_decode_server_rejects_invalid_value(change):
    with pytest.raises(UnreadableRow):
        decode_server(row({**SERVER, **change}))


@pytest.mark.parametrize("name", ["service", "addr", "zone", "state", "capacity"])
def test_decode_server_rejects_missing_field(name):
    values = {key: value for key, value in SERVER.items() if key != name}
    with pytest.raises(UnreadableRow):
        decode_server(row(values))


@given(st.binary(max_size=200))
def test_decoders_reject_arbitrary_bytes(data):
    for decode in (decode_server, decode_catalogue, decode_wave):
        with pytest.raises(UnreadableRow):
            decode(row(data))


json_values = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(st.dictionaries(st.sampled_from(sorted(SERVER)), json_values))
def test_decode_server_raises_only_unreadable_row(change):
    with suppress(UnreadableRow):
        decode_server(row({**SERVER, **change}))


@given(
    st.dictionaries(
        st.sampled_from(["version", "routes", "services", "wave", "machines", "cap"]),
        json_values,
    )
)
def test_operator_row_decoders_raise_only_unreadable_row(values):
    for decode in (decode_catalogue, decode_wave):
        with suppress(UnreadableRow):
            decode(row(values))


def test_decode_catalogue():
    catalogue = decode_catalogue(
        row(
            {
                "version": 7,
                "routes": [
                    {
                        "name": "r",
                        "host": "a.example",
                        "prefix": "/q/",
                        "service": "one",
                        "priority": 1,
                        "attempts": 2,
                        "slack_factor": 1.6,
                        "latency_slo_ms": 600,
                        "advice": {"valid_ms": 3000},
                    }
                ],
                "services": [{"name": "one"}, {"name": "rest", "standby": True}],
                "limits": {},
            }
        )
    )
    [queue] = catalogue.queue_by_name.values()
    assert (queue.attempts, queue.latency_objective_s, queue.has_advice) == (
        2,
        0.6,
        True,
    )
    assert catalogue.is_standby("rest")
    assert not catalogue.is_standby("one")
