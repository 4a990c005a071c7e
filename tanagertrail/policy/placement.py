"""Choice of the upstream for a request by the time it is expected to cost there."""

__all__ = [
    "PLACEMENTS",
    "Placement",
    "PlacementCandidate",
    "PlacementRequest",
    "choose_by_expected_cost",
    "estimate_cost",
]

from collections.abc import Callable, Sequence
from typing import NamedTuple

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.hashing import score_pair
from tanagertrail.registry import Registry

PREFILL_TOKENS_PER_SECOND = 140_000.0  # rate at which the deployed engines read prompts
BUSY_SECONDS = 0.1  # delay that a full batch adds to a new request, by `tanagertrail-bench load`
QUEUE_SECONDS = 1.0  # delay that a whole batch of waiting requests adds: one answer's time
REMOTE_SECONDS = 0.004  # round trip to another failure domain, with its price in bytes
FAULT_SECONDS = 2.0  # cost of a sure failure, above any wait that is worth while
AFFINITY_SECONDS = 0.004  # breaks ties between upstreams without the prefix alike everywhere
HOLDER_SHARE = 0.9  # chance that the first by hash holds what other requests share
LOCAL_SAMPLE = 1  # upstreams of the own failure domain that are looked at with stale loads
REMOTE_SAMPLE = 1


class PlacementCandidate(NamedTuple):
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


class PlacementRequest(NamedTuple):
    """What a request asks of an upstream.

    :ivar parts: ids of the prompt's parts in order; the last one is the request's own
    :ivar part_tokens: tokens of each of these parts
    :ivar tokens: all tokens of the prompt
    :ivar now: event-loop time in seconds
    :ivar draw: text that is new for each request, where loads are too old to be compared by all
        daemons alike; empty where they are fresh
    """

    parts: tuple[str, ...]
    part_tokens: tuple[int, ...]
    tokens: int
    now: float
    sampling_key: str = ""


Placement = Callable[
    [PlacementRequest, Sequence[PlacementCandidate], PrefixIndex], PlacementCandidate
]
PLACEMENTS: Registry[Placement] = Registry("placement")


def estimate_cost(
    visit: PlacementRequest, seat: PlacementCandidate, index: PrefixIndex, holder_share: float = 0.0
) -> float:
    """Estimate the seconds that a request costs at an upstream, for itself and others.

    :param holder_share: chance that the upstream holds the parts that other requests share
    """
    load = seat.running / max(seat.slots, 1)
    cost = BUSY_SECONDS * min(load, 1.0) ** 2 + QUEUE_SECONDS * max(load - 1.0, 0.0)
    cached = index.count_cached(seat.upstream, visit.parts, visit.now)
    known = sum(visit.part_tokens[:cached])
    expected = holder_share * sum(visit.part_tokens[:-1])
    unread = visit.tokens - max(known, expected)
    cost += unread / PREFILL_TOKENS_PER_SECOND * (1.0 + load)
    if not seat.local:
        cost += REMOTE_SECONDS
    return cost + FAULT_SECONDS * seat.fault_share


def find_holder(
    visit: PlacementRequest, seats: Sequence[PlacementCandidate]
) -> PlacementCandidate | None:
    """Return the upstream at which all daemons look first for the parts that requests share."""
    if len(visit.parts) < 2:
        return None
    return max(seats, key=lambda seat: score_pair(visit.parts[-2], seat.upstream))


def draw_seats(
    visit: PlacementRequest, seats: Sequence[PlacementCandidate], holder: PlacementCandidate | None
) -> list[PlacementCandidate]:
    """Return the holder and a few other upstreams, others for each request.

    Answers many daemons that read the same old loads: were each to take the least loaded of all,
    all would take the same one until the next report.
    """
    drawn = sorted(seats, key=lambda seat: -score_pair(visit.sampling_key, seat.upstream))
    local = [seat for seat in drawn if seat.local][:LOCAL_SAMPLE]
    wanted = LOCAL_SAMPLE + REMOTE_SAMPLE - len(local)
    remote = [seat for seat in drawn if not seat.local][:wanted]
    return [*local, *remote, *([holder] if holder is not None else [])]


@PLACEMENTS.register("expected_cost")
def choose_by_expected_cost(
    visit: PlacementRequest, seats: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the seat of the least expected cost.

    Answers waves of long prompts that share parts: a part is read again only where the queue at
    its holder would cost more than the reading. Daemons do not tell each other what they sent
    where; they agree on the holder of a shared part by rendezvous hashing.
    """
    holder = find_holder(visit, seats)
    looked_at = draw_seats(visit, seats, holder) if visit.sampling_key else seats
    key = visit.sampling_key or (visit.parts[-1] if visit.parts else "")

    def rank(seat: PlacementCandidate) -> float:
        bonus = score_pair(key, seat.upstream) / 2**64 * AFFINITY_SECONDS
        share = HOLDER_SHARE if seat is holder else 0.0
        return estimate_cost(visit, seat, index, share) - bonus

    return min(looked_at, key=rank)


@PLACEMENTS.register("least_running")
def choose_least_running(
    visit: PlacementRequest, seats: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the seat with the fewest requests; a baseline that all daemons follow alike."""
    return min(seats, key=lambda seat: (seat.running / max(seat.slots, 1), seat.upstream))


@PLACEMENTS.register("own_hints")
def choose_by_own_hints(
    visit: PlacementRequest, seats: Sequence[PlacementCandidate], index: PrefixIndex
) -> PlacementCandidate:
    """Choose the least expected cost by what this daemon itself sent where; a baseline."""
    return min(seats, key=lambda seat: (estimate_cost(visit, seat, index), seat.upstream))
