"""Record of the lifetimes on which a holder started tasks, for the next one."""

import math
from collections.abc import Container
from typing import Any

import attrs

from rhubarbmount.batch.lifetimes import born_ms_of, lifetime_id, name_of
from rhubarbmount.batch.record_fields import (
    check_types,
    encode_rows,
    load_object,
    raises_unreadable_record,
    row_key_of,
)
from rhubarbmount.batch.unsettled_starts import MAX_AGE_S

__all__ = ["UsedLifetimes"]


@attrs.frozen
class _Use:
    """The lifetime that a server had when tasks were last started there.

    Unless ``is_certain``, it was not known whether it lists the ends of runs.
    """

    server_id: str
    is_certain: bool


@attrs.define(eq=False)
class UsedLifetimes:
    """The lifetime of each server on which tasks were started last, by its name.

    What the last holder acknowledged to it may still be carried out by a later one. The
    record has rows of its own, as older builds can't read those of servers with more.
    """

    # Whether all that the last holder recorded has been read.
    is_complete: bool = True
    # When that was, or else the time of the takeover.
    read_at_s: float = -math.inf
    # What the last holder recorded, and the same with the changes of this one.
    _earlier_by_name: dict[str, _Use] = attrs.field(factory=dict)
    _use_by_name: dict[str, _Use] = attrs.field(factory=dict)
    _unused_since_s_by_name: dict[str, float] = attrs.field(factory=dict)
    _changed_keys: set[str] = attrs.field(factory=set)

    @raises_unreadable_record
    def load(self, value: bytes) -> None:
        """Load a row that an earlier holder stored. Raises UnreadableRecord."""
        loaded = {
            name: _decode_use(name, fields)
            for name, fields in load_object(value).items()
        }
        self._earlier_by_name.update(loaded)
        self._use_by_name = loaded | self._use_by_name

    def note_loaded(self, now_s: float) -> None:
        """Record that all rows could be read."""
        self.is_complete = True
        self.read_at_s = now_s

    def may_lack_ends(self, server_id: str, now_s: float, has_tasks: bool) -> bool:
        """Return whether calls of the last holder may have had ends forgotten.

        Those to another lifetime of the server are carried out in MAX_AGE_S or never.
        Tasks on a lifetime that is not recorded were started by a holder that made no
        record, as those of older builds, and go on. Of a server without a record in
        all rows no lifetime had tasks.
        """
        use = self._earlier_by_name.get(name_of(server_id))
        if use is not None and use.server_id == server_id:
            return not use.is_certain
        if has_tasks or now_s > self.read_at_s + MAX_AGE_S:
            return False
        return use is not None or not self.is_complete

    def note(self, server_id: str, is_certain: bool) -> None:
        """Record a lifetime before the first task there is stored."""
        if not born_ms_of(server_id):
            return
        name, use = name_of(server_id), _Use(server_id, is_certain)
        if self._use_by_name.get(name) != use:
            self._use_by_name[name] = use
            self._changed_keys.add(row_key_of(name))

    def encode_changed(
        self, names_in_use: Container[str], now_s: float
    ) -> dict[str, bytes]:
        """Return the values of the rows that have changed, by key.

        Servers are left out that have not been in use for MAX_AGE_S: until then what
        was acknowledged to them may reach their next lifetime.
        """
        keys, self._changed_keys = self._changed_keys, set()
        if not keys:
            return {}
        self._forget_unused(names_in_use, now_s)
        fields_by_name = {
            name: [born_ms_of(use.server_id), use.is_certain]
            for name, use in self._use_by_name.items()
        }
        return encode_rows(fields_by_name, keys)

    def _forget_unused(self, names_in_use: Container[str], now_s: float) -> None:
        self._unused_since_s_by_name = {
            name: self._unused_since_s_by_name.get(name, now_s)
            for name in self._use_by_name
            if name not in names_in_use
        }
        for name, since_s in self._unused_since_s_by_name.items():
            if now_s > since_s + MAX_AGE_S:
                del self._use_by_name[name]


def _decode_use(name: str, fields: list[Any]) -> _Use:
    """Decode an entry; fields of a newer build are ignored."""
    born_ms, is_certain = fields[:2]
    check_types((born_ms, is_certain), (int, bool))
    return _Use(lifetime_id(name, born_ms), is_certain)
