"""Print what explanations cost: memory, records, requests, and an answer of 70."""

import argparse
import gc
import logging
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable
from contextlib import AsyncExitStack

import trio

from rhubarbmount.configuration import Configuration
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.explain import (
    DECISIONS_LIMIT_BY_KIND,
    DECISIONS_PER_SUBJECT,
    DecisionMemory,
    DecisionRecorder,
)
from rhubarbmount.http import HttpRequest, HttpResponse
from rhubarbmount.peer_explanations import InstanceMemory, ask_peers
from rhubarbmount.peer_messages import encode_message
from rhubarbmount.peers import Peers, new_identity, open_peers
from rhubarbmount.problem import OUTCOME_HEADER
from rhubarbmount.request_traces import (
    NOTABLE_LIMIT,
    ORDINARY_LIMIT,
    RequestTraces,
    note_route,
)
from rhubarbmount.route_decisions import RouteDecision, RouteReason
from rhubarbmount.timers import open_timers
from rhubarbmount.zmqtrio import CurveKeys

HOSTS_PER_DATA_CENTRE = 7
DATA_CENTRES = 10
RECORDS = 100_000
QUESTIONS = 10
WARM_UP_S = 25.0
MB = 1e6
REQUEST = HttpRequest("GET", "/quotes/17")
RESPONSE = HttpResponse(200, [(OUTCOME_HEADER, b"ran")], b"x" * 200)
ROUTE = RouteDecision(None, RouteReason.LOCAL, 8)


class NoPlatform:
    """A platform that is out."""

    async def read(self, table: str, key: str) -> None:
        raise PlatformUnavailable("none")


def processor_s() -> float:
    """Return the processor time used by this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def allocated(work: Callable[[], object]) -> int:
    """Return the bytes that the work's result holds."""
    gc.collect()
    tracemalloc.start()
    kept = work()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def fill_subjects(kind: str, text: str, each: int) -> DecisionMemory:
    """Return a memory as full as it gets, with so many decisions a subject."""
    memory = DecisionMemory()
    recorder = DecisionRecorder(memory)
    for number in range(DECISIONS_LIMIT_BY_KIND[kind] // each):
        for step in range(each):
            recorder.record(
                kind,
                f"{kind}-{number}",
                f"step-{step}",
                f"{text}{number}",
                action="maintain",
                pool=f"pool-{number}",
                intent=f"{number:032x}",
                in_flight=3,
            )
    return memory


async def ran(request: HttpRequest) -> HttpResponse:
    """Answer as a backend server that ran the request."""
    note_route(ROUTE, 1)
    return RESPONSE


async def fill_traces(count: int) -> RequestTraces:
    """Return traces of ordinary requests, as many as are kept."""
    traces = RequestTraces("entry-1", ran, lambda: 7)
    for _ in range(count):
        await traces.handle(REQUEST)
    return traces


def show_memory() -> None:
    """Print the bytes a subject takes, and the memory of each kind at its limit."""
    print("kind      decisions  bytes of 1  bytes of 8     MB  longest texts MB")
    total = longest = 0.0
    for kind, limit in DECISIONS_LIMIT_BY_KIND.items():
        single = allocated(lambda kind=kind: fill_subjects(kind, "a reason ", 1))
        eight = allocated(
            lambda kind=kind: fill_subjects(kind, "a reason ", DECISIONS_PER_SUBJECT)
        )
        worst = allocated(lambda kind=kind: fill_subjects(kind, "x" * 190, 1))
        print(
            f"{kind:<10}{limit:>9}{single / limit:>12.0f}"
            f"{eight / limit * DECISIONS_PER_SUBJECT:>12.0f}{single / MB:>7.2f}"
            f"{worst / MB:>18.2f}"
        )
        total += single / MB
        longest += worst / MB
    count = ORDINARY_LIMIT + NOTABLE_LIMIT
    each = allocated(lambda: trio.run(fill_traces, ORDINARY_LIMIT)) / ORDINARY_LIMIT
    requests = each * count / MB
    print(f"requests: {count} of {each:.0f} bytes, {requests:.2f} MB")
    print(f"in all {total + requests:.1f} MB, {longest + requests:.1f} MB at worst")


def cost_us(work: Callable[[int], object], count: int) -> float:
    """Return the processor time of one call in microseconds, the best of five."""
    best = float("inf")
    for _ in range(5):
        begin_s = time.process_time()
        for number in range(count):
            work(number)
        best = min(best, time.process_time() - begin_s)
    return best / count * 1e6


def show_records() -> None:
    """Print what a record costs that is new, and one that repeats the last."""
    recorder = DecisionRecorder()
    new = cost_us(
        lambda n: recorder.record("host", f"h{n % 2600}", "waits", f"r{n}", ready=True),
        RECORDS,
    )
    repeat = cost_us(
        lambda n: recorder.record("host", "h1", "waits", "slow start", ready=True),
        RECORDS,
    )
    print(f"record(): new {new:.2f} us, repeated {repeat:.2f} us, not logged")


def show_requests() -> None:
    """Print what tracing adds to a request in processor time."""

    async def bare() -> None:
        for _ in range(RECORDS):
            await ran(REQUEST)

    async def traced() -> None:
        await fill_traces(RECORDS)

    costs = {}
    for name, work in (("bare", bare), ("traced", traced)):
        times = []
        for _ in range(5):
            begin_s = time.process_time()
            trio.run(work)
            times.append(time.process_time() - begin_s)
        costs[name] = min(times) / RECORDS * 1e6
    print(f"a traced request: {costs['traced'] - costs['bare']:.2f} us more")


async def measure_answers() -> None:
    """Print how long an answer of all takes, each holding a full subject."""
    keys = CurveKeys.generate()
    memory = DecisionMemory()
    recorder = DecisionRecorder(memory)
    for step in range(DECISIONS_PER_SUBJECT):
        recorder.record("host", "h1", f"step-{step}", "a reason", pool="p")
    addresses: dict[str, str] = {}
    peers: list[Peers] = []
    async with AsyncExitStack() as stack:
        timers = await stack.enter_async_context(open_timers(seed=1))
        for number in range(HOSTS_PER_DATA_CENTRE * DATA_CENTRES):
            data_centre = f"dc{number // HOSTS_PER_DATA_CENTRE}"
            name = f"entry-{number}"
            traces = RequestTraces(name, ran, lambda: 7)
            opened = open_peers(
                new_identity(name, data_centre, "127.0.0.1:0"),
                keys,
                addresses,
                {"catalogue": Configuration(platform=NoPlatform())},
                timers,
                answer=InstanceMemory(name, memory, traces).answer,
            )
            peers.append(await stack.enter_async_context(opened))
            addresses[peers[-1].table.own_identity.address] = data_centre
        await trio.sleep(WARM_UP_S)
        await show_answers(peers)


async def show_answers(peers: list[Peers]) -> None:
    """Print latencies and bytes of answers of one data centre and of all."""
    asker = peers[-1]
    own = [
        p
        for p in peers
        if p.table.own_identity.data_centre == asker.table.own_identity.data_centre
    ]
    print(
        f"{'asked':>6}{'silent':>8}{'p50 ms':>8}{'max ms':>8}{'CPU ms':>8}{'bytes':>8}"
    )
    for group in (own, peers):
        names = {
            p.table.own_identity.address: p.table.own_identity.instance
            for p in group
            if p is not asker
        }
        latencies_ms = []
        silent = 0
        begin_cpu_s = processor_s()
        for _ in range(QUESTIONS):
            begin_s = time.perf_counter()
            answers = await ask_peers(asker.ask, names, "host", "h1")
            latencies_ms.append((time.perf_counter() - begin_s) * 1000)
            silent += len(answers.silent)
        cpu_ms = (processor_s() - begin_cpu_s) * 1000 / QUESTIONS
        reply = await asker.requests.ask(next(iter(names)), "host", "h1")
        size = len(encode_message(reply)) * len(names)
        print(
            f"{len(names):>6}{silent:>8}{statistics.median(latencies_ms):>8.0f}"
            f"{max(latencies_ms):>8.0f}{cpu_ms:>8.0f}{size:>8}"
        )


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--no-answers", action="store_true")
    arguments = parser.parse_args()
    logging.disable()
    show_memory()
    show_records()
    show_requests()
    print("answers of entry hosts that share one process, heartbeats included:")
    if not arguments.no_answers:
        trio.run(measure_answers)


if __name__ == "__main__":
    main()
