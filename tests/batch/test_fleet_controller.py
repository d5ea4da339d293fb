"""Commands to hosts and waves: what counts while an outcome is not known."""

import logging
import re

import attrs
import pytest
import trio
from trio.testing import MockClock

from rhubarbmount.batch import clocks
from rhubarbmount.batch.catalogue import Catalogue, Pool
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.fleet_controller import FleetController
from rhubarbmount.batch.host_command_times import HostCommandTimes
from rhubarbmount.batch.host_commands import HostCommands
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import (
    Host,
    HostState,
    Server,
    Step,
    Task,
    TaskId,
    Wave,
)
from rhubarbmount.batch.placing import Placer, Shortage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.hosts import HostList, HostResult
from rhubarbmount.timers import TimerService

POOLS = {name: Pool(name, name == "rest") for name in ("one", "rest")}


@pytest.fixture
def autojump_clock():
    return MockClock(rate=0.0, autojump_threshold=0.0)


@attrs.define
class ScriptedHosts:
    """Hosts that answer commands with the results given, the last one for good."""

    hosts: list[Host]
    results: list[HostResult | Exception]
    answer_after_s: float = 0.01
    commanded: list[str] = attrs.field(factory=list)
    left_out: int = 0
    list_takes_s: float = 0.0
    is_list_down: bool = False
    lists: int = 0

    async def list(self):
        self.lists += 1
        if self.is_list_down:
            raise PlatformUnavailable("no list")
        answer = HostList(tuple(self.hosts), self.left_out)
        if self.list_takes_s:
            await trio.sleep(self.list_takes_s)
        return answer

    async def move(self, host_id, pool, fencing_token, may_send):
        return await self._answer(host_id, may_send)

    async def maintain(self, host_id, wave, fencing_token, may_send):
        return await self._answer(host_id, may_send)

    async def _answer(self, host_id, may_send):
        if not may_send():
            raise PlatformUnavailable("may not be sent")
        self.commanded.append(host_id)
        await trio.sleep(self.answer_after_s)
        result = self.results.pop(0) if len(self.results) > 1 else self.results[0]
        if isinstance(result, Exception):
            raise result
        return result


@attrs.define
class Fleet:
    """A controller under test, and the gate that its writes to the store wait at."""

    client: ScriptedHosts
    stored: trio.Event = attrs.field(factory=trio.Event)
    stored_times: list[bytes] = attrs.field(factory=list)
    controller: FleetController = attrs.field(init=False)

    def __attrs_post_init__(self):
        shard = Shard(Catalogue(1, {}, POOLS))
        times = HostCommandTimes(trio.current_time, 3.0)

        async def save_command_times():
            self.stored_times.append(times.encode())
            await self.stored.wait()

        lease = ShardLease(1, trio.current_time())
        self.controller = FleetController(
            shard=shard,
            placer=Placer(shard),
            shard_lease=lease,
            client=self.client,
            commands=HostCommands(self.client, lease, times, save_command_times),
            timers=TimerService(1),
            metrics=BatchMetrics(),
            store_clock_s=trio.current_time,
            save_wave=lambda progress: None,
            wake_scheduler=lambda: None,
            stop_s=0.2,
        )

    def add_wave(self, limit):
        hosts = tuple(host.id for host in self.client.hosts)
        self.controller.put_wave(Wave(1, hosts, 60.0, limit), None)

    @property
    def unavailable(self):
        return self.controller.wave_by_number[1].unavailable

    async def run_for(self, duration_s, is_lease_renewed=True):
        """Run the controller for a time."""
        with trio.move_on_after(duration_s):
            async with trio.open_nursery() as nursery:
                if is_lease_renewed:
                    nursery.start_soon(self._renew)
                nursery.start_soon(self.controller.run)

    async def _renew(self):
        while True:
            self.controller.shard_lease.renewed_at_s = trio.current_time()
            await trio.sleep(0.5)


def rest_hosts(count):
    return [Host(f"m{n}", "rest", HostState.UP, "", 8000, "a") for n in range(count)]


@pytest.fixture
def fleet_of(monkeypatch):
    def make(count, *results):
        monkeypatch.setattr(clocks.source, "monotonic_s", trio.current_time)
        fleet = Fleet(ScriptedHosts(rest_hosts(count), list(results)))
        fleet.stored.set()
        return fleet

    return make


# Guards against a late command to a host that a refusal had freed.
async def test_a_refusal_after_an_unanswered_try_does_not_free_the_slot(
    autojump_clock, fleet_of
):
    fleet = fleet_of(2, OutcomeUnknown("no answer"), HostResult.BUSY)
    fleet.add_wave(limit=1)
    await fleet.run_for(3.0)
    assert set(fleet.client.commanded) == {"m0"}
    assert fleet.unavailable == {"m0"}


async def test_a_refusal_at_the_first_try_frees_the_slot(autojump_clock, fleet_of):
    fleet = fleet_of(2, HostResult.BUSY)
    fleet.add_wave(limit=1)
    await fleet.run_for(0.05)
    assert fleet.unavailable == set()


# Guards against a late command to a host that was forgotten without a valid lease.
async def test_an_unknown_outcome_outlasts_a_gap_in_the_lease(autojump_clock, fleet_of):
    fleet = fleet_of(2, OutcomeUnknown("no answer"))
    fleet.add_wave(limit=1)
    await fleet.run_for(4.0, is_lease_renewed=False)
    assert set(fleet.client.commanded) == {"m0"}
    assert fleet.unavailable == {"m0"}


# Guards against commands of two holders to one host within the pause between them.
async def test_the_time_of_each_repetition_is_stored_before_it(
    autojump_clock, fleet_of
):
    fleet = fleet_of(1, *[OutcomeUnknown("no answer")] * 3, HostResult.DONE)
    fleet.add_wave(limit=1)
    fleet.client.answer_after_s = 1.0
    await fleet.run_for(6.0)
    assert len(fleet.client.commanded) == 4
    assert len(fleet.stored_times) == 4


# Guards against moving a host for each round that the first move waits for the store.
async def test_a_decided_move_counts_while_the_store_is_slow(autojump_clock, fleet_of):
    fleet = fleet_of(8, HostResult.DONE)
    fleet.stored = trio.Event()
    fleet.controller.placer.shortage_by_pool = {"one": Shortage(16000, 2, 2, 16.0)}
    await fleet.run_for(1.0)
    assert len(fleet.stored_times) == 2


async def test_a_store_slower_than_the_window_delays_commands_only(
    autojump_clock, fleet_of
):
    fleet = fleet_of(1, HostResult.DONE)
    fleet.add_wave(limit=1)

    async def save_slowly():
        await trio.sleep(1.5)

    fleet.controller.commands.save_command_times = save_slowly
    await fleet.run_for(6.0)
    assert fleet.client.commanded == ["m0"]


def server_in_pool(server_id):
    return Server(
        server_id, "one", "a:1", "a", False, 8000, 8000, 0, frozenset(), "r", 1
    )


def fleet_with_server(fleet_of, *results):
    """Return a fleet of one host in use, which is to be maintained."""
    fleet = fleet_of(1, *results)
    fleet.client.hosts = [Host("m0", "one", HostState.UP, "s1", 8000, "a")]
    fleet.controller.shard.put_server(server_in_pool("s1"), 0.0).is_reachable = True
    fleet.add_wave(limit=1)
    return fleet


# Guards against a second run of tasks, and a server that is never used again: the next
# lifetime on a host was taken for the one that the command had ended.
async def test_a_late_answer_ends_no_later_lifetime_on_the_host(
    autojump_clock, fleet_of
):
    fleet = fleet_with_server(fleet_of, OutcomeUnknown("no answer"), HostResult.DONE)
    fleet.client.answer_after_s = 1.0
    shard = fleet.controller.shard
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 4.0)
        await trio.sleep(0.6)
        fleet.client.hosts = [Host("m0", "one", HostState.UP, "s2", 8000, "a")]
        shard.put_server(server_in_pool("s2"), 0.0)
    assert len(fleet.client.commanded) == 2
    assert list(shard.usage_by_server_id) == ["s2"]


# Guards against a server that gets no tasks any more after a refused command, as the
# list of hosts did not name it when the refusal came.
async def test_a_refused_command_opens_its_server_again(autojump_clock, fleet_of):
    fleet = fleet_with_server(fleet_of, HostResult.REFUSED)
    fleet.client.answer_after_s = 2.0
    usage = fleet.controller.shard.usage_by_server_id["s1"]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 4.0)
        await trio.sleep(0.6)
        assert usage.has_pending_command
        fleet.client.hosts = [Host("m0", "one", HostState.UP, "", 8000, "a")]
    assert not usage.has_pending_command
    assert usage.is_open(4.0)


def fleet_with_lifetimes(fleet_of, *server_ids):
    """Return a fleet of one host, on which a server has had these lifetimes."""
    fleet = fleet_of(1, HostResult.DONE)
    fleet.client.hosts = [Host("m0", "one", HostState.UP, "s1", 8000, "a")]
    for server_id in server_ids:
        server = server_in_pool(server_id)
        fleet.controller.shard.put_server(server, 0.0).is_reachable = True
    return fleet


# Guards against a host that is listed by the name of its server, while the server is
# kept by its lifetime: what is maintained is not closed, and lost as if it had crashed.
@pytest.mark.parametrize("server_ids", [["s1@7"], ["s1@7", "s1@8"]])
async def test_a_command_ends_the_lifetimes_of_the_listed_server(
    autojump_clock, fleet_of, server_ids
):
    fleet = fleet_with_lifetimes(fleet_of, *server_ids)
    fleet.client.answer_after_s = 1.0
    fleet.add_wave(limit=1)
    usages = list(fleet.controller.shard.usage_by_server_id.values())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 2.5)
        await trio.sleep(0.6)
        assert all(usage.is_closed and usage.has_pending_command for usage in usages)
    assert fleet.controller.shard.usage_by_server_id == {}
    assert fleet.controller.shard.usages_by_server_name == {}


# Guards against a second run of tasks: a server that starts again under its name while
# its host is being commanded was taken for the lifetime that the command had ended.
async def test_a_command_ends_no_later_lifetime_under_the_same_name(
    autojump_clock, fleet_of
):
    fleet = fleet_with_lifetimes(fleet_of, "s1@7")
    fleet.client.answer_after_s = 1.0
    fleet.add_wave(limit=1)
    shard = fleet.controller.shard
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 2.5)
        await trio.sleep(0.6)
        shard.put_server(server_in_pool("s1@8"), 0.0)
    assert list(shard.usage_by_server_id) == ["s1@8"]


# Guards against reading the list of hosts ten times as often as needed, for ever.
async def test_the_list_of_hosts_is_at_rest_once_it_names_all_servers(
    autojump_clock, fleet_of
):
    fleet = fleet_with_lifetimes(fleet_of, "s1@7")
    await fleet.run_for(1.0)
    assert not fleet.controller._is_list_requested
    fleet.controller.shard.put_server(server_in_pool("s2@7"), 0.0)
    fleet.controller.request_list()
    await fleet.run_for(1.0)
    assert fleet.controller._is_list_requested


JOINING = Host("m9", "rest", HostState.UP, "", 8000, "a")


def join(fleet):
    """Have a host join, and put a wave of this host only."""
    fleet.client.hosts = [*fleet.client.hosts, JOINING]
    fleet.controller.put_wave(Wave(1, (JOINING.id,), 60.0, 1), None)


def is_complete(fleet):
    return fleet.controller.wave_by_number[1].is_complete


# Guards against a wave that is complete by a list of before it, which lacks a host.
async def test_a_wave_does_not_complete_by_a_list_of_before_it(
    autojump_clock, fleet_of
):
    fleet = fleet_of(2, HostResult.DONE)
    await fleet.run_for(1.0)
    join(fleet)
    await fleet.run_for(1.0)
    assert fleet.client.commanded == [JOINING.id]
    assert is_complete(fleet)


# Guards against a wave that is complete by a list that was under way when it was put.
async def test_a_wave_does_not_complete_by_a_list_requested_before_it(
    autojump_clock, fleet_of
):
    fleet = fleet_of(2, HostResult.DONE)
    fleet.client.list_takes_s = 0.3
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 2.0)
        while not fleet.client.lists:
            await trio.sleep(0.01)
        join(fleet)
    assert fleet.client.commanded == [JOINING.id]
    assert is_complete(fleet)


# Guards against a wave that is complete while the entry of a host of it is damaged.
async def test_a_wave_does_not_complete_while_entries_are_left_out(
    autojump_clock, fleet_of, caplog
):
    caplog.set_level(logging.WARNING)
    fleet = fleet_of(2, HostResult.DONE)
    fleet.add_wave(limit=2)
    left_out = fleet.client.hosts.pop()
    fleet.client.left_out = 1
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 7.0)
        await trio.sleep(5.0)
        assert fleet.client.commanded == ["m0"]
        assert not is_complete(fleet)
        fleet.client.hosts.append(left_out)
        fleet.client.left_out = 0
    assert fleet.client.commanded == ["m0", "m1"]
    assert is_complete(fleet)
    assert re.findall(r"hosts-left-out entries=(\d+)", caplog.text) == ["1", "0"]


# Guards against a wave that is complete by the list that came before a damaged one.
async def test_a_damaged_list_takes_the_place_of_a_whole_one(autojump_clock, fleet_of):
    fleet = fleet_of(2, HostResult.BUSY)
    fleet.add_wave(limit=2)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 5.0)
        await trio.sleep(2.0)
        fleet.client.hosts = rest_hosts(3)[2:]
        fleet.client.left_out = 2
    assert not is_complete(fleet)


# Guards against an age of the list in the log that starts again with reads that fail.
async def test_the_age_of_the_list_counts_from_the_last_read_that_succeeded(
    autojump_clock, fleet_of, caplog
):
    caplog.set_level(logging.INFO)
    fleet = fleet_of(1, HostResult.DONE)
    await fleet.run_for(1.0)
    assert fleet.client.lists
    fleet.client.is_list_down = True
    await trio.sleep(9.0)
    fleet.add_wave(limit=1)
    await fleet.run_for(0.5)
    ages = re.findall(r"maintenance-decided .*list_age_s=([0-9.]+)", caplog.text)
    assert [float(age) >= 9.0 for age in ages] == [True]


# Guards against reads that are repeated each round while they fail.
async def test_reads_that_fail_keep_their_period(autojump_clock, fleet_of):
    fleet = fleet_of(1, HostResult.DONE)
    fleet.client.is_list_down = True
    fleet.add_wave(limit=1)
    await fleet.run_for(4.0)
    assert 5 <= fleet.client.lists <= 10


def fleet_at_a_slow_store(fleet_of, listed_id, *results):
    """Return a fleet of one host to be maintained, whose server is not known yet."""
    fleet = fleet_of(1, *results)
    fleet.client.hosts = [Host("m0", "one", HostState.UP, listed_id, 8000, "a")]
    fleet.add_wave(limit=1)
    fleet.stored = trio.Event()
    return fleet


def add_server(fleet, host_id):
    new_server = attrs.evolve(server_in_pool("s1"), host_id=host_id)
    usage = fleet.controller.shard.put_server(new_server, 0.6)
    usage.is_reachable = True
    return usage


# Guards against tasks that are ended by a command to their host, which was decided
# before the server there was known and waited for a slow store.
@pytest.mark.parametrize(("listed_id", "host_id"), [("s1", ""), ("", "m0")])
async def test_a_host_that_got_tasks_since_the_decision_is_sent_no_command(
    autojump_clock, fleet_of, listed_id, host_id
):
    fleet = fleet_at_a_slow_store(fleet_of, listed_id, HostResult.DONE)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 4.0)
        await trio.sleep(0.6)
        assert fleet.stored_times
        usage = add_server(fleet, host_id)
        usage.add(Task(TaskId("j", 0, 0, 0)), Step(1, 1000, 500, is_long_running=True))
        fleet.stored.set()
        await trio.sleep(0.2)
        assert fleet.client.commanded == []
        assert not usage.has_pending_command


# Guards against tasks that go to a server that appears while a command is under way.
@pytest.mark.parametrize(("listed_id", "host_id"), [("s1", ""), ("", "m0")])
@pytest.mark.parametrize("appears_late", [False, True])
async def test_a_server_that_appears_during_a_command_gets_no_tasks(
    autojump_clock, fleet_of, listed_id, host_id, appears_late
):
    fleet = fleet_at_a_slow_store(fleet_of, listed_id, HostResult.REFUSED)
    fleet.client.answer_after_s = 1.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run_for, 5.0)
        await trio.sleep(0.6)
        if not appears_late:
            usage = add_server(fleet, host_id)
        fleet.stored.set()
        # It is not to be moved as an idle one afterwards.
        fleet.client.hosts = [Host("m0", "one", HostState.UP, "", 8000, "a")]
        await trio.sleep(0.1)
        assert fleet.client.commanded == ["m0"]
        if appears_late:
            usage = add_server(fleet, host_id)
        assert usage.has_pending_command
        assert not usage.is_open(0.7)
        await trio.sleep(2.5)
        assert not usage.has_pending_command
