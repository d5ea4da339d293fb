"""The platform over HTTP: what its odd answers are taken for."""

import pytest
import trio

from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.http import HttpLimits, HttpResponse
from rhubarbmount.listener import Listener
from rhubarbmount.platform.http import HttpPlatform
from rhubarbmount.platform.interface import Transaction


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
