"""Rows and snapshots of a newer version, read and rewritten by this one."""

import attrs
import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbmount.catalogue import Snapshot, decode_snapshot, encode_snapshot
from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.claims import Claim, ClaimResultCode, ClaimState, evaluate, load_claim
from rhubarbmount.configuration import Configuration
from rhubarbmount.duties import Action, LeaseRow, LeaseTracker, dump_lease, load_lease
from rhubarbmount.edits import Edit, Operator
from rhubarbmount.entries import (
    JobTemplate,
    Pool,
    Service,
    Team,
    dump_entry,
    load_entry,
)
from rhubarbmount.errors import FindingsError, NotFound, Refused
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.host_work import HostIntent, dump_intent, load_intent
from rhubarbmount.hosts import HostState, Shape, dump_host, load_host
from rhubarbmount.jobs import Job, Task, dump_job, dump_task, load_job, load_task
from rhubarbmount.moves import HostMover
from rhubarbmount.peer_messages import Heartbeat, decode_message, encode_message
from rhubarbmount.store.interface import Row, Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.structure import structure
from rhubarbmount.waves import Control, Wave, dump_wave, load_wave
from tests import test_moves, wavekit
from tests.fleetkit import make_host
from tests.interleave import run_now
from tests.newer import (
    FIELD,
    VALUE,
    NewerPlatform,
    adorned,
    missing,
    newer_snapshot,
)
from tests.scheduling_world import World

SHAPE = Shape(2.0, 4.0)
JOB = Job(job_id="j", team="t", pool="p", shape=SHAPE)
TASK = Task(task_id="j/1", job_id="j", team="t", pool="p", host_id="h", reserved=SHAPE)
INTENT = HostIntent(intent_id="i", duty="hosts", action="move", host_id="h")
SERVICE = Service(name="filing", owner="firm-a", pool="shared")
POOL = Pool(name="shared", owner="firm-a", hosts_wanted=0)
TEAM = Team(name="firm-a", owner="firm-a")
TEMPLATE = JobTemplate(name="nightly", owner="firm-a", team="firm-a", pool="shared")
ROWS = {
    "host": (make_host(1), load_host, dump_host, "state"),
    "job": (JOB, load_job, dump_job, "state"),
    "task": (TASK, load_task, dump_task, "work_class"),
    "wave": (Wave(wave_id="w", started_s=1.0), load_wave, dump_wave, "control"),
    "intent": (INTENT, load_intent, dump_intent, ""),
    "lease": (LeaseRow("a", 1, 2), load_lease, dump_lease, ""),
} | {
    kind: (
        entry,
        lambda values, kind=kind: load_entry(kind, values),
        dump_entry,
        choice,
    )
    for kind, entry, choice in (
        ("team", TEAM, ""),
        ("pool", POOL, ""),
        ("service", SERVICE, "work_class"),
        ("job-template", TEMPLATE, "work_class"),
    )
}
FIRM = Operator("ana", frozenset({"firm-a"}))
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text(max_size=3),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=4,
)
EXTRAS = st.dictionaries(st.text(max_size=5).map("x_{}".format), PLAIN, max_size=3)


@pytest.mark.parametrize("kind", ROWS)
@given(extras=EXTRAS, inner=EXTRAS, word=st.text("abc", min_size=1, max_size=3))
def test_what_a_newer_version_wrote_outlasts_a_rewrite(kind, extras, inner, word):
    row, load, dump, choice = ROWS[kind]
    values = dump(row) | extras
    for part in ("shape", "reserved"):
        if part in values:
            values[part] = values[part] | inner
    if choice:
        values[choice] = f"newer-{word}"
    first = next(iter(dump(row)))
    rewritten = attrs.evolve(load(values), **{first: "changed"})
    assert dump(rewritten) == values | {first: "changed"}


@pytest.mark.parametrize("kind", ROWS)
def test_a_row_without_newer_fields_is_written_as_before(kind):
    row, load, dump, _ = ROWS[kind]
    assert load(dump(row)) == row
    assert "unknown" not in dump(row)


def test_every_rewrite_of_a_wave_and_of_moves_keeps_newer_fields():
    platform = NewerPlatform()
    world = wavekit.make_world(platform=platform)
    wave_id = run_now(wavekit.operator_of(world).start())
    wavekit.add_holder(world, "a")
    assert world.settle(lambda: wavekit.count_maintained(world) >= 2)
    world.stop()
    platform.is_newer = False
    run_now(wavekit.operator_of(world).control(wave_id, Control.PAUSED))
    run_now(wavekit.operator_of(world).control(wave_id, Control.RUNNING))
    wavekit.add_holder(world, "b")
    assert world.settle(lambda: wavekit.is_done(world, wave_id))
    world.stop()
    run_now(wavekit.operator_of(world).start())
    assert platform.drops == []
    assert {"budgets", "heads", "hosts", "intents", "leases"} <= platform.kept


def test_a_cancelled_move_keeps_newer_fields():
    platform = NewerPlatform()
    world = test_moves.make_world(platform)
    mover = HostMover(platform, world.clock, world.new_id)
    run_now(mover.begin("q0", "parts"))
    platform.is_newer = False
    run_now(mover.cancel("q0"))
    run_now(mover.begin("p0", "quotes"))
    assert platform.drops == []
    assert {"heads", "hosts", "intents"} <= platform.kept


async def test_every_rewrite_of_jobs_keeps_newer_fields():
    platform = NewerPlatform()
    world = World(platform=platform)
    first = await world.submit()
    second = await world.submit()
    await world.round()
    assert world.state(first) == world.state(second) == "running"
    third = await world.submit()
    platform.is_newer = False
    world.workers.end(f"{first}/1", "failed")
    await world.cancel(second)
    await world.settle(4, number=1)
    assert world.state(first) == world.state(third) == "running"
    assert world.state(second) == "cancelled"
    ended = platform.tables["history"][f"job/{second}"].value
    assert missing(adorned(ended), ended) == []
    drops = [drop for drop in platform.drops if drop[0] != "leases"]
    assert drops == []  # the test writes its leases itself
    assert {"scheduling", "jobs", "tasks"} <= platform.kept


def test_a_lease_is_read_taken_and_handed_back_with_newer_fields():
    tracker = LeaseTracker("b", row=load_lease(adorned(dump_lease(LeaseRow("", 3, 1)))))
    for action in (Action.TAKE, Action.RENEW, Action.RELEASE):
        tracker.row = tracker.next_row(action)
        assert dump_lease(tracker.row)[FIELD] == VALUE
    assert tracker.row.token == 4


def write_newer(world, table, key, values):
    write = Write(table, key, values)
    run_now(world.inner.transact(Transaction(f"newer-{table}", (), (write,))))


def test_the_work_of_an_unknown_action_holds_nothing_else_up():
    world = wavekit.make_world(racks_down_limit=2)
    unknown = dump_intent(attrs.evolve(INTENT, action="defragment", host_id="q7"))
    write_newer(world, "intents", "host/q7", unknown)
    write_newer(world, "hosts", "q7", dump_host(make_host(7, state="draining")))
    wave_id = run_now(wavekit.operator_of(world).start())
    wavekit.add_holder(world, "a")
    assert world.settle(lambda: wavekit.count_maintained(world) == 7)
    assert not wavekit.is_done(world, wave_id)
    assert world.inner.tables["intents"]["host/q7"].value == unknown
    world.stop()


def test_a_host_in_an_unknown_state_serves_nobody_and_stays_in_it():
    world = wavekit.make_world(racks_down_limit=2)
    values = dump_host(make_host(7)) | {"state": "asleep"}
    write_newer(world, "hosts", "q7", values)
    run_now(wavekit.operator_of(world).start())
    wavekit.add_holder(world, "a")
    assert world.settle(lambda: wavekit.count_maintained(world) == 7)
    assert world.inner.tables["hosts"]["q7"].value["state"] == "asleep"
    assert load_host(values).state not in list(HostState)
    world.stop()


def test_a_claim_in_an_unknown_state_is_never_run_again():
    claim = Claim(
        row_key="s/k", claim_id="c", holder="e", fingerprint="f", claimed_s=1.0
    )
    values = adorned(claim.values()) | {"state": "paid-back"}
    found = load_claim(Row("claims", "s/k", values, 1))
    result = evaluate(attrs.evolve(claim, claim_id="d"), found)
    assert (result.code, result.outcome) == (ClaimResultCode.UNKNOWN, "unknown")
    assert found.state is not ClaimState.CLAIMED


def test_a_message_with_more_fields_is_read_and_an_unknown_one_passed_over():
    beat = Heartbeat(1, 2, False, b"")
    values = [1, 2, False, b"", "newer"]
    assert decode_message(msgpack.packb([0, values])) == beat
    assert decode_message(msgpack.packb([99, values])) is None
    assert encode_message(beat) == msgpack.packb([0, values[:4]])


NEWER_ROWS = [
    ["tenant/acme", 3, {"name": "acme", "owner": "firm-a", "lives_in": "spare"}],
]


def newer(rows):
    """Return the rows of a snapshot as a newer version would have them."""
    changed = []
    for key, version, values in rows:
        values = adorned(values)
        if key == "service/filing":
            values |= {"work_class": "frugal", "outage_choice": "ask"}
        changed.append([key, version, values])
    return changed + NEWER_ROWS


def older_snapshot():
    snapshot = Snapshot()
    spare = attrs.evolve(POOL, name="spare")
    for kind, entry in (
        ("team", TEAM),
        ("pool", POOL),
        ("pool", spare),
        ("service", SERVICE),
    ):
        snapshot = snapshot.with_entry(kind, entry)
    return snapshot


def by_key(rows):
    """Return a snapshot's rows in one order, also their fields."""
    return [[key, at, dict(sorted(values.items()))] for key, at, values in sorted(rows)]


async def newer_platform():
    platform = MemoryPlatform()
    body = newer_snapshot(encode_snapshot(older_snapshot()), newer)
    await platform.put_object("catalogue/newer", body)
    writes = [
        Write(
            "heads", "catalogue", adorned({"version": 4, "object": "catalogue/newer"})
        )
    ]
    for key, version, values in newer(_rows(older_snapshot())):
        writes.append(Write("entries", key, {"version": version, "values": values}))
    await platform.transact(Transaction("newer", (), tuple(writes)))
    return platform


def _rows(snapshot):
    return [
        [key, snapshot.entry_version(key), dump_entry(entry)]
        for key, entry in snapshot.entry_by_key.items()
    ]


async def apply(platform, kind, changes, name="filing"):
    """Edit an entry as an operator at an older entry host does."""
    row = await platform.read("entries", f"{kind}/{name}")
    stored = load_entry(kind, row.value["values"])
    values = dict(row.value["values"]) | changes
    edit = Edit.from_values(kind, values, row.value["version"], "op", stored)
    await CatalogueWriter(platform, lambda: 1.0, seed=1).apply(FIRM, edit)
    head = await platform.read("heads", "catalogue")
    return head, decode_snapshot(await platform.get_object(head.value["object"]))


async def test_a_newer_snapshot_is_in_force_and_passed_on_whole():
    platform = await newer_platform()
    body = await platform.get_object("catalogue/newer")
    configuration = Configuration(platform=platform)
    await configuration.refresh()
    assert configuration.version == 4
    shared = configuration.share(0).body
    assert newer_snapshot(shared, by_key) == newer_snapshot(body, by_key)


async def test_an_edit_through_an_older_entry_host_keeps_all_it_does_not_know():
    platform = await newer_platform()
    head, snapshot = await apply(platform, "service", {"concurrency": 7})
    wanted = {row[0]: row[2] for row in newer(_rows(older_snapshot()))}
    wanted["service/filing"]["concurrency"] = 7
    stored = await platform.read("entries", "service/filing")
    assert {
        k: dump_entry(entry) for k, entry in snapshot.entry_by_key.items()
    } == wanted
    assert stored.value["values"] == wanted["service/filing"]
    assert head.value[FIELD] == VALUE


async def test_an_edit_that_leaves_an_unknown_field_out_keeps_it():
    platform = await newer_platform()
    edit = Edit.from_values("team", dump_entry(TEAM), 1, "op")
    await CatalogueWriter(platform, lambda: 1.0, seed=1).apply(FIRM, edit)
    stored = await platform.read("entries", "team/firm-a")
    assert stored.value["values"][FIELD] == VALUE


@pytest.mark.parametrize(
    "changes",
    [{FIELD: "changed"}, {"concurency": 7}, {"work_class": "fast"}, {"unknown": {}}],
)
async def test_an_edit_that_changes_what_is_unknown_is_refused_with_its_place(changes):
    platform = await newer_platform()
    with pytest.raises(FindingsError) as caught:
        await apply(platform, "service", changes)
    assert [finding.place for finding in caught.value.findings] == ["service/filing"]
    assert next(iter(changes)) in caught.value.findings[0].message


async def test_what_a_newer_entry_may_name_is_not_removed_and_neither_is_it():
    platform = await newer_platform()
    catalogue_writer = CatalogueWriter(platform, lambda: 1.0, seed=1)
    for key, version, code in (
        ("pool/spare", 3, "has-dependents"),
        ("tenant/acme", 3, "newer-kind"),
    ):
        with pytest.raises(Refused) as caught:
            edit = Edit(key=key, entry=None, expected_version=version)
            await catalogue_writer.apply(FIRM, edit)
        assert caught.value.code == code
    with pytest.raises(NotFound):
        await apply(platform, "tenant", {}, "acme")


@attrs.frozen(kw_only=True)
class HedgedService(Service):
    """A service of a version whose field must not be passed over."""

    hedged: bool = attrs.field(default=False, metadata={"since_format": 2})


@pytest.mark.parametrize(
    ("hedged", "known", "code"),
    [(True, 1, "older-entry-hosts"), (True, 2, ""), (False, 0, ""), (False, 1, "")],
)
async def test_a_field_not_to_be_passed_over_waits_for_all(
    monkeypatch, hedged, known, code
):
    platform = await newer_platform()
    catalogue_writer = CatalogueWriter(
        platform, lambda: 1.0, seed=1, lowest_format=lambda: known
    )
    service = HedgedService(**attrs.asdict(SERVICE) | {"hedged": hedged})
    edit = Edit(key="service/filing", entry=service, expected_version=4)
    if code:
        with pytest.raises(Refused) as caught:
            await catalogue_writer.apply(FIRM, edit)
        assert caught.value.code == code
        return
    await catalogue_writer.apply(FIRM, edit)
    head = await platform.read("heads", "catalogue")
    body = await platform.get_object(head.value["object"])
    if not hedged:
        assert decode_snapshot(body).version == 5
        return
    with pytest.raises(FindingsError, match="format 2"):
        decode_snapshot(body)


async def test_a_snapshot_of_a_newer_format_is_refused_and_the_last_one_serves():
    platform = await newer_platform()
    configuration = Configuration(platform=platform)
    await configuration.refresh()
    before = configuration.snapshot
    hedged = HedgedService(name="hedged", owner="firm-a", pool="shared", hedged=True)
    body = encode_snapshot(before.with_entry("service", hedged))
    await platform.put_object("catalogue/5", body)
    head = {"version": 5, "object": "catalogue/5"}
    write = Write("heads", "catalogue", head)
    await platform.transact(Transaction("newest", (), (write,)))
    await configuration.refresh()
    assert configuration.snapshot is before
    with pytest.raises(FindingsError, match="format 2"):
        decode_snapshot(body)


async def test_the_view_of_the_fleet_passes_newer_fields_on():
    platform = NewerPlatform()
    rows = [Write("hosts", "q1", dump_host(make_host(1)))]
    rows.append(Write("heads", "fleet", {"version": 1, "changes": []}))
    await platform.transact(Transaction("fill", (), tuple(rows)))
    first, second = FleetView(platform=platform), FleetView(platform=platform)
    await first.refresh()
    second._adopt_body(first.share(0).body)
    assert dump_host(second.host_by_id["q1"]) == adorned(dump_host(make_host(1)))


def test_settings_and_seeds_refuse_the_field_that_keeps_what_is_unknown():
    _, faults = structure(dump_entry(TEAM) | {"unknown": {}}, Team)
    assert [(fault.path, fault.code) for fault in faults] == [
        (("unknown",), "unknown-key")
    ]
