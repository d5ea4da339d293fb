"""The demo keeps every promise that it prints."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_the_demo_ends_with_0_and_every_promise_kept():
    result = subprocess.run(
        [sys.executable, "-m", "rhubarbmount", "demo"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=400,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    lines = result.stdout.splitlines()[2:]
    assert len(lines) == 9
    assert all(line.endswith("kept") for line in lines)
