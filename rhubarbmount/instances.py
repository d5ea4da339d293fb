"""Registry of entry hosts in platform rows, with the configuration each one runs."""

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
RETRY_PERIOD_S = 1.0
ABANDONED_AFTER_S = 7200.0

_converter = cattrs.Converter()
_logger = logging.getLogger(__name__)


@attrs.frozen(kw_only=True)
class InstanceRecord:
    """An entry host's row; ``renewals`` increases while it is alive.

    ``program`` is its program version and ``format`` the newest format of shared rows
    that it supports; program versions that report neither leave them at "" and 0.
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
    """The program version and row format of an entry host; "" and 0 if unreported."""

    program: str = __version__
    format: int = FORMAT


@attrs.frozen
class ConfigurationStatus:
    """The roll-out status of a configuration version.

    ``behind`` maps live instances to the earlier version that they run. ``silent``
    maps instances without a report from a peer to the version that they last recorded.
    ``programs`` maps each instance to the program that it runs, by its row.
    """

    version: int
    current: list[str]
    behind: dict[str, int]
    silent: dict[str, int]
    programs: dict[str, ProgramVersion] = attrs.field(factory=dict)

    @property
    def in_force(self) -> bool:
        """Whether every instance is known to run the version or a later one."""
        return not self.behind and not self.silent


def weigh_status(
    version: int,
    recorded_version_by_instance: Mapping[str, int],
    reported_version_by_instance: Mapping[str, int],
) -> ConfigurationStatus:
    """Compute which instances run a version.

    The rows list the instances; only the versions that peers report count as running.

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
    """The renewal count of a row, and when this instance saw it change last."""

    renewals: int
    changed_s: float


@attrs.define(eq=False)
class InstanceRows:
    """Maintains this instance's row and reads those of the others.

    ``reports`` returns the peers' reports by instance. The row of an instance that
    neither reports nor renews it for ``ABANDONED_AFTER_S`` is deleted.
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
    _is_overdue: bool = attrs.field(default=False, init=False)
    _last_renewal_by_instance: dict[str, _LastRenewal] = attrs.field(
        factory=dict, init=False
    )

    async def run(self, timers: TimerService) -> None:
        """Renew this instance's row and read the others until cancelled."""
        await self._renew_until_done(timers)
        async for _ in timers.every("instances", RENEWAL_PERIOD_S, jitter=0.2):
            await self._renew_until_done(timers)

    async def renew(self) -> bool:
        """Write this instance's row and read the others; return whether it succeeded.

        The first failure in a row is logged.
        """
        try:
            await self._write()
            await self.read()
        except RhubarbmountError as error:
            if not self._is_overdue:
                event(_logger, "instance-not-renewed", logging.WARNING, code=error.code)
            self._is_overdue = True
            return False
        self._is_overdue = False
        return True

    async def read(self) -> None:
        """Read all rows, update known addresses and delete abandoned rows."""
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
        """Delete this instance's row at a planned stop."""
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
        """Return the status from fresh rows, or the last ones if the read fails."""
        try:
            await self.read()
        except RhubarbmountError as error:
            event(_logger, "instances-not-read", logging.WARNING, code=error.code)
        return self.status()

    def status(self) -> ConfigurationStatus:
        """Return the roll-out status of the version in force on this instance."""
        return self.status_of(self.version())

    def status_of(self, version: int) -> ConfigurationStatus:
        """Return a version's roll-out status, by the latest rows and peer reports."""
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
        """Return the newest format that every entry host is known to support, or 0.

        Entry hosts without a report count by their rows; those whose rows have not been
        read yet count as supporting none.
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

    async def _renew_until_done(self, timers: TimerService) -> None:
        if await self.renew():
            return
        async for _ in timers.every("instance-retry", RETRY_PERIOD_S, jitter=0.2):
            if await self.renew():
                return

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
