"""Outcomes of a request; their types tell whether it ran, did not run, or may have run."""

__all__ = ["Answered", "Failed", "NotRun", "Outcome", "Step", "Unknown", "describe_run"]

import enum
from dataclasses import dataclass, field


class Step(enum.StrEnum):
    """Steps of request processing, in order."""

    ADDRESS = "address"
    ADMISSION = "admission"
    QUEUE = "queue"
    CHOICE = "choice"
    DISPATCH = "dispatch"
    HEAD = "head"
    STREAM = "stream"
    END = "end"
    RECORD = "record"


@dataclass(frozen=True)
class Answered:
    """The request ran and its complete response was delivered or recorded.

    :ivar peer: upstream or daemon that the outcome comes from
    :ivar tokens: tokens delivered
    :ivar tokens_recomputed: tokens delivered by earlier upstreams, which the last recomputed
    """

    peer: str
    step: Step = Step.END
    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    tokens: int = 0
    tokens_recomputed: int = 0


@dataclass(frozen=True)
class NotRun:
    """The request is certain not to have run.

    :ivar step: step at which it ended
    :ivar peer: upstream, daemon or service that refused or failed it
    :ivar retry_after: seconds after which the caller may retry, None if it should not
    """

    step: Step
    peer: str
    reason: str
    status: int = 503
    retry_after: float | None = 1.0


@dataclass(frozen=True)
class Failed:
    """The request ran and failed.

    :ivar step: step at which it failed
    :ivar tokens: tokens delivered before the failure
    """

    step: Step
    peer: str
    reason: str
    status: int = 502
    tokens: int = 0
    retry_after: float | None = None


@dataclass(frozen=True)
class Unknown:
    """The request may or may not have run.

    :ivar step: step at which its outcome became unknown
    :ivar crashed: whether the upstream crashed while the request was in flight
    """

    step: Step
    peer: str
    reason: str
    status: int = 504
    retry_after: float | None = None
    crashed: bool = field(default=False)


Outcome = Answered | NotRun | Failed | Unknown

RAN_BY_OUTCOME: dict[type, str] = {NotRun: "no", Failed: "yes", Answered: "yes", Unknown: "unknown"}


def describe_run(outcome: Outcome) -> str:
    """Return whether the request ran, as ``no``, ``yes`` or ``unknown``."""
    return RAN_BY_OUTCOME[type(outcome)]
