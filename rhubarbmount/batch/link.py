"""The holder's link to one lifetime of a backend server."""

import logging
import math
from collections.abc import Callable
from typing import Any

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import ServerClock, boot_s
from rhubarbmount.batch.election import LeaseTerm
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import Server, Task, TaskId
from rhubarbmount.batch.pacing import PaceOrder
from rhubarbmount.errors import LeaseLost, OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.backend import (
    BackendCalls,
    OrderResult,
    RenewalAnswer,
    StartOrder,
)

__all__ = ["BackendLink", "LinkListener", "StartRequest", "StopRequest"]

logger = logging.getLogger(__name__)

RENEWAL_WAIT_S = 1.0
WATCHFUL_WAIT_S = 0.3
RETRY_S = 0.25
COMMIT_WAIT_S = 0.25
# Answers that fail to come in a row: one may just be lost.
LOST_SILENCES = 2
RECORDED_SILENCES = 3
SENDER_COUNT = 4
START_TRIES = 4
ORDER_QUEUE_SIZE = 10_000
CLOCK_CHECK_S = 0.01
LAPSE_CHECK_MARGIN_S = 0.01


@attrs.frozen
class StartRequest:
    """A committed assignment to carry out; ``task`` tells whether it still holds."""

    task: Task
    run: int
    payload: str
    ticket: str

    def is_wanted(self, server_id: str) -> bool:
        """Tell whether the run is still the task's."""
        task = self.task
        return (
            task.run == self.run
            and task.server_id == server_id
            and not task.is_stopping
        )


@attrs.frozen
class StopRequest:
    """A run to stop; ``then_release`` lets its task wait again."""

    task: TaskId
    run: int
    then_release: bool = False


Order = StartRequest | StopRequest | PaceOrder


class LinkListener:
    """What the links tell their holder."""

    def listed(self, link: "BackendLink", answer: RenewalAnswer, sent_s: float) -> None:
        """Take in what a backend server lists."""

    def not_started(
        self, link: "BackendLink", request: StartRequest, result: OrderResult
    ) -> None:
        """Take in that a run surely did not start."""

    def stopped(self, link: "BackendLink", request: StopRequest) -> None:
        """Take in that a run has been forbidden for good."""

    def ended(self, link: "BackendLink") -> None:
        """Take in that the lifetime is surely over."""

    def lapsed(self, link: "BackendLink") -> None:
        """Take in that every lease granted there has surely ended."""

    def reached(self, link: "BackendLink", is_reached: bool) -> None:
        """Take in whether the backend server answers."""

    def stays_silent(self, link: "BackendLink") -> None:
        """Take in that the backend server is granted nothing until further notice."""

    def unanswered(self) -> None:
        """Take in that an order to any backend server was not answered."""

    def is_doubtful(self) -> bool:
        """Tell whether answers got lost lately, so that long waits cost much."""
        return False


@attrs.define(eq=False)
class BackendLink:
    """Keeps the leases of what runs on a backend server, and sends its orders."""

    server: Server
    calls: BackendCalls
    term: LeaseTerm
    listener: LinkListener
    max_lease_s: float
    taken_at_s: float
    metrics: BatchMetrics
    has_work: Callable[[], bool]
    # Tells whether the percentages of its runs are wanted soon.
    is_watchful: Callable[[], bool]
    clock: ServerClock = attrs.field(factory=ServerClock)
    # Ends up to this number are committed and may be acknowledged.
    committed: int = 0
    acknowledged: int = 0
    listed_to: int = 0
    is_greeted: bool = False
    has_lapsed: bool = False
    # Its silence is or may be recorded for a next holder: nothing may be granted.
    is_recorded: bool = False
    # When the last holder's leases have lapsed, if that holder has recorded it.
    last_holder_lapses_at_s: float | None = None
    _is_reached: bool = False
    _silences_in_a_row: int = 0
    _wake: trio.Event = attrs.field(factory=trio.Event)
    _orders: Any = None
    _order_source: Any = None
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    def __attrs_post_init__(self) -> None:
        channel = trio.open_memory_channel[Order](ORDER_QUEUE_SIZE)
        self._orders, self._order_source = channel

    async def run(self) -> None:
        """Serve the link until it is closed."""
        with self._scope:
            async with trio.open_nursery() as nursery:
                for _ in range(SENDER_COUNT):
                    nursery.start_soon(self._send_orders)
                await self._renew_forever()

    def close(self) -> None:
        """End the link."""
        self._scope.cancel()

    def send(self, order: Order) -> None:
        """Queue an order."""
        try:
            self._orders.send_nowait(order)
        except trio.WouldBlock:
            log.event(logger, "orders-dropped", logging.ERROR, server=self.server.id)
        self.wake()

    def wake(self) -> None:
        """Let the loop look whether there is a lease to renew."""
        self._wake.set()

    # Renewing.

    async def _renew_forever(self) -> None:
        while True:
            if not self._has_reason():
                self._wake = trio.Event()
                await self._wake.wait()
                continue
            answer = await self._renew_once()
            if answer is None:
                await self._pause()
            elif answer.ended:
                # Ends that wait for their commit are listed at once each time.
                await self._await_commit()

    async def _pause(self) -> None:
        """Wait a little before a silent server is asked again."""
        if not self._is_reached:
            await trio.sleep(min(RETRY_S, self._until_lapse_s(boot_s())))
            self._note_lapse()

    async def _await_commit(self) -> None:
        with trio.move_on_after(COMMIT_WAIT_S):
            while self.committed < self.listed_to:
                self._wake = trio.Event()
                await self._wake.wait()

    def _has_reason(self) -> bool:
        return (
            not self.is_greeted or self.has_work() or self.acknowledged < self.listed_to
        )

    async def _renew_once(self) -> RenewalAnswer | None:
        sent_s = boot_s()
        acknowledged = self.committed
        answer = None
        try:
            wait_s = math.inf if self._is_reached else self._until_lapse_s(sent_s)
            with trio.move_on_after(wait_s):
                answer = await self.calls.renew(
                    self.server,
                    self.term.fence,
                    acknowledged,
                    self._expiry(sent_s),
                    self._wait_s(),
                )
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self.listener.unanswered()
            self._note_silence(error.code)
            return None
        if answer is None:
            self._note_silence("timeout")
            return None
        return self._take_in(answer, acknowledged, sent_s)

    def _until_lapse_s(self, now_s: float) -> float:
        """Return the time until the leases there have lapsed, infinity if they have."""
        left_s = self.lapses_at_s() - now_s
        return left_s + LAPSE_CHECK_MARGIN_S if left_s > 0 else math.inf

    def _expiry(self, now_s: float) -> int | None:
        # A lease that grows with each try would never be sure to have ended.
        if not self.clock.is_known or self._silences_in_a_row or self.is_recorded:
            return None
        until_s = self.term.grant_until_s(now_s, self._limit_s())
        return self.clock.grant(until_s, now_s)

    def _limit_s(self) -> float:
        return self.max_lease_s * 0.95

    def _wait_s(self) -> float:
        if not self.is_greeted or self._silences_in_a_row or not self.has_work():
            return 0.0
        is_short = self.is_watchful() or self.listener.is_doubtful()
        return WATCHFUL_WAIT_S if is_short else RENEWAL_WAIT_S

    def _take_in(
        self, answer: RenewalAnswer, acknowledged: int, sent_s: float
    ) -> RenewalAnswer | None:
        if answer.result is OrderResult.FENCED:
            raise LeaseLost(f"{self.server.id} has seen a higher fence")
        if answer.result is OrderResult.OTHER_LIFETIME:
            self.listener.ended(self)
            return None
        if answer.result is not OrderResult.DONE:
            self._note_silence(answer.result.value)
            return None
        self.clock.note(answer.clock_ms, boot_s())
        self._note_answer()
        self.acknowledged = max(self.acknowledged, acknowledged)
        self.listener.listed(self, answer, sent_s)
        self.listed_to = max([self.listed_to, *(end.number for end in answer.ended)])
        self.is_greeted = True
        return answer

    def lapses_at_s(self) -> float:
        """Return the steady time by which nothing started there can still run."""
        if self.last_holder_lapses_at_s is not None:
            return max(self.clock.lapses_at_s(), self.last_holder_lapses_at_s)
        last_holder = ServerClock(read_at_s=self.taken_at_s)
        last_holder.granted_ms = int(self.max_lease_s * 1000)
        return max(self.clock.lapses_at_s(), last_holder.lapses_at_s())

    def _note_answer(self) -> None:
        self.has_lapsed = False
        self._silences_in_a_row = 0
        if not self._is_reached:
            self._is_reached = True
            if self.is_greeted:
                log.event(logger, "server-regained", server=self.server.id)
            self.listener.reached(self, True)

    def _note_silence(self, code: str) -> None:
        self._silences_in_a_row += 1
        if self._is_reached and self._silences_in_a_row >= LOST_SILENCES:
            self._is_reached = False
            log.event(
                logger,
                "server-lost",
                logging.WARNING,
                server=self.server.id,
                code=code,
                lapses_in_s=self.lapses_at_s() - boot_s(),
            )
            self.listener.reached(self, False)
        is_long = self._silences_in_a_row >= RECORDED_SILENCES
        if self.is_greeted and is_long and not self.is_recorded:
            self.is_recorded = True
            self.listener.stays_silent(self)
        self._note_lapse()

    def _note_lapse(self) -> None:
        if boot_s() >= self.lapses_at_s() and not self.has_lapsed:
            self.has_lapsed = True
            self.listener.lapsed(self)

    # Orders.

    async def _send_orders(self) -> None:
        async for order in self._order_source:
            match order:
                case StartRequest():
                    await self._start(order)
                case StopRequest():
                    await self._stop(order)
                case PaceOrder():
                    await self._set_pace(order)

    async def _start(self, request: StartRequest) -> None:
        for is_repeat in [False] + [True] * (START_TRIES - 1):
            await self._until_it_may_grant(request)
            if not request.is_wanted(self.server.id):
                return
            if not self._is_reached and not is_repeat:
                self.listener.not_started(self, request, OrderResult.NOT_SENT)
                return
            result = await self._try_start(request)
            if result is OrderResult.DONE or result is OrderResult.ENDED_BEFORE:
                request.task.settled_s = boot_s()
                return
            if result is OrderResult.OTHER_LIFETIME:
                self.listener.ended(self)
                return
            if result not in (None, OrderResult.EXPIRED):
                self.listener.not_started(self, request, result)
                return
        # It may be carried out late: forbid the run before the task goes elsewhere.
        log.event(
            logger,
            "start-unanswered",
            logging.WARNING,
            job=request.task.id.job_id,
            task=request.task.id.place,
            run=request.run,
            server=self.server.id,
        )
        request.task.is_stopping = True
        await self._stop(StopRequest(request.task.id, request.run, True))

    async def _try_start(self, request: StartRequest) -> OrderResult | None:
        now_s = boot_s()
        order = StartOrder(
            task=request.task.id,
            run=request.run,
            payload=request.payload,
            expires_ms=self._expiry(now_s) or self.clock.granted_ms,
            fence=self.term.fence,
            checkpoint=request.task.checkpoint,
            ticket=request.ticket,
        )
        try:
            answer = await self.calls.start(self.server, order)
        except PlatformUnavailable as error:
            self._note_silence(error.code)
            await trio.sleep(RETRY_S)
            return None
        except OutcomeUnknown as error:
            self.listener.unanswered()
            self._note_silence(error.code)
            return None
        if self._is_reached:
            self._silences_in_a_row = 0
        self.metrics.starts.labels(answer.result.value).inc()
        self.metrics.start_s.observe(boot_s() - now_s)
        if answer.result is OrderResult.FENCED:
            raise LeaseLost(f"{self.server.id} has seen a higher fence")
        if answer.clock_ms:
            self.clock.note(answer.clock_ms, boot_s())
        log.frequent_event(
            logger,
            "start",
            job=request.task.id.job_id,
            task=request.task.id.place,
            run=request.run,
            server=self.server.id,
            outcome=answer.result.value,
            took_ms=int((boot_s() - now_s) * 1000),
        )
        return answer.result

    async def _until_it_may_grant(self, request: StartRequest) -> None:
        while request.is_wanted(self.server.id):
            if self.clock.is_known and not (self._is_reached and self.is_recorded):
                return
            await trio.sleep(CLOCK_CHECK_S)

    async def _stop(self, request: StopRequest) -> None:
        while not self.has_lapsed:
            try:
                answer = await self.calls.stop(
                    self.server, request.task, request.run, self.term.fence
                )
            except (PlatformUnavailable, OutcomeUnknown):
                await trio.sleep(RETRY_S)
                continue
            if answer.result is OrderResult.FENCED:
                raise LeaseLost(f"{self.server.id} has seen a higher fence")
            if answer.result is OrderResult.OTHER_LIFETIME:
                self.listener.ended(self)
                return
            if answer.result is OrderResult.NOT_DONE:
                await trio.sleep(RETRY_S)
                continue
            log.frequent_event(
                logger,
                "stop",
                job=request.task.job_id,
                task=request.task.place,
                run=request.run,
                server=self.server.id,
                outcome=answer.result.value,
            )
            self.listener.stopped(self, request)
            return

    async def _set_pace(self, order: PaceOrder) -> None:
        """Order a pace once; the next look decides anew if it is not answered."""
        task = order.task
        try:
            answer = await self.calls.set_pace(
                self.server, task.id, order.run, order.percent, self.term.fence
            )
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._note_silence(error.code)
            return
        if answer.result is OrderResult.FENCED:
            raise LeaseLost(f"{self.server.id} has seen a higher fence")
        if answer.result is OrderResult.DONE and task.run == order.run:
            task.pace = order.percent
        log.frequent_event(
            logger,
            "pace",
            job=task.id.job_id,
            task=task.id.place,
            run=order.run,
            server=self.server.id,
            percent=order.percent,
            outcome=answer.result.value,
        )
