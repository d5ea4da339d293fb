"""Rows in which backend servers register with the holder of a shard."""

import logging

import attrs

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.batch.model import Server, StopReason
from rhubarbmount.batch.server_sessions import ServerSessions
from rhubarbmount.batch.server_usage import ServerUsage
from rhubarbmount.batch.shard import Shard
from rhubarbmount.platform.row_formats import UnreadableRow, decode_server
from rhubarbmount.platform.rows import Page, Row

__all__ = ["ServerRows"]

logger = logging.getLogger(__name__)


@attrs.define(eq=False)
class ServerRows:
    """Keeps server usages and sessions in step with the server rows."""

    shard: Shard
    sessions: ServerSessions
    drain_s: float
    # How long a capacity that was read may be relied on.
    capacity_valid_s: float

    def apply(self, page: Page, is_whole: bool) -> None:
        """Apply changed rows, or the whole table if ``is_whole`` is set."""
        if is_whole:
            listed = {row.name.key for row in page.rows}
            for server_id in list(self.shard.usage_by_server_id):
                if name_of(server_id) not in listed:
                    self._mark_unlisted(server_id)
        for row in page.rows:
            try:
                self._apply_row(row)
            except Exception:
                # A bug that one row brings to light must not stop all the others.
                logger.exception("event=server-row-failed server=%s", row.name.key)
        self.sessions.wake()

    def note_read(self, at_s: float) -> None:
        """Record that all rows are known as they were at a time."""
        self.shard.capacities_hold_until_s = at_s + self.capacity_valid_s

    def restore(self, server: Server) -> None:
        """Add a server that has tasks but no row, so that it is asked."""
        log.event(
            logger,
            "server-restored",
            server=server.id,
            address=server.address,
            host=server.host_id,
        )
        usage = self.shard.put_server(server, monotonic_s())
        usage.is_listed = False
        self.sessions.open(usage)

    def _apply_row(self, row: Row) -> None:
        name = row.name.key
        if not row.version:
            self._mark_name_unlisted(name)
            self.sessions.forget(name)
            return
        server = self._decode(row)
        if server is None:
            self._mark_name_unlisted(name)
            return
        if self.sessions.has_ended(server.id):
            return
        was_draining = self._is_draining(server.id)
        if server.id not in self.shard.usage_by_server_id:
            # The session with a server that was lost knows its former usage only.
            self.sessions.close_lost()
        usage = self.shard.put_server(server, monotonic_s())
        self.sessions.open(usage)
        self._unlist_other_lifetimes(server)
        self._check_others_at_address(server)
        if server.is_draining and not was_draining:
            self._stop_runs_outlasting_drain(usage)

    @staticmethod
    def _decode(row: Row) -> Server | None:
        try:
            return decode_server(row)
        except UnreadableRow as error:
            log.event(
                logger,
                "server-unreadable",
                logging.WARNING,
                server=row.name.key,
                version=row.version,
                reason=error.message,
            )
            return None

    def _is_draining(self, server_id: str) -> bool:
        usage = self.shard.usage_by_server_id.get(server_id)
        return usage is not None and usage.server.is_draining

    def _unlist_other_lifetimes(self, server: Server) -> None:
        """Start nothing on the other lifetimes of a server until the row names them.

        They are being asked whether they go on, as the row may be one that returned.
        """
        for server_id in self.sessions.lifetimes_of(name_of(server.id)):
            usage = self.shard.usage_by_server_id[server_id]
            if server_id != server.id and usage.is_listed:
                usage.is_listed = False
                log.event(logger, "server-unlisted", server=server_id)

    def _mark_name_unlisted(self, name: str) -> None:
        for server_id in self.sessions.lifetimes_of(name):
            self._mark_unlisted(server_id)

    def _check_others_at_address(self, server: Server) -> None:
        """Have other lifetimes at the address of a server asked whether they go on.

        Which of two rows was written last does not tell which lifetime ended: the row
        of one that ended may return.
        """
        for usage in self.shard.usage_by_server_id.values():
            other = usage.server
            if other.address == server.address and other.id != server.id:
                self.sessions.check(other.id)

    def _mark_unlisted(self, server_id: str) -> None:
        usage = self.shard.usage_by_server_id.get(server_id)
        if usage is None:
            return
        usage.is_listed = False
        log.event(logger, "server-unlisted", server=server_id)
        if usage.is_idle and not self.sessions.is_needed(server_id):
            self.sessions.handle_server_end(server_id, "unlisted", is_over=False)

    def _stop_runs_outlasting_drain(self, usage: ServerUsage) -> None:
        """Stop runs that would not end before the server leaves, so that tasks move."""
        log.event(logger, "server-draining", server=usage.server.id)
        now_s = monotonic_s()
        for task in list(usage.task_by_id.values()):
            step = usage.step_by_task[task.id]
            expected_s = self.shard.expected_run_time_of(task).expected_s
            left_s = expected_s - (now_s - task.assigned_s)
            if step.is_long_running or left_s > self.drain_s:
                self.shard.stop_run(task, StopReason.DRAINED)
