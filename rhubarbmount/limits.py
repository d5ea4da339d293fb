"""Admission control: concurrency limits, bounded queues, fairness of services."""

import math
import random
from collections import defaultdict
from collections.abc import Callable
from enum import StrEnum

import attrs

from rhubarbmount.entries import Service, WorkClass
from rhubarbmount.service_limits import PoolSlots, QueuedRequest, ServiceLimit
from rhubarbmount.shares import share_of

__all__ = ["Admission", "AdmissionCode", "Limiter"]

WEIGHT_BY_CLASS = {WorkClass.URGENT: 8, WorkClass.NORMAL: 4, WorkClass.BATCH: 1}
HEADROOM_SHARE = 0.1
POOL_HEADROOM_SQRT_FACTOR = 0.5
DURATION_EWMA_WEIGHT = 0.05
MAX_RETRY_AFTER_S = 30
RETRY_AFTER_JITTER_S = 2


class AdmissionCode(StrEnum):
    """Result of offering a request for admission."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    QUEUE_FULL = "queue-full"
    QUEUE_TIMEOUT = "queue-timeout"
    DEADLINE = "deadline-unmeetable"
    UNKNOWN_SERVICE = "unknown-service"


@attrs.define
class Admission:
    """Decision on whether to admit a request.

    ``retry_after_s`` is set, in whole seconds, if a request for a known service is
    refused.
    """

    code: AdmissionCode
    waiting: QueuedRequest | None = None
    retry_after_s: int | None = None


UNBOUNDED = PoolSlots(2**30, 2**30)


class Limiter:
    """Admission control of one entry host: at most ``total`` requests run at a time.

    Free capacity goes to the queued service with the fewest running requests for its
    weight. A service over its fair share leaves a tenth of the total free for the
    others, and half the square root of its pool's slots for the other services that
    use the pool. ``pool_slots`` returns the slots of a service's pool at a given time.
    An admitted request reserves one of the free slots until ``place`` reports that it
    has taken the slot.
    """

    def __init__(
        self,
        total: int,
        *,
        generator: random.Random,
        pool_slots: Callable[[str, float], PoolSlots] = lambda service, now_s: (
            UNBOUNDED
        ),
    ) -> None:
        self.total = total
        self.headroom = max(1, int(total * HEADROOM_SHARE))
        self.running = 0
        self.limit_by_service: dict[str, ServiceLimit] = {}
        self._limits_by_pool: dict[str, list[ServiceLimit]] = defaultdict(list)
        self._total_weight = 0
        self._pool_slots = pool_slots
        self._generator = generator

    def update_services(
        self, services: list[Service], members: list[str], own_id: str
    ) -> None:
        """Set the services' limits, divided among the live entry hosts.

        Each entry host may run at least one request of each service.
        """
        names = {service.name for service in services}
        for name in self.limit_by_service.keys() - names:
            if (
                not self.limit_by_service[name].running
                and not self.limit_by_service[name].queued
            ):
                del self.limit_by_service[name]
        for service in services:
            self._update_service(service, members, own_id)
        self._total_weight = sum(
            limit.weight for limit in self.limit_by_service.values()
        )
        self._limits_by_pool = defaultdict(list)
        for limit in self.limit_by_service.values():
            self._limits_by_pool[limit.pool].append(limit)

    def offer(
        self, service: str, now_s: float, deadline_s: float, wake: Callable[[], None]
    ) -> Admission:
        """Admit, queue or refuse a request.

        ``wake`` is called once, when a queued request has been admitted.
        """
        limit = self.limit_by_service.get(service)
        if limit is None:
            return Admission(AdmissionCode.UNKNOWN_SERVICE)
        limit.last_offered_s = now_s
        if limit.queued == 0 and self._may_run(limit, now_s):
            return self._admit(limit)
        if limit.queued >= limit.queue_length:
            return self._refuse(limit, AdmissionCode.QUEUE_FULL)
        give_up_s = min(now_s + limit.queue_timeout_s, deadline_s - limit.duration_s)
        if now_s + limit.expected_wait_s() > give_up_s:
            return self._refuse(limit, AdmissionCode.DEADLINE)
        queued_request = QueuedRequest(service, give_up_s, wake)
        limit.queue.append(queued_request)
        limit.queued += 1
        return Admission(AdmissionCode.QUEUED, queued_request)

    def place(self, service: str) -> None:
        """Record that an admitted request has taken its slot or no longer needs one.

        Call this once for each admission, before ``put_back`` or ``finish``.
        """
        self.limit_by_service[service].unplaced -= 1

    def put_back(
        self, service: str, now_s: float, deadline_s: float, wake: Callable[[], None]
    ) -> Admission:
        """Return an admitted request to the head of its queue, as no slot was left."""
        limit = self.limit_by_service[service]
        limit.running -= 1
        self.running -= 1
        give_up_s = min(now_s + limit.queue_timeout_s, deadline_s - limit.duration_s)
        if give_up_s <= now_s:
            return self._refuse(limit, AdmissionCode.DEADLINE)
        queued_request = QueuedRequest(service, give_up_s, wake)
        limit.queue.appendleft(queued_request)
        limit.queued += 1
        return Admission(AdmissionCode.QUEUED, queued_request)

    def give_up(self, queued_request: QueuedRequest) -> Admission:
        """Remove a request from its queue after its timeout or its cancellation."""
        limit = self.limit_by_service[queued_request.service]
        if not queued_request.dequeued:
            queued_request.dequeued = True
            limit.queued -= 1
        while limit.queue and limit.queue[0].dequeued:
            limit.queue.popleft()
        return self._refuse(limit, AdmissionCode.QUEUE_TIMEOUT)

    def finish(self, service: str, now_s: float, duration_s: float | None) -> None:
        """Record the end of an admitted request, and admit queued ones that now fit.

        Pass ``duration_s`` for requests that got a response.
        """
        limit = self.limit_by_service[service]
        limit.running -= 1
        self.running -= 1
        if duration_s is not None:
            before_s = limit.duration_s or duration_s
            limit.duration_s = before_s + DURATION_EWMA_WEIGHT * (duration_s - before_s)
        self.admit_waiting(now_s)

    def duration_s(self, service: str) -> float:
        """Return the average time a backend server takes for the service's requests."""
        return self.limit_by_service[service].duration_s

    def admit_waiting(self, now_s: float) -> None:
        """Admit queued requests while capacity is free; call this when more may be."""
        while self.running < self.total:
            limit = self._next_service_to_admit(now_s)
            if limit is None:
                return
            self._admit_head(limit, now_s)

    def _next_service_to_admit(self, now_s: float) -> ServiceLimit | None:
        best: ServiceLimit | None = None
        for limit in self.limit_by_service.values():
            if not limit.queue or not self._may_run(limit, now_s):
                continue
            if best is None or (
                limit.running * best.weight < best.running * limit.weight
            ):
                best = limit
        return best

    def _admit_head(self, limit: ServiceLimit, now_s: float) -> None:
        queued_request = limit.queue.popleft()
        if queued_request.dequeued:
            return
        queued_request.dequeued = True
        limit.queued -= 1
        if queued_request.give_up_s > now_s:
            queued_request.admitted = True
            self._admit(limit)
            queued_request.wake()

    def _admit(self, limit: ServiceLimit) -> Admission:
        limit.running += 1
        limit.unplaced += 1
        self.running += 1
        return Admission(AdmissionCode.ADMITTED)

    def _may_run(self, limit: ServiceLimit, now_s: float) -> bool:
        free = self.total - self.running
        if free <= 0 or limit.running >= limit.concurrency:
            return False
        fair_share = self.total * limit.weight / self._total_weight
        if limit.running >= fair_share and free <= self.headroom:
            return False
        return self._may_use_pool(limit, now_s)

    def _may_use_pool(self, limit: ServiceLimit, now_s: float) -> bool:
        slots = self._pool_slots(limit.name, now_s)
        sharing = self._limits_by_pool[limit.pool]
        free = slots.free - sum([other.unplaced for other in sharing])
        if free <= 0:
            return False
        headroom = math.ceil(POOL_HEADROOM_SQRT_FACTOR * math.sqrt(slots.total))
        if free > headroom:
            return True
        total_weight = sum(
            other.weight for other in sharing if other.is_recently_active(now_s)
        )
        alone = total_weight <= limit.weight
        return alone or limit.running < slots.total * limit.weight / total_weight

    def _refuse(self, limit: ServiceLimit, code: AdmissionCode) -> Admission:
        retry_after_s = math.ceil(limit.expected_wait_s()) + self._generator.randrange(
            RETRY_AFTER_JITTER_S + 1
        )
        return Admission(
            code, retry_after_s=min(max(retry_after_s, 1), MAX_RETRY_AFTER_S)
        )

    def _update_service(
        self, service: Service, members: list[str], own_id: str
    ) -> None:
        limit = self.limit_by_service.get(service.name)
        if limit is None:
            limit = ServiceLimit(service.name)
            self.limit_by_service[service.name] = limit
        limit.pool = service.pool
        limit.weight = WEIGHT_BY_CLASS.get(
            service.work_class, WEIGHT_BY_CLASS[WorkClass.NORMAL]
        )
        limit.concurrency = _local_share(service.concurrency, members, own_id)
        limit.queue_length = _local_share(service.queue_length, members, own_id)
        limit.queue_timeout_s = service.queue_timeout_ms / 1000


def _local_share(total: int, members: list[str], own_id: str) -> int:
    return max(1, share_of(total, members, own_id, ""))
