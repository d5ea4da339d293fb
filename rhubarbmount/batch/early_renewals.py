"""Renews what runs on backend servers while a new holder loads its shard."""

import logging
import math
from collections.abc import Awaitable, Callable, Iterable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.lifetimes import lifetime_id, name_of
from rhubarbmount.batch.model import Server
from rhubarbmount.batch.server_lease import ServerLease
from rhubarbmount.errors import (
    LeaseLost,
    OtherLifetime,
    OutcomeUnknown,
    PlatformUnavailable,
)
from rhubarbmount.platform.backend import BackendClient, CommandResult, RenewalResponse

__all__ = ["EarlyRenewals"]

logger = logging.getLogger(__name__)

# Most shards are loaded sooner, and their sessions renew everything.
START_AFTER_S = 1.0
RENEWAL_PERIOD_S = 1.0
RETRY_S = 0.25
MAX_CALLS = 16


@attrs.define(eq=False)
class EarlyRenewals:
    """Renews all runs until the holder knows which of them should go on.

    Each server is recorded as silent before it is granted anything, and until it has
    answered, so that a later holder knows when its leases lapse. Its answers tell which
    lifetime it has; leases are kept by that.
    """

    client: BackendClient
    # Returns the servers where earlier holders started tasks.
    read_servers: Callable[[], Awaitable[list[Server]]]
    # Records servers as silent, but for those that have answered, and stores that.
    store_record: Callable[[Iterable[str], Iterable[str]], Awaitable[None]]
    # Called once the first record is stored.
    on_recorded: Callable[[], None]
    make_lease: Callable[[str], ServerLease]
    lease_by_server_id: dict[str, ServerLease] = attrs.field(factory=dict)
    # Servers that have answered and are not recorded as silent any more.
    heard_server_ids: set[str] = attrs.field(factory=set)
    has_record: bool = False
    _answered: set[str] = attrs.field(factory=set)
    _has_answers: trio.Event = attrs.field(factory=trio.Event)
    _limiter: trio.CapacityLimiter = attrs.field(
        factory=lambda: trio.CapacityLimiter(MAX_CALLS)
    )
    # Held while the record is written, which must not be interrupted.
    _recording: trio.Lock = attrs.field(factory=trio.Lock)
    _scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self) -> None:
        """Renew runs until stopped. Raises LeaseLost."""
        with self._scope:
            await trio.sleep(START_AFTER_S)
            servers = await self.read_servers()
            if not servers:
                return
            async with self._recording:
                await self.store_record([server.id for server in servers], ())
                self.has_record = True
            self.on_recorded()
            log.event(logger, "early-renewals", servers=len(servers))
            async with trio.open_nursery() as nursery:
                for server in servers:
                    nursery.start_soon(self._renew_forever, server)
                await self._clear_answered_forever()

    async def stop(self) -> None:
        """Stop, once a record that is being written has been stored."""
        async with self._recording:
            self._scope.cancel()

    async def _clear_answered_forever(self) -> None:
        """Remove servers that answer from the record, so that their runs go on."""
        while True:
            await self._has_answers.wait()
            self._has_answers = trio.Event()
            answered, self._answered = self._answered, set()
            async with self._recording:
                await self.store_record((), answered)
                for server_id in answered & self.lease_by_server_id.keys():
                    self.lease_by_server_id[server_id].recorded_lapse_s = None
                    self._note_heard(server_id)

    def _note_heard(self, server_id: str) -> None:
        """Note a lifetime that no record limits, nor one by its name."""
        self.heard_server_ids |= {server_id, name_of(server_id)}

    async def _renew_forever(self, server: Server) -> None:
        lease = self.lease_by_server_id[server.id] = self.make_lease(server.id)
        while True:
            was_known = lease.clock.is_known
            async with self._limiter:
                response = await self._renew(server, lease)
            if response is None:
                lease.consecutive_failures += 1
                await trio.sleep(RETRY_S)
                continue
            if response.result is not CommandResult.DONE:
                return
            answered_id = lifetime_id(server.name, response.born_ms)
            if response.born_ms and answered_id != server.id:
                lease = self._replace_lease(server.id, answered_id)
                await self.client.forget(server)
                server = attrs.evolve(server, id=answered_id)
                was_known = False
            lease.consecutive_failures = 0
            lease.clock.note(response.clock_ms, monotonic_s())
            if lease.is_recorded_silent:
                self._answered.add(server.id)
                self._has_answers.set()
            else:
                self._note_heard(server.id)
            # The first answer tells the clock by which the next call can grant.
            if was_known:
                await trio.sleep(RENEWAL_PERIOD_S)

    def _replace_lease(self, server_id: str, answered_id: str) -> ServerLease:
        """Return the lease for the lifetime that answered in place of an earlier one.

        A call that was meant for the earlier one may have granted it the longest lease,
        since its expiry is a time on another clock.
        """
        earlier = self.lease_by_server_id.pop(server_id)
        self.heard_server_ids.discard(server_id)
        lease = self.lease_by_server_id[answered_id] = self.make_lease(answered_id)
        if earlier.clock.is_known:
            lease.expect_longest(monotonic_s())
        if earlier.recorded_lapse_s is not None:
            # The store may hold the record by the name until one without it is stored.
            limit_s = lease.recorded_lapse_s or math.inf
            lease.recorded_lapse_s = min(limit_s, earlier.recorded_lapse_s)
        log.event(
            logger,
            "lifetime-answered",
            server=answered_id,
            asked=server_id,
            lapses_in_s=lease.lapses_at_s() - monotonic_s(),
        )
        return lease

    async def _renew(
        self, server: Server, lease: ServerLease
    ) -> RenewalResponse | None:
        """Renew the runs on a server once; return None if it does not answer."""
        try:
            response = await self.client.renew(
                server,
                lease.fencing_token,
                acknowledged=0,
                expires_ms=lease.renewal_expiry_ms(monotonic_s()),
                wait_s=0.0,
            )
        except OtherLifetime as error:
            return RenewalResponse(CommandResult.DONE, 0, born_ms=error.born_ms)
        except (PlatformUnavailable, OutcomeUnknown):
            return None
        if response.result is CommandResult.FENCED:
            raise LeaseLost(f"server {server.id} has accepted a higher fencing token")
        return response
