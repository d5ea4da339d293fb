"""Exit codes and messages of the commands."""

import logging
import socket
import subprocess
import sys
from pathlib import Path

import pytest

from rhubarbmount import __version__, cli, log
from rhubarbmount.errors import UsageError

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "examples"


@pytest.mark.parametrize("user", ["collective", "workshop"])
def test_the_examples_pass_the_check(user, capsys):
    folder = EXAMPLES / user
    arguments = ["check", str(folder / "entry-host.yaml")]
    arguments.append(f"--seed={folder / 'fleet.yaml'}")
    assert cli.run(arguments) == 0, capsys.readouterr().err


def test_check_prints_every_finding_with_its_place(tmp_path, capsys):
    path = tmp_path / "bad.yaml"
    path.write_text("instance: 7\nlog: {level: loud}\nhttp: {idle_timeout_ms: 1}\n")
    assert cli.run(["check", str(path)]) == 1
    lines = capsys.readouterr().err.splitlines()
    assert f"{path}:1: wrong-type: expected str, not 7" in lines
    hint = "unknown key 'idle_timeout_ms'; did you mean 'idle_timeout_s'?"
    assert f"{path}:3: unknown-key: {hint}" in lines


def test_check_places_faults_across_the_entries_of_a_seed(tmp_path, capsys):
    path = tmp_path / "fleet.yaml"
    path.write_text(
        "entries:\n  team:\n  - {name: a, owner: a}\n  service:\n"
        "  - {name: s, owner: a, pool: none}\n"
    )
    settings = EXAMPLES / "workshop" / "entry-host.yaml"
    assert cli.run(["check", str(settings), f"--seed={path}"]) == 1
    assert f"{path}:5: unknown-pool:" in capsys.readouterr().err


def test_an_unreadable_file_is_one_line_and_exit_1(capsys):
    assert cli.run(["serve", "no-such-file.yaml"]) == 1
    expected = "no-such-file.yaml: unreadable: No such file or directory\n"
    assert capsys.readouterr().err == expected


def test_an_unknown_command_is_exit_2():
    with pytest.raises(SystemExit) as stopped:
        cli.run(["no-such-command"])
    assert stopped.value.code == 2


@pytest.mark.parametrize("port_in_example", ["8082", "8083"])
def test_a_port_in_use_is_one_clear_line(tmp_path, port_in_example):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        text = (EXAMPLES / "workshop" / "entry-host.yaml").read_text()
        path = tmp_path / "settings.yaml"
        path.write_text(text.replace(port_in_example, str(port)))
        result = subprocess.run(
            [sys.executable, "-m", "rhubarbmount", "serve", str(path)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=30,
        )
    assert result.returncode == 1
    assert "address-unavailable" in result.stderr.splitlines()[-1]
    assert "Traceback" not in result.stderr


def test_the_log_goes_to_the_file_in_the_settings(tmp_path):
    path = tmp_path / "entry-host.log"
    log.configure("info", str(path))
    log.event(logging.getLogger("rhubarbmount.test"), "here", number=1)
    assert path.read_text().endswith("level=INFO event=here number=1\n")
    with pytest.raises(UsageError):
        log.configure("info", str(tmp_path / "no-folder" / "log"))


def test_version(capsys):
    assert cli.run(["version"]) == 0
    assert capsys.readouterr().out == f"{__version__}\n"


def test_printed_keys_fit_the_settings(tmp_path, capsys):
    assert cli.run(["keys"]) == 0
    lines = capsys.readouterr().out.splitlines()
    example = (EXAMPLES / "collective" / "entry-host.yaml").read_text()
    peers = ["peers:", "  address: 127.0.0.1", "  port: 8083"]
    peers += [f"  {line}" for line in lines]
    path = tmp_path / "entry-host.yaml"
    path.write_text(example + "\n".join(peers) + "\n")
    assert cli.run(["check", str(path)]) == 0, capsys.readouterr().err
