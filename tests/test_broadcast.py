"""Tests of broadcasting to subscribed tasks."""

import pytest
import trio

from rhubarbmount.broadcast import Broadcaster


async def test_slow_subscriber_receives_merged_messages():
    latest = Broadcaster()
    summed = Broadcaster(lambda unread, message: unread + message)
    for broadcaster, expected in ((latest, 3), (summed, 6)):
        receive = broadcaster.subscribe()
        for message in (1, 2, 3):
            broadcaster.publish(message)
        assert receive.receive_nowait() == expected
        with pytest.raises(trio.WouldBlock):
            receive.receive_nowait()


async def test_new_subscriber_receives_last_message():
    broadcaster = Broadcaster()
    broadcaster.publish("a")
    assert broadcaster.subscribe().receive_nowait() == "a"


async def test_closed_subscriber_is_removed():
    broadcaster = Broadcaster()
    broadcaster.subscribe().close()
    broadcaster.publish("a")
    assert broadcaster._channels == []
