"""Client for the platform's store: rows in tables and parts, transactions, feeds."""

import base64
import binascii
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

import attrs
import trio

from rhubarbmount.batch.clocks import monotonic_s
from rhubarbmount.errors import (
    ConflictError,
    OutcomeUnknown,
    PlatformUnavailable,
    RhubarbmountError,
)
from rhubarbmount.platform.json_client import (
    JsonClient,
    JsonResponse,
    decoding_response,
)

__all__ = [
    "MAX_READ_TIMEOUT_S",
    "PAGE_ROWS",
    "READ_TIMEOUT_S",
    "HistoryGone",
    "Page",
    "DEFAULT_ROW_BYTES",
    "AdaptiveTimeout",
    "Row",
    "RowConflict",
    "RowName",
    "RowStore",
    "RowsRefused",
    "StoreHealth",
]

MIN_WRITE_TIMEOUT_S = 0.25
MAX_WRITE_TIMEOUT_S = 1.5
CLOCK_RESOLUTION_S = 0.001
WRITE_TIMEOUT_FACTOR = 6.0
READ_TIMEOUT_S = 1.5
# How long no byte of a response may arrive that has begun to; it may be of any size.
RESPONSE_PAUSE_S = 1.5
# For reads of many rows, which a slow link may take long to carry.
MAX_READ_TIMEOUT_S = 8.0
PAGE_ROWS = 500
# What a row may hold where the settings say nothing else.
DEFAULT_ROW_BYTES = 65_536
# Statuses, by method, that say something about the rows and not about the store.
WITH_MEANING = {"GET": (410,), "POST": (400, 412)}
UNREACHABLE_FAILURES = 2
UNREACHABLE_SILENCE_S = 0.7


class RowName(NamedTuple):
    """Name of a row in the store: its table, the part of the table, and its key."""

    table: str
    part: str
    key: str


@attrs.frozen
class Row:
    """A row; a ``version`` of 0 means that it does not exist."""

    name: RowName
    value: bytes
    version: int


@attrs.frozen
class Page:
    """Rows as of one version; ``clock_ms`` is the store's monotonic clock."""

    rows: tuple[Row, ...]
    version: int
    clock_ms: int
    has_more: bool


class RowConflict(ConflictError):
    """A row was not at the expected version; ``rows`` holds the current rows."""

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__("a row is not at the expected version")
        self.rows = rows


class RowsRefused(PlatformUnavailable):
    """The store will never take the rows as they are; nothing was written."""

    code = "rows-refused"
    status = 400


class HistoryGone(RhubarbmountError):
    """The requested changes are no longer kept; the rows must be read again."""

    code = "history-gone"


@attrs.define
class StoreHealth:
    """Whether the store responds to this process; times are on trio's clock."""

    last_response_s: float = -math.inf
    consecutive_failures: int = 0

    def note_response(self) -> None:
        """Record a response, either a success or a refusal with its reason."""
        self.last_response_s = trio.current_time()
        self.consecutive_failures = 0

    def note_failure(self) -> None:
        """Record a failed call."""
        self.consecutive_failures += 1

    def silence_s(self) -> float:
        """Return the time since the last response in seconds."""
        return trio.current_time() - self.last_response_s

    def is_out_of_reach(self) -> bool:
        """Return whether another call is certain to fail, as the last ones did."""
        has_failed = self.consecutive_failures >= UNREACHABLE_FAILURES
        return has_failed and self.silence_s() > UNREACHABLE_SILENCE_S


@attrs.define
class AdaptiveTimeout:
    """Timeout of a write, after which another write resolves its outcome.

    It follows the response times, so that a lost response costs little while the store
    is fast, and a slow store gets enough time.
    """

    timeout_s: float = MIN_WRITE_TIMEOUT_S

    def note_response(self, took_s: float) -> None:
        """Adapt the timeout to the time that a response took."""
        target_s = took_s * WRITE_TIMEOUT_FACTOR
        self.timeout_s = min(MAX_WRITE_TIMEOUT_S, max(MIN_WRITE_TIMEOUT_S, target_s))

    def note_timeout(self) -> None:
        """Double the timeout, up to its maximum, after no response arrived in time."""
        self.timeout_s = min(MAX_WRITE_TIMEOUT_S, self.timeout_s * 2)


@attrs.define
class ClockOffset:
    """Bounds on the store's clock less the local one, from all of its responses."""

    least_s: float = 0.0
    most_s: float = 0.0
    _is_known: bool = False

    def note(self, clock_ms: int, sent_s: float, read_s: float) -> None:
        """Record a reading that was made between a request and its response."""
        least_s = clock_ms / 1000 - read_s
        most_s = clock_ms / 1000 + CLOCK_RESOLUTION_S - sent_s
        has_drifted = least_s > self.most_s or most_s < self.least_s
        if has_drifted or not self._is_known:
            self.least_s, self.most_s = least_s, most_s
        else:
            self.least_s = max(self.least_s, least_s)
            self.most_s = min(self.most_s, most_s)
        self._is_known = True


@attrs.define(eq=False)
class RowStore:
    """Client for the store.

    A response of any size may take its time on a slow link, as long as it goes on.
    Calls raise PlatformUnavailable if they certainly had no effect and OutcomeUnknown
    if they may have had one.
    """

    client: JsonClient
    address: str
    # Called after each call with its name, outcome and duration in seconds.
    observe: Callable[[str, str, float], None] = lambda call, outcome, took_s: None
    health: StoreHealth = attrs.field(factory=StoreHealth)
    write_timeout: AdaptiveTimeout = attrs.field(factory=AdaptiveTimeout)
    # The largest value that a row may have.
    row_bytes: int = DEFAULT_ROW_BYTES
    _clock: ClockOffset = attrs.field(factory=ClockOffset)

    def clock_s(self, now_s: float | None = None) -> float:
        """Return what the store's monotonic clock reads at least, now or then."""
        return (monotonic_s() if now_s is None else now_s) + self._clock.least_s

    def latest_clock_s(self, now_s: float | None = None) -> float:
        """Return what the store's monotonic clock reads at most, now or then."""
        return (monotonic_s() if now_s is None else now_s) + self._clock.most_s

    def earliest_local_s(self, store_clock_s: float) -> float:
        """Return the monotonic time at or after which the store's clock read a time."""
        return store_clock_s - self._clock.most_s

    def age_s(self, page: Page) -> float:
        """Return for how long, at least, an answer was on its way and was read."""
        return self.clock_s() - page.clock_ms / 1000

    async def commit(
        self,
        expected: Mapping[RowName, int],
        puts: Mapping[RowName, bytes],
        removes: Iterable[RowName] = (),
        timeout_s: float = MAX_WRITE_TIMEOUT_S,
    ) -> int:
        """Commit all writes or none; return the new version.

        Raises RowConflict, and RowsRefused for rows that can't be written at any time.
        """
        self._check_sizes(puts)
        timeout_s = min(timeout_s, self.write_timeout.timeout_s)
        body = {
            "expected": [
                {**name._asdict(), "ver": version} for name, version in expected.items()
            ],
            "puts": [
                {**name._asdict(), "value": base64.b64encode(value).decode("ascii")}
                for name, value in puts.items()
            ],
            "remove": [name._asdict() for name in removes],
        }
        started_s = trio.current_time()
        try:
            response = await self._call("POST", "/rows-tx", body, timeout_s)
        except OutcomeUnknown:
            self.write_timeout.note_timeout()
            raise
        self.write_timeout.note_response(trio.current_time() - started_s)
        if response.status == 400:
            raise RowsRefused(f"the store refuses {len(body['puts'])} rows")
        with decoding_response():
            if response.status == 412:
                raise RowConflict(_decode_rows(response))
            return int(response.body["ver"])

    def _check_sizes(self, puts: Mapping[RowName, bytes]) -> None:
        """Raise RowsRefused for a value that is larger than a row may be."""
        for name, value in puts.items():
            if len(value) > self.row_bytes:
                raise RowsRefused(
                    f"{name.table} {name.key} has {len(value)} bytes,"
                    f" over the limit of {self.row_bytes}"
                )

    async def read(
        self,
        table: str,
        part: str = "",
        first_key: str = "",
        end_key: str = "",
        timeout_s: float = READ_TIMEOUT_S,
        limit: int = PAGE_ROWS,
    ) -> Page:
        """Return one page of rows in key order; ``end_key`` is exclusive.

        The response has to begin within ``timeout_s``.
        """
        query = {"table": table, "part": part, "limit": str(limit)}
        if first_key:
            query["start_key"] = first_key
        if end_key:
            query["target_version"] = end_key
        response = await self._get("/rows-get", query, timeout_s)
        with decoding_response():
            return _decode_page(response)

    async def read_all(
        self, table: str, part: str = "", timeout_s: float = READ_TIMEOUT_S
    ) -> Page:
        """Return all rows, with a timeout for each page.

        The version and the clock are those of the first page.
        """
        rows: list[Row] = []
        first = page = await self.read(table, part, timeout_s=timeout_s)
        while True:
            rows.extend(page.rows)
            if not page.has_more or not page.rows:
                return Page(tuple(rows), first.version, first.clock_ms, False)
            next_key = page.rows[-1].name.key + "\x00"
            page = await self.read(table, part, next_key, timeout_s=timeout_s)

    async def feed(
        self, table: str, after: int, wait_s: float, timeout_s: float
    ) -> Page:
        """Return the rows changed after a version, waiting up to ``wait_s`` for any.

        The response has to begin within ``timeout_s``. A deleted row has version 0.
        Raises HistoryGone.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        response = await self._get("/rows-feed", query, timeout_s)
        if response.status == 410:
            raise HistoryGone(f"changes of {table} after {after} are no longer kept")
        with decoding_response():
            return _decode_page(response)

    async def _get(
        self, path: str, query: dict[str, str], timeout_s: float
    ) -> JsonResponse:
        target = f"{path}?{urlencode(query)}"
        return await self._call("GET", target, None, timeout_s, RESPONSE_PAUSE_S)

    async def _call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
        pause_s: float = 0.0,
    ) -> JsonResponse:
        started_s, sent_s = trio.current_time(), monotonic_s()
        name = target.partition("?")[0].removeprefix("/")
        try:
            response = await self.client.call(
                self.address, method, target, body, timeout_s, pause_s=pause_s
            )
            if response.status not in WITH_MEANING[method]:
                _check_status(response)
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self.health.note_failure()
            self.observe(name, error.code, trio.current_time() - started_s)
            raise
        self.observe(name, str(response.status), trio.current_time() - started_s)
        self.health.note_response()
        if "now_ms" in response.body:
            with decoding_response():
                now_ms = int(response.body["now_ms"])
                self._clock.note(now_ms, sent_s, monotonic_s())
        return response


def _check_status(response: JsonResponse) -> None:
    if response.status == 200 and "ver" in response.body:
        return
    if response.status in (200, 500, 502, 504):
        raise OutcomeUnknown(
            f"the store sent status {response.status} without a version"
        )
    raise PlatformUnavailable(
        f"the store sent status {response.status}", code=f"store-{response.status}"
    )


def _decode_page(response: JsonResponse) -> Page:
    body = response.body
    return Page(
        _decode_rows(response),
        int(body["ver"]),
        int(body.get("now_ms", 0)),
        bool(body.get("more_pages")),
    )


def _decode_rows(response: JsonResponse) -> tuple[Row, ...]:
    listed = response.body.get("rows")
    items: Sequence[Any] = listed if isinstance(listed, list) else ()
    return tuple(_decode_row(item) for item in items if isinstance(item, dict))


def _decode_row(item: Mapping[str, Any]) -> Row:
    name = RowName(
        str(item.get("table", "")),
        str(item.get("part", "")),
        str(item.get("key", "")),
    )
    if item.get("deleted"):
        return Row(name, b"", 0)
    try:
        value = base64.b64decode(item.get("value") or "")
    except (binascii.Error, TypeError, ValueError):
        value = b""
    return Row(name, value, int(item.get("ver", 0)))
