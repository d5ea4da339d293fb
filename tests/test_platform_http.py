"""The platform over HTTP: what its odd answers are taken for."""

import json

import attrs
import pytest
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http import HttpLimits, HttpResponse
from rhubarbmount.listener import Listener
from rhubarbmount.standins.representation import represent
from rhubarbmount.store.http import HttpPlatform
from rhubarbmount.store.interface import Transaction


@pytest.fixture
async def answered(nursery):
    """Return a platform that gives one answer to everything."""

    async def start(status, body=b"{}"):
        async def handle(request):
            return HttpResponse(status, [], body)

        listener = Listener("platform", handle, HttpLimits())
        await nursery.start(listener.run, "127.0.0.1", 0)
        return HttpPlatform(f"127.0.0.1:{listener.port}", timeout_s=2.0)

    return start


@pytest.mark.parametrize(
    ("status", "body", "error"),
    [
        (503, b"{}", PlatformUnavailable),
        (429, b"{}", PlatformUnavailable),
        (404, b"{}", PlatformUnavailable),
        (500, b"{}", OutcomeUnknown),
        (504, b"{}", OutcomeUnknown),
        (200, b"<html>", OutcomeUnknown),
        (200, b"[]", OutcomeUnknown),
    ],
)
async def test_a_write_has_no_effect_only_if_the_answer_says_so(
    answered, status, body, error
):
    platform = await answered(status, body)
    with trio.fail_after(10.0), pytest.raises(error):
        await platform.transact(Transaction("a"))


@pytest.mark.parametrize(("status", "body"), [(500, b"{}"), (200, b"<"), (429, b"{}")])
async def test_a_read_that_fails_is_unavailable(answered, status, body):
    platform = await answered(status, body)
    with trio.fail_after(10.0), pytest.raises(PlatformUnavailable):
        await platform.read("t", "x")
    with trio.fail_after(10.0), pytest.raises(PlatformUnavailable):
        await platform.scan("t")


@attrs.define
class TaggedAnswers:
    """Answers every call with one body; counts what was sent whole."""

    body: bytes
    tags: bool = True
    status: int = 200
    whole: int = 0
    unchanged: int = 0

    async def handle(self, request):
        answer = HttpResponse(self.status, [], self.body)
        if not self.tags:
            self.whole += 1
            return answer
        answer = represent(request, answer)
        self.whole += answer.status == 200
        self.unchanged += answer.status == 304
        return answer


@pytest.fixture
async def served(nursery):
    """Return a platform client beside the handler that it calls."""

    async def start(answers):
        listener = Listener("platform", answers.handle, HttpLimits())
        await nursery.start(listener.run, "127.0.0.1", 0)
        return HttpPlatform(f"127.0.0.1:{listener.port}", timeout_s=2.0)

    return start


def hosts_body(count, leaving=()):
    hosts = [{"host_id": f"host-{n}", "leaving": n in leaving} for n in range(count)]
    return json.dumps(hosts).encode()


async def test_an_unchanged_list_of_hosts_is_not_sent_again(served):
    answers = TaggedAnswers(hosts_body(2600))
    platform = await served(answers)
    first = await platform.live_hosts()
    first.clear()
    assert len(await platform.live_hosts()) == 2600
    assert (answers.whole, answers.unchanged) == (1, 1)
    answers.body = hosts_body(2600, leaving=[7])
    assert [h.host_id for h in await platform.live_hosts() if h.leaving] == ["host-7"]


async def test_a_platform_that_tags_nothing_sends_every_answer_whole(served):
    answers = TaggedAnswers(hosts_body(3), tags=False)
    platform = await served(answers)
    for leaving in ([], [1], [2]):
        answers.body = hosts_body(3, leaving)
        listed = await platform.live_hosts()
        assert [h.leaving for h in listed] == [n in leaving for n in range(3)]
    assert answers.whole == 3


async def test_a_malformed_answer_is_not_held_under_its_tag(served):
    answers = TaggedAnswers(b'{"not": "a list"}')
    platform = await served(answers)
    for _ in range(2):
        with pytest.raises(PlatformUnavailable):
            await platform.live_hosts()
    assert (answers.whole, answers.unchanged) == (2, 0)


async def test_a_broken_compressed_answer_is_unavailable(served):
    class Cut(TaggedAnswers):
        async def handle(self, request):
            answer = await super().handle(request)
            return attrs.evolve(answer, body=answer.body[:-40])

    platform = await served(Cut(hosts_body(2600)))
    with pytest.raises(PlatformUnavailable):
        await platform.live_hosts()


async def test_a_row_that_is_gone_is_not_taken_for_unchanged(served):
    row = {"table": "t", "key": "x", "value": {}, "version": 1}
    answers = TaggedAnswers(json.dumps(row).encode())
    platform = await served(answers)
    assert (await platform.read("t", "x")).version == 1
    answers.status = 404
    assert await platform.read("t", "x") is None
    answers.status = 200
    assert (await platform.read("t", "x")).version == 1
    assert (answers.whole, answers.unchanged) == (2, 0)
