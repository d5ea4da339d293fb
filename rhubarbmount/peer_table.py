"""Membership table of the entry hosts known to one entry host; performs no I/O."""

import hashlib
from collections import Counter, deque
from collections.abc import Iterable

import attrs

from rhubarbmount.peer_loads import PeerLoads, host_hash
from rhubarbmount.peer_messages import Heartbeat, MemberReport, PeerIdentity, Summary

__all__ = ["PeerRecord", "PeerTable", "rank"]

HEARTBEAT_TIMEOUT_S = 3.5
SUMMARY_PERIOD_S = 4.0
PERIOD_JITTER = 0.1
ATTEMPTS_PER_ADDRESS = 2
SUMMARY_LIFETIME_S = 90.0
SUMMARY_TIMEOUT_S = 12.0
RELAY_PERIOD_S = 30.0
MAX_REPLACED = 256


def rank(members: Iterable[str], purpose: str) -> list[str]:
    """Order members by rendezvous hash, with a stable order for each purpose.

    >>> rank(["a", "b", "c"], "dc-b") == rank(["c", "b", "a"], "dc-b")
    True
    """

    def weight(member: str) -> bytes:
        text = f"{purpose}\0{member}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    return sorted(members, key=weight, reverse=True)


@attrs.define
class PeerRecord:
    """The last reported state of a peer.

    ``received_s`` is the time of its last heartbeat on this instance's clock.
    """

    identity: PeerIdentity
    received_s: float
    sequence: int = -1
    configuration_version: int = 0
    draining: bool = False
    loads: PeerLoads = attrs.field(factory=PeerLoads)


@attrs.define
class _RemoteDataCentre:
    """The last summary from another data centre, and its last relay."""

    summary: Summary
    received_s: float
    relayed_s: float = float("-inf")
    relayed: tuple[MemberReport, ...] = ()
    recipients: frozenset[str] = frozenset()


@attrs.define
class PeerTable:
    """Known peers, addresses and data centres.

    Times are monotonic seconds, passed in by the caller.

    An address whose data centre is not known yet is mapped to "".
    """

    own_identity: PeerIdentity
    _record_by_instance: dict[str, PeerRecord] = attrs.field(factory=dict)
    _remote_by_data_centre: dict[str, _RemoteDataCentre] = attrs.field(factory=dict)
    _data_centre_by_address: dict[str, str] = attrs.field(factory=dict)
    _sent_s_by_data_centre: dict[str, float] = attrs.field(factory=dict)
    _requested: set[str] = attrs.field(factory=set)
    _attempts_by_data_centre: Counter[str] = attrs.field(factory=Counter)
    _replaced_incarnations: deque[str] = attrs.field(
        factory=lambda: deque(maxlen=MAX_REPLACED)
    )
    _summary_sequence: int = 0

    def learn_address(self, address: str, data_centre: str) -> None:
        """Add an address at which an entry host of a data centre may be reached."""
        if address != self.own_identity.address and (
            data_centre or address not in self._data_centre_by_address
        ):
            self._data_centre_by_address[address] = data_centre

    def forget_address(self, address: str) -> None:
        """Remove an address at which no entry host is expected any more."""
        self._data_centre_by_address.pop(address, None)

    def addresses(self, data_centre: str) -> list[str]:
        """Return the known addresses in a data centre, sorted."""
        return sorted(
            a for a, name in self._data_centre_by_address.items() if name == data_centre
        )

    def local_addresses(self) -> list[str]:
        """Return the addresses of the own data centre.

        Those whose data centre is unknown, and which may be in it, come first.
        """
        return self.addresses("") + self.addresses(self.own_identity.data_centre)

    def instance_by_address(self, now_s: float) -> dict[str, str]:
        """Map each known address to the live peer at it, or else to the address."""
        names = {address: address for address in self._data_centre_by_address}
        for instance, report in self.reports(now_s).items():
            names[report.identity.address] = instance
        names.pop(self.own_identity.address, None)
        return names

    def knows(self, identity: PeerIdentity) -> bool:
        """Return whether a heartbeat of this incarnation was received before."""
        record = self._record_by_instance.get(identity.instance)
        return record is not None and record.identity == identity

    def record_heartbeat(
        self, identity: PeerIdentity, beat: Heartbeat, now_s: float
    ) -> bool:
        """Record a heartbeat and return whether it was accepted.

        A heartbeat from this instance itself, from a replaced incarnation or with a
        sequence number that is not newer is ignored.
        """
        if (
            identity == self.own_identity
            or identity.incarnation in self._replaced_incarnations
        ):
            return False
        record = self._record_by_instance.get(identity.instance)
        if record is None or record.identity != identity:
            self._replace_predecessors(identity)
            record = PeerRecord(identity, now_s)
            self._record_by_instance[identity.instance] = record
            self.learn_address(identity.address, identity.data_centre)
        if beat.sequence <= record.sequence:
            return False
        record.sequence = beat.sequence
        record.received_s = now_s
        record.configuration_version = beat.configuration_version
        record.draining = beat.draining
        record.loads.take(beat.loads, now_s)
        return True

    def hear_summary(self, summary: Summary, now_s: float) -> bool:
        """Record the summary of another data centre; return whether to relay it now."""
        name = summary.data_centre
        if name == self.own_identity.data_centre:
            return False
        self._attempts_by_data_centre[name] = 0
        for member in summary.members:
            self.learn_address(member.identity.address, name)
        remote = self._remote_by_data_centre.get(name)
        if remote is None:
            remote = self._remote_by_data_centre[name] = _RemoteDataCentre(
                summary, now_s
            )
        remote.summary = summary
        remote.received_s = now_s
        return self._should_relay(remote, now_s)

    def _should_relay(self, remote: _RemoteDataCentre, now_s: float) -> bool:
        recipients = frozenset(peer.identity.incarnation for peer in self.live(now_s))
        is_relayed = remote.relayed == remote.summary.members
        is_relayed = is_relayed and recipients <= remote.recipients
        if is_relayed and now_s - remote.relayed_s < RELAY_PERIOD_S:
            return False
        remote.relayed_s = now_s
        remote.relayed = remote.summary.members
        remote.recipients = recipients
        return True

    def live(self, now_s: float) -> list[PeerRecord]:
        """Return the peers of this data centre with a recent heartbeat."""
        return [
            record
            for record in self._record_by_instance.values()
            if record.identity.data_centre == self.own_identity.data_centre
            and now_s - record.received_s <= HEARTBEAT_TIMEOUT_S
        ]

    def reports(self, now_s: float) -> dict[str, MemberReport]:
        """Return the reports of the live peers in all data centres, by instance."""
        reports = {}
        for remote in self._remote_by_data_centre.values():
            if now_s - remote.received_s <= SUMMARY_LIFETIME_S:
                for member in remote.summary.members:
                    reports[member.identity.instance] = member
        for record in self.live(now_s):
            reports[record.identity.instance] = _report(record)
        return reports

    def summarise(self, version: int, draining: bool, now_s: float) -> Summary:
        """Build the summary of this data centre, including this instance."""
        self._summary_sequence += 1
        members = [MemberReport(self.own_identity, version, draining)]
        members += [_report(record) for record in self.live(now_s)]
        members.sort(key=lambda member: member.identity.instance)
        return Summary(
            self.own_identity.data_centre, self._summary_sequence, tuple(members)
        )

    def in_flight(self, host_ids: Iterable[str], now_s: float) -> dict[str, int]:
        """Return the live peers' requests in flight by host, omitting zero counts."""
        counts: Counter[bytes] = Counter()
        for record in self.live(now_s):
            for hashed, count in record.loads.items(now_s):
                counts[hashed] += count
        if not counts:
            return {}
        by_host = {host_id: counts.get(host_hash(host_id), 0) for host_id in host_ids}
        return {host_id: count for host_id, count in by_host.items() if count}

    def remote_data_centres(self) -> list[str]:
        """Return the names of the other known data centres."""
        return sorted(
            set(self._data_centre_by_address.values())
            - {self.own_identity.data_centre, ""}
        )

    def is_delegate(self, data_centre: str, now_s: float) -> bool:
        """Return whether this instance speaks for its data centre to another one."""
        members = [record.identity.instance for record in self.live(now_s)]
        return (
            rank([*members, self.own_identity.instance], data_centre)[0]
            == self.own_identity.instance
        )

    def remote_addresses(self, now_s: float) -> list[str]:
        """Return one address in each data centre this instance is delegate for."""
        names = self.remote_data_centres()
        return [
            self._next_remote_address(n) for n in names if self.is_delegate(n, now_s)
        ]

    def _next_remote_address(self, data_centre: str) -> str:
        """Return the address to try next, skipping any that does not respond."""
        order = rank(self.addresses(data_centre), self.own_identity.data_centre)
        attempts = self._attempts_by_data_centre[data_centre]
        return order[attempts // ATTEMPTS_PER_ADDRESS % len(order)]

    def request_summaries(self, now_s: float) -> None:
        """Make a summary due immediately to each data centre it is the delegate for."""
        names = self.remote_data_centres()
        self._requested.update(name for name in names if self.is_delegate(name, now_s))

    def due_summaries(self, now_s: float) -> list[tuple[str, str]]:
        """Return the (data centre, address) pairs to which a summary is due.

        Of two data centres, the first by name initiates the exchange; the other
        initiates only if it receives no summaries. An address is skipped after
        ATTEMPTS_PER_ADDRESS attempts without a response.
        """
        due = []
        for name in self.remote_data_centres():
            if not self._is_due(name, now_s) or not self.is_delegate(name, now_s):
                continue
            due.append((name, self._next_remote_address(name)))
        return due

    def record_summary_attempt(
        self, data_centre: str, sent: bool, now_s: float
    ) -> None:
        """Record an attempt to send a summary; if it was not sent, it stays due."""
        self._attempts_by_data_centre[data_centre] += 1
        if sent:
            self._sent_s_by_data_centre[data_centre] = now_s
            self._requested.discard(data_centre)

    def _is_due(self, data_centre: str, now_s: float) -> bool:
        if data_centre in self._requested:
            return True
        sent_s = self._sent_s_by_data_centre.get(data_centre, float("-inf"))
        if now_s - sent_s < SUMMARY_PERIOD_S * (1.0 - PERIOD_JITTER):
            return False
        return self._initiates(data_centre, now_s)

    def _initiates(self, data_centre: str, now_s: float) -> bool:
        if self.own_identity.data_centre < data_centre:
            return True
        remote = self._remote_by_data_centre.get(data_centre)
        return remote is None or now_s - remote.received_s > SUMMARY_TIMEOUT_S

    def _replace_predecessors(self, identity: PeerIdentity) -> None:
        for record in list(self._record_by_instance.values()):
            old = record.identity
            if old.instance == identity.instance or old.address == identity.address:
                self._replaced_incarnations.append(old.incarnation)
                del self._record_by_instance[old.instance]


def _report(record: PeerRecord) -> MemberReport:
    return MemberReport(record.identity, record.configuration_version, record.draining)
