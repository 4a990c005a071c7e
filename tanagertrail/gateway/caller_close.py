"""Reasons for which callers' connections close."""

__all__ = ["CloseReason", "RequestState"]

import enum


class CloseReason(enum.StrEnum):
    """Why a caller's connection was closed.

    ``ANNOUNCED`` follows a ``Connection: close`` of either side. ``BROKEN_OFF`` cuts a response
    that cannot be completed, so that it does not look complete.
    """

    CALLER_CLOSED = "caller closed"
    CALLER_BROKE = "connection broke"
    IDLE = "idle"
    ANNOUNCED = "announced"
    REFUSED = "request refused"
    BROKEN_OFF = "response broken off"
    DEFECT = "defect"
    STOPPED = "stopped"


class RequestState(enum.StrEnum):
    """Progress of a caller's connection within a request."""

    IDLE = "idle"
    PARTLY_READ = "partly read"
    UNANSWERED = "unanswered"
    RESPONSE_BEGUN = "response begun"
