"""Stand-in of the store of the users' platform, following its published protocol."""

from collections import deque
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs
import trio

from rhubarbmount.platform.json_client import JsonResponse

__all__ = ["StandinStore"]

RowKey = tuple[str, str, str]
NO_HISTORY = JsonResponse(410, {})
FORBIDDEN_TABLES = ("op", "servers")
MAX_ENTRIES = 100
MAX_ROW_BYTES = 65536
MAX_CALL_BYTES = 1_000_000
MAX_PAGE_ROWS = 500
MAX_PAGE_BYTES = 1_000_000


@attrs.define
class _StoredRow:
    value: str
    version: int


@attrs.frozen
class _Change:
    """A row as it was written; ``value`` is None if it was removed."""

    version: int
    key: RowKey
    value: str | None

    def render(self) -> dict[str, Any]:
        """Return the row as the feed shows it."""
        if self.value is None:
            return {**_render_key(self.key), "deleted": True}
        return {**_render_key(self.key), "value": self.value, "ver": self.version}


@attrs.define(eq=False)
class StandinStore:
    """Rows with versions from one counter, and a feed of their changes.

    The feed tells of each change of a row, also of those that newer ones follow.
    """

    history_limit: int = 100_000
    version: int = 0
    call_count: int = 0
    _row_by_key: dict[RowKey, _StoredRow] = attrs.field(factory=dict)
    _changes: deque[_Change] = attrs.field(factory=deque)
    _dropped_through: int = 0
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def handle(
        self, method: str, target: str, body: Mapping[str, Any] | None
    ) -> JsonResponse:
        """Handle a call of the system under test."""
        self.call_count += 1
        url = urlsplit(target)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        if (method, url.path) == ("POST", "/rows-tx"):
            return self._transact(body or {})
        if (method, url.path) == ("GET", "/rows-get"):
            return self._read(query)
        if (method, url.path) == ("GET", "/rows-feed"):
            return await self._feed(query)
        return JsonResponse(404, {})

    def put(self, table: str, key: str, value: str, part: str = "") -> None:
        """Write a row as the operator or a backend server; the value is base64."""
        self._write((table, part, key), value)
        self._publish()

    def remove(self, table: str, key: str, part: str = "") -> None:
        """Remove a row as the operator or a backend server."""
        if (table, part, key) in self._row_by_key:
            self._write((table, part, key), None)
            self._publish()

    def get(self, table: str, part: str, key: str) -> str | None:
        """Return a row's value as base64, or None if there is no such row."""
        stored = self._row_by_key.get((table, part, key))
        return None if stored is None else stored.value

    def keys(self, table: str, part: str) -> list[str]:
        """Return the sorted keys of a part of a table."""
        return sorted(k[2] for k in self._row_by_key if k[:2] == (table, part))

    def drop_history(self) -> None:
        """Drop the changes so far, so that a feed from an older version gets 410."""
        self._dropped_through = self.version
        self._changes.clear()

    def _transact(self, body: Mapping[str, Any]) -> JsonResponse:
        expected = [(_parse_key(item), item["ver"]) for item in body["expected"]]
        puts = [(_parse_key(item), item["value"]) for item in body["puts"]]
        removes = [_parse_key(item) for item in body["remove"]]
        keys = [key for key, _ in expected] + [key for key, _ in puts] + removes
        if len(keys) > MAX_ENTRIES or len({key[1] for key in keys}) > 1:
            return JsonResponse(400, {})
        sizes = [len(value) for _, value in puts]
        if max(sizes, default=0) * 3 / 4 > MAX_ROW_BYTES or sum(sizes) > MAX_CALL_BYTES:
            return JsonResponse(400, {})
        if any(key[0] in FORBIDDEN_TABLES for key, _ in puts):
            return JsonResponse(403, {})
        if any(self._version_of(key) != version for key, version in expected):
            rows = [self._render_row(key) for key, _ in expected]
            rendered = [row for row in rows if row is not None]
            return JsonResponse(412, {**self._version_fields(), "rows": rendered})
        self.version += 1
        for key, value in puts:
            self._write(key, value, self.version)
        for key in removes:
            self._write(key, None, self.version)
        self._publish()
        return JsonResponse(200, self._version_fields())

    def _read(self, query: Mapping[str, str]) -> JsonResponse:
        table, part = query["table"], query.get("part", "")
        first, end = query.get("start_key", ""), query.get("target_version")
        keys = sorted(
            key
            for key in self._row_by_key
            if key[:2] == (table, part)
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        limit = min(int(query.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows = [self._render_row(key) for key in keys[:limit]]
        more = len(keys) > limit
        return JsonResponse(
            200, {**self._version_fields(), "rows": rows, "more_pages": more}
        )

    async def _feed(self, query: Mapping[str, str]) -> JsonResponse:
        after = int(query["after"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while after >= self._dropped_through:
                if self._find_changes(query["table"], after):
                    break
                await self._changed.wait()
        if after < self._dropped_through:
            return NO_HISTORY
        changes = self._find_changes(query["table"], after)
        page = _cut_page(changes)
        fields = self._version_fields()
        if len(page) < len(changes):
            fields["ver"] = page[-1].version
        rows = [change.render() for change in page]
        return JsonResponse(200, {**fields, "rows": rows})

    def _find_changes(self, table: str, after: int) -> list[_Change]:
        found: list[_Change] = []
        for change in reversed(self._changes):
            if change.version <= after:
                break
            if change.key[0] == table:
                found.append(change)
        return found[::-1]

    def _write(self, key: RowKey, value: str | None, version: int = 0) -> None:
        if not version:
            self.version += 1
        if value is None:
            self._row_by_key.pop(key, None)
        else:
            self._row_by_key[key] = _StoredRow(value, self.version)
        self._changes.append(_Change(self.version, key, value))
        if len(self._changes) > self.history_limit:
            self._dropped_through = self._changes.popleft().version

    def _publish(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _version_of(self, key: RowKey) -> int:
        stored = self._row_by_key.get(key)
        return 0 if stored is None else stored.version

    def _render_row(self, key: RowKey) -> dict[str, Any] | None:
        stored = self._row_by_key.get(key)
        if stored is None:
            return None
        return {**_render_key(key), "value": stored.value, "ver": stored.version}

    def _version_fields(self) -> dict[str, Any]:
        return {"ver": self.version, "now_ms": int(trio.current_time() * 1000)}


def _cut_page(changes: list[_Change]) -> list[_Change]:
    """Return the first changes, as many as an answer holds."""
    size_bytes = 0
    for count, change in enumerate(changes):
        size_bytes += len(change.value or "") * 3 // 4
        if count >= MAX_PAGE_ROWS or (count and size_bytes > MAX_PAGE_BYTES):
            return changes[:count]
    return changes


def _parse_key(item: Mapping[str, Any]) -> RowKey:
    return item["table"], item["part"], item["key"]


def _render_key(key: RowKey) -> dict[str, str]:
    return {"table": key[0], "part": key[1], "key": key[2]}
