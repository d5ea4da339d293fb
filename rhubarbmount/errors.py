"""Exceptions with stable error codes, and findings of checks."""

import attrs

__all__ = [
    "AccessDenied",
    "AddressInUse",
    "ConflictError",
    "Finding",
    "FindingsError",
    "LeaseLost",
    "NotFound",
    "OtherLifetime",
    "OutcomeUnknown",
    "PlatformUnavailable",
    "Refused",
    "RhubarbmountError",
    "UsageError",
]


class RhubarbmountError(Exception):
    """Base class of the errors that this project raises deliberately."""

    code = "internal"
    status = 500

    def __init__(self, message: str, *, code: str | None = None) -> None:
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code


class AddressInUse(RhubarbmountError):
    """The listening address cannot be bound."""

    code = "address-unavailable"


class UsageError(RhubarbmountError):
    """A command or request is invalid."""

    code = "usage"
    status = 400


class NotFound(RhubarbmountError):
    """The named object does not exist."""

    code = "not-found"
    status = 404


class AccessDenied(RhubarbmountError):
    """The caller's token does not grant access to the entry."""

    code = "access-denied"
    status = 403


class ConflictError(RhubarbmountError):
    """Another writer has changed the rows since they were read."""

    code = "conflict"
    status = 409


class Refused(RhubarbmountError):
    """A rule forbids the operation; nothing was changed."""

    code = "refused"
    status = 409


class LeaseLost(RhubarbmountError):
    """The duty lease is no longer held."""

    code = "lease-lost"
    status = 503


class PlatformUnavailable(RhubarbmountError):
    """The platform cannot be reached; the call had no effect."""

    code = "platform-unavailable"
    status = 503


class OtherLifetime(PlatformUnavailable):
    """Another lifetime of a backend server has its address; the call was not sent."""

    code = "other-lifetime"

    def __init__(self, message: str, born_ms: int) -> None:
        super().__init__(message)
        self.born_ms = born_ms


class OutcomeUnknown(RhubarbmountError):
    """The call may or may not have taken effect."""

    code = "outcome-unknown"
    status = 503


@attrs.frozen
class Finding:
    """An error in a file or an entry, with its location.

    >>> str(Finding("a.yaml:3", "unknown-key", "no key 'colour'"))
    "a.yaml:3: unknown-key: no key 'colour'"
    """

    place: str
    code: str
    message: str

    def __str__(self) -> str:
        return f"{self.place}: {self.code}: {self.message}"


class FindingsError(RhubarbmountError):
    """A check found one or more errors."""

    code = "findings"
    status = 422

    def __init__(self, findings: list[Finding]) -> None:
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = findings
