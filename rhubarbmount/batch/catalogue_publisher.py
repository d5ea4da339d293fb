"""Passes changes of a large configuration on to hosts on slow links."""

import math

import attrs

from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.catalogue_age import CatalogueAge
from rhubarbmount.batch.catalogue_changes import (
    CatalogueChange,
    KnownCatalogue,
    encode_known,
    encode_newest,
    find_change,
)
from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.batch.tables import catalogue_changes_row, known_catalogue_row
from rhubarbmount.batch.write_batch import WriteBatch

__all__ = ["CataloguePublisher"]

# How often it is written which version is the newest, as a part of the time that a
# change may take.
KNOWN_PERIOD_FRACTION = 0.25


@attrs.define(eq=False)
class CataloguePublisher:
    """Puts changes of the configuration, and what is known of it, into commits.

    The commits are those of the holder of a shard, so that one host at a time writes.
    """

    shard: str
    write_batch: WriteBatch
    age: CatalogueAge
    _catalogue: Catalogue | None = None
    _changes: list[CatalogueChange] = attrs.field(factory=list)
    _stored_at_s: float = -math.inf

    def put_changed(self, catalogue: Catalogue) -> None:
        """Write the change to a configuration and, from time to time, that it holds."""
        last, self._catalogue = self._catalogue, catalogue
        if not catalogue.is_large:
            return
        is_new = last is not None and last.row_version < catalogue.row_version
        if last is not None and is_new:
            self._changes.append(find_change(last, catalogue))
            self._put_changes()
        now_s = monotonic_s()
        period_s = self.age.limit_s * KNOWN_PERIOD_FRACTION
        if is_new or now_s >= self._stored_at_s + period_s:
            self._stored_at_s = now_s
            until_s = self.age.known_until_s or 0.0
            known = KnownCatalogue(catalogue.row_version, until_s)
            self.write_batch.put(known_catalogue_row(self.shard), encode_known(known))

    def _put_changes(self) -> None:
        value, kept = encode_newest(self._changes)
        self._changes = list(kept)
        self.write_batch.put(catalogue_changes_row(self.shard), value)
