"""Tests that docs/OPERATIONS.md lists every log event of the batch code."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
ROW = re.compile(r"^\| `([a-z-]+)` \| ([^|]*) \|", re.MULTILINE)
NO_FIELDS = ("level",)


def log_calls(tree):
    for node in ast.walk(tree):
        is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
        if is_call and node.func.attr in ("event", "frequent_event"):
            yield node


def written_events():
    """Return the fields of each log event that rhubarbmount/batch writes."""
    fields_by_event = {}
    for path in (ROOT / "rhubarbmount" / "batch").glob("*.py"):
        for call in log_calls(ast.parse(path.read_text(encoding="utf-8"))):
            name = call.args[1]
            names = [name.value] if isinstance(name, ast.Constant) else []
            for event in names:
                fields = fields_by_event.setdefault(event, set())
                fields.update(key.arg for key in call.keywords)
    return fields_by_event


def documented_events():
    text = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    return {
        event: set(fields.replace("`", "").split(", ")) - {""}
        for event, fields in ROW.findall(text)
    }


def test_every_event_is_documented_with_its_fields():
    documented = documented_events()
    for event, fields in written_events().items():
        assert event in documented, event
        assert fields <= documented[event], event


def test_every_documented_event_is_written():
    indirect = {"submit", "show", "cancel", "pending", "lease-not-taken"}
    indirect |= {
        "lease-not-renewed",
        "duty-failed",
        "server-row-failed",
        "session-failed",
        "task-failed",
        "lines-lost",
        "lines-left-out",
    }
    assert set(documented_events()) - set(written_events()) <= indirect
