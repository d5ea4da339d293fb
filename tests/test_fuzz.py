"""Random input at the boundaries: it is refused in the stated way, or taken."""

import json

import msgpack
import pytest
import trio
import yaml
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.configuration import Configuration
from rhubarbmount.edits import Operator, Operators
from rhubarbmount.errors import (
    FindingsError,
    OutcomeUnknown,
    PlatformUnavailable,
)
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.operators import OperatorsApi
from rhubarbmount.peer_messages import (
    Heartbeat,
    MemberReport,
    PeerIdentity,
    Summary,
    decode_identity,
    decode_message,
)
from rhubarbmount.peer_table import PeerTable
from rhubarbmount.router import Router
from rhubarbmount.settings import Settings, check_settings
from rhubarbmount.store.http import _decode
from rhubarbmount.store.interface import LiveHost, Row, TransactionResult
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.yaml_file import parse_yaml
from tests.test_job_handlers import SMALL, Operated
from tests.test_settings import GOOD

ME = PeerIdentity("me", "dc-a", "127.0.0.1:1", "0")
SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8)
NAMES = st.text(max_size=6)
PLAIN = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(NAMES, inner, max_size=4)
    ),
    max_leaves=8,
)
FUZZ = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    suppress_health_check=[HealthCheck.too_slow],
)


def changed(good):
    """Return mappings like a good one with values replaced, dropped and added."""
    known = st.dictionaries(st.sampled_from(sorted(good)), PLAIN, max_size=3)
    unknown = st.dictionaries(NAMES, PLAIN, max_size=1)
    dropped = st.sets(st.sampled_from(sorted(good)), max_size=2)
    return st.builds(
        lambda known, unknown, dropped: {
            key: value
            for key, value in {**good, **known, **unknown}.items()
            if key not in dropped
        },
        known,
        unknown,
        dropped,
    )


@given(st.binary(max_size=60))
@FUZZ
def test_random_bytes_are_no_message_of_a_peer(body):
    decode_message(body)
    decode_identity(body)


@given(st.integers(-2, 8), PLAIN)
@FUZZ
def test_random_values_are_no_message_of_a_peer(tag, values):
    try:
        body = msgpack.packb([tag, values])
    except (ValueError, OverflowError):
        return
    decode_message(body)
    decode_identity(body)


IDENTITIES = st.builds(PeerIdentity, NAMES, NAMES, NAMES, NAMES)
BEATS = st.builds(
    Heartbeat, st.integers(), st.integers(), st.booleans(), st.binary(max_size=20)
)
REPORTS = st.builds(MemberReport, IDENTITIES, st.integers(), st.booleans())
SUMMARIES = st.builds(
    Summary, NAMES, st.integers(), st.lists(REPORTS, max_size=3).map(tuple)
)


@given(st.lists(st.tuples(IDENTITIES, BEATS) | SUMMARIES, max_size=8))
@FUZZ
def test_a_peer_that_says_odd_things_breaks_nothing(messages):
    table = PeerTable(ME)
    for now_s, message in enumerate(messages):
        if isinstance(message, Summary):
            table.hear_summary(message, float(now_s))
        else:
            table.record_heartbeat(*message, float(now_s))
    table.live(10.0)
    table.reports(10.0)
    table.in_flight(["h1"], 10.0)
    table.due_summaries(10.0)
    table.summarise(1, False, 10.0)


@given(st.text(max_size=200))
@FUZZ
def test_any_text_of_settings_gives_findings(text):
    try:
        parsed = parse_yaml("s.yaml", text)
    except FindingsError as error:
        assert error.findings
        return
    built, found = check_settings(parsed)
    assert found or isinstance(built, Settings)


@given(changed(yaml.safe_load(GOOD)))
@FUZZ
def test_settings_with_random_values_give_findings_or_are_taken(values):
    text = yaml.safe_dump(values, allow_unicode=True)
    built, found = check_settings(parse_yaml("s.yaml", text))
    assert bool(found) != isinstance(built, Settings)


ENTRY_BY_KIND = {
    "team": {"name": "a", "owner": "a", "processors_quota": 4},
    "pool": {"name": "p", "owner": "a", "hosts_wanted": 2, "hosts_down_limit": 1},
    "service": {"name": "s", "owner": "a", "pool": "p"},
    "job-template": SMALL | {"name": "t", "owner": "a"},
}
ANSWERS = st.binary(max_size=40) | PLAIN.map(json.dumps).map(str.encode)


@given(ANSWERS, st.sampled_from([Row, list[Row], list[LiveHost], TransactionResult]))
@FUZZ
def test_a_random_answer_of_the_platform_is_a_failed_call(body, kind):
    with pytest.raises((PlatformUnavailable, OutcomeUnknown)):
        _decode("GET", HttpResponse(200, [], body), kind)
        raise PlatformUnavailable("the answer had the right form")


@given(st.sampled_from(sorted(ENTRY_BY_KIND)), st.data())
@FUZZ
def test_a_random_edit_is_refused_or_accepted(kind, data):
    values = data.draw(changed(ENTRY_BY_KIND[kind]))
    good = {"values": values, "expected_version": 0, "operation_id": "o"}
    body = data.draw(changed(good) | st.just(good))
    path = f"/entries/{kind}/{ENTRY_BY_KIND[kind]['name']}"
    status = trio.run(applied, path, json.dumps(body).encode())
    assert status in (200, 400, 403, 404, 409, 422)


async def applied(path, body):
    platform = MemoryPlatform()
    operators = Operators({Operators.digest("t"): Operator("ana", frozenset({"a"}))})
    edits = CatalogueWriter(platform, wall_clock=lambda: 0.0, seed=1)
    api = OperatorsApi(
        operators, edits, Configuration(platform=platform), platform, None
    )
    headers = [(b"authorization", b"Bearer t")]
    return (await api.router.handle(HttpRequest("PUT", path, headers, body))).status


@given(changed(SMALL | {"job_id": "j", "template": ""}) | PLAIN)
@FUZZ
def test_a_random_job_is_refused_or_taken(values):
    assert trio.run(submitted, json.dumps(values).encode()) < 500


@pytest.mark.parametrize("body", [b"[" * 100_000, b"\xff", b"{", b"1e999"])
async def test_a_body_that_is_no_job_is_refused(body):
    assert 400 <= await submitted(body) < 500


async def submitted(body):
    router = Router()
    Operated().handlers.add_routes(router)
    return (await router.handle(HttpRequest("POST", "/jobs", [], body))).status
