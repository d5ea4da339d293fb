"""The settings file that the platform writes for each process."""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import attrs

from rhubarbmount.errors import Finding, FindingsError, UsageError

__all__ = ["SETTINGS_PATH_VARIABLE", "Bounds", "NodeSettings", "read_settings"]

SETTINGS_PATH_VARIABLE = "RHUBARBMOUNT_NODE_FILE"
DEFAULT_CONFIG_APPLY_MS = 2000.0
DEFAULT_STOP_MS = 1000.0


@attrs.frozen
class Bounds:
    """Limits set by the deployment; those that end in ``_s`` are in seconds."""

    contact_s: float
    drain_s: float
    grace_s: float
    max_lease_s: float
    early_s: float
    status_s: float
    lease_s: float
    migrate_s: float
    notice_s: float
    checkpoint_s: float
    remote_factor: float
    visible_s: float
    # Within which a configuration has to be in force.
    config_apply_s: float
    # How long a run may go on, and is listed as running, once it is told to stop.
    stop_s: float


@attrs.frozen
class NodeSettings:
    """A process's identity and resources, and the platform's addresses, at its start.

    Addresses have the form ``IP:PORT``; ``advice_address`` is empty if there is no
    advice service.
    """

    node_id: str
    ip: str
    data_centre: str
    callers_address: str
    ready_address: str
    store_address: str
    hosts_address: str
    advice_address: str
    first_port: int
    row_bytes: int
    # Processor time in units of a standard core, and bandwidth of the host's own link.
    cores: float
    link_mbps: float
    bounds: Bounds


class _Reader:
    """Reads values by their dotted path and collects a finding for each invalid one."""

    def __init__(self, values: Mapping[str, Any]) -> None:
        self._values = values
        self.findings: list[Finding] = []

    def text(self, path: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._find(path, default)
        if isinstance(value, str):
            return value
        self._add_finding(path, "expected a string")
        return ""

    def number(
        self, path: str, scale: float = 1.0, default: float | None = None
    ) -> float:
        """Return a finite non-negative number, multiplied by ``scale``."""
        value = self._find(path, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if is_number and math.isfinite(value) and value >= 0:
            return float(value) * scale
        self._add_finding(path, "expected a non-negative number")
        return 0.0

    def first_integer(self, path: str) -> int:
        """Return the first integer of a list."""
        value = self._find(path, None)
        if isinstance(value, list) and value and isinstance(value[0], int):
            return value[0]
        self._add_finding(path, "expected a list of integers")
        return 0

    def address(self, path: str, default: str | None = None) -> str:
        """Return an address with a port, or the default."""
        value = self.text(path, default)
        host, _, port = value.rpartition(":")
        if value == default or (host and port.isdigit()):
            return value
        self._add_finding(path, "expected IP:PORT")
        return ""

    def _find(self, path: str, default: Any) -> Any:
        value: Any = self._values
        for key in path.split("."):
            if not isinstance(value, Mapping) or key not in value:
                return default
            value = value[key]
        return value

    def _add_finding(self, path: str, message: str) -> None:
        if not any(finding.place == path for finding in self.findings):
            self.findings.append(Finding(path, "wrong-value", message))


def read_settings(path: Path) -> NodeSettings:
    """Read a settings file. Raises UsageError or FindingsError."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise UsageError(f"can't read {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise UsageError(f"{path} is not valid TOML: {error}") from None
    reader = _Reader(values)
    settings = _decode(reader)
    if reader.findings:
        raise FindingsError(reader.findings)
    return settings


def _decode(reader: _Reader) -> NodeSettings:
    return NodeSettings(
        node_id=reader.text("node_id"),
        ip=reader.text("ip"),
        data_centre=reader.text("zone"),
        callers_address=reader.address("listen.frontend"),
        ready_address=reader.address("listen.ready"),
        store_address=reader.address("platform.addr"),
        hosts_address=reader.address("cloud_api.addr", ""),
        advice_address=reader.address("advice", ""),
        first_port=reader.first_integer("port_range"),
        row_bytes=int(reader.number("platform.row_bytes")),
        cores=reader.number("limits.cpu_share", default=1.0)
        * reader.number("limits.cores", default=1.0),
        link_mbps=reader.number("limits.link_mbps", default=1000.0),
        bounds=_decode_bounds(reader),
    )


def _decode_bounds(reader: _Reader) -> Bounds:
    seconds_per_ms = 0.001
    return Bounds(
        contact_s=reader.number("bounds.contact_ms", seconds_per_ms),
        drain_s=reader.number("bounds.drain_ms", seconds_per_ms),
        grace_s=reader.number("bounds.grace_s"),
        max_lease_s=reader.number("bounds.hold_max_ms", seconds_per_ms),
        early_s=reader.number("bounds.early_ms", seconds_per_ms),
        status_s=reader.number("bounds.status_s"),
        lease_s=reader.number("bounds.lease_ms", seconds_per_ms),
        migrate_s=reader.number("bounds.migrate_s"),
        notice_s=reader.number("bounds.notice_ms", seconds_per_ms),
        checkpoint_s=reader.number("bounds.checkpoint_s"),
        remote_factor=reader.number("bounds.remote_factor"),
        visible_s=reader.number("bounds.visible_ms", seconds_per_ms),
        config_apply_s=reader.number(
            "bounds.config_apply_ms", seconds_per_ms, DEFAULT_CONFIG_APPLY_MS
        ),
        stop_s=reader.number("bounds.stop_ms", seconds_per_ms, DEFAULT_STOP_MS),
    )
