"""Finds the log lines about a request or a job, and the cause of its outcome."""

import shlex
from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import attrs

from rhubarbmount.batch.lifetimes import name_of
from rhubarbmount.errors import Finding, FindingsError

__all__ = ["LogLine", "Trace", "parse_line", "read_logs", "trace"]

# Events about the host and its store that may explain a delay.
CONTEXT_EVENTS = (
    "store-lost",
    "store-regained",
    "changes-stalled",
    "commit-failed",
    "commits-resumed",
    "lease-won",
    "lease-lost",
    "lease-not-taken",
    "shard-loaded",
    "pool-short",
    "started",
    "stopping",
)
SERVER_EVENTS = (
    "server-lost",
    "server-not-reached",
    "server-not-listed",
    "server-regained",
    "leases-lapsed",
    "lifetime-answered",
    "lifetime-began",
    "server-ended",
)
CONTEXT_BEFORE_S = 2.0
# Shorter pauses between two log lines of a job are normal.
MIN_REPORTED_PAUSE_S = 0.5


@attrs.frozen
class LogLine:
    """One line of a host's log; ``time_s`` is in seconds since the epoch."""

    host: str
    time_s: float
    time_text: str
    event: str
    fields: dict[str, str] = attrs.field(hash=False)

    def __str__(self) -> str:
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.time_text} {self.host} {self.event} {shown}"


@attrs.frozen
class Trace:
    """The log lines about a subject, related events around them, and the cause."""

    lines: tuple[LogLine, ...]
    context: tuple[LogLine, ...]
    cause: str


def parse_line(text: str, host: str) -> LogLine | None:
    """Parse a line of the log; return None for any other text.

    A word just before ``time=``, as log collectors prepend it, is the name of the host.

    >>> parse_line("e1 time=2026-05-01T00:00:01.500 level=INFO event=stop", "").host
    'e1'
    """
    before, separator, rest = text.partition("time=")
    if not separator or " event=" not in rest:
        return None
    try:
        words = shlex.split(rest)
        time_s = datetime.fromisoformat(words[0]).timestamp()
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words[1:] if "=" in word)
    fields.pop("level", None)
    named = before.split()[-1:] or [host]
    return LogLine(named[0], time_s, words[0], fields.pop("event"), fields)


def read_logs(names: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines of files.

    Raises FindingsError if a file can't be read.
    """
    for name in names:
        try:
            text = Path(name).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            reason = error.strerror or str(error)
            raise FindingsError([Finding(name, "unreadable", reason)]) from None
        for line_text in text.splitlines():
            line = parse_line(line_text, Path(name).stem)
            if line is not None:
                yield line


def trace(lines: Iterable[LogLine], subject: str) -> Trace:
    """Return the trace of a request or a job, by its ID."""
    in_order = sorted(lines, key=lambda line: line.time_s)
    jobs = {
        line.fields["job"]
        for line in in_order
        if line.fields.get("request") == subject and "job" in line.fields
    }
    subjects = {subject, *jobs}
    matching = [line for line in in_order if _is_about(line, subjects)]
    context = _context(in_order, matching)
    return Trace(tuple(matching), tuple(context), _cause(matching, context))


def _is_about(line: LogLine, subjects: set[str]) -> bool:
    named = {line.fields.get("request"), line.fields.get("job")}
    about = line.fields.get("about", "").rpartition("/")[2]
    return bool(subjects & {*named, about})


def _context(in_order: list[LogLine], matching: list[LogLine]) -> list[LogLine]:
    if not matching:
        return []
    first_s = matching[0].time_s - CONTEXT_BEFORE_S
    last_s = matching[-1].time_s
    servers = _servers_in(matching)
    return [
        line
        for line in in_order
        if first_s <= line.time_s <= last_s
        and (
            line.event in CONTEXT_EVENTS
            or (line.event in SERVER_EVENTS and _servers_in([line]) & servers)
        )
    ]


def _servers_in(lines: Iterable[LogLine]) -> set[str]:
    """Return the names of the servers in log lines, whichever lifetimes they had."""
    return {name_of(line.fields["server"]) for line in lines if "server" in line.fields}


def _cause(matching: list[LogLine], context: list[LogLine]) -> str:
    if not matching:
        return "no line names it: it reached no host, or its log lines were dropped"
    ended = [line for line in matching if line.event == "job-ended"]
    if ended and ended[-1].fields.get("state") == "failed":
        return _cause_of_failure(matching)
    refused = [line for line in matching if line.event in ("refused", "declined")]
    was_stored = any(line.fields.get("outcome") == "stored" for line in matching)
    if refused and not was_stored:
        return _cause_of_refusal(refused[-1], context)
    return _cause_of_delay(matching, context)


def _cause_of_failure(matching: list[LogLine]) -> str:
    failed = [
        line
        for line in matching
        if line.event == "run-ended" and line.fields.get("how") == "failed"
    ]
    count_by_task = Counter(line.fields["task"] for line in failed)
    if not count_by_task:
        return "the job failed, and the log lines of its runs are missing"
    task, count = count_by_task.most_common(1)[0]
    servers = _servers_in(line for line in failed if line.fields["task"] == task)
    suspect = "the task" if len(servers) > 1 else "the backend server"
    return f"task {task} failed {count} times on {len(servers)} servers: {suspect}"


def _cause_of_refusal(refused: LogLine, context: list[LogLine]) -> str:
    code = refused.fields.get("code", "unknown")
    lost = [
        line
        for line in context
        if line.event == "store-lost" and line.host == refused.host
    ]
    since = f"; its store calls failed since {lost[0].time_text}" if lost else ""
    return f"refused by {refused.host} with {code}{since}"


def _cause_of_delay(matching: list[LogLine], context: list[LogLine]) -> str:
    # Each later holder hears of the job again, which ends no delay.
    seen = [line for line in matching if line.event == "job-seen"]
    told = [line for line in matching if line not in seen[1:]]
    pauses = [
        (after.time_s - before.time_s, before, after)
        for before, after in zip(told, told[1:], strict=False)
        # The time before the end of a run is execution time, not delay.
        if after.event != "run-ended"
    ]
    if not pauses:
        return "only one log line, so no pause to explain"
    pause_s, before, after = max(pauses, key=lambda pause: pause[0])
    if pause_s < MIN_REPORTED_PAUSE_S:
        return "no pause of half a second or more between its log lines"
    within = [line for line in context if before.time_s <= line.time_s <= after.time_s]
    events = ", ".join(dict.fromkeys(line.event for line in within)) or "nothing"
    return (
        f"{pause_s:.1f} s passed between {before.event} and {after.event};"
        f" in between: {events}"
    )
