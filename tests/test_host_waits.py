"""Wait reasons of hosts: one for each case, without figures that change."""

import pytest

from rhubarbmount.host_actions import maintain_step
from rhubarbmount.host_waits import wait_reason
from rhubarbmount.host_work import HostIntent, Observation, Progress, WorkBounds
from rhubarbmount.hosts import HostState
from tests.fleetkit import make_host

INTENT = HostIntent(intent_id="i", duty="hosts", action="maintain", host_id="q0")


@pytest.mark.parametrize(
    ("state", "elapsed_s", "seen", "reason"),
    [
        ("draining", 1, Observation(0), "entry hosts may not have seen that it drains"),
        ("draining", 9, Observation(3), "requests or tasks are in flight"),
        ("draining", 9, Observation(8), "requests or tasks are in flight"),
        ("draining", 9, Observation(), "requests in flight can't be counted"),
        ("maintenance", 1, Observation(ready=False), "the host is not back"),
        (
            "maintenance",
            1,
            Observation(ready=True),
            "the host has not been seen to reboot",
        ),
        ("returning", 1, Observation(ready=True), "slow start"),
        ("returning", 40, Observation(ready=False), "the host does not answer"),
        (
            "quarantined",
            1,
            Observation(),
            "nothing to do for maintain in this state",
        ),
    ],
)
def test_wait_reason_names_the_blocking_condition(state, elapsed_s, seen, reason):
    progress = Progress(
        host=make_host(0, state=HostState(state)),
        intent=INTENT,
        observation=seen,
        elapsed_s=elapsed_s,
        was_unready=False,
        bounds=WorkBounds(),
    )
    assert maintain_step(progress) is None
    assert wait_reason(progress) == reason
