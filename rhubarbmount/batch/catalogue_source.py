"""Chooses whether a host reads the configuration or the changes a holder writes."""

import logging
import math
from collections.abc import Callable

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.catalogue_age import CatalogueAge
from rhubarbmount.batch.catalogue_changes import (
    KnownCatalogue,
    advance,
    decode_changes,
    decode_known,
)
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.table_follower import TableFollower
from rhubarbmount.batch.tables import (
    CATALOGUE_TABLE,
    catalogue_changes_row,
    known_catalogue_row,
)
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.platform.rows import Page, Row, RowStore

__all__ = ["CatalogueSource"]

logger = logging.getLogger(__name__)

# A configuration that took longer to arrive is followed by its changes.
SLOW_READ_S = 0.3
FEED_WAIT_S = 1.0
CHECK_PERIOD_S = 0.25
# How long the first answer on the changes may take.
GRACE_S = 0.6
# After what part of the time that a change may take the configuration itself is read.
MAX_AGE_FRACTION = 0.75
# How long the configuration is read for want of changes before they are tried again.
RETRY_S = 5.0


@attrs.define(eq=False)
class CatalogueSource:
    """Has a host on a slow link follow the changes of a large configuration.

    The operator's row remains what counts. It is read at the start, and whenever the
    changes do not lead on from the version that is in force, or nobody has written for
    a while up to when they are complete.
    """

    store: RowStore
    shard: str
    age: CatalogueAge
    operator_rows: TableFollower
    unreadable_rows: UnreadableRows
    find_catalogue: Callable[[], Catalogue | None]
    set_catalogue: Callable[[Catalogue], None]
    # Whether this host writes the changes itself, and reads the configuration for that.
    is_holder: Callable[[], bool]
    follower: TableFollower = attrs.field(init=False)
    _known: KnownCatalogue | None = None
    _followed_since_s: float = 0.0
    _retry_at_s: float = -math.inf
    # Whether the changes have told anything since they are followed.
    _has_told: bool = False
    _followed: trio.Event = attrs.field(factory=trio.Event)

    def __attrs_post_init__(self) -> None:
        self.follower = TableFollower(
            self.store,
            CATALOGUE_TABLE,
            (self.shard,),
            self._apply,
            wait_s=FEED_WAIT_S,
            wants_newest=True,
        )
        self.follower.pause()

    async def run(self) -> None:
        """Follow the changes whenever that is chosen, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            while True:
                await self._followed.wait()
                await trio.sleep(CHECK_PERIOD_S)
                self._check()

    def note_read(self, page: Page) -> None:
        """Follow the changes from now on if the configuration took long to arrive."""
        catalogue = self.find_catalogue()
        if self._followed.is_set() or catalogue is None or not catalogue.is_large:
            return
        age_s = self.store.age_s(page)
        has_configuration = any(
            row.version == catalogue.row_version for row in page.rows
        )
        may_try = not self.is_holder() and monotonic_s() >= self._retry_at_s
        if has_configuration and age_s > SLOW_READ_S and may_try:
            self._follow_changes(catalogue, age_s)

    def _follow_changes(self, catalogue: Catalogue, age_s: float) -> None:
        log.event(
            logger,
            "catalogue-changes-followed",
            catalogue=catalogue.version,
            size_bytes=catalogue.size_bytes,
            age_s=age_s,
        )
        self._known = None
        self._has_told = False
        self._followed_since_s = monotonic_s()
        self._followed.set()
        self.operator_rows.pause()
        self.follower.resume()

    def _follow_operator(self, reason: str) -> None:
        log.event(
            logger,
            "catalogue-changes-left",
            reason=reason,
            age_s=self.age.age_s(),
        )
        if not self._has_told:
            self._retry_at_s = monotonic_s() + RETRY_S
        self._followed = trio.Event()
        self.follower.pause()
        self.operator_rows.resume()

    def _check(self) -> None:
        """Read the configuration again if the changes do not tell enough."""
        if not self._followed.is_set():
            return
        if self.is_holder():
            self._follow_operator("holder")
        elif monotonic_s() < self._followed_since_s + GRACE_S:
            return
        elif self._known is None:
            self._follow_operator("none")
        elif self.age.age_s() > self.age.limit_s * MAX_AGE_FRACTION:
            self._follow_operator("old")

    def _apply(self, page: Page, is_whole: bool) -> None:
        if not self._followed.is_set():
            return
        for row in page.rows:
            try:
                self._apply_row(row)
            except UnreadableRecord as error:
                self.unreadable_rows.report(row, error)
        self._compare()

    def _apply_row(self, row: Row) -> None:
        catalogue = self.find_catalogue()
        if row.name == known_catalogue_row(self.shard):
            self._known = decode_known(row.value)
        elif row.name == catalogue_changes_row(self.shard) and catalogue is not None:
            later = advance(catalogue, decode_changes(row.value))
            self.set_catalogue(later)

    def _compare(self) -> None:
        """Note up to when the configuration in force is known to be the newest."""
        catalogue, known = self.find_catalogue(), self._known
        if known is None or catalogue is None:
            return
        if known.row_version == catalogue.row_version:
            self._has_told = True
            self.age.note_known(known.known_until_s)
        elif known.row_version > catalogue.row_version:
            self._follow_operator("missed")
