"""Effect of changed host rows on the pool views used for routing."""

import attrs

from rhubarbmount.backend_health import AttemptResult
from rhubarbmount.hosts import Host, Shape
from rhubarbmount.request_policy import RequestPolicy
from rhubarbmount.shares import EntryHosts


def host(host_id, pool):
    return Host(
        host_id=host_id,
        pool=pool,
        data_centre="d1",
        rack="r1",
        address="127.0.0.1:9000",
        shape=Shape(4, 8),
    )


def pools_by_host(policy):
    return {
        host_id: view.pool
        for view in policy.view_by_pool.values()
        for host_id in view.backend_by_host_id
    }


def update_changed(policy, hosts, changed):
    policy.update_changed({item.host_id: item for item in hosts}, changed, 1.0)


def test_changed_hosts_join_move_and_disappear():
    policy = RequestPolicy(EntryHosts("e1", "d1", {"e1": "d1"}))
    hosts = [host("a", "p"), host("b", "p"), host("c", "q")]
    update_changed(policy, hosts, {"a", "b", "c"})
    assert pools_by_host(policy) == {"a": "p", "b": "p", "c": "q"}
    moved = [host("a", "q"), host("c", "q")]
    update_changed(policy, moved, {"a", "b"})
    assert pools_by_host(policy) == {"a": "q", "c": "q"}


def test_only_the_pools_of_changed_hosts_are_updated():
    policy = RequestPolicy(EntryHosts("e1", "d1", {"e1": "d1"}))
    hosts = [host("a", "p"), host("c", "q")]
    update_changed(policy, hosts, {"a", "c"})
    changed_without_notice = attrs.evolve(hosts[1], slots=99)
    update_changed(policy, [hosts[0], changed_without_notice], {"a"})
    assert policy.view_by_pool["q"].backend_by_host_id["c"].host.slots == hosts[1].slots


def test_own_requests_are_counted_by_view_until_they_end():
    policy = RequestPolicy(EntryHosts("e1", "d1", {"e1": "d1"}))
    update_changed(policy, [host("a", "p")], {"a"})
    view = policy.view_by_pool["p"]
    backend = view.choose(1.0).backend
    assert policy.own_in_flight() == {"a": 1}
    update_changed(policy, [], {"a"})
    view.finish(backend, AttemptResult.SUCCESS, 2.0, service="s", latency_s=0.1)
    assert view.own_in_flight == 0
    assert policy.own_in_flight() == {}
