"""Broadcast to subscribing tasks."""

import pytest
import trio

from rhubarbmount.broadcast import Broadcaster


async def test_a_slow_subscriber_sees_the_merged_rest():
    latest = Broadcaster()
    summed = Broadcaster(lambda unread, message: unread + message)
    for broadcaster, expected in ((latest, 3), (summed, 6)):
        receive = broadcaster.subscribe()
        for message in (1, 2, 3):
            broadcaster.publish(message)
        assert receive.receive_nowait() == expected
        with pytest.raises(trio.WouldBlock):
            receive.receive_nowait()


async def test_a_late_subscriber_starts_with_the_last_message():
    broadcaster = Broadcaster()
    broadcaster.publish("a")
    assert broadcaster.subscribe().receive_nowait() == "a"


async def test_a_subscriber_that_closed_is_forgotten():
    broadcaster = Broadcaster()
    broadcaster.subscribe().close()
    broadcaster.publish("a")
    assert broadcaster._channels == []
