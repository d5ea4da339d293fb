"""Show the path under overload, floods and faults, over separate processes."""

import argparse
import itertools
import random
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import attrs
import trio

from rhubarbmount.errors import RhubarbmountError
from rhubarbmount.http import HttpRequest
from rhubarbmount.http_client import ConnectionPool
from tests.deployment import BACKEND_PORT, CALLERS_PORT, METRICS_PORT, Deployment, call

SEED = 41
WORKERS = 8
SLOTS = 4
SERVICE_TIME_S = 0.2
SLOW_SERVICE_TIME_S = 1.0
CAPACITY_PER_S = WORKERS * SLOTS / SERVICE_TIME_S
WARM_UP_S = 8.0
LOAD = 0.7
FLOOD_FACTOR = 4.0
OUTAGE_S = 8.0
RESTART_S = 6.0
RECOVERY_S = 8.0
ENTRY_HOSTS = ("e1", "e2")


@attrs.define
class Answered:
    """What a caller got; status 0 stands for no answer."""

    service: str
    sent_s: float
    latency_s: float
    status: int


@attrs.define
class Caller:
    """Sends requests at random times, whatever became of earlier ones."""

    addresses: list[str]
    answers: list[Answered] = attrs.field(factory=list)
    begin_s: float = 0.0

    def run(self, rates_by_service: dict[str, float], length_s: float) -> None:
        """Send to all services for a time, and wait for the answers."""
        trio.run(self.send_all, rates_by_service, length_s)

    async def send_all(
        self, rates_by_service: dict[str, float], length_s: float
    ) -> None:
        """Send to all services for a time, and wait for the answers."""
        self.begin_s = trio.current_time()
        pools = [ConnectionPool(address, 5.0) for address in self.addresses]
        async with trio.open_nursery() as nursery:
            for service, rate_per_s in rates_by_service.items():
                nursery.start_soon(self._send, service, rate_per_s, length_s, pools)
        for pool in pools:
            await pool.aclose()

    async def _send(
        self,
        service: str,
        rate_per_s: float,
        length_s: float,
        pools: list[ConnectionPool],
    ) -> None:
        generator = random.Random(f"{SEED} {service}")
        due_s = self.begin_s
        async with trio.open_nursery() as nursery:
            for pool in itertools.cycle(pools):
                due_s += generator.expovariate(rate_per_s)
                if due_s > self.begin_s + length_s:
                    return
                await trio.sleep_until(due_s)
                nursery.start_soon(self._ask, service, pool)

    async def _ask(self, service: str, pool: ConnectionPool) -> None:
        sent_s = trio.current_time()
        headers = [(b"host", service.encode())]
        request = HttpRequest("GET", f"/{service}/1", headers)
        status = 0
        try:
            connection = await pool.take()
            try:
                status = (await connection.exchange(request)).status
            finally:
                await pool.put_back(connection)
        except RhubarbmountError:
            pass
        now_s = trio.current_time()
        answer = Answered(service, sent_s - self.begin_s, now_s - sent_s, status)
        self.answers.append(answer)

    def done(self, service: str, begin_s: float, end_s: float) -> list[Answered]:
        """Return the good answers to what was sent in a span."""
        return [
            answer
            for answer in self.sent(service, begin_s, end_s)
            if answer.status == 200
        ]

    def sent(self, service: str, begin_s: float, end_s: float) -> list[Answered]:
        """Return all answers to what was sent in a span."""
        return [
            answer
            for answer in self.answers
            if answer.service == service and begin_s <= answer.sent_s < end_s
        ]

    def p99_s(self, service: str, length_s: float) -> float:
        """Return the latency that a hundredth of the good answers exceed."""
        answers = self.done(service, WARM_UP_S, length_s)
        latencies_s = sorted(answer.latency_s for answer in answers)
        return latencies_s[len(latencies_s) * 99 // 100]


@contextmanager
def open_deployment(
    workers: int = WORKERS, hosts_down_limit: int = 2
) -> Iterator[Deployment]:
    """Start two entry hosts and a pool that two services share."""
    with Deployment(Path(tempfile.mkdtemp())) as deployment:
        deployment.add_pool("shared", hosts_down_limit=hosts_down_limit)
        for service in ("quotes", "parts"):
            deployment.add_service(service, pool="shared", concurrency=512)
        for number in range(workers):
            deployment.add_backend(f"w{number}", "shared", "dc1", slots=SLOTS)
        deployment.start_platform()
        for name in ENTRY_HOSTS:
            deployment.start_entry_host(name, "dc1")
        for name in deployment.backend_by_name:
            deployment.set_backend(name, delay_s=SERVICE_TIME_S)
        yield deployment


def open_caller(deployment: Deployment) -> Caller:
    """Return a caller of all entry hosts in turn."""
    programs = deployment.entry_host_by_name.values()
    return Caller([f"{program.address}:{CALLERS_PORT}" for program in programs])


def show_overload(length_s: float) -> None:
    """Print goodput at twice the capacity against that at capacity."""
    goodput = []
    for factor in (1.0, 2.0):
        with open_deployment() as deployment:
            caller = open_caller(deployment)
            caller.run({"quotes": CAPACITY_PER_S * factor}, length_s)
        done = len(caller.done("quotes", WARM_UP_S, length_s))
        goodput.append(done / (length_s - WARM_UP_S))
        print(f"offered {factor:.0f}x: goodput {goodput[-1]:.0f}/s")
    print(f"goodput at 2x / at capacity: {goodput[1] / goodput[0]:.2f} (wanted 0.90)")


def show_flood(length_s: float) -> None:
    """Print a service's p99 beside a flood of the pool it shares, against without."""
    p99_s = []
    for flood in (0.0, FLOOD_FACTOR):
        rates = {"quotes": CAPACITY_PER_S * 0.25}
        if flood:
            rates["parts"] = CAPACITY_PER_S * flood
        with open_deployment() as deployment:
            caller = open_caller(deployment)
            caller.run(rates, length_s)
        p99_s.append(caller.p99_s("quotes", length_s))
        sent = caller.sent("quotes", WARM_UP_S, length_s)
        refused = sum(answer.status != 200 for answer in sent)
        print(
            f"flood {flood:.0f}x: p99 {p99_s[-1] * 1000:.0f} ms,"
            f" {refused} of {len(sent)} not answered well"
        )
    print(f"p99 beside the flood / without: {p99_s[1] / p99_s[0]:.2f} (wanted 1.20)")


def show_slow(length_s: float) -> None:
    """Print the p99 with one of eight workers slow against seven good ones."""
    with open_deployment(WORKERS - 1) as deployment:
        caller = open_caller(deployment)
        caller.run({"quotes": CAPACITY_PER_S * LOAD}, length_s)
    base_s = caller.p99_s("quotes", length_s)
    print(f"seven good: p99 {base_s * 1000:.0f} ms")
    for name, limit in (("allowed", 2), ("forbidden", 0)):
        with open_deployment(hosts_down_limit=limit) as deployment:
            deployment.set_backend("w0", delay_s=SLOW_SERVICE_TIME_S)
            caller = open_caller(deployment)
            caller.run({"quotes": CAPACITY_PER_S * LOAD}, length_s)
        p99_s = caller.p99_s("quotes", length_s)
        print(
            f"one slow, ejection {name}: p99 {p99_s * 1000:.0f} ms,"
            f" ratio {p99_s / base_s:.2f} (wanted 1.50)"
        )


def show_failing(length_s: float) -> None:
    """Print how much work a worker attracts that fails at once."""
    for name, limit in (("allowed", 2), ("forbidden", 0)):
        with open_deployment(hosts_down_limit=limit) as deployment:
            deployment.set_backend("w0", delay_s=0.0, status=500)
            caller = open_caller(deployment)
            caller.run({"quotes": CAPACITY_PER_S * LOAD}, length_s)
        sent = caller.sent("quotes", WARM_UP_S, length_s)
        failed = sum(answer.status == 500 for answer in sent)
        print(
            f"one failing, ejection {name}: {failed / len(sent):.4f} of the requests"
            f" (an even part: {1 / WORKERS:.4f})"
        )


def show_outage() -> None:
    """Print goodput and retries around an outage of all workers."""
    begin_s = WARM_UP_S * 1.5
    length_s = begin_s + OUTAGE_S + RESTART_S + RECOVERY_S
    with open_deployment() as deployment:
        caller = open_caller(deployment)
        end_s = trio.run(run_outage, deployment, caller, length_s)
        retries = sum(count_retries(deployment, name) for name in ENTRY_HOSTS)
    sent = caller.sent("quotes", begin_s, end_s)
    rate_per_s = len(caller.done("quotes", WARM_UP_S, begin_s))
    rate_per_s /= begin_s - WARM_UP_S
    print(
        f"retries of the run / requests sent in the outage: {retries / len(sent):.4f}"
    )
    for second in range(int(RECOVERY_S)):
        done = len(caller.done("quotes", end_s + second, end_s + second + 1))
        print(f"second {second + 1} after it: {done / rate_per_s:.2f} of the goodput")


async def run_outage(deployment: Deployment, caller: Caller, length_s: float) -> float:
    """Send requests while all workers are killed and later started again.

    Return when the last one was back, counted from the first request.
    """
    rates = {"quotes": CAPACITY_PER_S * LOAD}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.send_all, rates, length_s)
        await trio.sleep(WARM_UP_S * 1.5)
        for program in deployment.backend_by_name.values():
            program.kill()
        await trio.sleep(OUTAGE_S)
        await trio.to_thread.run_sync(restart_backends, deployment)
        end_s = trio.current_time() - caller.begin_s
    return end_s


def restart_backends(deployment: Deployment) -> None:
    """Start all workers again, as they were."""
    for program in deployment.backend_by_name.values():
        program.start()
    for name, program in deployment.backend_by_name.items():
        deployment.wait_for_port(program.address, BACKEND_PORT)
        deployment.set_backend(name, delay_s=SERVICE_TIME_S)


def count_retries(deployment: Deployment, name: str) -> float:
    """Return the retries that an entry host made."""
    address = deployment.entry_host_by_name[name].address
    page = call(address, METRICS_PORT, "GET", "/metrics").body.decode()
    lines = [
        line for line in page.splitlines() if "rhubarbmount_retries_total{" in line
    ]
    return sum(float(line.rsplit(" ", 1)[1]) for line in lines if '"true"' in line)


CASES: dict[str, Callable[[float], None]] = {
    "overload": show_overload,
    "flood": show_flood,
    "slow": show_slow,
    "failing": show_failing,
    "outage": lambda length_s: show_outage(),
}


def main() -> None:
    """Print the ratios of all cases, or of those named."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", choices=list(CASES), action="append")
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    print(
        f"{WORKERS} workers of {SLOTS} slots, {SERVICE_TIME_S * 1000:.0f} ms a request,"
        f" {CAPACITY_PER_S:.0f} requests/s in all, {len(ENTRY_HOSTS)} entry hosts"
    )
    for name in arguments.only or CASES:
        print(f"\n{name}")
        CASES[name](arguments.seconds)


if __name__ == "__main__":
    main()
