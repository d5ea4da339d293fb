"""Structured logging: one line of key=value pairs per event."""

import functools
import json
import logging
import sys
import time
from collections.abc import Iterator
from contextlib import nullcontext, suppress
from contextvars import ContextVar
from typing import TextIO

from rhubarbmount.errors import UsageError
from rhubarbmount.log_pipe import LineRateLimiter, PipeStream

__all__ = [
    "configure",
    "event",
    "flush",
    "format_event",
    "frequent_event",
    "request_id",
]

_UNQUOTED_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,"
)
STDERR = "stderr"
STDOUT = "stdout"
QUOTE_CACHE_SIZE = 1024
QUOTE_CACHE_MAX_CHARS = 32
MAX_BUFFERED_S = 1.0
MAX_BUFFERED_LINES = 256
# Writes of up to 4 KiB (PIPE_BUF) to a pipe are atomic.
PIPE_CHUNK_CHARS = 3500
request_id: ContextVar[str] = ContextVar("request_id", default="")
_line_limiter = LineRateLimiter()
_SECRET_KEYS = frozenset({"token", "secret", "password", "secret_key"})


def _format_value(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    return _quote_cached(text) if len(text) <= QUOTE_CACHE_MAX_CHARS else _quote(text)


def _quote(text: str) -> str:
    if text and _UNQUOTED_CHARS.issuperset(text):
        return text
    return json.dumps(text)


_quote_cached = functools.lru_cache(maxsize=QUOTE_CACHE_SIZE)(_quote)


def format_event(name: str, fields: dict[str, object]) -> str:
    """Format an event as one line; values are escaped and secrets hidden.

    >>> format_event("route", {"service": "quotes", "reason": "two words"})
    'event=route service=quotes reason="two words"'
    >>> format_event("login", {"token": "abc"})
    'event=login token=[hidden]'
    """
    parts = [f"event={name}"]
    for key, value in fields.items():
        shown = "[hidden]" if key in _SECRET_KEYS else _format_value(value)
        parts.append(f"{key}={shown}")
    return " ".join(parts)


def event(
    logger: logging.Logger, name: str, level: int = logging.INFO, **fields: object
) -> None:
    """Log an event, with the id of the current request, if its level is enabled."""
    if logger.isEnabledFor(level):
        logger.handle(_make_record(logger, name, level, fields))


def frequent_event(logger: logging.Logger, name: str, **fields: object) -> None:
    """Log a high-volume event, whose line may be buffered until ``flush``.

    The line is written before any later unbuffered line, and within a second while
    frequent events continue. Lines beyond the limit per second and kind are not
    written but counted in a lines-left-out event. A process that is killed loses the
    buffered lines.
    """
    if logger.isEnabledFor(logging.INFO):
        now_s = time.time()
        for kind, count in _line_limiter.take_suppressed(now_s).items():
            event(logger, "lines-left-out", kind=kind, count=count)
        if not _line_limiter.allows(name):
            return
        record = _make_record(logger, name, logging.INFO, fields)
        record.may_wait = True
        logger.handle(record)


def flush() -> None:
    """Write the buffered lines, ignoring errors such as a full disk."""
    for handler in logging.getLogger("rhubarbmount").handlers:
        with suppress(OSError):
            handler.flush()


def _make_record(
    logger: logging.Logger, name: str, level: int, fields: dict[str, object]
) -> logging.LogRecord:
    request = request_id.get()
    shown = {"request": request, **fields} if request else fields
    line = format_event(name, shown)
    return logger.makeRecord(logger.name, level, "", 0, line, (), None)


class _LineFormatter(logging.Formatter):
    """Format records as time, level and message.

    The text of the current second is cached.
    """

    def __init__(self) -> None:
        super().__init__("time=%(asctime)s level=%(levelname)s %(message)s")
        self._second = 0
        self._prefix = ""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record, followed by its traceback if any."""
        if record.exc_info or record.stack_info:
            return super().format(record)
        time_text = self.formatTime(record)
        return f"time={time_text} level={record.levelname} {record.getMessage()}"

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the local time of a record with milliseconds."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._prefix = time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime(second))
        return f"{self._prefix}.{int(record.msecs):03}"


def _chunks(lines: list[str]) -> Iterator[str]:
    """Join lines into chunks that can be written to a pipe atomically."""
    chunk = ""
    for line in lines:
        if chunk and len(chunk) + len(line) > PIPE_CHUNK_CHARS:
            yield chunk
            chunk = ""
        chunk += line
    if chunk:
        yield chunk


class _BufferedLineHandler(logging.StreamHandler):
    """Write lines to a stream, buffering those of frequent events for a short time."""

    def __init__(self, stream: TextIO | PipeStream) -> None:
        super().__init__(stream)
        self._lines: list[str] = []
        self._due_s = 0.0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer a record, and flush unless it may stay buffered."""
        try:
            self._lines.append(self.format(record) + self.terminator)
            if not self._may_wait(record):
                self.flush()
        except Exception:
            self.handleError(record)

    def flush(self) -> None:
        """Write the buffered lines."""
        with self.lock or nullcontext():
            lines, self._lines = self._lines, []
            for chunk in _chunks(lines):
                self.stream.write(chunk)
                self.stream.flush()

    def _may_wait(self, record: logging.LogRecord) -> bool:
        if not getattr(record, "may_wait", False):
            return False
        if len(self._lines) == 1:
            self._due_s = record.created + MAX_BUFFERED_S
        return len(self._lines) < MAX_BUFFERED_LINES and record.created < self._due_s


def configure(level: str, destination: str = STDERR) -> None:
    """Log lines of at least the given level to a file or a standard stream.

    Raises UsageError if the file cannot be opened.
    """
    logging.logThreads = logging.logProcesses = logging.logMultiprocessing = False
    handler = _open_handler(destination)
    handler.setFormatter(_LineFormatter())
    root = logging.getLogger("rhubarbmount")
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    root.propagate = False


def _open_handler(destination: str) -> logging.Handler:
    if destination == STDERR:
        return _BufferedLineHandler(sys.stderr)
    if destination == STDOUT:
        return _BufferedLineHandler(PipeStream(sys.stdout.fileno()))
    try:
        return _BufferedLineHandler(open(destination, "a", encoding="utf-8"))
    except OSError as error:
        message = f"can't log to {destination}: {error.strerror}"
        raise UsageError(message, code="log-unwritable") from None
