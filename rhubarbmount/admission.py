"""Permits to run requests, acquired from the limiter and released at the end."""

from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType

import attrs
import trio

from rhubarbmount.limits import Admission, AdmissionCode, Limiter

__all__ = ["AdmissionPermit", "WaiterCount", "admit_waiting"]

ADMISSION_INTERVAL_S = 0.1


@attrs.define(eq=False)
class WaiterCount:
    """Number of requests that wait for admission on this entry host."""

    count: int = 0
    _any: trio.Event = attrs.field(factory=trio.Event)

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a request as waiting for the duration of the block."""
        self.count += 1
        self._any.set()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._any = trio.Event()

    async def wait_for_any(self) -> None:
        """Wait until at least one request is waiting."""
        await self._any.wait()


async def admit_waiting(limiter: Limiter, waiters: WaiterCount) -> None:
    """Admit queued requests periodically while any is waiting.

    Slots can become free by the passing of time alone.
    """
    while True:
        await waiters.wait_for_any()
        await trio.sleep(ADMISSION_INTERVAL_S)
        limiter.admit_waiting(trio.current_time())


@attrs.define(eq=False)
class AdmissionPermit:
    """Permit for one request to run; leaving the block releases it.

    ``duration_s`` is the time that the backend server took, set once it has answered.
    ``waiters`` counts all requests that wait on this entry host.
    """

    limiter: Limiter
    service: str
    deadline_s: float
    duration_s: float | None = None
    running: bool = False
    placed: bool = False
    waiters: WaiterCount = attrs.field(factory=WaiterCount)

    def __enter__(self) -> "AdmissionPermit":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self.running:
            self.place()
            now_s = trio.current_time()
            self.limiter.finish(self.service, now_s, self.duration_s)

    async def acquire(self) -> Admission:
        """Wait for admission and return the decision, which may be a refusal."""
        woken = trio.Event()
        now_s = trio.current_time()
        admission = self.limiter.offer(self.service, now_s, self.deadline_s, woken.set)
        return await self._wait_until_admitted(admission, woken)

    async def requeue(self) -> Admission:
        """Release the permit because no slot is left, and wait for a new one."""
        woken = trio.Event()
        now_s = trio.current_time()
        self.place()
        self.running = False
        admission = self.limiter.put_back(
            self.service, now_s, self.deadline_s, woken.set
        )
        return await self._wait_until_admitted(admission, woken)

    def place(self) -> None:
        """Record that the request has taken its slot or no longer needs one."""
        if not self.placed:
            self.placed = True
            self.limiter.place(self.service)

    async def _wait_until_admitted(
        self, admission: Admission, woken: trio.Event
    ) -> Admission:
        queued_request = admission.waiting
        self.placed = False
        if queued_request is None:
            self.running = admission.code is AdmissionCode.ADMITTED
            return admission
        try:
            with self.waiters.track(), trio.move_on_at(queued_request.give_up_s):
                await woken.wait()
        finally:
            self.running = queued_request.admitted
            if not queued_request.admitted:
                admission = self.limiter.give_up(queued_request)
        return Admission(AdmissionCode.ADMITTED) if self.running else admission
