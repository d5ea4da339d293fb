"""Graceful shutdown of an entry host on SIGTERM or SIGINT."""

import signal
from typing import Any

import trio

from rhubarbmount.server import EntryHost

__all__ = ["serve_until_signalled"]


async def serve_until_signalled(host: EntryHost) -> int:
    """Run an entry host until SIGTERM or SIGINT arrives.

    Returns the number of requests that the shutdown aborted.
    """
    cut_counts = []

    async def run() -> None:
        cut_counts.append(await host.run())

    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            nursery.start_soon(_stop_on_signal, signals, host, nursery)
            await host.stopping.wait()
    return cut_counts[0] if cut_counts else 0


async def _stop_on_signal(signals: Any, host: EntryHost, nursery: trio.Nursery) -> None:
    async for _number in signals:
        host.stopping.set()
        return
