"""Which entry hosts there are, by rows on the platform, and what each has in force."""

import logging
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import cattrs
import trio

from rhubarbmount import __version__
from rhubarbmount.errors import RhubarbmountError
from rhubarbmount.log import event
from rhubarbmount.peer_messages import MemberReport, PeerIdentity
from rhubarbmount.shared_rows import FORMAT
from rhubarbmount.store.client import PlatformClient
from rhubarbmount.store.interface import Precondition, Row, Transaction, Write
from rhubarbmount.tables import INSTANCES_TABLE
from rhubarbmount.timers import TimerService

__all__ = [
    "ConfigurationStatus",
    "InstanceRecord",
    "InstanceRows",
    "ProgramVersion",
    "weigh_status",
]

RENEWAL_PERIOD_S = 30.0
ABANDONED_AFTER_S = 7200.0

_converter = cattrs.Converter()
_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """An entry host's row; ``renewals`` rises while it lives.

    ``program`` is its version, and ``format`` the newest of shared rows that it knows;
    versions that tell neither leave them empty.
    """

    instance: str
    data_centre: str
    address: str
    incarnation: str
    configuration_version: int = 0
    renewals: int = 0
    program: str = ""
    format: int = 0


@attrs.frozen
class ProgramVersion:
    """What an entry host runs; empty and 0 if it does not tell."""

    program: str = __version__
    format: int = FORMAT


@attrs.frozen
class ConfigurationStatus:
    """How far a configuration version has come.

    ``behind`` maps live instances to the earlier version that they run; ``silent``
    maps those not heard from here to the version that they last recorded. ``programs``
    tells what each runs, by its row.
    """

    version: int
    current: list[str]
    behind: dict[str, int]
    silent: dict[str, int]
    programs: dict[str, ProgramVersion] = attrs.field(factory=dict)

    @property
    def in_force(self) -> bool:
        """Return whether every instance is known to run the version or a later one."""
        return not self.behind and not self.silent


def weigh_status(
    version: int,
    recorded_version_by_instance: Mapping[str, int],
    reported_version_by_instance: Mapping[str, int],
) -> ConfigurationStatus:
    """Say which instances run a version: rows name them, what is heard counts.

    >>> weigh_status(3, {"a": 3, "b": 1, "c": 3}, {"a": 3, "b": 2}).in_force
    False
    """
    current = []
    behind = {}
    for instance, reported in sorted(reported_version_by_instance.items()):
        if reported >= version:
            current.append(instance)
        else:
            behind[instance] = reported
    silent = {
        instance: recorded
        for instance, recorded in sorted(recorded_version_by_instance.items())
        if instance not in reported_version_by_instance
    }
    return ConfigurationStatus(version, current, behind, silent)


@attrs.define
class _LastRenewal:
    """How often a row had been renewed when its last change was seen."""

    renewals: int
    changed_s: float


@attrs.define(eq=False)
class InstanceRows:
    """Keep this instance's row, and know the others'.

    ``reports`` returns what peers report, by instance. An instance that neither is
    heard nor renews its row for long loses the row.
    """

    platform: PlatformClient
    own_identity: PeerIdentity
    version: Callable[[], int]
    reports: Callable[[], Mapping[str, MemberReport]]
    learn_address: Callable[[str, str], None]
    forget_address: Callable[[str], None]
    clock: Callable[[], float] = trio.current_time
    by_instance: dict[str, InstanceRecord] = attrs.field(factory=dict, init=False)
    _renewals: int = attrs.field(default=0, init=False)
    _last_renewal_by_instance: dict[str, _LastRenewal] = attrs.field(
        factory=dict, init=False
    )

    async def run(self, timers: TimerService) -> None:
        """Renew the row and read the others' until cancelled."""
        await self.renew()
        async for _ in timers.every("instances", RENEWAL_PERIOD_S, jitter=0.2):
            await self.renew()

    async def renew(self) -> None:
        """Write the row and read the others'; an outage is left to the next time."""
        try:
            await self._write()
            await self.read()
        except RhubarbmountError as error:
            event(_logger, "instance-not-renewed", logging.WARNING, code=error.code)

    async def read(self) -> None:
        """Read all rows, learn addresses and drop rows that were abandoned."""
        rows = await self.platform.scan(INSTANCES_TABLE)
        previous = self.by_instance
        self.by_instance = {row.key: _load(row) for row in rows}
        for record in self.by_instance.values():
            self.learn_address(record.address, record.data_centre)
        gone = {record.address for record in previous.values()}
        gone -= {record.address for record in self.by_instance.values()}
        for address in gone:
            self.forget_address(address)
        for row in rows:
            await self._drop_if_abandoned(row)

    async def remove(self) -> None:
        """Remove this instance's row at a planned stop."""
        write = Write(INSTANCES_TABLE, self.own_identity.instance, None)
        condition = Precondition(
            INSTANCES_TABLE,
            self.own_identity.instance,
            equals={"incarnation": self.own_identity.incarnation},
        )
        try:
            await self._transact("stop", (condition,), write)
        except RhubarbmountError as error:
            event(_logger, "instance-not-removed", logging.WARNING, code=error.code)

    async def read_status(self) -> ConfigurationStatus:
        """Read the rows if the platform lets us, and weigh them."""
        try:
            await self.read()
        except RhubarbmountError as error:
            event(_logger, "instances-not-read", logging.WARNING, code=error.code)
        return self.status()

    def status(self) -> ConfigurationStatus:
        """Say how far the version in force here has come."""
        return self.status_of(self.version())

    def status_of(self, version: int) -> ConfigurationStatus:
        """Say how far a version has come, by what was last read and heard."""
        reported = {
            instance: report.configuration_version
            for instance, report in self.reports().items()
        }
        reported[self.own_identity.instance] = self.version()
        recorded = {
            record.instance: record.configuration_version
            for record in self.by_instance.values()
        }
        status = weigh_status(version, recorded, reported)
        return attrs.evolve(status, programs=self._programs())

    def lowest_format(self) -> int:
        """Return the format that every entry host is known to know; 0 if none is.

        Silent ones count, and those whose rows are not read yet know none.
        """
        if self.own_identity.instance not in self.by_instance:
            return 0
        formats = {name: program.format for name, program in self._programs().items()}
        unread = self.reports().keys() - formats.keys()
        return min([*formats.values(), *(0 for _ in unread)])

    def _programs(self) -> dict[str, ProgramVersion]:
        programs = {
            record.instance: ProgramVersion(record.program, record.format)
            for record in self.by_instance.values()
        }
        return programs | {self.own_identity.instance: ProgramVersion()}

    async def _write(self) -> None:
        self._renewals += 1
        record = InstanceRecord(
            instance=self.own_identity.instance,
            data_centre=self.own_identity.data_centre,
            address=self.own_identity.address,
            incarnation=self.own_identity.incarnation,
            configuration_version=self.version(),
            renewals=self._renewals,
            program=__version__,
            format=FORMAT,
        )
        write = Write(
            INSTANCES_TABLE, self.own_identity.instance, _converter.unstructure(record)
        )
        await self._transact(f"renew-{self._renewals}", (), write)

    async def _transact(
        self, purpose: str, conditions: tuple[Precondition, ...], write: Write
    ) -> None:
        operation_id = f"instance-{self.own_identity.incarnation}-{purpose}-{write.key}"
        transaction = Transaction(operation_id, conditions, (write,))
        await self.platform.transact(transaction, resolve_outcome=False)

    async def _drop_if_abandoned(self, row: Row) -> None:
        record = self.by_instance[row.key]
        if row.key == self.own_identity.instance or not self._is_abandoned(record):
            return
        event(_logger, "instance-abandoned", instance=row.key, address=record.address)
        condition = Precondition(INSTANCES_TABLE, row.key, version=row.version)
        write = Write(INSTANCES_TABLE, row.key, None)
        await self._transact(f"drop-{row.version}", (condition,), write)

    def _is_abandoned(self, record: InstanceRecord) -> bool:
        if record.address == self.own_identity.address:
            return True
        now_s = self.clock()
        last_renewal = self._last_renewal_by_instance.get(record.instance)
        reported = record.instance in self.reports()
        if last_renewal is None or last_renewal.renewals != record.renewals or reported:
            self._last_renewal_by_instance[record.instance] = _LastRenewal(
                record.renewals, now_s
            )
            return False
        return now_s - last_renewal.changed_s >= ABANDONED_AFTER_S


def _load(row: Row) -> InstanceRecord:
    values: dict[str, Any] = dict(row.value)
    return _converter.structure(values, InstanceRecord)
