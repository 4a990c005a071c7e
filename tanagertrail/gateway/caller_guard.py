"""Limits on what all callers of a daemon hold together."""

__all__ = ["CallerGuard", "build_budget"]

from collections.abc import Callable

from tanagertrail.gateway.body_budget import BodyBudget
from tanagertrail.gateway.model import GatewaySettings
from tanagertrail.gateway.unread_responses import UnreadResponses
from tanagertrail.policy.caller_budget import NO_BUDGET, CallerBudget, derive_budget
from tanagertrail.settings.gateway import GatewayTuning


class CallerGuard:
    """The budgets that all servers of a daemon share; without limits, they only count.

    :ivar bodies: bodies of requests in progress
    :ivar unread: responses that callers have not read
    """

    def __init__(self, get_budget: Callable[[], CallerBudget] = lambda: NO_BUDGET) -> None:
        self.bodies = BodyBudget(get_budget)
        self.unread = UnreadResponses(get_budget)


def build_budget(settings: GatewaySettings, tuning: GatewayTuning) -> CallerBudget:
    """Derive the limits on what all callers hold together from the size of the machine."""
    shares = tuning.callers.list_shares()
    longest = tuning.answers.most_bytes
    return derive_budget(settings.memory, settings.max_descriptors, shares, longest)
