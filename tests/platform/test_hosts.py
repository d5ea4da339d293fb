"""Decoding of the list of hosts."""

import pytest
import trio

from rhubarbmount.platform.hosts import HostClient
from rhubarbmount.platform.json_client import JsonResponse

HOST = {"machine": "m1", "pool": "one", "state": "up", "capacity": {"cpu": 8000}}


class ScriptedClient:
    def __init__(self, *machines):
        self.machines = list(machines)

    async def call(self, *args, **options):
        return JsonResponse(200, {"machines": self.machines, "next_token": None})


def list_hosts(*machines):
    client = HostClient(ScriptedClient(*machines), "a:1", "holder")
    return trio.run(client.list)


# Guards against a whole list that can't be read because of one host in it.
@pytest.mark.parametrize("cpu", [float("nan"), float("inf"), "many", None])
def test_a_host_of_unknown_capacity_is_listed_with_none(cpu):
    hosts = list_hosts({**HOST, "capacity": {"cpu": cpu}}, {**HOST, "machine": "m2"})
    assert [(host.id, host.cpu_millicores) for host in hosts] == [
        ("m1", 0),
        ("m2", 8000),
    ]


def test_an_entry_that_is_no_host_is_left_out():
    assert [host.id for host in list_hosts("m0", {"pool": "one"}, HOST)] == ["m1"]
