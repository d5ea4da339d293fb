"""What a planned stop tells by its exit code, over separate processes."""

import threading

import pytest

from tests.deployment import Deployment, wait_until

STOP_TIMEOUT_S = 0.5


@pytest.fixture
def deployment(tmp_path):
    """Return an entry host and a backend server that takes 5 s for a request."""
    with Deployment(tmp_path) as deployment:
        deployment.add_pool("quotes")
        deployment.add_service("quotes")
        deployment.add_backend("h1", "quotes", "dc1")
        deployment.start_platform()
        deployment.extra_settings = {"stop_timeout_s": STOP_TIMEOUT_S}
        deployment.start_entry_host("e1", "dc1")
        deployment.set_backend("h1", delay_s=5.0)
        yield deployment


def stop(deployment):
    program = deployment.entry_host_by_name["e1"]
    program.terminate()
    return program.process.wait(10), program.log()


def ask(deployment):
    try:
        deployment.request("e1", "GET", "/quotes/1")
    except OSError:
        return


@pytest.mark.scenario
def test_a_stop_that_cut_a_request_says_so_by_its_exit_code(deployment):
    caller = threading.Thread(target=ask, args=[deployment])
    caller.start()
    wait_until(lambda: deployment.backend_state("h1")["in_flight"] == 1, 5)
    exit_code, log = stop(deployment)
    caller.join()
    assert "event=stopped cut=1" in log
    assert exit_code == 3


@pytest.mark.scenario
def test_a_stop_that_cut_nothing_exits_with_0(deployment):
    exit_code, log = stop(deployment)
    assert "event=stopped cut=0" in log
    assert exit_code == 0
