"""Request handler of the job API; any entry host answers from the store."""

import logging
import math
from collections.abc import Callable
from typing import TypeVar

import attrs
import trio

from rhubarbmount import log
from rhubarbmount.batch.catalogue import Catalogue
from rhubarbmount.batch.catalogue_age import CatalogueAge
from rhubarbmount.batch.clocks import monotonic_s, wall_clock_s
from rhubarbmount.batch.metrics import BatchMetrics
from rhubarbmount.batch.model import JobState, Queue
from rhubarbmount.batch.progress_records import decode_state
from rhubarbmount.batch.record_fields import UnreadableRecord
from rhubarbmount.batch.records import (
    PendingCounts,
    decode_pending,
    decode_spec,
    encode_spec,
)
from rhubarbmount.batch.tables import (
    cancel_row,
    pending_row,
    progress_row,
    request_row,
    shard_of,
)
from rhubarbmount.batch.unreadable_rows import UnreadableRows
from rhubarbmount.errors import OutcomeUnknown, PlatformUnavailable, UsageError
from rhubarbmount.http import HttpRequest, HttpResponse, header_value
from rhubarbmount.platform.job_messages import (
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
    decode_job,
    is_job_id,
    pending_body,
    state_body,
)
from rhubarbmount.platform.rows import (
    Page,
    Row,
    RowConflict,
    RowName,
    RowsRefused,
    RowStore,
)
from rhubarbmount.problem import Outcome, json_response, problem

__all__ = ["JobApi"]

logger = logging.getLogger(__name__)

Value = TypeVar("Value")

METHODS = ("POST", "GET", "DELETE")
# Outcomes of a write after which the row is there.
STORED = ("stored", "stored-before")
# Outcome of a write that another row forbids.
BARRED = "barred"
ALLOWED_METHODS = ", ".join(METHODS)
DEFAULT_DEADLINE_S = 3.0
# Part of the deadline reserved for sending the response to the caller.
RESPONSE_MARGIN_S = 0.2
MIN_CALL_TIMEOUT_S = 0.1
RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 5.0
# How long the counts of pending jobs are served from memory.
PENDING_MEMORY_S = 0.3
# How long after a job has to be visible it has to be counted, and the part of that
# time which is left to the way of the answer.
PENDING_DELAY_S = 2.0
PENDING_ANSWER_S = 0.5
DEFAULT_VISIBLE_S = 3.0
STORE_RETRY_S = 0.05
ROW_READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 1.2


@attrs.define(eq=False)
class JobApi:
    """Accepts, shows and cancels jobs; keeps no state that must outlive the process."""

    store: RowStore
    metrics: BatchMetrics = attrs.field(factory=BatchMetrics)
    catalogue: Catalogue | None = None
    # Called with the store version of each request row that was written.
    on_stored: Callable[[int], None] = lambda version: None
    unreadable_rows: UnreadableRows = attrs.field(
        factory=lambda: UnreadableRows(BatchMetrics())
    )
    # Time after which accepted jobs have to be visible.
    visible_s: float = DEFAULT_VISIBLE_S
    catalogue_age: CatalogueAge = attrs.field(
        default=attrs.Factory(lambda self: CatalogueAge(self.store), takes_self=True)
    )
    _pending: PendingCounts | None = None
    _pending_read_at_s: float = -math.inf

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request and count it in the metrics."""
        request_id = header_value(request.headers, REQUEST_ID_HEADER) or "-"
        token = log.request_id.set(request_id)
        started_s = trio.current_time()
        try:
            response = await self._dispatch(request)
        finally:
            log.request_id.reset(token)
        act = request.method if request.method in METHODS else "other"
        self.metrics.requests.labels(act, str(response.status)).inc()
        self.metrics.request_s.labels(act).observe(trio.current_time() - started_s)
        return response

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if self.catalogue is None:
            return _refusal(
                503, "no-configuration", "no configuration has been read yet"
            )
        self.metrics.catalogue_age_s.observe(self.catalogue_age.age_s())
        if not await self.catalogue_age.knows_all():
            return self._refuse_old_configuration(request.target)
        path = request.target.partition("?")[0]
        queue = _find_queue(self.catalogue, request, path)
        if queue is None:
            return self._decline(
                404, "no-queue", "no queue is configured for this host and path", path
            )
        rest = path.removeprefix(queue.name.prefix)
        if self.store.health.is_out_of_reach():
            return self._refuse_out_of_reach(path)
        if request.method == "GET" and not rest:
            return await self._show_pending(queue)
        if not is_job_id(rest):
            return self._decline(
                404, "no-job-id", "the path holds no valid job ID", path
            )
        expires_s = trio.current_time() + _time_left_s(request)
        match request.method:
            case "POST":
                return await self._submit(queue, rest, request.body, expires_s)
            case "GET":
                return await self._show(queue, rest, expires_s)
            case "DELETE":
                return await self._cancel(queue, rest, expires_s)
        message = f"method not allowed: use {ALLOWED_METHODS}"
        response = self._decline(405, "method", message, path)
        allow = (b"allow", ALLOWED_METHODS.encode("ascii"))
        return attrs.evolve(response, headers=[*response.headers, allow])

    def _refuse_old_configuration(self, about: str) -> HttpResponse:
        """Refuse a request, as the configuration may say something else about it."""
        if self.store.health.is_out_of_reach():
            return self._refuse_out_of_reach(about)
        log.frequent_event(
            logger,
            "catalogue-old",
            about=about,
            catalogue=self.catalogue.version if self.catalogue else 0,
            age_s=self.catalogue_age.age_s(),
            limit_s=self.catalogue_age.limit_s,
        )
        message = "changes of the configuration have not been heard of lately"
        return _refusal(503, "catalogue-old", message)

    def _refuse_out_of_reach(self, about: str) -> HttpResponse:
        """Refuse a request at once because the store is out of reach.

        The retry delay grows with the length of the outage, since an outage that has
        lasted long is likely to go on.
        """
        silence_s = self.store.health.silence_s()
        retry_after_s = min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, silence_s))
        log.frequent_event(
            logger,
            "refused",
            status=503,
            code="store-out-of-reach",
            about=about,
            silence_s=silence_s,
            retry_after_s=retry_after_s,
        )
        message = "the store can't be reached"
        return problem(
            503, "store-out-of-reach", message, Outcome.NOT_RUN, retry_after_s
        )

    # Submission.

    async def _submit(
        self, queue: Queue, job_id: str, body: bytes, expires_s: float
    ) -> HttpResponse:
        try:
            spec = decode_job(job_id, queue, body, wall_clock_s())
        except UsageError as error:
            return self._decline(400, error.code, error.message, job_id)
        shard = _shard(queue, job_id)
        name, bar = request_row(shard, job_id), cancel_row(shard, job_id)
        try:
            outcome, version = await self._write_once(
                name, encode_spec(spec), expires_s, unless=bar
            )
        except RowsRefused as error:
            return self._decline(400, error.code, "the job can't be stored", job_id)
        self._log_decision("submit", queue, job_id, outcome, version)
        if outcome == BARRED:
            message = "the job was cancelled before it was stored"
            return problem(410, "cancelled", message, Outcome.NOT_RUN)
        return _write_response(outcome, "retry with the same job ID")

    async def _write_once(
        self,
        name: RowName,
        value: bytes,
        expires_s: float,
        unless: RowName | None = None,
    ) -> tuple[str, int]:
        """Create a row; return an outcome code and the row's version.

        Nothing is written, now or late, while there is a row ``unless``.

        Repeats the write until it succeeds, the time is up or the store is out of
        reach. The outcome is "unknown" if any attempt may still have taken effect.
        Raises RowsRefused for a value that can't be stored.
        """
        is_unknown = False
        expected = {name: 0} if unless is None else {name: 0, unless: 0}
        while True:
            timeout_s = max(MIN_CALL_TIMEOUT_S, expires_s - trio.current_time())
            timeout_s = min(timeout_s, WRITE_TIMEOUT_S)
            try:
                version = await self.store.commit(
                    expected, {name: value}, timeout_s=timeout_s
                )
                self.on_stored(version)
                return "stored", version
            except RowConflict as error:
                version_by_name = {row.name: row.version for row in error.rows}
                if unless is None or version_by_name.get(name):
                    return "stored-before", version_by_name.get(name, 0)
                if version_by_name.get(unless):
                    return BARRED, version_by_name[unless]
            except RowsRefused:
                raise
            except (OutcomeUnknown, PlatformUnavailable) as error:
                is_unknown = is_unknown or isinstance(error, OutcomeUnknown)
            await trio.sleep(STORE_RETRY_S)
            is_store_down = self.store.health.is_out_of_reach()
            if is_store_down or trio.current_time() + MIN_CALL_TIMEOUT_S >= expires_s:
                return ("unknown" if is_unknown else "not-stored"), 0

    # Job state.

    async def _show(self, queue: Queue, job_id: str, expires_s: float) -> HttpResponse:
        shard = _shard(queue, job_id)
        try:
            row = await self._read_row(progress_row(shard, job_id), expires_s)
            state = JobState.QUEUED if row is None else self._decode(decode_state, row)
            if row is None:
                row = await self._read_row(request_row(shard, job_id), expires_s)
                if row and self._decode(decode_spec, row).queue != queue.name:
                    row = None
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._log_decision("show", queue, job_id, error.code, 0)
            return _store_unavailable()
        except UnreadableRecord as error:
            self._log_decision("show", queue, job_id, error.code, 0)
            return _refusal(503, error.code, "the state of the job can't be read")
        if row is None:
            self._log_decision("show", queue, job_id, "unknown-job", 0)
            return problem(410, "no-job", "no such job")
        self._log_decision("show", queue, job_id, state.value, row.version)
        return json_response(state_body(state))

    def _decode(self, decode: Callable[[bytes], Value], row: Row) -> Value:
        """Decode a row; report it and raise UnreadableRecord if that fails."""
        try:
            return decode(row.value)
        except UnreadableRecord as error:
            self.unreadable_rows.report(row, error)
            raise

    async def _show_pending(self, queue: Queue) -> HttpResponse:
        if monotonic_s() - self._pending_read_at_s > PENDING_MEMORY_S:
            try:
                self._pending = await self._read_pending(_shard(queue, ""))
            except (PlatformUnavailable, OutcomeUnknown) as error:
                self._log_decision("pending", queue, "-", error.code, 0)
                return _store_unavailable()
            except UnreadableRecord as error:
                self._log_decision("pending", queue, "-", error.code, 0)
                return _refusal(503, error.code, "the counts can't be read")
            self._pending_read_at_s = monotonic_s()
        # Their age is that at the answer, which a slow read or a suspended host delays.
        if self._pending is None:
            return self._refuse_old_counts(queue, math.inf)
        age_s = self.store.latest_clock_s() - self._pending.counted_at_s
        self.metrics.pending_age_s.observe(max(0.0, age_s))
        if age_s > self._max_pending_age_s():
            return self._refuse_old_counts(queue, age_s)
        count = self._pending.count_by_queue.get(queue.name, 0)
        return json_response(pending_body(count))

    def _max_pending_age_s(self) -> float:
        """Return how old counts of pending jobs may be when they are given."""
        return self.visible_s + PENDING_DELAY_S - PENDING_ANSWER_S

    async def _read_pending(self, shard: str) -> PendingCounts | None:
        """Return the stored counts, or None if there are none."""
        expires_s = trio.current_time() + DEFAULT_DEADLINE_S
        row = await self._read_row(pending_row(shard), expires_s)
        return None if row is None else self._decode(decode_pending, row)

    def _refuse_old_counts(self, queue: Queue, age_s: float) -> HttpResponse:
        """Refuse to give counts that no holder has made lately."""
        log.frequent_event(
            logger,
            "counts-old",
            queue=queue.name.prefix,
            age_s=age_s,
            limit_s=self._max_pending_age_s(),
        )
        return _refusal(503, "counts-old", "the jobs have not been counted lately")

    async def _read_row(self, name: RowName, expires_s: float) -> Row | None:
        """Return a row or None; raise as ``_read_page`` does."""
        page = await self._read_page(name, expires_s)
        return next((row for row in page.rows if row.name == name), None)

    async def _read_page(self, name: RowName, expires_s: float) -> Page:
        """Return a page with a row, if there is one, while the deadline allows.

        Raises PlatformUnavailable or OutcomeUnknown at the deadline, and at once when
        the store is out of reach.
        """
        while True:
            left_s = max(MIN_CALL_TIMEOUT_S, expires_s - trio.current_time())
            try:
                with trio.move_on_after(left_s):
                    return await self.store.read(
                        name.table,
                        name.part,
                        name.key,
                        name.key + "\x00",
                        timeout_s=min(ROW_READ_TIMEOUT_S, left_s),
                    )
                raise OutcomeUnknown("no answer by the deadline", code="timeout")
            except (PlatformUnavailable, OutcomeUnknown):
                is_store_down = self.store.health.is_out_of_reach()
                if (
                    is_store_down
                    or trio.current_time() + MIN_CALL_TIMEOUT_S >= expires_s
                ):
                    raise
                await trio.sleep(STORE_RETRY_S)

    # Cancellation.

    async def _cancel(
        self, queue: Queue, job_id: str, expires_s: float
    ) -> HttpResponse:
        """Cancel a job; bar its request, which may still be written, if there is none.

        Only then no entry host stores the job after the answer that there is none.
        """
        shard = _shard(queue, job_id)
        name, request = cancel_row(shard, job_id), request_row(shard, job_id)
        try:
            is_requested = await self._read_row(request, expires_s) is not None
        except (PlatformUnavailable, OutcomeUnknown) as error:
            self._log_decision("cancel", queue, job_id, error.code, 0)
            return _store_unavailable()
        if not is_requested:
            outcome, version = await self._write_once(name, b"{}", expires_s, request)
            is_requested = outcome == BARRED
        if is_requested:
            outcome, version = await self._write_once(name, b"{}", expires_s)
        elif outcome in STORED:
            self._log_decision("cancel", queue, job_id, "unknown-job", version)
            return problem(410, "no-job", "no such job")
        self._log_decision("cancel", queue, job_id, outcome, version)
        return _write_response(outcome, "retry the cancellation")

    # Logging.

    def _decline(
        self, status: int, code: str, message: str, about: str
    ) -> HttpResponse:
        log.frequent_event(
            logger,
            "declined",
            code=code,
            about=about,
            catalogue=self.catalogue.version if self.catalogue else 0,
            catalogue_age_s=self.catalogue_age.age_s(),
        )
        return problem(status, code, message, Outcome.NOT_RUN)

    def _log_decision(
        self, act: str, queue: Queue, job_id: str, outcome: str, version: int
    ) -> None:
        log.frequent_event(
            logger,
            act,
            job=job_id,
            queue=queue.name.prefix,
            outcome=outcome,
            row_version=version,
            catalogue=self.catalogue.version if self.catalogue else 0,
        )


def _find_queue(catalogue: Catalogue, request: HttpRequest, path: str) -> Queue | None:
    host = header_value(request.headers, b"host") or ""
    return catalogue.find(host.partition(":")[0], path) or catalogue.find(host, path)


def _shard(queue: Queue, job_id: str) -> str:
    return shard_of(queue.name.host, queue.name.prefix, job_id)


def _write_response(outcome: str, advice: str) -> HttpResponse:
    """Return the response for the outcome of creating a row."""
    if outcome in STORED:
        return json_response({})
    if outcome == "unknown":
        message = f"the store did not answer in time; {advice}"
        return problem(504, "outcome-unknown", message, Outcome.UNKNOWN)
    return _store_unavailable()


def _store_unavailable() -> HttpResponse:
    return _refusal(503, "store-unavailable", "the store can't be reached")


def _refusal(status: int, code: str, message: str) -> HttpResponse:
    log.frequent_event(
        logger, "refused", status=status, code=code, retry_after_s=RETRY_AFTER_S
    )
    return problem(status, code, message, Outcome.NOT_RUN, RETRY_AFTER_S)


def _time_left_s(request: HttpRequest) -> float:
    text = header_value(request.headers, DEADLINE_HEADER)
    try:
        left_s = float(text) / 1000 if text else DEFAULT_DEADLINE_S
    except ValueError:
        left_s = DEFAULT_DEADLINE_S
    return max(
        MIN_CALL_TIMEOUT_S, min(left_s, DEFAULT_DEADLINE_S * 2) - RESPONSE_MARGIN_S
    )
