"""Choice of the upstream for a request by the time it is expected to cost there."""

__all__ = ["PLACEMENTS", "Placement", "Seat", "Visit", "choose_seat", "estimate_cost"]

from collections.abc import Callable, Sequence
from typing import NamedTuple

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.hashing import score_pair
from tanagertrail.registry import Registry

PREFILL_TOKENS_PER_SECOND = 140_000.0  # rate at which the deployed engines read prompts
BUSY_SECONDS = 0.35  # delay that a full batch adds to a new request: some 20 of its steps
QUEUE_SECONDS = 1.0  # delay that a whole batch of waiting requests adds: one answer's time
REMOTE_SECONDS = 0.004  # round trip to another failure domain, with its price in bytes
FAULT_SECONDS = 2.0  # cost of a sure failure, above any wait that is worth while
AFFINITY_SECONDS = 0.004  # breaks ties between upstreams without the prefix alike everywhere


class Seat(NamedTuple):
    """An upstream that may take a request.

    :ivar running: requests of all daemons that are believed to be there
    :ivar slots: requests that it runs at once
    :ivar fault_share: share of recent requests that failed there, between 0 and 1
    :ivar local: whether it is in the daemon's own failure domain
    """

    upstream: str
    running: float
    slots: int
    fault_share: float
    local: bool


class Visit(NamedTuple):
    """What a request asks of an upstream.

    :ivar parts: ids of the prompt's leading parts
    :ivar part_tokens: tokens of each of these parts
    :ivar tokens: all tokens of the prompt
    :ivar now: event-loop time in seconds
    """

    parts: tuple[str, ...]
    part_tokens: tuple[int, ...]
    tokens: int
    now: float


Placement = Callable[[Visit, Sequence[Seat], PrefixIndex], Seat]
PLACEMENTS: Registry[Placement] = Registry("placement")


def estimate_cost(visit: Visit, seat: Seat, index: PrefixIndex) -> float:
    """Estimate the seconds that a request costs at an upstream, for itself and others."""
    load = seat.running / max(seat.slots, 1)
    cost = BUSY_SECONDS * min(load, 1.0) ** 2 + QUEUE_SECONDS * max(load - 1.0, 0.0)
    cached = index.count_cached(seat.upstream, visit.parts, visit.now)
    unread = visit.tokens - sum(visit.part_tokens[:cached])
    cost += unread / PREFILL_TOKENS_PER_SECOND * (1.0 + load)
    if not seat.local:
        cost += REMOTE_SECONDS
    return cost + FAULT_SECONDS * seat.fault_share


@PLACEMENTS.register("expected_cost")
def choose_seat(visit: Visit, seats: Sequence[Seat], index: PrefixIndex) -> Seat:
    """Choose the seat of the least expected cost.

    Answers waves of long prompts that share parts: a part is read again only where the queue at
    its holder would cost more than the reading. Parts that nobody holds are placed by rendezvous
    hashing among seats of about the same cost, so that all daemons agree.
    """
    key = visit.parts[-1] if visit.parts else ""

    def rank(seat: Seat) -> float:
        bonus = score_pair(key, seat.upstream) / 2**64 * AFFINITY_SECONDS
        return estimate_cost(visit, seat, index) - bonus

    return min(seats, key=rank)
