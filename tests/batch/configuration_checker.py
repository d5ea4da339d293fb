"""Checks by which configuration callers are answered, and when it is in force."""

import attrs
import trio

from tests.batch.world import BOUNDS, World, catalogue, route

POOLS = ["one"]
SPARE = "rest"
PROBE_PERIOD_S = 0.1
JOB_ID = "0123456789abcdef"
# A queue as the operator stores it takes about 200 bytes, as many as on the platform.
ROUTE_FIELDS = {"retry": {"attempts": 4, "backoff_ms": 100}, "policy": "by-priority"}


@attrs.define(eq=False)
class ConfigurationChecker:
    """Changes the configuration, and records answers by an older one.

    CONFIG: a host that has reached the store for the platform's contact time answers a
    request, sent later than configurations have to be in force, as only an older
    version allows: 404 for a queue that had been added, or a job of a queue that had
    been removed as any other.
    """

    world: World
    version: int = 0
    prefixes: list[str] = attrs.field(factory=list)
    # Times at which queues were acknowledged to be there, or to be gone.
    added_at_s: dict[str, float] = attrs.field(factory=dict)
    removed_at_s: dict[str, float] = attrs.field(factory=dict)
    # Times from which on hosts reach the store.
    reaches_since_s: dict[str, float] = attrs.field(factory=dict)
    breaches: list[str] = attrs.field(factory=list)
    refusals: int = 0
    answers: int = 0

    def put(self, adds: int = 0, removes: int = 0) -> None:
        """Write a version that has more queues and lacks the oldest added ones."""
        self.version += 1
        new = [f"/q{self.version}-{number}/" for number in range(adds)]
        gone, self.prefixes = self.prefixes[:removes], self.prefixes[removes:] + new
        routes = [route(prefix, "one", **ROUTE_FIELDS) for prefix in self.prefixes]
        routes.append(route("/one/", "one"))
        self.world.platform.put_catalogue(catalogue(self.version, routes, POOLS, SPARE))
        now_s = trio.current_time()
        self.added_at_s.update(dict.fromkeys(new, now_s))
        self.removed_at_s.update(dict.fromkeys(gone, now_s))

    async def change_for(self, for_s: float, gap_s: float) -> None:
        """Add a queue and remove one every ``gap_s``."""
        until_s = trio.current_time() + for_s
        while trio.current_time() < until_s:
            self.put(adds=1, removes=1)
            await trio.sleep(gap_s)

    def cut(self, node_ids: set[str]) -> None:
        """Cut hosts from the store, and no others."""
        now_s = trio.current_time()
        for node_id in self.world.faults.nodes_cut_from_store - node_ids:
            self.reaches_since_s[node_id] = now_s
        self.world.faults.nodes_cut_from_store = node_ids

    async def probe(self) -> None:
        """Ask each host for the newest queue that must be there, and be gone."""
        while True:
            for node_id in sorted(self.world.node_by_id):
                await self._probe(node_id, self._latest_due(self.added_at_s), False)
                await self._probe(node_id, self._latest_due(self.removed_at_s), True)
            await trio.sleep(PROBE_PERIOD_S)

    def _latest_due(self, at_s_by_prefix: dict[str, float]) -> str | None:
        due_s = trio.current_time() - BOUNDS.config_apply_s
        due = [prefix for prefix, at_s in at_s_by_prefix.items() if at_s < due_s]
        return due[-1] if due else None

    def _is_in_touch(self, node_id: str) -> bool:
        if node_id in self.world.faults.nodes_cut_from_store:
            return False
        since_s = self.reaches_since_s.get(node_id, 0.0)
        return trio.current_time() >= since_s + BOUNDS.contact_s

    async def _probe(self, node_id: str, prefix: str | None, is_removed: bool) -> None:
        if prefix is None or not self._is_in_touch(node_id):
            return
        was_removed = prefix in self.removed_at_s
        began_s = trio.current_time()
        status, _ = await self.world.call("GET", f"{prefix}{JOB_ID}", node=node_id)
        self.answers += 1
        self.refusals += status == 503
        if is_removed:
            is_older = status in (200, 410)
        else:
            is_older = status == 404 and not was_removed
        if is_older:
            self.breaches.append(
                f"{began_s:.2f} CONFIG: {node_id} answers {status} for {prefix}"
            )
