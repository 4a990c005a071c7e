"""Which callers yield when what all of them hold together has reached a limit of the machine.

The load pattern is untrusted callers in numbers: tens of bodies that stop short of their end,
bodies in very small chunks, thousands of half heads or idle connections, and callers that do not
read their responses. Each of them is within the limits on one request; their sum is not. Slow and
large requests yield before small and quick ones, and nobody yields while the sum is within the
limit.
"""

__all__ = [
    "NO_BUDGET",
    "BodyProgress",
    "CallerBudget",
    "CallerShares",
    "ConnectionFacts",
    "Stage",
    "Yielding",
    "choose_closing",
    "choose_yielding",
    "compute_retry_after",
    "derive_budget",
    "estimate_length",
    "is_too_slow",
    "rank_idle",
]

import enum
from collections.abc import Mapping, Sequence
from heapq import nsmallest
from typing import NamedTuple

CONNECTION_BYTES = 49_152  # of one connection: a head, one read of the kernel and the parser
RATE_GRACE_SECONDS = 1.0  # for a body to reach the minimum rate, after its first bytes
FIRST_BYTES = 65_536  # taken as received within FIRST_SECONDS, so that no body begins as a slow one
FIRST_SECONDS = 0.1
SPARE_SHARE = 0.1  # of what bodies hold, freed beyond need: each choice looks at all of them
CLOSING_SHARE = 0.05  # of the connections that are closed at once, for the same reason
FRESH_SECONDS = 1.0  # for which a request may be on its way on an idle connection
RETRY_SECONDS = 0.25  # by when some of the bodies in progress have arrived
RETRY_SPREAD_SECONDS = 0.5
RETRY_STEPS = 16


class CallerShares(NamedTuple):
    """Shares of the machine that callers may hold; 0 stands for no limit.

    :ivar body_memory: share of the memory for bodies of requests in progress
    :ivar unread_memory: share of the memory for responses that callers have not read
    :ivar connection_memory: share of the memory for connections and heads in progress
    :ivar descriptors: share of the descriptors for connections of callers
    :ivar address: share of the bytes of bodies that one address may hold without yielding first
    :ivar min_body_rate: bytes per second below which a body yields first
    """

    body_memory: float
    unread_memory: float
    connection_memory: float
    descriptors: float
    address: float
    min_body_rate: float


class CallerBudget(NamedTuple):
    """Limits on what all callers hold together; 0 stands for no limit.

    :ivar body_bytes: bytes of bodies of requests in progress
    :ivar unread_bytes: bytes of responses that callers have not read
    :ivar connections: open connections
    :ivar address_bytes: bytes of bodies beyond which those of one address yield first
    :ivar min_body_rate: bytes per second below which a body yields first
    """

    body_bytes: int = 0
    unread_bytes: int = 0
    connections: int = 0
    address_bytes: int = 0
    min_body_rate: float = 0.0


NO_BUDGET = CallerBudget()


def derive_budget(
    memory: int, descriptors: int, shares: CallerShares, longest_response: int
) -> CallerBudget:
    """Derive the limits from the size of the machine.

    :param memory: bytes
    :param descriptors: largest number of open files
    :param longest_response: bytes; one response that is not read never exceeds the limit
    """
    unread_bytes = int(memory * shares.unread_memory)
    by_memory = int(memory * shares.connection_memory) // CONNECTION_BYTES
    by_descriptors = int(descriptors * shares.descriptors)
    bounds = [bound for bound in (by_memory, by_descriptors) if bound]
    body_bytes = int(memory * shares.body_memory)
    return CallerBudget(
        body_bytes,
        max(unread_bytes, 2 * longest_response) if unread_bytes else 0,
        min(bounds, default=0),
        int(body_bytes * shares.address),
        shares.min_body_rate,
    )


class BodyProgress(NamedTuple):
    """A body that is being received.

    :ivar address: address of its caller
    :ivar received: bytes so far
    :ivar expected: bytes in the end
    :ivar age: seconds since its request's head was complete
    """

    address: str
    received: int
    expected: int
    age: float

    @property
    def cost(self) -> float:
        """Bytes in the end times the seconds for which the body is in progress, by its rate."""
        rate = (self.received + FIRST_BYTES) / (self.age + FIRST_SECONDS)
        return self.expected * self.expected / rate


class Yielding(NamedTuple):
    """A body that yields.

    :ivar index: its place among the bodies
    :ivar too_slow: whether it is below the minimum rate
    """

    index: int
    too_slow: bool


def estimate_length(announced: int | None, received: int, longest: int) -> int:
    """Estimate the length of a body in bytes.

    :param announced: length that its request states, None for a chunked body
    :param longest: largest length of a body
    """
    if announced is not None:
        return announced
    return min(max(2 * received, FIRST_BYTES), max(longest, received))


def is_too_slow(received: int, age: float, min_rate: float) -> bool:
    """Return whether a body is below the minimum rate.

    :param age: seconds since its request's head was complete
    :param min_rate: bytes per second
    """
    return age > RATE_GRACE_SECONDS and received < min_rate * age


def choose_yielding(
    bodies: Sequence[BodyProgress], excess: int, held: Mapping[str, int], budget: CallerBudget
) -> list[Yielding]:
    """Choose the bodies that yield because all together exceed the limit.

    All that are too slow yield, then those of addresses with more than their share, then those
    with the largest cost. Among equal ones the one that has received least yields, so that some are
    completed. Bodies that hold nothing yet are passed over, since nothing is freed by them.

    :param excess: bytes to free
    :param held: bytes by address, those of complete bodies included
    """
    chosen: list[Yielding] = []
    rest: list[int] = []
    needed = excess + SPARE_SHARE * sum(body.received for body in bodies)
    for index, body in enumerate(bodies):
        if body.received and is_too_slow(body.received, body.age, budget.min_body_rate):
            chosen.append(Yielding(index, too_slow=True))
            needed -= body.received
        elif body.received:
            rest.append(index)

    def rank(index: int) -> tuple[bool, float, int]:
        body = bodies[index]
        is_over = 0 < budget.address_bytes < held.get(body.address, 0)
        return is_over, body.cost, -body.received

    for index in sorted(rest, key=rank, reverse=True):
        if needed <= 0:
            break
        chosen.append(Yielding(index, too_slow=False))
        needed -= bodies[index].received
    return chosen


class Stage(enum.IntEnum):
    """What a connection is in, in the order in which connections are closed to make room.

    ``UNREAD`` is one whose caller has not read the last response. ``BUSY`` is never closed: its
    request may run, or its body arrives at the minimum rate.
    """

    IDLE = 0
    UNREAD = 1
    HEAD = 2
    SLOW_BODY = 3
    BUSY = 4


class ConnectionFacts(NamedTuple):
    """A connection that may be closed.

    :ivar stage: what it is in
    :ivar since: time in seconds since when
    """

    stage: Stage
    since: float


def rank_idle(seconds: float) -> Stage:
    """Rank a connection without a request; the first one of a new connection is on its way.

    :param seconds: for which it has been idle
    """
    return Stage.IDLE if seconds > FRESH_SECONDS else Stage.HEAD


def choose_closing(connections: Sequence[ConnectionFacts], limit: int) -> list[int]:
    """Choose the connections to close for new ones, by their places; the longest idle first.

    :param limit: largest number of connections
    """
    places = [place for place, item in enumerate(connections) if item.stage < Stage.BUSY]
    return nsmallest(max(1, int(limit * CLOSING_SHARE)), places, key=connections.__getitem__)


def compute_retry_after(refusals: int) -> float:
    """Compute the seconds after which a refused caller should come again, spread over callers.

    :param refusals: number of refusals before
    """
    return RETRY_SECONDS + RETRY_SPREAD_SECONDS * (refusals % RETRY_STEPS) / RETRY_STEPS
