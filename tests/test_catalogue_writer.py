"""Edits accepted as platform transactions, raced and under faults."""

import attrs
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbmount.catalogue import decode_snapshot
from rhubarbmount.catalogue_checks import FleetSummary
from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.edits import CommittedEdit, Edit, Operator, Operators
from rhubarbmount.entries import Pool, Team
from rhubarbmount.errors import (
    AccessDenied,
    ConflictError,
    FindingsError,
    NotFound,
    OutcomeUnknown,
    PlatformUnavailable,
    Refused,
    RhubarbmountError,
)
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform

FIRM = Operator("ana", frozenset({"firm-a"}))
RIVAL = Operator("ben", frozenset({"firm-b"}))


def team(name="firm-a", **quotas):
    return Team(name=name, owner=name, **quotas)


def put(entry, expected_version=0, kind="team", **fields):
    return Edit(
        key=f"{kind}/{entry.name}",
        entry=entry,
        expected_version=expected_version,
        **fields,
    )


def remove(key, expected_version):
    return Edit(key=key, entry=None, expected_version=expected_version)


def catalogue_writer(platform, **options):
    return CatalogueWriter(platform, wall_clock=lambda: 1000.0, seed=1, **options)


async def head_snapshot(platform):
    head = await platform.read("heads", "catalogue")
    return decode_snapshot(await platform.get_object(head.value["object"]))


@attrs.define
class FaultyPlatform:
    """Pass calls on in the order and with the faults that a plan names."""

    platform: MemoryPlatform
    faults: list[str] = attrs.field(factory=list)
    switch: object = None

    async def _fault(self):
        if self.switch is not None:
            await self.switch.turn()
        return self.faults.pop(0) if self.faults else "pass"

    async def read(self, table, key):
        if await self._fault() == "out":
            raise PlatformUnavailable("out")
        return await self.platform.read(table, key)

    async def get_object(self, name):
        if await self._fault() == "out":
            raise PlatformUnavailable("out")
        return await self.platform.get_object(name)

    async def put_object(self, name, body):
        fault = await self._fault()
        if fault == "out":
            raise PlatformUnavailable("out")
        await self.platform.put_object(name, body)
        if fault == "lost":
            raise OutcomeUnknown("lost")

    async def transact(self, transaction):
        fault = await self._fault()
        if fault == "out":
            raise PlatformUnavailable("out")
        if fault == "dropped":
            raise OutcomeUnknown("dropped")
        if fault == "late":
            self.switch.later(self.platform.transact, transaction)
            raise OutcomeUnknown("late")
        result = await self.platform.transact(transaction)
        if fault == "lost":
            raise OutcomeUnknown("lost")
        return result


async def test_an_accepted_edit_is_in_the_head_the_row_and_the_history(
    autojump_clock,
):
    platform = MemoryPlatform()
    accepted = await catalogue_writer(platform).apply(FIRM, put(team()))
    assert accepted.version == 1
    assert (await head_snapshot(platform)).team_by_name == {"firm-a": team()}
    row = await platform.read("entries", "team/firm-a")
    assert row.value["version"] == 1
    history = await platform.scan("history", "team/firm-a/")
    assert [(r.value["operator"], r.value["when_s"]) for r in history] == [
        ("ana", 1000.0)
    ]


async def test_an_edit_of_a_version_that_was_overwritten_conflicts(autojump_clock):
    platform = MemoryPlatform()
    editor = catalogue_writer(platform)
    await editor.apply(FIRM, put(team()))
    await editor.apply(FIRM, put(team(processors_quota=1), 1))
    with pytest.raises(ConflictError) as caught:
        await editor.apply(FIRM, put(team(processors_quota=2), 1))
    assert caught.value.code == "version-conflict"


async def test_another_owners_entry_is_denied_and_logged(autojump_clock, caplog):
    platform = MemoryPlatform()
    editor = catalogue_writer(platform)
    await editor.apply(FIRM, put(team()))
    denied = [
        put(team(processors_quota=9), 1),
        remove("team/firm-a", 1),
        put(Team(name="firm-a", owner="firm-b"), 1),
        put(Pool(name="p", owner="firm-a", hosts_wanted=1), kind="pool"),
    ]
    for edit in denied:
        with pytest.raises(AccessDenied):
            await editor.apply(RIVAL, edit)
    assert caplog.text.count("result=access-denied") == len(denied)
    given_away = put(Team(name="firm-a", owner="firm-b"), 1)
    with pytest.raises(AccessDenied):
        await editor.apply(FIRM, given_away)


def test_an_unknown_token_is_denied():
    operators = Operators({Operators.digest("right"): FIRM})
    with pytest.raises(AccessDenied):
        operators.authenticate("wrong")


async def test_faults_and_dependents_refuse_an_edit(autojump_clock):
    editor = catalogue_writer(MemoryPlatform())
    await editor.apply(FIRM, put(team()))
    with pytest.raises(FindingsError):
        bad = Pool(name="p", owner="firm-a", hosts_wanted=-1)
        await editor.apply(FIRM, put(bad, kind="pool"))
    pool = Pool(name="p", owner="firm-a", hosts_wanted=1)
    await editor.apply(FIRM, put(pool, kind="pool"))
    with pytest.raises(Refused, match="pool/p"):
        await editor.apply(FIRM, remove("team/firm-a", 1))
    with pytest.raises(NotFound):
        await editor.apply(FIRM, remove("pool/q", 1))


async def test_an_outage_refuses_and_leaves_nothing(autojump_clock):
    platform = MemoryPlatform()
    for calls_before in range(3):
        faults = ["pass"] * calls_before + ["out"]
        editor = catalogue_writer(FaultyPlatform(platform, faults))
        with pytest.raises(PlatformUnavailable):
            await editor.apply(FIRM, put(team()))
    assert await platform.scan("entries") == []


async def test_a_commit_whose_answer_is_lost_is_told_as_accepted(autojump_clock):
    platform = MemoryPlatform()
    faulty = FaultyPlatform(platform, ["pass", "pass", "pass", "lost"])
    accepted = await catalogue_writer(faulty).apply(FIRM, put(team()))
    assert accepted.version == 1
    assert (await platform.read("heads", "catalogue")).value["version"] == 1


async def test_an_unsettled_commit_is_unknown_and_a_repeat_tells(autojump_clock):
    platform = MemoryPlatform()
    faulty = FaultyPlatform(platform, ["pass", "pass", "pass", "lost", "out"])
    edit = put(team())
    with pytest.raises(OutcomeUnknown, match=edit.operation_id):
        await catalogue_writer(faulty).apply(FIRM, edit)
    accepted = await catalogue_writer(platform).apply(FIRM, edit)
    assert accepted == CommittedEdit(1, "team/firm-a", edit.operation_id)
    reused = put(team("firm-b"), operation_id=edit.operation_id)
    with pytest.raises(ConflictError, match="another edit"):
        await catalogue_writer(platform).apply(RIVAL, reused)


async def test_a_fleet_that_changed_since_the_check_is_checked_again(autojump_clock):
    platform = MemoryPlatform()
    summaries = [FleetSummary(0, {"x": 3}), FleetSummary(1, {"x": 2})]

    async def summarise():
        summary = summaries.pop(0)
        if summary.version == 0:
            write = Write("heads", "fleet", {"version": 1, "changes": []})
            await platform.transact(Transaction("host-lost", (), (write,)))
        return summary

    editor = catalogue_writer(platform, summarise_fleet=summarise)
    await editor.apply(FIRM, put(team()))
    pool = Pool(name="p", owner="firm-a", hosts_wanted=3)
    with pytest.raises(FindingsError, match="over-fleet"):
        await editor.apply(FIRM, put(pool, kind="pool"))


async def test_nothing_is_accepted_on_a_head_behind_the_version_in_force(
    autojump_clock,
):
    platform = MemoryPlatform()
    await catalogue_writer(platform).apply(FIRM, put(team()))
    behind = catalogue_writer(platform, version_in_force=lambda: 2)
    with pytest.raises(Refused) as caught:
        await behind.apply(FIRM, put(team(processors_quota=1), 1))
    assert caught.value.code == "head-behind"
    assert (await platform.read("heads", "catalogue")).value["version"] == 1


class Switch:
    """Let one waiting call go at a time, as a list of choices says."""

    def __init__(self, choices):
        self.choices = choices
        self.waiting = []
        self.late = []

    async def turn(self):
        gate = trio.Event()
        self.waiting.append(gate)
        await gate.wait()

    def later(self, call, transaction):
        self.late.append((call, transaction))

    async def run(self, done):
        while not done():
            await trio.testing.wait_all_tasks_blocked()
            count = len(self.waiting) + len(self.late)
            if not count:
                await trio.sleep(0.1)
                continue
            index = (self.choices.pop(0) if self.choices else 0) % count
            if index < len(self.waiting):
                self.waiting.pop(index).set()
                continue
            call, transaction = self.late.pop(index - len(self.waiting))
            await call(transaction)


FAULTS = ["pass"] * 6 + ["out", "lost", "dropped", "late"]


@given(
    st.lists(st.integers(0, 7), max_size=120),
    st.lists(st.lists(st.sampled_from(FAULTS), max_size=30), min_size=3, max_size=3),
)
@settings(derandomize=True, deadline=None, database=None, max_examples=300)
def test_racing_edits_lose_nothing_accepted(choices, faults_by_editor):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(race, choices, faults_by_editor, clock=clock)


async def race(choices, faults_by_editor):
    platform = MemoryPlatform()
    switch = Switch(choices)
    results = []
    versions_seen = []

    async def edit_in_turn(number, faults):
        editor = catalogue_writer(FaultyPlatform(platform, list(faults), switch))
        operator = Operator(f"op-{number}", frozenset({"own", "shared"}))
        expected_by_key = {"team/shared": 0, f"team/own-{number}": 0}
        for step in range(4):
            name = "shared" if step % 2 else f"own-{number}"
            key = f"team/{name}"
            owner = "shared" if name == "shared" else "own"
            entry = Team(name=name, owner=owner, processors_quota=step)
            edit = put(entry, expected_by_key[key])
            results.append((edit, await outcome(editor, operator, edit)))
            expected_by_key[key] = await current_version(platform, key)
            versions_seen.append(await head_version(platform))

    root = Operator("root", frozenset({"own"}))
    await catalogue_writer(platform).apply(root, put(team("own")))
    finished = []

    async def run_editor(number, faults):
        await edit_in_turn(number, faults)
        finished.append(number)

    async with trio.open_nursery() as nursery:
        for number, faults in enumerate(faults_by_editor):
            nursery.start_soon(run_editor, number, faults)
        nursery.start_soon(switch.run, lambda: len(finished) == len(faults_by_editor))
    for call, transaction in switch.late:
        await call(transaction)
    await check_nothing_lost(platform, results, versions_seen)


async def outcome(editor, operator, edit):
    try:
        return await editor.apply(operator, edit)
    except RhubarbmountError as error:
        return error


async def current_version(platform, key):
    row = await platform.read("entries", key)
    return 0 if row is None else row.value["version"]


async def head_version(platform):
    return (await platform.read("heads", "catalogue")).value["version"]


async def check_nothing_lost(platform, results, versions_seen):
    assert versions_seen == sorted(versions_seen)
    operations = await platform.scan("history", "operation/")
    version_by_operation = {
        row.key.removeprefix("operation/"): row.value["version"] for row in operations
    }
    versions = sorted(version_by_operation.values())
    assert versions == list(range(1, await head_version(platform) + 1))
    for edit, result in results:
        committed = version_by_operation.get(edit.operation_id)
        if isinstance(result, CommittedEdit):
            assert committed == result.version
        elif not isinstance(result, OutcomeUnknown):
            assert committed is None, result.code
    entry_rows = await platform.scan("entries")
    snapshot = await head_snapshot(platform)
    assert {row.key: row.value["version"] for row in entry_rows} == dict(
        snapshot.changed_by_key
    )
