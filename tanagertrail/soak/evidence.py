"""What a run has shown, as callers, upstreams and the cloud API saw it."""

__all__ = [
    "STABILITY_SECONDS",
    "Arrival",
    "CutSeen",
    "Evidence",
    "Need",
    "Removal",
    "RunSeen",
]

from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple

from tanagertrail.soak.callers import Call
from tanagertrail.soak.plan import Fault, was_disturbed
from tanagertrail.standins.documents import BOUNDS

STABILITY_SECONDS = BOUNDS.stability
STORE_FAULTS = "store "  # begins the kinds of faults in which a quarantine may not be stored


class RunSeen(NamedTuple):
    """A request that an upstream began, times by the event loop in seconds.

    :ivar cold: whether the upstream was cold
    """

    request_id: str
    customer: str
    upstream: str
    domain: str
    path: str
    body: bytes
    at: float
    cold: bool


class Removal(NamedTuple):
    """What must not be used later than some seconds after it was removed.

    :ivar what: upstream, failure domain or key
    :ivar at: when the store acknowledged it
    :ivar until: when it was taken back
    """

    kind: str
    what: str
    at: float
    until: float


class Arrival(NamedTuple):
    """A request that reached an upstream, whether or not it ran."""

    request_id: str
    upstream: str
    at: float


class Need(NamedTuple):
    """A span in which an upstream named a request rate.

    :ivar rate: requests per second
    :ivar at: when it first named it in an answer
    :ivar until: when it named it no more
    """

    upstream: str
    rate: float
    at: float
    until: float


class CutSeen(NamedTuple):
    """A span in which daemons were cut off from all upstreams.

    :ivar ports: ports of their fronts
    """

    ports: frozenset[int]
    since: float
    until: float


class Evidence(NamedTuple):
    """All that a run has shown.

    :ivar plan: faults, by seconds from ``started``
    :ivar starts: (front port, time) of each start of a daemon
    :ivar terms: (front port, time) of the first request to stop in each life of a daemon
    :ivar overruns: (front port, time) of each kill of a daemon at the end of its grace period
    :ivar usage: counts by window, once for each call of the cloud API
    :ivar pauses: (front port, since, until) of each pause of a daemon
    :ivar part_crashes: (part, time) of each end of an upstream on a part of prompts
    :ivar unfinished: event-loop time in seconds at which the connection of a request closed while
        an upstream ran it, by request
    :ivar doubtful: ids of requests to which an upstream wrote a refusal of an earlier one
    """

    started: float
    ended: float
    plan: list[Fault]
    calls: list[Call]
    runs: list[RunSeen]
    removals: list[Removal]
    starts: list[tuple[int, float]]
    terms: list[tuple[int, float]]
    usage: list[tuple[int, dict[str, int], int]]
    arrivals: list[Arrival] = []
    needs: list[Need] = []
    pauses: list[tuple[int, float, float]] = []
    part_crashes: list[tuple[str, float]] = []
    cuts: list[CutSeen] = []
    overruns: list[tuple[int, float]] = []
    unfinished: Mapping[str, float] = MappingProxyType({})
    doubtful: frozenset[str] = frozenset()

    def was_restarted_or_paused(self, port: int, since: float, until: float) -> bool:
        """Say whether a daemon was started or paused in a span."""
        started = any(front == port and since < at <= until for front, at in self.starts)
        return started or any(
            front == port and begin < until and end > since for front, begin, end in self.pauses
        )

    def was_store_disturbed(self, since: float, until: float) -> bool:
        """Say whether a fault of the store touched a span."""
        faults = [fault for fault in self.plan if fault.kind.startswith(STORE_FAULTS)]
        return was_disturbed(faults, since - self.started, until - self.started)

    def was_calm(self, since: float, until: float) -> bool:
        """Say whether nothing but planned work touched a span and the time before it."""
        since -= STABILITY_SECONDS
        return not was_disturbed(self.plan, since - self.started, until - self.started)
