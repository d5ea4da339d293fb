"""Commands of a holder to hosts, each sent until its outcome is known."""

from collections.abc import Awaitable, Callable

import attrs
import trio

from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.election import ShardLease
from rhubarbmount.batch.host_command_times import HostCommandTimes
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable
from rhubarbmount.platform.hosts import HostClient, HostResult

__all__ = ["HostCommands"]

COMMAND_RETRY_S = 0.25
# How long a command may be sent and repeated after its time has been recorded.
SEND_WINDOW_S = 0.5


@attrs.define(eq=False)
class HostCommands:
    """Sends one command at a time to each host.

    A host is reserved from the decision to command it until the outcome is known.
    ``save_command_times`` returns once the times of the commands are stored.
    """

    client: HostClient
    shard_lease: ShardLease
    command_times: HostCommandTimes
    save_command_times: Callable[[], Awaitable[None]]
    _reserved_host_ids: set[str] = attrs.field(factory=set)

    def __bool__(self) -> bool:
        """Return whether a command to any host is under way."""
        return bool(self._reserved_host_ids)

    def may_command(self, host_id: str) -> bool:
        """Return whether no command of this or the last holder can be under way."""
        is_reserved = host_id in self._reserved_host_ids
        return not is_reserved and self.command_times.may_command(host_id)

    def reserve(self, host_id: str) -> None:
        """Reserve a host for one command."""
        self._reserved_host_ids.add(host_id)

    def release(self, host_id: str) -> None:
        """Release a host after its command."""
        self._reserved_host_ids.discard(host_id)

    async def move(
        self, host_id: str, pool: str, may_begin: Callable[[], bool] = lambda: True
    ) -> HostResult:
        """Move a host to a pool; ``may_begin`` is asked right before each sending."""
        return await self._send(
            host_id,
            lambda: self.client.move(
                host_id,
                pool,
                self.shard_lease.fencing_token,
                lambda: self._may_send(host_id) and may_begin(),
            ),
        )

    async def maintain(
        self, host_id: str, wave: int, may_begin: Callable[[], bool] = lambda: True
    ) -> HostResult:
        """Maintain a host for a wave; ``may_begin`` is asked as for a move."""
        return await self._send(
            host_id,
            lambda: self.client.maintain(
                host_id,
                wave,
                self.shard_lease.fencing_token,
                lambda: self._may_send(host_id) and may_begin(),
            ),
        )

    async def _send(
        self, host_id: str, call: Callable[[], Awaitable[HostResult]]
    ) -> HostResult:
        """Send a command until its outcome is known.

        Commands are idempotent, so that one without an answer can be sent again. After
        a try without an answer, a refusal as busy settles nothing, since that try may
        still take effect.
        """
        is_unsettled = False
        while True:
            result = await self._try(host_id, call)
            is_unsettled = is_unsettled or result is None
            if result is not None and not (is_unsettled and result is HostResult.BUSY):
                return result
            await trio.sleep(COMMAND_RETRY_S)

    async def _try(
        self, host_id: str, call: Callable[[], Awaitable[HostResult]]
    ) -> HostResult | None:
        """Send a command once; return None if it may have taken effect unanswered."""
        await self._store_time(host_id)
        try:
            return await call()
        except PlatformUnavailable:
            return HostResult.BUSY
        except OutcomeUnknown:
            return None

    def _may_send(self, host_id: str) -> bool:
        """Return whether no other holder can send commands to the host now."""
        is_valid = self.shard_lease.is_valid(monotonic_s())
        return is_valid and self.command_times.may_send(host_id)

    async def _store_time(self, host_id: str) -> None:
        """Store until when commands to a host may be sent, unless that is stored."""
        window_s = SEND_WINDOW_S
        while not self.command_times.may_send(host_id):
            self.command_times.note(host_id, window_s)
            await self.save_command_times()
            # A window that a slow store has used up has to be longer.
            window_s *= 2
