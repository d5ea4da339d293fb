"""Broadcast of messages to any number of subscribed tasks."""

from collections.abc import Callable
from typing import Generic, TypeVar

import attrs
import trio

__all__ = ["Broadcaster"]

Message = TypeVar("Message")


def _latest(unread: Message, message: Message) -> Message:
    return message


@attrs.define
class Broadcaster(Generic[Message]):
    """Publish messages to subscribers without waiting for slow ones.

    ``merge`` combines an unread message with the next one; by default the next one
    replaces it.
    """

    merge: Callable[[Message, Message], Message] = _latest
    _channels: list[
        tuple[trio.MemorySendChannel[Message], trio.MemoryReceiveChannel[Message]]
    ] = attrs.field(factory=list, init=False)
    _last: Message | None = attrs.field(default=None, init=False)

    def subscribe(self) -> trio.MemoryReceiveChannel[Message]:
        """Return a channel whose first message is the last published one, if any."""
        send, receive = trio.open_memory_channel[Message](1)
        self._channels.append((send, receive.clone()))
        if self._last is not None:
            send.send_nowait(self._last)
        return receive

    def publish(self, message: Message) -> None:
        """Send a message to every subscriber whose channel is still open."""
        self._last = message
        self._channels = [pair for pair in self._channels if _has_receiver(pair[1])]
        for send, unread in self._channels:
            try:
                send.send_nowait(self.merge(unread.receive_nowait(), message))
            except trio.WouldBlock:
                send.send_nowait(message)


def _has_receiver(unread: trio.MemoryReceiveChannel[Message]) -> bool:
    return unread.statistics().open_receive_channels > 1
