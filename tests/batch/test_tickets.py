"""Tickets of the advice service: which steps and servers are asked about, and when."""

import attrs
import pytest

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.model import Job, JobSpec, Queue, QueueName, Server, Step
from rhubarbmount.batch.placing import Placer
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.tickets import MAX_SERVERS_PER_REQUEST, TicketCache
from rhubarbmount.platform.advice import Ticket

NAME = QueueName("h", "/q/")
QUEUE = Queue(NAME, "one", 0, 3, 1.6, 0.6, has_advice=True)
SERVER = Server("s", "one", "a:1", "z", False, 8000, 8000, 0, frozenset(), "r", 1)
SHORT = Step(1, 8000, 100, estimate_s=1.0)
LASTING = attrs.evolve(SHORT, is_long_running=True)
VALID_S = 60.0


@attrs.define
class Advice:
    """An advice service that allows some servers; it notes which steps it is asked."""

    allowed: set[str]
    asked: list[str] = attrs.field(factory=list)

    async def ask(self, job_id, occurrence, step, server_ids):
        self.asked.append(job_id)
        assert len(server_ids) <= MAX_SERVERS_PER_REQUEST
        return [
            Ticket(server_id, "t", VALID_S)
            for server_id in server_ids
            if server_id in self.allowed
        ]


def make_shard(servers, *steps):
    shard = Shard(Catalogue(1, {NAME: QUEUE}, {}), wall_clock_s=100.0)
    for number in range(servers):
        add_server(shard, f"s{number:03}")
    for number, step in enumerate(steps):
        shard.add_job(Job(JobSpec(f"j{number}", NAME, "one", "", (step,), 100.0)))
    return shard


def add_server(shard, server_id):
    shard.put_server(attrs.evolve(SERVER, id=server_id), 0.0).is_reachable = True


async def place_until(shard, tickets, until_s, from_s=0.0):
    """Ask and place ten times a second; return the servers of the placed tasks."""
    placer = Placer(shard, tickets.tickets_by_step)
    placed = []
    for at in range(int(from_s * 10), int(until_s * 10)):
        await tickets.ask(shard, at / 10)
        placed += [item.server_id for item in placer.place(at / 10)]
    return placed


# Guards against a step that is never started as the servers that may run it are not
# among the first that are asked about.
async def test_all_servers_of_a_large_pool_are_asked_about():
    shard = make_shard(70, LASTING)
    assert await place_until(shard, TicketCache(Advice({"s069"})), 5.0) == ["s069"]


# Guards against a task that lost its server and waits until its ticket expires.
async def test_other_servers_are_asked_about_when_the_known_ones_can_not_run_a_task():
    shard = make_shard(1, LASTING)
    tickets = TicketCache(Advice({"s000", "s001"}))
    assert await place_until(shard, tickets, 1.0) == ["s000"]
    shard.lose_server("s000", 1.0)
    add_server(shard, "s001")
    assert await place_until(shard, tickets, 4.0, from_s=1.0) == ["s001"]


# Guards against a gang that is never started, as it has tickets for too few servers.
async def test_a_gang_is_asked_about_until_it_has_room():
    shard = make_shard(40, attrs.evolve(SHORT, count=35, is_gang=True))
    tickets = TicketCache(Advice({f"s{number:03}" for number in range(40)}))
    assert len(await place_until(shard, tickets, 3.0)) == 35


async def test_no_more_is_asked_while_known_servers_have_room():
    shard = make_shard(40, SHORT)
    tickets = TicketCache(Advice({f"s{number:03}" for number in range(40)}))
    for at_s in range(5):
        await tickets.ask(shard, float(at_s))
    assert tickets.client.asked == ["j0"]


# Guards against a task that lasts and waits behind steps which no server may run.
async def test_tasks_that_last_are_asked_about_first():
    shard = make_shard(2, *[SHORT] * 20, LASTING)
    tickets = TicketCache(Advice(set()))
    await place_until(shard, tickets, 0.1)
    assert tickets.client.asked == ["j20"]


async def test_steps_are_asked_about_in_turn():
    shard = make_shard(2, *[SHORT] * 20)
    tickets = TicketCache(Advice(set()))
    await place_until(shard, tickets, 2.0)
    assert sorted(tickets.client.asked) == sorted(f"j{n}" for n in range(20))


# Guards against a service that is kept busy with what it has answered already.
async def test_refused_servers_are_not_asked_about_again():
    shard = make_shard(2, LASTING)
    tickets = TicketCache(Advice(set()))
    await place_until(shard, tickets, 5.0)
    assert tickets.client.asked == ["j0"]


@attrs.define
class AdviceClientByName(Advice):
    """An advice service that knows servers by name; its client answers for one each."""

    async def ask(self, job_id, occurrence, step, server_ids):
        self.asked += server_ids
        server_id_by_name = {name_of(server_id): server_id for server_id in server_ids}
        return [
            Ticket(server_id, "t", VALID_S)
            for name, server_id in server_id_by_name.items()
            if name in self.allowed
        ]


# Guards against a task that is never started: a server that starts again under its name
# was asked about together with its earlier lifetime and then counted as refused.
@pytest.mark.parametrize("server_ids", [["s@7", "s@8"], ["s@8", "s@7"], ["s", "s@8"]])
async def test_only_the_latest_lifetime_of_a_server_is_asked_about(server_ids):
    shard = make_shard(0, LASTING)
    for server_id in server_ids:
        add_server(shard, server_id)
    advice = AdviceClientByName({"s"})
    tickets = TicketCache(advice)
    assert await place_until(shard, tickets, 0.2) == ["s@8"]
    assert advice.asked == ["s@8"]


# Guards against a start with the ticket of an earlier lifetime, and against a server
# that is never used as an earlier lifetime, maybe of another kind, was refused.
async def test_a_later_lifetime_is_asked_about_anew():
    shard = make_shard(0, LASTING)
    add_server(shard, "s@7")
    advice = AdviceClientByName(set())
    tickets = TicketCache(advice)
    assert await place_until(shard, tickets, 1.0) == []
    shard.lose_server("s@7", 1.0)
    add_server(shard, "s@8")
    advice.allowed = {"s"}
    assert await place_until(shard, tickets, 3.0, from_s=1.0) == ["s@8"]
    assert advice.asked == ["s@7", "s@8"]
