"""Decisions on whether a failed attempt is retried."""

__all__ = ["RetryBudget", "RetryContext", "may_retry"]

from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome

DEFAULT_RETRY_SHARE = 0.08
MAX_SAVED_RETRIES = 5.0
MAX_ATTEMPTS = 4


@dataclass
class RetryBudget:
    """Limits a service's retries to a share of its successes.

    :ivar share: retries earned by each success
    :ivar saved: retries that are available now
    """

    share: float = DEFAULT_RETRY_SHARE
    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Add the share of a retry that a success earns."""
        self.saved = min(self.saved + self.share, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take a retry from the budget; return whether one was available."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class RetryContext(NamedTuple):
    """State of a request on which the decision depends.

    :ivar outcome: outcome of the last attempt
    :ivar attempts: attempts made so far
    :ivar seconds_left: seconds until the request's deadline
    :ivar expected: seconds that another attempt is expected to take
    """

    outcome: Outcome
    idempotent: bool
    attempts: int
    seconds_left: float
    expected: float


def may_retry(question: RetryContext, budget: RetryBudget) -> bool:
    """Return whether a request may be retried; if so, the retry is taken from the budget."""
    outcome = question.outcome
    if isinstance(outcome, Answered):
        return False
    if not isinstance(outcome, NotRun) and not question.idempotent:
        return False
    if isinstance(outcome, Failed) and outcome.status < 500:
        return False
    if question.attempts >= MAX_ATTEMPTS or question.seconds_left <= question.expected:
        return False
    return budget.spend()
