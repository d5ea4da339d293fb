"""Reports of in-flight requests per backend server, small enough for a heartbeat."""

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
    """Return the few bytes that stand for a host in a report."""
    return hashlib.blake2b(host_id.encode(), digest_size=HOST_HASH_BYTES).digest()


@attrs.define
class LoadReporter:
    """Choose what to report: the largest changes, and a few old values in turn."""

    _sent_by_host: dict[str, int] = attrs.field(factory=dict)
    _refresh_position: int = 0

    def report(self, in_flight_by_host: Mapping[str, int]) -> bytes:
        """Return the next report; a host not named is unchanged, or has none."""
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
    """The in-flight requests that one peer has reported."""

    _count_by_hash: dict[bytes, tuple[int, float]] = attrs.field(factory=dict)

    def take(self, report: bytes, now_s: float) -> None:
        """Merge a report; raises nothing, a partial entry at its end is ignored."""
        complete_bytes = len(report) - len(report) % _ENTRY.size
        for hashed, count in _ENTRY.iter_unpack(report[:complete_bytes]):
            if count:
                self._count_by_hash[hashed] = (count, now_s)
            else:
                self._count_by_hash.pop(hashed, None)

    def items(self, now_s: float) -> Iterator[tuple[bytes, int]]:
        """Yield host hashes with counts that were reported lately."""
        for hashed, (count, reported_s) in self._count_by_hash.items():
            if now_s - reported_s <= ENTRY_LIFETIME_S:
                yield hashed, count
