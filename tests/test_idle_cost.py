"""What an idle entry host sends and asks at the size to design for, by role."""

import time

import pytest

from tests.deployment import Deployment

HOSTS = 2600
POOLS = 25
NODES = 70
STORE_READS_PER_S = 2000
CONTROL_BYTES_PER_S = 3000
PEERS_BYTES_PER_S = 1426
SETTLE_S = 6.0
SAMPLE_S = 10.0


@pytest.fixture
def deployment(tmp_path):
    """Return a platform with a fleet of that size, none of its servers started."""
    with Deployment(tmp_path) as deployment:
        for pool in range(POOLS):
            deployment.add_pool(f"pool-{pool}", owner="team", hosts_down_limit=4)
        for number in range(HOSTS):
            deployment.add_backend(
                f"host-{number}",
                f"pool-{number % POOLS}",
                f"dc-{number % 10}",
                rack=f"rack-{number // 20}",
                start=False,
            )
        deployment.start_platform()
        yield deployment


def sample(deployment, names):
    """Return the platform's calls, and each entry host's bytes each way, a second."""

    def count():
        relays = [deployment.relay_by_name[f"{name}-platform"] for name in names]
        passed = [(relay.forward_bytes, relay.back_bytes) for relay in relays]
        return deployment.set_platform()["calls"], passed

    time.sleep(SETTLE_S)
    calls_before, passed_before = count()
    time.sleep(SAMPLE_S)
    calls_after, passed_after = count()
    rates = [
        tuple((b - a) / SAMPLE_S for a, b in zip(before, after, strict=True))
        for before, after in zip(passed_before, passed_after, strict=True)
    ]
    calls = (calls_after - calls_before) / SAMPLE_S
    return calls, dict(zip(names, rates, strict=True))


@pytest.mark.scenario
def test_control_stays_within_the_network_target_and_the_stores_reads(deployment):
    deployment.extra_settings["fleet"] = {"lease": {"settle_s": 600}}
    deployment.start_entry_host("holder", "dc-0")
    holder_calls, _ = sample(deployment, ["holder"])
    deployment.start_entry_host("contender", "dc-1")
    calls, bytes_by_name = sample(deployment, ["holder", "contender"])
    contender_calls = calls - holder_calls
    assert holder_calls + (NODES - 1) * contender_calls <= STORE_READS_PER_S
    each_way = CONTROL_BYTES_PER_S - PEERS_BYTES_PER_S
    assert max(max(rates) for rates in bytes_by_name.values()) <= each_way, (
        bytes_by_name
    )
