"""Exceptions raised by tanagertrail."""

__all__ = [
    "BodyTooLargeError",
    "ConflictError",
    "DecodeError",
    "FrameError",
    "IncompleteResponseError",
    "InvalidInputError",
    "PlatformError",
    "RateLimitedError",
    "ReleaseTooOldError",
    "SettingsError",
    "StoreUnavailableError",
    "StoreOutcomeUnknownError",
    "TanagertrailError",
    "TicketError",
    "UpstreamConnectError",
    "UpstreamProtocolError",
    "UpstreamRefusedError",
    "Violation",
]

from typing import NamedTuple


class TanagertrailError(Exception):
    """Base class of all exceptions of this package."""


class Violation(NamedTuple):
    """One violation of a rule in an input document.

    :ivar field: path of the field
    :ivar rule: the rule that it must follow
    :ivar value: the value found, shortened for display
    """

    field: str
    rule: str
    value: str

    def __str__(self) -> str:
        return f"{self.field}: {self.rule} (seen: {self.value})"


class InvalidInputError(TanagertrailError):
    """An input document violates one or more rules."""

    def __init__(self, violations: list[Violation]) -> None:
        super().__init__("; ".join(str(violation) for violation in violations))
        self.violations = violations


class BodyTooLargeError(InvalidInputError):
    """The body of a request is larger than its limit."""


class SettingsError(InvalidInputError):
    """The settings file violates one or more rules."""


class IncompleteResponseError(TanagertrailError):
    """A request's handler ended without a complete response."""


class TicketError(InvalidInputError):
    """A ticket violates one or more rules."""


class DecodeError(TanagertrailError):
    """A document from outside cannot be decoded or exceeds a bound."""


class FrameError(TanagertrailError):
    """A frame between daemons is malformed, oversized or of an unknown type."""


class ReleaseTooOldError(FrameError):
    """A daemon's state has fewer fields than those of the oldest release that is read.

    :ivar daemon: name of the daemon, empty if it could not be read
    """

    def __init__(self, daemon: str, field_count: int) -> None:
        super().__init__(f"a state of daemon {daemon!r} has only {field_count} fields")
        self.daemon = daemon


class PlatformError(TanagertrailError):
    """A platform call failed."""


class StoreUnavailableError(PlatformError):
    """The object API rejected the call or could not be reached; the call had no effect."""


class RateLimitedError(StoreUnavailableError):
    """The platform rejected the call because of its rate limit."""


class StoreOutcomeUnknownError(PlatformError):
    """No response of the object API arrived; the call may have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found a version other than the expected one."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"{key}: expected version {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found


class UpstreamConnectError(TanagertrailError):
    """Connecting to the upstream failed, so no request was sent."""


class UpstreamRefusedError(TanagertrailError):
    """The upstream rejected the request before running it."""


class UpstreamProtocolError(TanagertrailError):
    """The upstream violated its protocol or closed early after the request was sent."""
