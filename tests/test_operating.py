"""docs/OPERATING.md names every setting with its default, and only real commands."""

import re
from pathlib import Path

import attrs
import pytest

from rhubarbmount.cli import run
from rhubarbmount.porcelain import commands
from rhubarbmount.settings import (
    Endpoint,
    OperatorSettings,
    PeerSettings,
    Settings,
    load_settings,
)

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "OPERATING.md"
ROW = re.compile(r"^\| `([\w.]+)` \| [^|]+ \| ([^|]+) \|", re.MULTILINE)
COMMAND = re.compile(r"^rhubarbmount ([\w-]+)(?: ([\w-]+))?", re.MULTILINE)
SCENARIO = re.compile(r"`(\w+\.feature)`: ([^;|]+)")


def default_by_key(kind, prefix=""):
    """Return the text of each leaf setting's default by its dotted key."""
    found = {}
    for field in attrs.fields(kind):
        key = f"{prefix}{field.name}"
        default = field.default
        if isinstance(default, attrs.Factory):
            default = default.factory()
        if attrs.has(type(default)):
            found |= default_by_key(type(default), f"{key}.")
        elif field.type is Endpoint:
            found |= default_by_key(Endpoint, f"{key}.")
        elif field.type == PeerSettings | None:
            found |= default_by_key(PeerSettings, f"{key}.")
        elif key == "operators_by_name":
            found |= default_by_key(OperatorSettings, f"{key}.NAME.")
        else:
            found[key] = "required" if default is attrs.NOTHING else _text(default)
    return found


def _text(default):
    if isinstance(default, bool):
        return str(default).lower()
    if isinstance(default, float):
        return f"{default:g}"
    if default in ("", ()):
        return "empty"
    return str(default)


def test_every_setting_is_in_the_page_with_its_default():
    section = PAGE.read_text().split("\n## Settings\n")[1].split("\n## ")[0]
    rows = {key: default.strip() for key, default in ROW.findall(section)}
    assert rows == default_by_key(Settings)


def test_every_command_is_in_the_page_and_every_one_in_the_page_exists():
    named = set(COMMAND.findall(PAGE.read_text()))
    real = commands()
    pairs = {
        (name, verb)
        for name, held in real.items()
        for verb in (held if isinstance(held, dict) else [""])
    }
    shown = {
        (name, verb if isinstance(real.get(name), dict) else "") for name, verb in named
    }
    assert shown == pairs


def test_every_scenario_that_the_page_names_exists():
    named = SCENARIO.findall(PAGE.read_text())
    assert named
    for feature, title in named:
        text = (ROOT / "tests" / "scenarios" / feature).read_text()
        assert f"Scenario: {title.strip()}\n" in text


@pytest.mark.parametrize("example", ["collective", "workshop"])
def test_the_examples_pass_the_check_and_have_peers(example, capsys):
    folder = ROOT / "examples" / example
    settings = folder / "entry-host.yaml"
    arguments = ["check", str(settings), "--seed", str(folder / "fleet.yaml")]
    assert run(arguments) == 0, capsys.readouterr().err
    assert load_settings(str(settings)).peers is not None
