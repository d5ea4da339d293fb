"""The settings of one entry host, read from YAML and validated."""

import attrs

from rhubarbmount.duties import LeaseBounds
from rhubarbmount.errors import Finding, FindingsError
from rhubarbmount.host_work import WorkBounds
from rhubarbmount.http import HttpLimits
from rhubarbmount.repair import RepairBounds
from rhubarbmount.structure import structure
from rhubarbmount.yaml_file import YamlFile, read_yaml

__all__ = [
    "Endpoint",
    "FleetSettings",
    "LogSettings",
    "OperatorSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
    "Weights",
    "check_settings",
    "load_settings",
]

CURVE_KEY_LENGTH = 40
LOG_LEVELS = ("debug", "info", "warning", "error")


@attrs.frozen(kw_only=True)
class Endpoint:
    """An IP address and port to listen on; port 0 picks a free port."""

    address: str
    port: int


@attrs.frozen(kw_only=True)
class PlatformSettings:
    """The adapter for the platform, and the platform's address."""

    adapter: str = "http"
    address: str = "127.0.0.1:9000"
    timeout_s: float = 2.0


@attrs.frozen(kw_only=True)
class PeerSettings:
    """Listening address for peers, initial peers, and the CURVE keys.

    Addresses are ``IP:port``. All entry hosts of a deployment share one CURVE key pair,
    encoded in Z85; messages from peers without it are not received. Port 0 picks a free
    port.
    """

    address: str
    port: int
    peers: tuple[str, ...] = ()
    public_key: str = ""
    secret_key: str = ""


@attrs.frozen(kw_only=True)
class LogSettings:
    """Log level and destination, which is a file or ``stderr``."""

    level: str = "info"
    destination: str = "stderr"


@attrs.frozen(kw_only=True)
class Weights:
    """The weight of each cost when maintenance is planned."""

    roll_out_time: float = 1.0
    buffer_hosts: float = 1.0
    host_moves: float = 1.0


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Timing of the fleet duties, and the pool that spare hosts come from.

    Without ``duties``, this entry host never works on hosts. With ``cadence``, waves
    start automatically when they are due by a pool's cadence.
    """

    duties: bool = True
    cadence: bool = False
    buffer_pool: str = ""
    lease: LeaseBounds = attrs.field(factory=LeaseBounds)
    work: WorkBounds = attrs.field(factory=WorkBounds)
    repair: RepairBounds = attrs.field(factory=RepairBounds)


@attrs.frozen(kw_only=True)
class OperatorSettings:
    """The SHA-256 digest of an operator's token, and the owners it grants access to."""

    token_sha256: str
    owners: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Settings:
    """The complete settings of one entry host, read at start."""

    instance: str
    data_centre: str
    callers: Endpoint
    operators: Endpoint
    metrics: Endpoint
    peers: PeerSettings | None = None
    platform: PlatformSettings = attrs.field(factory=PlatformSettings)
    http: HttpLimits = attrs.field(factory=HttpLimits)
    max_connections: int = 1024
    max_in_flight: int = 512
    stop_notice_s: float = 2.0
    stop_timeout_s: float = 30.0
    log: LogSettings = attrs.field(factory=LogSettings)
    weights: Weights = attrs.field(factory=Weights)
    fleet: FleetSettings = attrs.field(factory=FleetSettings)
    operators_by_name: dict[str, OperatorSettings] = attrs.field(factory=dict)


def check_settings(file: YamlFile) -> tuple[Settings | None, list[Finding]]:
    """Return the settings, None if they cannot be built, and all findings."""
    settings, faults = structure(file.values, Settings)
    findings = [
        Finding(file.place(fault.path), fault.code, fault.message) for fault in faults
    ]
    if settings is not None:
        findings.extend(_check_values(file, settings))
    return settings, findings


def load_settings(name: str) -> Settings:
    """Read settings from a file. Raises FindingsError if there is any finding."""
    settings, findings = check_settings(read_yaml(name))
    if settings is None or findings:
        raise FindingsError(findings)
    return settings


def _check_values(file: YamlFile, settings: Settings) -> list[Finding]:
    findings = []
    for name in ("callers", "operators", "metrics", "peers"):
        endpoint = getattr(settings, name)
        port = 0 if endpoint is None else endpoint.port
        if not 0 <= port <= 65535:
            message = f"port {port} is not between 0 and 65535"
            findings.append(Finding(file.place((name, "port")), "bad-value", message))
    findings.extend(_check_peer_keys(file, settings))
    if settings.stop_timeout_s <= 0:
        place = file.place(("stop_timeout_s",))
        findings.append(Finding(place, "bad-value", "must be above 0"))
    if settings.stop_notice_s < 0:
        place = file.place(("stop_notice_s",))
        findings.append(Finding(place, "bad-value", "must not be below 0"))
    if settings.log.level not in LOG_LEVELS:
        message = f"{settings.log.level!r} is not one of {', '.join(LOG_LEVELS)}"
        findings.append(Finding(file.place(("log", "level")), "bad-value", message))
    return findings


def _check_peer_keys(file: YamlFile, settings: Settings) -> list[Finding]:
    if settings.peers is None:
        return []
    findings = []
    for name in ("public_key", "secret_key"):
        if len(getattr(settings.peers, name)) != CURVE_KEY_LENGTH:
            message = (
                f"a CURVE key has {CURVE_KEY_LENGTH} characters; 'keys' generates one"
            )
            findings.append(Finding(file.place(("peers", name)), "bad-value", message))
    return findings
