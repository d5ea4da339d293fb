"""The last causes in the platform's rows."""

import attrs

from rhubarbmount.budgets import read_pool_rows
from rhubarbmount.catalogue_writer import CatalogueWriter
from rhubarbmount.claims import Claim, ClaimState, row_key
from rhubarbmount.edits import Edit, Operator
from rhubarbmount.entries import Team
from rhubarbmount.hosts import HostState
from rhubarbmount.moves import HostMover
from rhubarbmount.row_causes import row_causes
from rhubarbmount.store.interface import Transaction, Write
from rhubarbmount.store.memory import MemoryPlatform
from rhubarbmount.tables import CLAIMS_TABLE
from rhubarbmount.waves import Control, WaveOperator
from tests.fleetkit import fill, make_host, make_pool

NOW_S = 1000.0


async def told(platform, kind, subject_id):
    return await row_causes.get(kind)(platform, subject_id)


async def fleet():
    platform = MemoryPlatform()
    pools = [make_pool(), make_pool("parts", hosts_wanted=0)]
    await fill(platform, pools, [make_host(number) for number in range(8)])
    ids = iter(map(str, range(100)))
    return platform, lambda: next(ids)


async def test_a_moving_host_tells_its_cause_and_where_it_goes():
    platform, new_id = await fleet()
    await HostMover(platform, lambda: NOW_S, new_id).begin("q1", "parts")
    (only,) = await told(platform, "host", "q1")
    assert (only.code, only.reason) == (HostState.DRAINING, "move:drain:parts")
    assert (only.inputs["action"], only.inputs["target_pool"]) == ("move", "parts")
    assert (only.source, only.time_s) == ("platform", NOW_S)


async def test_a_pool_names_who_holds_its_permits_and_a_paused_wave():
    platform, new_id = await fleet()
    (free,) = await told(platform, "pool", "quotes")
    assert free.reason == ""
    await HostMover(platform, lambda: NOW_S, new_id).begin("q1", "parts")
    assert (await read_pool_rows(platform, "quotes")).permits
    waves = WaveOperator(platform, lambda: NOW_S, new_id)
    wave_id = await waves.start(["quotes"])
    await waves.control(wave_id, Control.PAUSED)
    permits, wave = await told(platform, "pool", "quotes")
    assert permits.reason == "permits are held by q1"
    assert (wave.code, wave.reason) == ("wave-paused", "the operator paused the wave")


async def test_a_claim_is_told_by_service_and_key():
    platform = MemoryPlatform()
    claim = Claim(
        row_key=row_key("quotes", "order-17"),
        claim_id="c",
        holder="e1",
        fingerprint="f",
        claimed_s=NOW_S,
    )
    reasons = []
    for state in ClaimState:
        values = attrs.evolve(claim, state=state).values()
        write = Write(CLAIMS_TABLE, claim.row_key, values)
        await platform.transact(Transaction(state.value, (), (write,)))
        (only,) = await told(platform, "request", "quotes/order-17")
        assert only.code == f"claim-{state.value}"
        reasons.append(only.reason)
    lost = "it runs at e1, or its answer was lost there"
    assert reasons == [lost, "", "its answer was lost", ""]
    assert await told(platform, "request", "quotes/order-18") == []
    assert await told(platform, "request", "e1-abc-1") == []


async def test_an_entry_tells_who_changed_it_last():
    platform = MemoryPlatform()
    catalogue_writer = CatalogueWriter(platform, lambda: NOW_S)
    team = Team(name="firm", owner="firm")
    edit = Edit(key="team/firm", entry=team, expected_version=0)
    await catalogue_writer.apply(Operator("ana", frozenset({"firm"})), edit)
    (only,) = await told(platform, "entry", "team/firm")
    assert (only.code, only.catalogue_version) == ("accepted", 1)
    assert (only.inputs, only.time_s) == ({"operator": "ana"}, NOW_S)


async def test_nothing_is_told_of_what_has_no_row():
    platform = MemoryPlatform()
    for kind in row_causes:
        assert await told(platform, kind, "none") == []
