"""Whether a failed try is followed by another."""

__all__ = ["RetryBudget", "RetryContext", "may_retry"]

from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome

DEFAULT_RETRY_SHARE = 0.08
MAX_SAVED_RETRIES = 5.0
MAX_ATTEMPTS = 4


@dataclass
class RetryBudget:
    """Retries that a service may make: a share of its successes.

    :ivar saved: retries that may be made now
    """

    share: float = DEFAULT_RETRY_SHARE
    saved: float = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Note a success."""
        self.saved = min(self.saved + self.share, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry if there is one."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


class RetryContext(NamedTuple):
    """What the decision depends on.

    :ivar left: seconds until the request's deadline
    :ivar expected: seconds that another try is expected to take
    """

    outcome: Outcome
    idempotent: bool
    attempts: int
    seconds_left: float
    expected: float


def may_retry(question: RetryContext, budget: RetryBudget) -> bool:
    """Say whether another try may be made, and take it from the budget."""
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
