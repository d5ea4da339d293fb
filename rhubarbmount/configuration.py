"""The catalogue snapshot in force at this instance: the latest it has seen."""

import logging

import attrs
import trio

from rhubarbmount.broadcast import Broadcaster
from rhubarbmount.catalogue import Snapshot, decode_snapshot, encode_snapshot
from rhubarbmount.errors import PlatformUnavailable
from rhubarbmount.follower import Follower, PulledState
from rhubarbmount.head_reads import ReadHead, one_by_one
from rhubarbmount.log import event
from rhubarbmount.store.interface import Platform
from rhubarbmount.tables import CATALOGUE_HEAD

__all__ = ["Configuration", "SnapshotInForce"]

_logger = logging.getLogger(__name__)


@attrs.frozen
class SnapshotInForce:
    """Event: a snapshot has come into force at this instance."""

    snapshot: Snapshot


@attrs.define(eq=False, kw_only=True)
class Configuration(Follower):
    """Holds the snapshot in force, which only a later version replaces.

    Until there is a snapshot, the instance is not ready; there are no default entries.
    """

    platform: Platform
    read_head: ReadHead = attrs.field(
        default=attrs.Factory(lambda self: one_by_one(self.platform), takes_self=True)
    )
    snapshot: Snapshot | None = attrs.field(default=None, init=False)
    _broadcaster: Broadcaster[SnapshotInForce] = attrs.field(
        factory=Broadcaster, init=False
    )
    _head_behind: bool = attrs.field(default=False, init=False)

    state_name = "catalogue"

    def subscribe(self) -> trio.MemoryReceiveChannel[SnapshotInForce]:
        """Subscribe to snapshots, starting with the one in force."""
        return self._broadcaster.subscribe()

    def offer(self, snapshot: Snapshot) -> bool:
        """Replace the snapshot in force by a later one; return whether it was later."""
        if self.snapshot is not None and snapshot.version <= self.snapshot.version:
            return False
        previous = self.version
        self.snapshot = snapshot
        self.version = snapshot.version
        event(
            _logger,
            "configuration-in-force",
            version=snapshot.version,
            previous=previous,
            entries=len(snapshot.entry_by_key),
        )
        self._broadcaster.publish(SnapshotInForce(snapshot))
        return True

    def share(self, known_version: int) -> PulledState | None:
        """Return the copy for a peer at ``known_version``; None if there is none yet.

        The body is left out if the peer is up to date.
        """
        if self.snapshot is None:
            return None
        body = None
        if self.version > known_version or known_version == 0:
            body = encode_snapshot(self.snapshot)
        return PulledState(self.version, self.age_s(), body)

    async def _read_platform(self) -> None:
        row = await self.read_head(CATALOGUE_HEAD)
        head_version = 0 if row is None else row.value["version"]
        self._note_head(head_version)
        if row is None:
            self.offer(Snapshot())
            return
        if head_version <= self.version:
            return
        body = await self.platform.get_object(row.value["object"])
        if body is None:
            raise PlatformUnavailable(f"object {row.value['object']} does not exist")
        self._adopt_body(body)

    def _adopt_body(self, body: bytes) -> None:
        self.offer(decode_snapshot(body))

    def _note_head(self, head_version: int) -> None:
        behind = head_version < self.version
        if behind and not self._head_behind:
            event(
                _logger,
                "configuration-head-behind",
                logging.ERROR,
                version=self.version,
                head=head_version,
            )
        self._head_behind = behind
