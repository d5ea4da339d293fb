"""Print the processor time that a holder spends on each command, renewal and commit.

The calls go through the real clients over loopback to a process that answers them at
once. Times are those of the calling process alone, the lowest of several rounds.
"""

import cProfile
import json
import logging
import multiprocessing
import os
import pstats
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection

import attrs
import defopt
import trio

from bench.idle_profile import part_of
from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.lateness import Lateness
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, Task, TaskId
from rhubarbmount.batch.server_commands import (
    CommandListener,
    CommandSender,
    StartRequest,
)
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.listener import Listener
from rhubarbmount.platform.backend import BackendClient
from rhubarbmount.platform.json_client import JsonClient, open_json_client
from rhubarbmount.platform.rows import RowName, RowStore
from rhubarbmount.problem import json_response

LOOPBACK = "127.0.0.1"
PAYLOAD = "x" * 60
ROW_BYTES = 300
PARTS_SHOWN = 16
FUNCTIONS_SHOWN = 45


async def answer(request: HttpRequest) -> HttpResponse:
    """Answer as a backend server or the store does when nothing is wrong."""
    now_ms = int(time.monotonic() * 1000)
    if request.target == "/rows-tx":
        return json_response({"ver": 7, "now_ms": now_ms})
    body = {"clock_ms": now_ms}
    if request.target == "/hold":
        body["running"] = [[f"5c0e6b1a77.0.1.{n}", 1, "", 40, 0] for n in range(4)]
        body["finished"] = [[9, "5c0e6b1a77.0.1.5", 1, "done", ""]]
    return json_response(body)


def serve(pipe: Connection) -> None:
    """Serve until ended, once the port has been sent through the pipe."""

    async def listen() -> None:
        listener = Listener("stand-in", answer)
        async with trio.open_nursery() as nursery:
            await nursery.start(listener.run, LOOPBACK, 0)
            pipe.send(listener.port)

    trio.run(listen)


@contextmanager
def standin() -> Iterator[str]:
    """Provide the address of a stand-in in another process."""
    ours, theirs = multiprocessing.Pipe()
    process = multiprocessing.Process(target=serve, args=(theirs,), daemon=True)
    process.start()
    try:
        yield f"{LOOPBACK}:{ours.recv()}"
    finally:
        process.terminate()
        process.join()


@attrs.define(eq=False)
class Calls:
    """The calls of a holder to one backend server, and to the store."""

    client: JsonClient
    address: str
    metrics: BatchMetrics = attrs.field(factory=BatchMetrics)
    server: Server = attrs.field(init=False)
    backend: BackendClient = attrs.field(init=False)
    sender: CommandSender = attrs.field(init=False)
    store: RowStore = attrs.field(init=False)
    puts: dict[RowName, bytes] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.server = Server(
            "m0041-1", "a", self.address, "z", False, 1, 1, 0, frozenset(), "r", 1
        )
        self.backend = BackendClient(self.client, Lateness(self.metrics))
        lease = ServerLease(ShardLease(3, monotonic_s() + 3600), 10.0, monotonic_s())
        lease.clock.note(int(time.monotonic() * 1000), monotonic_s())
        lease.record_response()
        self.sender = CommandSender(
            self.server,
            self.backend,
            lease,
            CommandListener(),
            self.metrics,
            on_failure=lambda code: None,
        )
        self.store = RowStore(self.client, self.address, self._observe)
        name = RowName("progress", "s0", "")
        self.puts = {name._replace(key=f"job{n}"): b"v" * ROW_BYTES for n in range(10)}

    def _observe(self, call: str, outcome: str, took_s: float) -> None:
        self.metrics.store_calls.labels(call, outcome).inc()
        self.metrics.store_call_s.labels(call).observe(took_s)

    async def start(self) -> None:
        """Start a run, as a session does."""
        task = Task(TaskId("5c0e6b1a77", 0, 1, 17), run=1, server_id=self.server.id)
        await self.sender._start(StartRequest(task, 1, PAYLOAD, ""))

    async def renew(self) -> None:
        """Renew the lease; four runs and an end are listed."""
        await self.backend.renew(self.server, 3, 8, 12345, 0.3)

    async def commit(self) -> None:
        """Commit ten rows."""
        await self.store.commit({next(iter(self.puts)): 4}, self.puts)


async def repeat(call: Callable[[], Awaitable[None]], count: int, tasks: int) -> None:
    """Make a call this many times in all, from several tasks at once."""

    async def caller() -> None:
        for _ in range(count // tasks):
            await call()

    async with trio.open_nursery() as nursery:
        for _ in range(tasks):
            nursery.start_soon(caller)


async def measure(
    address: str, kinds: list[str], count: int, tasks: int, rounds: int
) -> dict[str, float]:
    """Return the lowest processor time of a call of each kind, in seconds."""
    lowest_s: dict[str, float] = {}
    async with open_json_client() as client:
        calls = Calls(client, address)
        for number in range(rounds * len(kinds)):
            kind = kinds[number % len(kinds)]
            begin_s = time.process_time()
            await repeat(getattr(calls, kind), count, tasks)
            spent_s = (time.process_time() - begin_s) / count
            lowest_s[kind] = min(spent_s, lowest_s.get(kind, spent_s))
    return lowest_s


def print_profile(profile: cProfile.Profile, count: int) -> None:
    """Print the time of each part and of the costliest functions, per call."""
    stats = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    spent_by_part: dict[str, float] = {}
    for (path, _, _), row in stats.items():
        part = part_of(path)
        spent_by_part[part] = spent_by_part.get(part, 0.0) + row[2]
    parts = sorted(spent_by_part.items(), key=lambda item: -item[1])
    print(f"{'part, under the profiler':<60} {'us/call':>8}")
    for part, spent_s in parts[:PARTS_SHOWN]:
        print(f"{part:<60} {spent_s / count * 1e6:>8.1f}")
    print(f"{'function':<60} {'us/call':>8} {'with callees':>12} {'calls':>6}")
    rows = sorted(stats.items(), key=lambda item: -item[1][2])
    for (path, line, name), row in rows[:FUNCTIONS_SHOWN]:
        place = f"{part_of(path)}:{os.path.basename(path)}:{line} {name}"[-60:]
        print(
            f"{place:<60} {row[2] / count * 1e6:>8.1f} {row[3] / count * 1e6:>12.1f}"
            f" {row[1] / count:>6.1f}"
        )


def main(
    *,
    kinds: list[str] = ["start", "renew", "commit"],  # noqa: B006
    count: int = 1600,
    tasks: int = 16,
    rounds: int = 9,
    profile: bool = False,
) -> None:
    """Print the processor time of a call of each kind.

    :param kinds: start, renew or commit
    :param count: calls in a round
    :param tasks: calls under way at a time
    :param rounds: rounds of each kind
    :param profile: print also where it is spent, under a profiler
    """
    log.configure("info", os.devnull)
    with standin() as address:
        print(json.dumps({"count": count, "tasks": tasks, "rounds": rounds}))
        lowest_s = trio.run(measure, address, kinds, count, tasks, rounds)
        for kind, spent_s in lowest_s.items():
            print(f"{kind:<10} {spent_s * 1e6:>8.1f} us")
        for kind in kinds if profile else ():
            profiler = cProfile.Profile(time.thread_time)
            profiler.enable()
            trio.run(measure, address, [kind], count, tasks, 1)
            profiler.disable()
            print(f"\n{kind}")
            print_profile(profiler, count)
    logging.shutdown()


if __name__ == "__main__":
    defopt.run(main)
