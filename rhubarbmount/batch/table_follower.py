"""Follows a table through its change feed, without rereading unchanged rows."""

import logging
import random
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.errors import (
    OutcomeUnknown,
    PlatformUnavailable,
    RhubarbmountError,
)
from rhubarbmount.platform.rows import (
    MAX_READ_TIMEOUT_S,
    PAGE_ROWS,
    READ_TIMEOUT_S,
    HistoryGone,
    Page,
    RowStore,
)

__all__ = ["TableFollower", "read_parts", "run_concurrently"]

logger = logging.getLogger(__name__)

# With the time until a lost poll is given up and asked again, less than the 3 s after
# which a configuration or a cancellation has to be known.
FEED_WAIT_S = 1.5
# After an outage the answer to the first poll may hold megabytes.
FEED_ANSWER_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.3
# A page of less than this is not cut: one of 1 MB may be, as its bytes are encoded.
MAX_WHOLE_PAGE_BYTES = 500_000
# The feed normally delivers a change of this process within milliseconds.
FEED_STALL_S = 0.25
# While an answer that is older than this arrived, more changes are likely to have come.
OLD_ANSWER_S = 0.3


async def read_parts(
    store: RowStore,
    table: str,
    parts: tuple[str, ...],
    timeout_s: float = READ_TIMEOUT_S,
) -> Page:
    """Return all rows of some parts, read concurrently, with a timeout for each page.

    Following the feed from the version of the result misses no change.
    """
    pages: dict[str, Page] = {}

    async def read(part: str) -> None:
        pages[part] = await store.read_all(table, part, timeout_s)

    await run_concurrently([partial(read, part) for part in parts])
    rows = tuple(row for part in parts for row in pages[part].rows)
    earliest = min(pages.values(), key=lambda page: page.version)
    clock_ms = min(page.clock_ms for page in pages.values())
    return attrs.evolve(earliest, rows=rows, clock_ms=clock_ms)


async def run_concurrently(calls: Sequence[Callable[[], Awaitable[None]]]) -> None:
    """Make calls to the store concurrently.

    The first error cancels the other calls and is raised.
    """
    errors: list[RhubarbmountError] = []

    async def run(call: Callable[[], Awaitable[None]]) -> None:
        try:
            await call()
        except RhubarbmountError as error:
            errors.append(error)
            nursery.cancel_scope.cancel()

    async with trio.open_nursery() as nursery:
        for call in calls:
            nursery.start_soon(run, call)
    if errors:
        raise errors[0]


@attrs.define(eq=False)
class TableFollower:
    """Reads a table and then its change feed, and passes on each page of rows.

    The second argument of ``on_page`` is true for a page that holds the whole table.
    If ``start_version`` is None, the table is read first. While the feed does not
    deliver a change that is known to exist, the table is read for the rows that are
    new in it.

    The feed tells of each change. If ``wants_newest`` is set, a follower that is behind
    reads the table instead, whose size does not grow with the changes that it missed.
    """

    store: RowStore
    table: str
    parts: tuple[str, ...]
    on_page: Callable[[Page, bool], None]
    start_version: int | None = None
    wait_s: float = FEED_WAIT_S
    wants_newest: bool = False
    # Called with the time since the last answer before the store was lost.
    on_regained: Callable[[float], None] = lambda lost_s: None
    # Called with each ``known_until_s``, also if nothing has changed.
    on_known: Callable[[float], None] = lambda known_until_s: None
    # All changes up to this time on the store's clock have been passed on.
    known_until_s: float = 0.0
    _is_store_lost: bool = False
    _has_failed: bool = False
    _is_behind: bool = False
    _may_have_more: bool = False
    _answered_at_s: float = attrs.field(factory=monotonic_s)
    _read_timeout_s: float = READ_TIMEOUT_S
    _seen_version: int = 0
    _expected_version: int = 0
    _expectation_set: trio.Event = attrs.field(factory=trio.Event)
    _resumed: trio.Event | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_while_stalled)
            await self._follow()

    def pause(self) -> None:
        """Ask for nothing more, once the call under way is over, until resumed."""
        if self._resumed is None:
            self._resumed = trio.Event()

    def resume(self) -> None:
        """Follow again after a pause; first read a table whose newest rows count."""
        if self._resumed is not None:
            self._is_behind = self.wants_newest
            self._resumed.set()
            self._resumed = None

    def expect(self, version: int) -> None:
        """Note that the table has a change of a version which the feed must deliver."""
        if version > self._seen_version:
            self._expected_version = version
            self._expectation_set.set()

    async def _read_while_stalled(self) -> None:
        while True:
            await self._expectation_set.wait()
            await trio.sleep(FEED_STALL_S)
            if self._seen_version >= self._expected_version:
                self._expectation_set = trio.Event()
            else:
                await self._read_missed_rows()

    async def _read_missed_rows(self) -> None:
        """Pass on the rows newer than the last version that the feed delivered."""
        log.event(
            logger,
            "changes-stalled",
            logging.WARNING,
            table=self.table,
            heard=self._seen_version,
            expected=self._expected_version,
        )
        try:
            page = await self._read_table()
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._record_failure(error.code)
            return
        missed = tuple(row for row in page.rows if row.version > self._seen_version)
        self._pass_on(attrs.evolve(page, rows=missed), False)

    async def _follow(self) -> None:
        version = self.start_version
        self._seen_version = version or 0
        while True:
            if self._resumed is not None:
                await self._resumed.wait()
            began_s = monotonic_s()
            try:
                version = await self._read_next(version)
                self._seen_version = version
            except HistoryGone as error:
                log.event(logger, "history-gone", logging.WARNING, table=self.table)
                self._record_failure(error.code)
                version = None
            except (PlatformUnavailable, OutcomeUnknown) as error:
                self._log_lost_poll(error, monotonic_s() - began_s)
                self._record_failure(error.code)
                await trio.sleep(random.uniform(RETRY_MIN_S, RETRY_MAX_S))

    async def _read_next(self, version: int | None) -> int:
        if version is None or self._is_behind:
            page = await self._read_table()
            self._record_success(page)
            self._pass_on(page, True)
            return page.version
        # After a failure or a page that may have been cut, there may be changes.
        wait_s = 0.0 if self._has_failed or self._may_have_more else self.wait_s
        timeout_s = self.wait_s + FEED_ANSWER_S
        page = await self.store.feed(self.table, version, wait_s, timeout_s)
        self._record_success(page)
        self._may_have_more = _is_full(page)
        self._pass_on(page, False)
        return max(version, page.version)

    def _pass_on(self, page: Page, is_whole: bool) -> None:
        if page.rows or is_whole:
            self.on_page(page, is_whole)
        if is_whole or not _is_full(page):
            self.known_until_s = max(self.known_until_s, page.clock_ms / 1000)
            self.on_known(self.known_until_s)

    async def _read_table(self) -> Page:
        """Read all rows; a timeout doubles the time that the next try may take.

        Not so where the newest rows are wanted: as the store is back after an outage,
        the read under way is lost, and the next one has to begin soon.
        """
        timeout_s = READ_TIMEOUT_S if self.wants_newest else self._read_timeout_s
        try:
            page = await read_parts(self.store, self.table, self.parts, timeout_s)
        except OutcomeUnknown:
            self._read_timeout_s = min(MAX_READ_TIMEOUT_S, self._read_timeout_s * 2)
            raise
        self._read_timeout_s = READ_TIMEOUT_S
        return page

    def _record_success(self, page: Page) -> None:
        self._has_failed = False
        self._is_behind = self.wants_newest and self._may_be_behind(page)
        lost_s = monotonic_s() - self._answered_at_s
        self._answered_at_s = monotonic_s()
        if self._is_store_lost:
            self._is_store_lost = False
            log.event(
                logger,
                "store-regained",
                table=self.table,
                lost_s=lost_s,
                rows=len(page.rows),
                superseded=_superseded_rows(page),
                size_bytes=_size_bytes(page),
            )
            self.on_regained(lost_s)

    def _may_be_behind(self, page: Page) -> bool:
        """Return whether there are likely to be newer changes than those of a page."""
        if all(row.version <= self._seen_version for row in page.rows):
            return False
        return bool(_superseded_rows(page)) or self.store.age_s(page) > OLD_ANSWER_S

    def _log_lost_poll(self, error: RhubarbmountError, took_s: float) -> None:
        """Log a call that was sent and not answered in time."""
        if isinstance(error, OutcomeUnknown):
            log.frequent_event(
                logger,
                "poll-lost",
                table=self.table,
                after_version=self._seen_version,
                took_s=took_s,
                code=error.code,
                reason=error.message,
            )

    def _record_failure(self, code: str) -> None:
        self._has_failed = True
        self._is_behind = self.wants_newest
        if not self._is_store_lost:
            self._is_store_lost = True
            log.event(
                logger, "store-lost", logging.WARNING, table=self.table, code=code
            )


def _is_full(page: Page) -> bool:
    """Return whether a page may have been cut, so that there are more changes."""
    is_cut = len(page.rows) >= PAGE_ROWS or _size_bytes(page) >= MAX_WHOLE_PAGE_BYTES
    return page.has_more or is_cut


def _size_bytes(page: Page) -> int:
    return sum(len(row.value) for row in page.rows)


def _superseded_rows(page: Page) -> int:
    """Return how many rows of a page are followed by a newer version of the same."""
    return len(page.rows) - len({row.name for row in page.rows})
