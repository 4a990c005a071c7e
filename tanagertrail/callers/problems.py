"""Problem documents (``application/problem+json``) that tell callers whether the request ran."""

__all__ = ["PROBLEM_TYPE", "build_problem"]

from typing import TypedDict

from tanagertrail.outcomes import Answered, Outcome, describe_run

PROBLEM_TYPE = "application/problem+json"

TITLES_BY_STATUS: dict[int, str] = {
    400: "Bad request",
    404: "Not found",
    409: "Conflict",
    413: "Body too large",
    422: "Refused",
    502: "The upstream failed",
    503: "Not available now",
    504: "No answer in time",
}


class Problem(TypedDict, total=False):
    """An RFC 9457 problem document with extension members.

    :ivar ran: whether the request ran: ``no``, ``yes`` or ``unknown``
    :ivar step: the step at which the request ended
    :ivar peer: the daemon, upstream or store that the outcome is attributed to
    :ivar retry_after: seconds after which the caller may retry; absent if no retry is advised
    """

    title: str
    status: int
    detail: str
    ran: str
    step: str
    peer: str
    retry_after: float
    request_id: str


def build_problem(outcome: Outcome, request_id: str) -> Problem:
    """Build the problem document for any outcome but an answer.

    :raises ValueError: if the outcome is an answer
    """
    if isinstance(outcome, Answered):
        raise ValueError("an answered request has no problem document")
    problem = Problem(
        title=TITLES_BY_STATUS.get(outcome.status, "Error"),
        status=outcome.status,
        detail=outcome.reason,
        ran=describe_run(outcome),
        step=str(outcome.step),
        peer=outcome.peer,
        request_id=request_id,
    )
    if outcome.retry_after is not None:
        problem["retry_after"] = outcome.retry_after
    return problem
