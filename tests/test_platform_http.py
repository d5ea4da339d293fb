"""HTTP platform adapter: error mapping, conditional requests and compression."""

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
async def platform_responding(nursery):
    """Return a factory of adapters to a platform that sends one fixed response."""

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
async def test_failed_write_is_unavailable_only_if_it_had_no_effect(
    platform_responding, status, body, error
):
    platform = await platform_responding(status, body)
    with trio.fail_after(10.0), pytest.raises(error):
        await platform.transact(Transaction("a"))


@pytest.mark.parametrize(("status", "body"), [(500, b"{}"), (200, b"<"), (429, b"{}")])
async def test_failed_read_raises_platform_unavailable(
    platform_responding, status, body
):
    platform = await platform_responding(status, body)
    with trio.fail_after(10.0), pytest.raises(PlatformUnavailable):
        await platform.read("t", "x")
    with trio.fail_after(10.0), pytest.raises(PlatformUnavailable):
        await platform.scan("t")


@attrs.define
class TaggingHandler:
    """Responds with a fixed body; counts full and not-modified responses."""

    body: bytes
    tags: bool = True
    status: int = 200
    full_responses: int = 0
    not_modified_responses: int = 0

    async def handle(self, request):
        response = HttpResponse(self.status, [], self.body)
        if not self.tags:
            self.full_responses += 1
            return response
        response = represent(request, response)
        self.full_responses += response.status == 200
        self.not_modified_responses += response.status == 304
        return response


@pytest.fixture
async def platform_client(nursery):
    """Return a factory of adapters to a platform with the given handler."""

    async def start(handler):
        listener = Listener("platform", handler.handle, HttpLimits())
        await nursery.start(listener.run, "127.0.0.1", 0)
        return HttpPlatform(f"127.0.0.1:{listener.port}", timeout_s=2.0)

    return start


def hosts_body(count, leaving=()):
    hosts = [{"host_id": f"host-{n}", "leaving": n in leaving} for n in range(count)]
    return json.dumps(hosts).encode()


async def test_unchanged_host_list_is_not_transferred_again(platform_client):
    handler = TaggingHandler(hosts_body(2600))
    platform = await platform_client(handler)
    first = await platform.live_hosts()
    first.clear()
    assert len(await platform.live_hosts()) == 2600
    assert (handler.full_responses, handler.not_modified_responses) == (1, 1)
    handler.body = hosts_body(2600, leaving=[7])
    assert [h.host_id for h in await platform.live_hosts() if h.leaving] == ["host-7"]


async def test_responses_without_entity_tag_are_not_cached(platform_client):
    handler = TaggingHandler(hosts_body(3), tags=False)
    platform = await platform_client(handler)
    for leaving in ([], [1], [2]):
        handler.body = hosts_body(3, leaving)
        listed = await platform.live_hosts()
        assert [h.leaving for h in listed] == [n in leaving for n in range(3)]
    assert handler.full_responses == 3


async def test_malformed_response_is_not_cached(platform_client):
    handler = TaggingHandler(b'{"not": "a list"}')
    platform = await platform_client(handler)
    for _ in range(2):
        with pytest.raises(PlatformUnavailable):
            await platform.live_hosts()
    assert (handler.full_responses, handler.not_modified_responses) == (2, 0)


async def test_truncated_gzip_response_raises_platform_unavailable(platform_client):
    class TruncatingHandler(TaggingHandler):
        async def handle(self, request):
            response = await super().handle(request)
            return attrs.evolve(response, body=response.body[:-40])

    platform = await platform_client(TruncatingHandler(hosts_body(2600)))
    with pytest.raises(PlatformUnavailable):
        await platform.live_hosts()


async def test_deleted_row_is_dropped_from_the_cache(platform_client):
    row = {"table": "t", "key": "x", "value": {}, "version": 1}
    handler = TaggingHandler(json.dumps(row).encode())
    platform = await platform_client(handler)
    assert (await platform.read("t", "x")).version == 1
    handler.status = 404
    assert await platform.read("t", "x") is None
    handler.status = 200
    assert (await platform.read("t", "x")).version == 1
    assert (handler.full_responses, handler.not_modified_responses) == (2, 0)
