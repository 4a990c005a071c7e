"""How much of a prompt an upstream has to read, as far as the daemon that sends it knows.

Read rates are learned from prompts of which most parts may be cached, since sessions share them.
"""

__all__ = ["Reading", "predict_reading"]

from collections.abc import Sequence
from typing import NamedTuple

from tanagertrail.policy.placement import HOLDER_CACHE_PROBABILITY

# Probability that an upstream has cached a shared part that this daemon has not sent there lately.
UNSURE_CACHE_PROBABILITY = 0.3


class Reading(NamedTuple):
    """The part of a prompt that an upstream has to read.

    :ivar tokens: expected number of tokens
    :ivar uncertain: tokens that it may or may not have cached
    """

    tokens: float
    uncertain: float


def predict_reading(
    tokens: int, part_tokens: Sequence[int], cached: int, is_holder: bool
) -> Reading:
    """Predict how much of a prompt an upstream has to read.

    :param tokens: number of tokens of the whole prompt
    :param part_tokens: number of tokens of each part; the last belongs to this request only
    :param cached: leading parts that this daemon has sent there lately
    :param is_holder: whether all daemons prefer the upstream for the shared parts
    """
    unsure = sum(part_tokens[cached:-1])
    probability = HOLDER_CACHE_PROBABILITY if is_holder else UNSURE_CACHE_PROBABILITY
    expected = tokens - sum(part_tokens[:cached]) - probability * unsure
    return Reading(max(expected, 0.0), min(probability, 1.0 - probability) * unsure)
