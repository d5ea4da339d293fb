"""The operators' commands against a real entry host in a process of its own."""

import json
import re

import pytest

from rhubarbmount import cli
from tests.deployment import OPERATORS_PORT, Deployment, wait_until

POOL = "{name: spare, owner: firm, hosts_wanted: 0, hosts_down_limit: 0}\n"
JOB = "{job_id: night, team: firm, pool: quotes, processors: 1, memory_gb: 1}\n"


@pytest.fixture
def run(tmp_path, monkeypatch, capsys):
    """Return a function that runs a command and returns what it printed."""
    monkeypatch.chdir(tmp_path)
    (tmp_path / "pool.yaml").write_text(POOL)
    (tmp_path / "job.yaml").write_text(JOB)
    with Deployment(tmp_path) as deployment:
        deployment.add_pool("quotes", hosts_down_limit=1)
        deployment.entries["team"][0] |= {"processors_quota": 8, "memory_quota_gb": 8}
        deployment.add_service("quotes")
        for name in ("h1", "h2"):
            deployment.add_backend(name, "quotes", "dc-a")
        deployment.start_platform()
        deployment.start_entry_host("e1", "dc-a")
        address = deployment.entry_host_by_name["e1"].address
        monkeypatch.setenv("RHUBARBMOUNT_ADDRESS", f"{address}:{OPERATORS_PORT}")
        monkeypatch.setenv("RHUBARBMOUNT_TOKEN", "admin-token")

        def run(command, exit_code=0):
            capsys.readouterr()
            ended = cli.run(command.split())
            printed = capsys.readouterr()
            assert ended == exit_code, (command, printed)
            return printed.err if exit_code else printed.out

        yield run


def has_row(table, field, value):
    return re.search(rf"^{field} +{value}$", table, re.MULTILINE) is not None


def test_every_command_answers_in_a_table_or_in_json(run):
    assert re.search(r"^pool/quotes +firm +\d+$", run("entry list"), re.MULTILINE)
    assert has_row(run("entry show pool quotes"), "values.name", "quotes")
    shown = json.loads(run("entry show pool quotes --json"))
    assert shown["values"]["name"] == "quotes"
    accepted = run("entry apply pool pool.yaml")
    assert re.fullmatch(r"accepted pool/spare in version \d+\n", accepted)
    history = run("entry history pool spare").splitlines()
    assert history[0].split() == ["version", "operator", "when"]
    assert re.search(r" admin +\d{4}-\d\d-\d\dT", history[1])
    wait_until(lambda: "pool/spare" in run("entry list"), 5)
    wait_until(lambda: " is in force everywhere" in run("status"), 5)
    assert re.search(
        r"^e1 +current +\d+ +\d+\.\d+\.\d+ +1$", run("status"), re.MULTILINE
    )
    assert json.loads(run("status --json"))["current"] == ["e1"]
    assert re.search(
        r"^h1 +quotes +dc-a", run("hosts list --pool quotes"), re.MULTILINE
    )
    assert has_row(run("hosts move h1 spare"), "result", "begun")
    assert "result" in json.loads(run("hosts stay h1 --json"))
    assert has_row(run("jobs submit job.yaml"), "job_id", "night")
    wait_until(lambda: "night" in run("jobs list"), 5)
    assert has_row(run("jobs release night"), "job_id", "night")
    assert json.loads(run("jobs cancel night --json"))["job_id"] == "night"
    assert run("explain job night")
    assert "buffer_hosts" in run("maintain plan")
    assert json.loads(run("maintain plan --json"))["buffer_hosts"] >= 0
    wave = json.loads(run("maintain start quotes --json"))["wave"]
    assert wave in run("maintain list")
    assert has_row(run(f"maintain control {wave} paused"), "control", "paused")
    ended = json.loads(run(f"maintain control {wave} cancelled --json"))
    assert ended["wave_id"] == wave
    assert run("entry remove pool spare").startswith("accepted pool/spare")


def test_a_refusal_is_one_line_with_its_code(run, monkeypatch):
    assert run("entry show pool nowhere", 1).startswith("rhubarbmount: not-found: ")
    assert "has-dependents" in run("entry remove pool quotes", 1)
    assert "unreadable" in run("entry apply pool nowhere.yaml", 1)
    monkeypatch.setenv("RHUBARBMOUNT_TOKEN", "rival-token")
    assert "access-denied" in run("entry remove service quotes", 1)
    monkeypatch.setenv("RHUBARBMOUNT_ADDRESS", "127.0.0.1:9")
    assert len(run("status", 1).splitlines()) == 1
    monkeypatch.delenv("RHUBARBMOUNT_TOKEN")
    assert "rhubarbmount: usage: set RHUBARBMOUNT_TOKEN" in run("status", 1)
