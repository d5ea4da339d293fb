"""Queues and pools as configured by the operator."""

import functools

import attrs

from rhubarbmount.batch.model import Queue, QueueName

__all__ = ["Catalogue", "Pool"]


# From this size on a configuration may take long to arrive.
LARGE_BYTES = 100_000


@attrs.frozen
class Pool:
    """Pool of hosts; the hosts of a standby pool are powered off and cost nothing.

    Servers that guard their capacity refuse what does not fit.
    """

    name: str
    is_standby: bool
    guards_capacity: bool = False


@attrs.frozen
class Catalogue:
    """One version of the configured queues and pools, and of the row that holds it."""

    version: int
    queue_by_name: dict[QueueName, Queue]
    pool_by_name: dict[str, Pool]
    row_version: int = 0
    size_bytes: int = 0

    @property
    def is_large(self) -> bool:
        """Return whether its changes are passed on to hosts on slow links."""
        return self.size_bytes >= LARGE_BYTES

    def is_after(self, other: "Catalogue") -> bool:
        """Return whether this is a later version, or a later row of the same one.

        The row of an older version may return, and must not come into force again.
        """
        mine = self.version, self.row_version
        return mine > (other.version, other.row_version)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest matching path prefix, or None.

        >>> short, long = QueueName("a", "/q/"), QueueName("a", "/q/deep/")
        >>> queues = {n: Queue(n, "s", 0, 1, 1.0, 1.0) for n in (short, long)}
        >>> Catalogue(1, queues, {}).find("a", "/q/deep/1").name.prefix
        '/q/deep/'
        """
        for length in self._prefix_lengths_by_host.get(host, ()):
            queue = self.queue_by_name.get(QueueName(host, path[:length]))
            if queue is not None:
                return queue
        return None

    @functools.cached_property
    def _prefix_lengths_by_host(self) -> dict[str, list[int]]:
        """Return the lengths that prefixes of each host have, longest first."""
        lengths_by_host: dict[str, set[int]] = {}
        for name in self.queue_by_name:
            lengths_by_host.setdefault(name.host, set()).add(len(name.prefix))
        return {
            host: sorted(lengths, reverse=True)
            for host, lengths in lengths_by_host.items()
        }

    def guards_capacity(self, pool: str) -> bool:
        """Return whether a pool is known and its servers refuse what does not fit."""
        entry = self.pool_by_name.get(pool)
        return entry is not None and entry.guards_capacity

    def is_standby(self, pool: str) -> bool:
        """Return whether a pool is known and its hosts are powered off."""
        entry = self.pool_by_name.get(pool)
        return entry is not None and entry.is_standby
