"""Exceptions raised by tanagertrail."""

__all__ = [
    "BodyTooLargeError",
    "ConflictError",
    "FrameError",
    "InvalidInputError",
    "PlatformError",
    "RateLimitedError",
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
    """Base of all exceptions of this package."""


class Violation(NamedTuple):
    """One broken rule in an input document."""

    field: str
    rule: str
    value: str

    def __str__(self) -> str:
        return f"{self.field}: {self.rule} (seen: {self.value})"


class InvalidInputError(TanagertrailError):
    """An input document breaks one or more rules."""

    def __init__(self, violations: list[Violation]) -> None:
        super().__init__("; ".join(str(violation) for violation in violations))
        self.violations = violations


class BodyTooLargeError(InvalidInputError):
    """A request's body is longer than its limit."""


class SettingsError(InvalidInputError):
    """The settings file breaks one or more rules."""


class TicketError(InvalidInputError):
    """A ticket breaks one or more rules."""


class FrameError(TanagertrailError):
    """A frame between daemons is malformed, oversized or of an unknown type."""


class PlatformError(TanagertrailError):
    """A platform call failed."""


class StoreUnavailableError(PlatformError):
    """The object API refused the call or was not reached; the call had no effect."""


class RateLimitedError(StoreUnavailableError):
    """The platform refused the call because of its rate limit."""


class StoreOutcomeUnknownError(PlatformError):
    """The answer of the object API was lost; the call may have taken effect."""


class ConflictError(PlatformError):
    """A conditional write found another version than it expected."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(f"{key}: expected version {expected}, found {found}")
        self.key = key
        self.expected = expected
        self.found = found


class UpstreamConnectError(TanagertrailError):
    """No connection to the upstream was made, so nothing was sent."""


class UpstreamRefusedError(TanagertrailError):
    """The upstream refused the request before it ran."""


class UpstreamProtocolError(TanagertrailError):
    """An upstream broke its protocol or closed early after the request was sent."""
