"""Progress of maintenance waves, and the actions that a pass decides for them."""

from collections.abc import Collection, Mapping

import attrs

from rhubarbmount.batch.model import Host, HostState, Task, Wave

__all__ = ["Maintenance", "WaveActions", "WaveProgress"]


@attrs.define(eq=False)
class WaveProgress:
    """Progress of a wave.

    ``begun`` holds the hosts whose maintenance has begun. ``unavailable`` holds those
    that count towards the limit: from the decision to maintain them, before any command
    is sent, until the platform lists them as up again. ``has_whole_list`` tells whether
    the list of hosts was requested after the wave was put and lacks no entry.
    """

    wave: Wave
    due_at_s: float
    begun: set[str] = attrs.field(factory=set)
    unavailable: set[str] = attrs.field(factory=set)
    is_complete: bool = False
    has_whole_list: bool = False

    @property
    def needs_list(self) -> bool:
        """Return whether the wave can't complete by the list of hosts at hand."""
        return not self.is_complete and not self.has_whole_list

    @property
    def free_slots(self) -> int:
        """Return how many more hosts may be in maintenance."""
        return self.wave.limit - len(self.unavailable)

    def note_listed(
        self, hosts: Mapping[str, Host], resolved_host_ids: Collection[str]
    ) -> None:
        """Count the hosts that the platform lists as in maintenance, whoever began it.

        Hosts that it lists as up, or no longer lists, count no more; nor do those that
        are down before their maintenance began. A list says nothing about hosts to
        which a command may have been under way when it was requested;
        ``resolved_host_ids`` are the others.
        """
        for host_id in self.wave.host_ids:
            host = hosts.get(host_id)
            if host is not None and host.state is HostState.MAINTENANCE:
                self.unavailable.add(host_id)
            elif host_id in resolved_host_ids and self._is_available(host):
                self.unavailable.discard(host_id)

    def _is_available(self, host: Host | None) -> bool:
        if host is None or host.state is HostState.UP:
            return True
        return host.id not in self.begun


@attrs.frozen
class Maintenance:
    """Decision to start the maintenance of a host now."""

    host_id: str
    wave: int


@attrs.define
class WaveActions:
    """Actions to take now for the open waves."""

    begin: list[Maintenance] = attrs.field(factory=list)
    evict: list[Task] = attrs.field(factory=list)
    closed_server_names: set[str] = attrs.field(factory=set)
    due_server_names: set[str] = attrs.field(factory=set)
    # Servers that are to be emptied once their tasks have a place.
    placeless_server_names: set[str] = attrs.field(factory=set)
    # Pools that need another server, and pools that must keep a free one.
    short_pools: set[str] = attrs.field(factory=set)
    holding_pools: set[str] = attrs.field(factory=set)
    completed: list[WaveProgress] = attrs.field(factory=list)
    # Why hosts that are next in a wave have not begun maintenance.
    wait_by_host: dict[str, str] = attrs.field(factory=dict)
