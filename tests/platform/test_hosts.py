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


class PagedClient:
    def __init__(self, pages):
        self.pages = list(pages)

    async def call(self, *args, **options):
        machines = self.pages.pop(0)
        token = "more" if self.pages else None
        return JsonResponse(200, {"machines": machines, "next_token": token})


def list_hosts(*machines):
    client = HostClient(ScriptedClient(*machines), "a:1", "holder")
    return trio.run(client.list)


# Guards against a whole list that can't be read because of one host in it.
@pytest.mark.parametrize("cpu", [float("nan"), float("inf"), "many", None])
def test_a_host_of_unknown_capacity_is_listed_with_none(cpu):
    listed = list_hosts({**HOST, "capacity": {"cpu": cpu}}, {**HOST, "machine": "m2"})
    assert [(host.id, host.cpu_millicores) for host in listed.hosts] == [
        ("m1", 0),
        ("m2", 8000),
    ]
    assert listed.left_out == 0


# Guards against a host that is taken for gone as its entry could not be decoded.
def test_an_entry_that_is_no_host_is_left_out_and_counted():
    listed = list_hosts("m0", {"pool": "one"}, HOST)
    assert [host.id for host in listed.hosts] == ["m1"]
    assert listed.left_out == 2


# Guards against entries of earlier pages that are left out and not counted.
def test_entries_left_out_are_counted_over_all_pages():
    client = HostClient(PagedClient([["m0", HOST], [HOST], [7]]), "a:1", "holder")
    listed = trio.run(client.list)
    assert (len(listed.hosts), listed.left_out) == (2, 2)
