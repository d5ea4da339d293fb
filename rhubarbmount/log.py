"""Logging of events as single lines of key=value pairs."""

import json
import logging
import time
from contextvars import ContextVar

from rhubarbmount.errors import UsageError

__all__ = ["configure", "event", "format_event", "request_id"]

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,"
)
STDERR = "stderr"
request_id: ContextVar[str] = ContextVar("request_id", default="")
_SECRET_KEYS = frozenset({"token", "secret", "password", "secret_key"})


def _format_value(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, float):
        return f"{value:.6g}"
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def format_event(name: str, fields: dict[str, object]) -> str:
    """Format an event as one line, whatever its values hold.

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
    """Log one event when its level is enabled, with the request that it is about."""
    if logger.isEnabledFor(level):
        request = request_id.get()
        shown = {"request": request, **fields} if request else fields
        line = format_event(name, shown)
        logger.handle(logger.makeRecord(logger.name, level, "", 0, line, (), None))


class _LineFormatter(logging.Formatter):
    """Format records as time, level and message, with each second formatted once."""

    def __init__(self) -> None:
        super().__init__("time=%(asctime)s level=%(levelname)s %(message)s")
        self._second = 0
        self._prefix = ""

    def formatTime(  # noqa: N802
        self, record: logging.LogRecord, datefmt: str | None = None
    ) -> str:
        """Return the record's local time with milliseconds."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._prefix = time.strftime("%Y-%m-%dT%H:%M:%S", time.localtime(second))
        return f"{self._prefix}.{int(record.msecs):03}"


def configure(level: str, destination: str = STDERR) -> None:
    """Send log lines of at least the level to a file or standard error.

    Raises UsageError when the file can't be opened.
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
        return logging.StreamHandler()
    try:
        return logging.FileHandler(destination, encoding="utf-8")
    except OSError as error:
        message = f"can't log to {destination}: {error.strerror}"
        raise UsageError(message, code="log-unwritable") from None
