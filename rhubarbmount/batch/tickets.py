"""Tickets for starting steps of queues that use the advice service."""

import logging

import attrs

from rhubarbmount import log
from rhubarbmount.batch.shard import Shard
from rhubarbmount.batch.shard_jobs import StepKey
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.advice import AdviceClient

__all__ = ["TicketCache"]

logger = logging.getLogger(__name__)

MAX_SERVERS_PER_REQUEST = 30
# The command to start a run must arrive while its ticket is still valid.
VALIDITY_MARGIN_S = 0.3
RETRY_INTERVAL_S = 1.0


@attrs.define(eq=False)
class TicketCache:
    """Cache of tickets; requests them one call at a time and drops expired ones."""

    client: AdviceClient
    tickets_by_step: dict[StepKey, dict[str, str]] = attrs.field(factory=dict)
    _expires_at_s: dict[tuple[StepKey, str], float] = attrs.field(factory=dict)
    _requested_at_s: dict[StepKey, float] = attrs.field(factory=dict)

    def find(self, key: StepKey, server_id: str) -> str:
        """Return a ticket, or an empty string if there is none."""
        return self.tickets_by_step.get(key, {}).get(server_id, "")

    def drop(self, key: StepKey, server_id: str) -> None:
        """Remove a ticket that was rejected or has expired."""
        self.tickets_by_step.get(key, {}).pop(server_id, None)
        self._requested_at_s.pop(key, None)

    async def ask(self, shard: Shard, now_s: float) -> bool:
        """Request tickets for the next step that has none; return whether any came."""
        self._expire(now_s)
        key = self._next_step(shard, now_s)
        if key is None:
            return False
        self._requested_at_s[key] = now_s
        servers = self._candidates(shard, key, now_s)
        try:
            tickets = await self.client.ask(*key, servers) if servers else []
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "no-advice", logging.WARNING, job=key[0], code=error.code)
            return False
        ticket_by_server_id = self.tickets_by_step.setdefault(key, {})
        for ticket in tickets:
            ticket_by_server_id[ticket.server_id] = ticket.text
            # The validity period starts when the advice service decides, which is after
            # the request was sent; counting from ``now_s`` is on the safe side.
            expires_at_s = now_s + ticket.valid_s - VALIDITY_MARGIN_S
            self._expires_at_s[key, ticket.server_id] = expires_at_s
        return bool(tickets)

    def _expire(self, now_s: float) -> None:
        for (key, server_id), expires_at_s in list(self._expires_at_s.items()):
            if now_s >= expires_at_s:
                del self._expires_at_s[key, server_id]
                self.drop(key, server_id)

    def _next_step(self, shard: Shard, now_s: float) -> StepKey | None:
        for key in shard.waiting_by_step:
            queue = shard.queue_of(shard.job_by_id[key[0]].spec)
            if queue is None or not queue.has_advice or self.tickets_by_step.get(key):
                continue
            if (
                now_s - self._requested_at_s.get(key, -RETRY_INTERVAL_S)
                >= RETRY_INTERVAL_S
            ):
                return key
        return None

    @staticmethod
    def _candidates(shard: Shard, key: StepKey, now_s: float) -> list[str]:
        spec = shard.job_by_id[key[0]].spec
        pool = shard.pool_of(spec)
        step = spec.steps[key[2]]
        usages = [
            usage
            for usage in shard.usage_by_server_id.values()
            if usage.server.service == pool and usage.is_open(now_s)
        ]
        usages.sort(
            key=lambda usage: (not usage.fits(step), -usage.free_cpu_millicores)
        )
        return [usage.server.id for usage in usages[:MAX_SERVERS_PER_REQUEST]]
