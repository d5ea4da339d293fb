"""The catalogue and the fleet as one entry host sees them."""

from collections.abc import Iterable, Mapping

import attrs

from rhubarbmount.configuration import Configuration
from rhubarbmount.entries import JobTemplate, Pool, Team
from rhubarbmount.fleet_view import FleetView
from rhubarbmount.hosts import Host

__all__ = ["LocalView"]


@attrs.frozen
class LocalView:
    """The catalogue in force on this entry host, and the hosts as last read."""

    configuration: Configuration
    fleet_view: FleetView

    def is_ready(self) -> bool:
        """Return whether both the catalogue and the hosts have been read."""
        return self.configuration.ready and self.fleet_view.ready

    def catalogue_version(self) -> int:
        """Return the version of the catalogue in force."""
        return self.configuration.version

    def teams(self) -> Iterable[Team]:
        """Return the teams in force."""
        snapshot = self.configuration.snapshot
        return [] if snapshot is None else snapshot.team_by_name.values()

    def pools(self) -> Iterable[Pool]:
        """Return the pools in force."""
        snapshot = self.configuration.snapshot
        return [] if snapshot is None else snapshot.pool_by_name.values()

    def job_templates(self) -> Mapping[str, JobTemplate]:
        """Return the job templates in force by name."""
        snapshot = self.configuration.snapshot
        return {} if snapshot is None else snapshot.job_template_by_name

    def hosts(self) -> Mapping[str, Host]:
        """Return the rows of all hosts by id."""
        return self.fleet_view.host_by_id
