"""Reports of in-flight requests per backend server, compact enough for heartbeats."""

import hashlib
import struct
from collections.abc import Iterator, Mapping
from functools import lru_cache

import attrs

__all__ = ["HOST_HASH_BYTES", "LoadReporter", "PeerLoads", "host_hash"]

HOST_HASH_BYTES = 3
IN_FLIGHT_MAX = 255
MAX_REPORTED_CHANGES = 6
REFRESHES_PER_REPORT = 2
ENTRY_LIFETIME_S = 150.0
HASH_CACHE_SIZE = 4096

_ENTRY = struct.Struct(f"{HOST_HASH_BYTES}sB")


@lru_cache(HASH_CACHE_SIZE)
def host_hash(host_id: str) -> bytes:
    """Return the HOST_HASH_BYTES long hash that identifies a host in a report."""
    return hashlib.blake2b(host_id.encode(), digest_size=HOST_HASH_BYTES).digest()


@attrs.define
class LoadReporter:
    """Select what to report: the largest changes, and unchanged values in rotation."""

    _sent_by_host: dict[str, int] = attrs.field(factory=dict)
    _refresh_position: int = 0

    def report(self, in_flight_by_host: Mapping[str, int]) -> bytes:
        """Build the next report; a host that is not listed is unchanged or idle."""
        chosen = self._largest_changes(in_flight_by_host)
        chosen += [
            host_id for host_id in self._next_refreshes() if host_id not in chosen
        ]
        entries = []
        for host_id in chosen:
            count = min(in_flight_by_host.get(host_id, 0), IN_FLIGHT_MAX)
            entries.append(_ENTRY.pack(host_hash(host_id), count))
            self._record_sent(host_id, count)
        return b"".join(entries)

    def _largest_changes(self, in_flight_by_host: Mapping[str, int]) -> list[str]:
        change_by_host = {}
        for host_id in in_flight_by_host.keys() | self._sent_by_host.keys():
            count = min(in_flight_by_host.get(host_id, 0), IN_FLIGHT_MAX)
            change = abs(count - self._sent_by_host.get(host_id, 0))
            if change:
                change_by_host[host_id] = change
        order = sorted(change_by_host, key=lambda h: (-change_by_host[h], h))
        return order[:MAX_REPORTED_CHANGES]

    def _next_refreshes(self) -> list[str]:
        host_ids = sorted(self._sent_by_host)
        if not host_ids:
            return []
        start = self._refresh_position % len(host_ids)
        self._refresh_position += REFRESHES_PER_REPORT
        return (host_ids[start:] + host_ids[:start])[:REFRESHES_PER_REPORT]

    def _record_sent(self, host_id: str, count: int) -> None:
        if count:
            self._sent_by_host[host_id] = count
        else:
            self._sent_by_host.pop(host_id, None)


@attrs.define
class PeerLoads:
    """The in-flight requests reported by one peer."""

    _count_by_hash: dict[bytes, tuple[int, float]] = attrs.field(factory=dict)

    def take(self, report: bytes, now_s: float) -> None:
        """Merge a report; never raises, and ignores a partial entry at its end."""
        complete_bytes = len(report) - len(report) % _ENTRY.size
        for hashed, count in _ENTRY.iter_unpack(report[:complete_bytes]):
            if count:
                self._count_by_hash[hashed] = (count, now_s)
            else:
                self._count_by_hash.pop(hashed, None)

    def items(self, now_s: float) -> Iterator[tuple[bytes, int]]:
        """Yield the host hashes and counts reported within ENTRY_LIFETIME_S."""
        for hashed, (count, reported_s) in self._count_by_hash.items():
            if now_s - reported_s <= ENTRY_LIFETIME_S:
                yield hashed, count
