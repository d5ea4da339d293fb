"""Broadcast of messages to any number of subscribing tasks."""

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
    """Send messages to subscribers without waiting for slow ones.

    A message not yet received is replaced by ``merge`` of it and the next one,
    which is the next one alone by default.
    """

    merge: Callable[[Message, Message], Message] = _latest
    _channels: list[
        tuple[trio.MemorySendChannel[Message], trio.MemoryReceiveChannel[Message]]
    ] = attrs.field(factory=list, init=False)
    _last: Message | None = attrs.field(default=None, init=False)

    def subscribe(self) -> trio.MemoryReceiveChannel[Message]:
        """Return a channel that starts with the last message, if there is one."""
        send, receive = trio.open_memory_channel[Message](1)
        self._channels.append((send, receive.clone()))
        if self._last is not None:
            send.send_nowait(self._last)
        return receive

    def publish(self, message: Message) -> None:
        """Send a message to every subscriber that still listens."""
        self._last = message
        self._channels = [pair for pair in self._channels if _has_receiver(pair[1])]
        for send, unread in self._channels:
            try:
                send.send_nowait(self.merge(unread.receive_nowait(), message))
            except trio.WouldBlock:
                send.send_nowait(message)


def _has_receiver(unread: trio.MemoryReceiveChannel[Message]) -> bool:
    return unread.statistics().open_receive_channels > 1
