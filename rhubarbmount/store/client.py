"""Platform client with deadlines, rate limits and resolution of unknown outcomes."""

import logging
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.store import outcome_resolution
from rhubarbmount.store.breaker import CircuitBreaker
from rhubarbmount.store.interface import (
    HostCommand,
    LiveHost,
    Platform,
    Row,
    TaskCommand,
    Transaction,
    TransactionResult,
)
from rhubarbmount.store.rate_limiter import (
    READS_PER_S,
    WRITES_PER_S,
    Priority,
    RateLimiter,
)

__all__ = ["PlatformClient", "open_client"]

DEADLINE_S = 2.0
MAX_ABORT_ATTEMPTS = 3

logger = logging.getLogger(__name__)
Result = TypeVar("Result")


def _one_host() -> int:
    return 1


@attrs.define(eq=False)
class _SharedState:
    """State that one client's views at different priorities share."""

    adapter: Platform
    reads: RateLimiter
    writes: RateLimiter
    breaker: CircuitBreaker
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    deadline_s: float


@attrs.define(eq=False)
class PlatformClient:
    """Calls an adapter with a deadline, a circuit breaker and rate limits.

    Calls raise PlatformUnavailable if they certainly had no effect and OutcomeUnknown
    if they may have had one.
    """

    _shared: _SharedState
    priority: Priority = Priority.DEFAULT

    def with_priority(self, priority: Priority) -> "PlatformClient":
        """Return a view of this client that makes its calls at another priority."""
        return PlatformClient(self._shared, priority)

    @property
    def is_out(self) -> bool:
        """Whether the circuit breaker is open because the last calls failed."""
        return self._shared.breaker.is_open

    @property
    def writes_acquired(self) -> float:
        """How many row writes this host has acquired from the rate limiter."""
        return self._shared.writes.acquired

    def max_burst_writes(self) -> int:
        """Return how many rows one transaction may write without token debt."""
        return self._shared.writes.max_burst()

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it does not exist."""
        return await self._call_read(lambda: self._shared.adapter.read(table, key))

    async def scan(self, table: str, prefix: str = "") -> list[Row]:
        """Return the rows whose keys start with the prefix, in key order."""
        return await self._call_read(lambda: self._shared.adapter.scan(table, prefix))

    async def transact(
        self, transaction: Transaction, *, resolve_outcome: bool = True
    ) -> TransactionResult:
        """Commit all writes atomically, or none, and determine which happened.

        Another call with the same operation id returns that operation's outcome.
        Without ``resolve_outcome`` no operations row is written and a lost response
        raises OutcomeUnknown, for callers that resolve it by reading rows of their own.
        """
        if not resolve_outcome:
            return await self._transact(transaction)
        operation_id = transaction.operation_id
        now_s = self._shared.wall_clock()
        try:
            result = await self._transact(
                outcome_resolution.with_operation(transaction, now_s)
            )
        except OutcomeUnknown:
            return await self._resolve_outcome(operation_id)
        if outcome_resolution.has_operation_conflict(result, operation_id):
            return await self._read_outcome(operation_id)
        return outcome_resolution.without_operation(result)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store an object under a name that is never reused for another body."""
        await self._call_write(lambda: self._shared.adapter.put_object(name, body), 1)

    async def get_object(self, name: str) -> bytes | None:
        """Return the object, or None if it does not exist."""
        return await self._call_read(lambda: self._shared.adapter.get_object(name))

    async def live_hosts(self) -> list[LiveHost]:
        """Return the platform's lagging list of live and leaving hosts."""
        return await self._call_read(lambda: self._shared.adapter.live_hosts())

    async def command_host(self, command: HostCommand) -> None:
        """Ask the platform to act on a host; idempotent by intent id."""
        await self._call_write(lambda: self._shared.adapter.command_host(command), 1)

    async def command_task(self, command: TaskCommand) -> None:
        """Ask the platform to act on a task; idempotent by intent id."""
        await self._call_write(lambda: self._shared.adapter.command_task(command), 1)

    async def _resolve_outcome(self, operation_id: str) -> TransactionResult:
        """Abort the operation, or return its result if it has already committed.

        Raises PlatformUnavailable if it was aborted, and OutcomeUnknown if that can't
        be determined."""
        now_s = self._shared.wall_clock()
        for _ in range(MAX_ABORT_ATTEMPTS):
            try:
                result = await self._transact(
                    outcome_resolution.abort(operation_id, now_s)
                )
            except OutcomeUnknown:
                continue
            except PlatformUnavailable:
                break
            if result.committed:
                log.event(logger, "settled", operation=operation_id, state="aborted")
                raise PlatformUnavailable(f"operation {operation_id} was aborted")
            break
        return await self._read_outcome(operation_id)

    async def _read_outcome(self, operation_id: str) -> TransactionResult:
        try:
            key = outcome_resolution.operation_key(operation_id)
            row = await self.read(outcome_resolution.OPERATIONS_TABLE, key)
        except PlatformUnavailable:
            row = None
        if row is None:
            raise OutcomeUnknown(f"operation {operation_id} may have taken effect")
        if outcome_resolution.is_committed(row):
            log.event(logger, "settled", operation=operation_id, state="committed")
            return TransactionResult(True)
        raise PlatformUnavailable(f"operation {operation_id} was aborted")

    async def _transact(self, transaction: Transaction) -> TransactionResult:
        return await self._call_write(
            lambda: self._shared.adapter.transact(transaction),
            max(1, len(transaction.writes)),
        )

    async def _call_read(self, call: Callable[[], Awaitable[Result]]) -> Result:
        try:
            return await self._call(call, self._shared.reads, 1)
        except OutcomeUnknown as error:
            raise PlatformUnavailable(error.message) from None

    async def _call_write(
        self, call: Callable[[], Awaitable[Result]], cost: int
    ) -> Result:
        return await self._call(call, self._shared.writes, cost)

    async def _call(
        self, call: Callable[[], Awaitable[Result]], limiter: RateLimiter, cost: int
    ) -> Result:
        shared = self._shared
        if not shared.breaker.allows(shared.clock()):
            raise PlatformUnavailable(
                "circuit breaker is open: the platform keeps failing"
            )
        if not limiter.try_acquire(cost, self.priority):
            await self._wait_to_acquire(limiter, cost)
        try:
            with trio.fail_after(shared.deadline_s):
                result = await call()
        except trio.TooSlowError:
            shared.breaker.failed(shared.clock())
            raise OutcomeUnknown("the platform did not respond in time") from None
        except (OutcomeUnknown, PlatformUnavailable):
            shared.breaker.failed(shared.clock())
            raise
        shared.breaker.succeeded()
        return result

    async def _wait_to_acquire(self, limiter: RateLimiter, cost: int) -> None:
        with trio.move_on_after(self._shared.deadline_s) as scope:
            await limiter.acquire(cost, self.priority)
        if scope.cancelled_caught:
            raise PlatformUnavailable("platform rate limit reached: no tokens in time")


def open_client(
    adapter: Platform,
    *,
    live_entry_hosts: Callable[[], int] = _one_host,
    clock: Callable[[], float] = trio.current_time,
    wall_clock: Callable[[], float] = time.time,
    deadline_s: float = DEADLINE_S,
    reads_per_s: float = READS_PER_S,
    writes_per_s: float = WRITES_PER_S,
) -> PlatformClient:
    """Return a client for an adapter; rates are totals over all entry hosts."""
    return PlatformClient(
        _SharedState(
            adapter,
            RateLimiter(reads_per_s, live_entry_hosts, clock),
            RateLimiter(writes_per_s, live_entry_hosts, clock),
            CircuitBreaker(),
            clock,
            wall_clock,
            deadline_s,
        )
    )
