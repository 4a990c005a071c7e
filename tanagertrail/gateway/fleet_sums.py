"""Sums over what the daemons of a fleet report in their states."""

__all__ = ["sum_prompt_tokens", "sum_trial_counts"]

import itertools
from collections.abc import Iterable

from tanagertrail.gateway.state_sync import ReceivedState
from tanagertrail.policy.canary import TrialCounts


def sum_trial_counts(
    own: tuple, states: Iterable[ReceivedState], service: str, order_id: int
) -> TrialCounts:
    """Return the trial results of all daemons for one rollout order.

    :param own: this daemon's results, encoded as in a state
    """
    total = TrialCounts()
    reported = (known.state.trials for known in states)
    for name, order, counts in itertools.chain(own, *reported):
        if (name, order) == (service, order_id):
            total = total.add(TrialCounts(*counts))
    return total


def sum_prompt_tokens(states: Iterable[ReceivedState], service: str) -> float:
    """Return the prompt tokens that other daemons sent to a service since they started.

    The sum falls when a daemon leaves or restarts; the duties treat a fall as a rate of 0.
    """
    return sum(dict(known.state.prompt_tokens).get(service, 0) for known in states)
