"""Tagged outcomes of a request, which never blur what ran with what did not."""

__all__ = ["Answered", "Failed", "NotRun", "Outcome", "Step", "Unknown", "describe_run"]

import enum
from dataclasses import dataclass, field


class Step(enum.StrEnum):
    """Steps of a request, in the order in which they are taken."""

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
    """The request ran and its whole answer was delivered or recorded."""

    peer: str
    step: Step = Step.END
    status: int = 200
    body: bytes = b""
    content_type: str = "application/json"
    tokens: int = 0
    tokens_recomputed: int = 0


@dataclass(frozen=True)
class NotRun:
    """The request is proved not to have run.

    :ivar retry_after: seconds after which the caller may ask again, None for never
    """

    step: Step
    peer: str
    reason: str
    status: int = 503
    retry_after: float | None = 1.0


@dataclass(frozen=True)
class Failed:
    """The request ran and failed.

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
    """The request may or may not have run."""

    step: Step
    peer: str
    reason: str
    status: int = 504
    retry_after: float | None = None
    crashed: bool = field(default=False)


Outcome = Answered | NotRun | Failed | Unknown

RAN_BY_OUTCOME: dict[type, str] = {NotRun: "no", Failed: "yes", Answered: "yes", Unknown: "unknown"}


def describe_run(outcome: Outcome) -> str:
    """Say whether the request ran: ``no``, ``yes`` or ``unknown``."""
    return RAN_BY_OUTCOME[type(outcome)]
