"""The request that callers pass to the core."""

__all__ = ["CallerRequest"]

from typing import NamedTuple

from tanagertrail.model import Priority


class CallerRequest(NamedTuple):
    """One request of a caller.

    :ivar deadline: event-loop time in seconds by which the whole answer must have arrived
    :ivar repeatable: whether the request is safe to run more than once
    :ivar streamed: whether the answer is a stream of token events
    :ivar resume_from: number of the answer's tokens that an earlier run has saved
    :ivar resume_text: the text of those tokens
    """

    request_id: str
    service: str
    method: str
    path: str
    body: bytes
    deadline: float
    customer: str = "default"
    priority: Priority = Priority.QUESTION
    content_type: str = "application/json"
    idempotency_key: str = ""
    repeatable: bool = True
    streamed: bool = False
    resume_from: int = 0
    resume_text: str = ""
