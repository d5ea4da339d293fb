"""Moves of hosts between pools: drain and empty a host, then one conditional write."""

import logging
from collections.abc import Callable, Collection

import attrs

from rhubarbmount.budgets import PoolRows, decide, read_pool_rows
from rhubarbmount.errors import AccessDenied, ConflictError, NotFound, Refused
from rhubarbmount.host_begin import Begun, begin_update
from rhubarbmount.host_rows import HostRow, HostRows, TransactionBuilder
from rhubarbmount.host_work import HostIntent, dump_intent, intent_key, load_intent
from rhubarbmount.hosts import HostState
from rhubarbmount.log import event
from rhubarbmount.store.interface import Platform, Transaction
from rhubarbmount.tables import INTENTS_TABLE

__all__ = ["HostMover"]

MAX_COMMIT_ATTEMPTS = 5
logger = logging.getLogger("rhubarbmount.moves")


@attrs.define
class HostMover:
    """Begins and cancels moves at an operator's request, on any entry host.

    Raises NotFound or Refused if nothing was done, ConflictError if other writers won
    every attempt, and OutcomeUnknown if the response was lost.
    """

    platform: Platform
    wall_clock: Callable[[], float]
    new_id: Callable[[], str]
    view: HostRows = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.view = HostRows(self.platform)

    async def begin(
        self, host_id: str, target_pool: str, owners: Collection[str] | None = None
    ) -> str:
        """Take the host out of service for a move and return the intent's id.

        If owners are given, both pools must belong to them.
        """
        for _ in range(MAX_COMMIT_ATTEMPTS):
            intent = HostIntent(
                intent_id=self.new_id(),
                duty="hosts",
                action="move",
                host_id=host_id,
                target_pool=target_pool,
            )
            if await self._commit(await self._begin_update(intent, owners)):
                self._log(intent, "begun")
                return intent.intent_id
        raise ConflictError(f"other writers kept changing the rows of {host_id}")

    async def cancel(self, host_id: str) -> str:
        """Return a host to service in its pool, unless it has already moved.

        Raises NotFound if the host is not being moved.
        """
        key = intent_key(host_id)
        for _ in range(MAX_COMMIT_ATTEMPTS):
            row = await self.platform.read(INTENTS_TABLE, key)
            if row is None or load_intent(row.value).action != "move":
                raise NotFound(f"host {host_id} is not being moved")
            intent = attrs.evolve(load_intent(row.value), action="restore")
            builder = TransactionBuilder()
            builder.require(INTENTS_TABLE, key, row.version)
            builder.write(INTENTS_TABLE, key, dump_intent(intent))
            if await self._commit(builder):
                self._log(intent, "cancelled")
                return intent.intent_id
        raise ConflictError(f"other writers kept changing the move of {host_id}")

    async def _begin_update(
        self, intent: HostIntent, owners: Collection[str] | None
    ) -> TransactionBuilder:
        """Return the preconditions and writes that begin a move, or raise Refused."""
        host_row = await self._movable(intent)
        host = host_row.host
        rows = await read_pool_rows(self.platform, host.pool)
        target = await read_pool_rows(self.platform, intent.target_pool)
        for pool_rows in (rows, target):
            _check_owner(pool_rows, owners)
        if target.pool is not None:
            intent = attrs.evolve(intent, target_owner=target.pool.owner)
        await self.view.refresh()
        head = self.view.head
        members = self.view.of_pool(host.pool)
        live = await self.platform.live_hosts()
        permission = decide(rows.view(members, live), host.host_id, host.rack)
        if not permission.allowed:
            self._log(intent, permission.code.value)
            raise Refused(
                f"{permission.hosts_down} hosts in {permission.racks_down} racks of"
                f" pool {host.pool} are down",
                code=permission.code.value,
            )
        builder = begin_update(rows, head, [Begun(host_row, intent)], self.wall_clock())
        builder.add(target.entry_update())
        return builder

    async def _movable(self, intent: HostIntent) -> HostRow:
        await self.view.refresh()
        host_row = self.view.row_by_host_id.get(intent.host_id)
        if host_row is None:
            raise NotFound(f"no host {intent.host_id!r}")
        host = host_row.host
        if host.pool == intent.target_pool:
            raise Refused(
                f"host {host.host_id} is already in that pool", code="same-pool"
            )
        if host.state is not HostState.IN_SERVICE:
            raise Refused(
                f"host {host.host_id} is {host.state.value}: {host.cause}",
                code="host-busy",
            )
        return host_row

    async def _commit(self, builder: TransactionBuilder) -> bool:
        transaction = Transaction(
            self.new_id(), tuple(builder.preconditions), tuple(builder.writes)
        )
        return (await self.platform.transact(transaction)).committed

    def _log(self, intent: HostIntent, result: str) -> None:
        event(
            logger,
            "move",
            host=intent.host_id,
            pool=intent.target_pool,
            intent=intent.intent_id,
            result=result,
        )


def _check_owner(rows: PoolRows, owners: Collection[str] | None) -> None:
    if rows.pool is None:
        raise NotFound(f"no pool {rows.name!r}")
    if owners is not None and rows.pool.owner not in owners:
        raise AccessDenied(f"pool {rows.name} belongs to {rows.pool.owner}")
