"""Tickets for starting steps of queues that use the advice service."""

import logging
import math

import attrs

from rhubarbmount import log
from rhubarbmount.batch.model import Step
from rhubarbmount.batch.server_usage import ServerUsage
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
    """Cache of tickets; requests them one call at a time and drops expired ones.

    A ticket or a refusal holds for one lifetime of a server. The service knows servers
    by name, so that only the latest lifetime of each is asked about.
    """

    client: AdviceClient
    tickets_by_step: dict[StepKey, dict[str, str]] = attrs.field(factory=dict)
    _expires_at_s: dict[tuple[StepKey, str], float] = attrs.field(factory=dict)
    _requested_at_s: dict[StepKey, float] = attrs.field(factory=dict)
    # Servers that may not run a step; this does not change.
    _refused_by_step: dict[StepKey, set[str]] = attrs.field(factory=dict)

    def find(self, key: StepKey, server_id: str) -> str:
        """Return a ticket, or an empty string if there is none."""
        return self.tickets_by_step.get(key, {}).get(server_id, "")

    def drop(self, key: StepKey, server_id: str) -> None:
        """Remove a ticket that was rejected or has expired."""
        self.tickets_by_step.get(key, {}).pop(server_id, None)
        self._requested_at_s.pop(key, None)

    async def ask(self, shard: Shard, now_s: float) -> bool:
        """Request tickets for the step that needs them most; return whether any came.

        A step needs them while servers that it has tickets for lack room for its tasks.
        """
        self._expire(now_s)
        self._forget_refusals(shard)
        key, servers = self._next_request(shard, now_s)
        if key is None:
            return False
        try:
            tickets = await self.client.ask(*key, servers)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            log.event(logger, "no-advice", logging.WARNING, job=key[0], code=error.code)
            return False
        granted = {ticket.server_id for ticket in tickets}
        refused = self._refused_by_step.setdefault(key, set())
        refused.update(server_id for server_id in servers if server_id not in granted)
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

    def _forget_refusals(self, shard: Shard) -> None:
        for key in [k for k in self._refused_by_step if k not in shard.waiting_by_step]:
            del self._refused_by_step[key]

    def _next_request(
        self, shard: Shard, now_s: float
    ) -> tuple[StepKey | None, list[str]]:
        """Return the step to ask about next, and the servers; long-running ones first.

        Each step is looked at once in a while only, whether or not there is something
        to ask.
        """
        due = [
            key
            for key in shard.waiting_by_step
            if now_s - self._requested_at_s.get(key, -math.inf) >= RETRY_INTERVAL_S
            and _has_advice(shard, key)
        ]
        due.sort(key=lambda key: self._order_of(shard, key))
        for key in due:
            self._requested_at_s[key] = now_s
            servers = self._candidates(shard, key, now_s)
            if servers:
                return key, servers
        return None, []

    def _order_of(self, shard: Shard, key: StepKey) -> tuple[bool, bool, float]:
        step = shard.job_by_id[key[0]].spec.steps[key[2]]
        return (
            not step.is_long_running,
            bool(self.tickets_by_step.get(key)),
            self._requested_at_s.get(key, -math.inf),
        )

    def _candidates(self, shard: Shard, key: StepKey, now_s: float) -> list[str]:
        """Return the servers to ask about: those with room before all others.

        A step that has tickets needs more only for servers with room, and none if
        those that it has tickets for have room for all its waiting tasks.
        """
        spec = shard.job_by_id[key[0]].spec
        pool = shard.pool_of(spec)
        step = spec.steps[key[2]]
        tickets = self.tickets_by_step.get(key, {})
        refused = self._refused_by_step.get(key, set())
        usages = [
            usage
            for usage in shard.usage_by_server_id.values()
            if usage.server.service == pool
            and usage.is_open(now_s)
            and usage.will_take(step)
            and usage.server.id not in refused
            and shard.is_latest_lifetime(usage)
        ]
        if tickets:
            usages = [usage for usage in usages if _has_room(usage, step, key)]
            known = [usage for usage in usages if usage.server.id in tickets]
            room = sum(usage.places_for(step) for usage in known)
            if room >= len(shard.waiting_by_step[key]):
                return []
            usages = [usage for usage in usages if usage not in known]
        usages.sort(
            key=lambda usage: (not usage.fits(step), -usage.free_cpu_millicores)
        )
        return [usage.server.id for usage in usages[:MAX_SERVERS_PER_REQUEST]]


def _has_advice(shard: Shard, key: StepKey) -> bool:
    queue = shard.queue_of(shard.job_by_id[key[0]].spec)
    return queue is not None and queue.has_advice


def _has_room(usage: ServerUsage, step: Step, key: StepKey) -> bool:
    count = usage.count_by_step.get(key, 0)
    return usage.fits(step) and (not step.max_per_server or count < step.max_per_server)
