"""This instance's versioned view of the fleet's hosts, with its age."""

import logging
import zlib
from collections import Counter
from collections.abc import Iterable, Mapping
from contextlib import suppress
from typing import Any

import attrs
import cattrs
import msgpack
import trio

from rhubarbmount.broadcast import Broadcaster
from rhubarbmount.catalogue_checks import FleetSummary
from rhubarbmount.errors import Finding, FindingsError
from rhubarbmount.follower import PEERS_TIMEOUT_S, Follower, PulledState
from rhubarbmount.head_reads import ReadHead, one_by_one
from rhubarbmount.hosts import Host, dump_host, load_host
from rhubarbmount.log import event
from rhubarbmount.store.interface import Platform, Row
from rhubarbmount.tables import FLEET_HEAD, HOSTS_TABLE

__all__ = ["FleetChanged", "FleetView", "changed_hosts"]

CHANGES_READ_SINGLY = 16
MAX_DECODED_BYTES = 64 * 1024 * 1024

_logger = logging.getLogger(__name__)


@attrs.frozen
class FleetChanged:
    """A new version of the view; ``changed`` includes ids of new and removed hosts."""

    version: int
    host_by_id: Mapping[str, Host]
    changed: frozenset[str]

    def merge(self, later: "FleetChanged") -> "FleetChanged":
        """Return the later view with the changed ids of both."""
        return attrs.evolve(later, changed=self.changed | later.changed)


def changed_hosts(head: Mapping[str, Any], version: int) -> list[str] | None:
    """Return the ids of the hosts changed since a version; None if not all are known.

    >>> head = {"version": 3, "changes": [[2, "a"], [3, "b"], [3, "c"]]}
    >>> changed_hosts(head, 2)
    ['b', 'c']
    >>> changed_hosts(head, 1) is None
    True
    """
    changes = head["changes"]
    if not changes or changes[0][0] > version:
        return None
    return sorted({host_id for changed, host_id in changes if changed > version})


@attrs.define(eq=False, kw_only=True)
class FleetView(Follower):
    """Follower of the fleet's hosts; a published view is never modified."""

    platform: Platform
    read_head: ReadHead = attrs.field(
        default=attrs.Factory(lambda self: one_by_one(self.platform), takes_self=True)
    )
    host_by_id: Mapping[str, Host] = attrs.field(factory=dict, init=False)
    _broadcaster: Broadcaster[FleetChanged] = attrs.field(
        factory=lambda: Broadcaster(FleetChanged.merge), init=False
    )

    state_name = "fleet"
    platform_timeout_s = 5.0

    def subscribe(self) -> trio.MemoryReceiveChannel[FleetChanged]:
        """Return a channel of changes; changes not yet received are merged."""
        return self._broadcaster.subscribe()

    async def summarise(self) -> FleetSummary:
        """Read the platform and return the current number of hosts in each pool."""
        await self._read_platform()
        hosts_by_pool = Counter(host.pool for host in self.host_by_id.values())
        return FleetSummary(self.version, hosts_by_pool)

    def share(self, known_version: int) -> PulledState | None:
        """Return the state for a peer that knows a version; None before a first read.

        The body is left out if the peer's version is current.
        """
        if not self.ready:
            return None
        body = None
        if self.version > known_version or known_version == 0:
            rows = [dump_host(host) for host in self.host_by_id.values()]
            body = zlib.compress(msgpack.packb([self.version, rows]))
        return PulledState(self.version, self.age_s(), body)

    async def _from_platform(self) -> bool:
        if not self.ready:
            await self._from_peers()
        return await super()._from_platform()

    async def _read_platform(self) -> None:
        head = await self.read_head(FLEET_HEAD)
        if head is None or head.value["version"] <= self.version:
            return
        version = head.value["version"]
        changed = changed_hosts(head.value, self.version)
        if changed is None or len(changed) > CHANGES_READ_SINGLY:
            await self._catch_up(version)
            return
        rows_by_id = {
            host_id: await self.platform.read(HOSTS_TABLE, host_id)
            for host_id in changed
        }
        self._update(version, rows_by_id)

    async def _catch_up(self, version: int) -> None:
        """Fetch all rows from a peer that has them already, or else scan the table."""
        if self.ready and self.pull is not None:
            with trio.move_on_after(PEERS_TIMEOUT_S):
                self._adopt_if_newer(await self.pull(self.state_name, version - 1))
        if self.version < version:
            rows = await self.platform.scan(HOSTS_TABLE)
            self._replace(version, (row.value for row in rows))

    def _adopt_if_newer(self, pulled: PulledState | None) -> None:
        if pulled is None or pulled.body is None:
            return
        with suppress(FindingsError):
            self._adopt_body(pulled.body)

    def _update(self, version: int, rows_by_id: Mapping[str, Row | None]) -> None:
        host_by_id = dict(self.host_by_id)
        for host_id, row in rows_by_id.items():
            if row is None:
                host_by_id.pop(host_id, None)
            else:
                host_by_id[host_id] = load_host(dict(row.value))
        self._publish(version, host_by_id, frozenset(rows_by_id))

    def _replace(self, version: int, rows: Iterable[Mapping[str, Any]]) -> None:
        hosts = [load_host(dict(row)) for row in rows]
        host_by_id = {host.host_id: host for host in hosts}
        host_ids = host_by_id.keys() | self.host_by_id.keys()
        changed = frozenset(
            host_id
            for host_id in host_ids
            if host_by_id.get(host_id) != self.host_by_id.get(host_id)
        )
        self._publish(version, host_by_id, changed)

    def _publish(
        self, version: int, host_by_id: Mapping[str, Host], changed: frozenset[str]
    ) -> None:
        if version <= self.version:
            return
        self.version = version
        self.host_by_id = host_by_id
        event(
            _logger,
            "fleet-view",
            version=version,
            hosts=len(host_by_id),
            changed=len(changed),
        )
        self._broadcaster.publish(FleetChanged(version, host_by_id, changed))

    def _adopt_body(self, body: bytes) -> None:
        try:
            decompressor = zlib.decompressobj()
            packed = decompressor.decompress(body, MAX_DECODED_BYTES)
            version, rows = msgpack.unpackb(packed)
            self._replace(version, rows)
        except (zlib.error, ValueError, TypeError, cattrs.BaseValidationError) as error:
            raise FindingsError(
                [Finding("fleet", "undecodable", repr(error))]
            ) from error
