"""The one-file program."""

import os
import subprocess
import sys
from pathlib import Path

from rhubarbmount import __version__

ROOT = Path(__file__).resolve().parent.parent


def run(folder, *command):
    environment = dict(os.environ, SHIV_ROOT=str(folder / "unpacked"))
    environment.pop("PYTHONPATH", None)
    return subprocess.run(
        command, cwd=folder, env=environment, capture_output=True, text=True
    )


def test_the_one_file_program_runs_version_and_check(tmp_path):
    binary = tmp_path / "rhubarbmount"
    venv = Path(sys.executable).parent.parent
    built = subprocess.run(
        ["make", "binary", f"VENV={venv}", f"BINARY={binary}"],
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert built.returncode == 0, built.stderr
    assert (
        run(tmp_path, sys.executable, binary, "version").stdout.strip() == __version__
    )
    settings = ROOT / "examples" / "workshop" / "entry-host.yaml"
    checked = run(tmp_path, sys.executable, binary, "check", settings)
    assert (checked.returncode, checked.stderr) == (0, "")
