"""The pages name only tests, scenarios and commands that there are."""

import re
from pathlib import Path

import pytest

from rhubarbmount import porcelain

ROOT = Path(__file__).resolve().parent.parent
PAGES = sorted([*ROOT.glob("README.md"), *ROOT.glob("docs/*.md")])
PROOFS = (ROOT / "docs" / "PROOFS.md").read_text()

SPAN = re.compile(r"`([^`\n]+)`")
NAMES_TEST = re.compile(r"\.feature|test_")
TEST_FILE = re.compile(
    r"(?:scenarios/\w+\.feature|(?:(?:batch|platform|scenarios)/)?test_\w+\.py)"
)
CODE = re.compile(r"^```.*?^```|^ {4}[^\n]*|`[^`\n]+`", re.MULTILINE | re.DOTALL)
COMMAND = re.compile(r"(?:^|[\s/`])rhubarbmount +([a-z][^`\n]*)")
FIRST_FAILED = re.compile(r"^First failed$|^---$|\b[0-9a-f]{7}\b|not recorded")


def find_stale_names(text):
    """Return the tests and scenarios named in a page that don't exist."""
    spans = [span for span in SPAN.findall(text) if NAMES_TEST.search(span)]
    return [span for span in spans if not exists(span)]


def exists(span):
    """Tell whether a file, or "file: name of a test or scenario", is there."""
    file_name, _, name = span.partition(": ")
    path = ROOT / "tests" / file_name
    if not TEST_FILE.fullmatch(file_name) or not path.is_file():
        return False
    defined = rf"^(?:async )?def {re.escape(name)}\("
    if path.suffix == ".feature":
        defined = rf"^ *Scenario(?: Outline)?: {re.escape(name)}$"
    return not name or re.search(defined, path.read_text(), re.MULTILINE) is not None


def find_rows_without_commit(text):
    """Return the rows of proofs that name no commit for the first failure."""
    proofs = text.partition("## Not proved")[0]
    rows = [line.split("|") for line in proofs.splitlines() if line.startswith("|")]
    cells = [row[4].strip() for row in rows]
    return [cell for cell in cells if not FIRST_FAILED.search(cell)]


def find_unknown_commands(text):
    """Return the command lines that name no command of the program."""
    lines = [line for code in CODE.findall(text) for line in COMMAND.findall(code)]
    return [line for line in lines if not names_command(line.split())]


def names_command(words):
    """Tell whether the words begin with a command, after those of its groups."""
    commands = porcelain.commands()
    for word in words:
        commands = commands.get(word)
        if not isinstance(commands, dict):
            return commands is not None
    return False


def test_the_proofs_name_what_exists():
    assert SPAN.search(PROOFS)
    assert find_stale_names(PROOFS) == []
    assert find_rows_without_commit(PROOFS) == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_the_command_lines_in_the_pages_name_commands(page):
    assert find_unknown_commands(page.read_text()) == []


@pytest.mark.parametrize(
    "name",
    [
        "test_absent.py",
        "test_pages.py: test_absent",
        "scenarios/claims.feature: Absent",
        "scenarios/claims.feature: One key is sent",
        "test_pages: test_absent",
    ],
)
def test_a_wrong_name_is_found(name):
    assert find_stale_names(f"| `{name}` |") == [name]


@pytest.mark.parametrize(
    "page",
    [
        "`rhubarbmount absent`",
        "    $ rhubarbmount absent\n",
        "```\nrhubarbmount version\n.venv/bin/rhubarbmount absent\n```\n",
    ],
)
def test_a_wrong_command_is_found(page):
    assert [line.strip() for line in find_unknown_commands(page)] == ["absent"]
    assert find_unknown_commands(page.replace("absent", "entry aply x"))
    assert find_unknown_commands(page.replace("absent", "entry"))
    assert not find_unknown_commands(page.replace("absent", "entry apply x"))


def test_a_row_without_a_commit_is_found():
    row = "| Point | test | fault | xyz | CI |"
    assert find_rows_without_commit(row) == ["xyz"]
    assert find_rows_without_commit(row.replace("xyz", "0fbea8e, planted")) == []
