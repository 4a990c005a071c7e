"""Evidence that a part of prompts crashes upstreams, and the chance that it is a coincidence."""

__all__ = ["MIN_CRASHES", "Crash", "Evidence", "LostRequest", "PartSet"]

from typing import NamedTuple

MIN_CRASHES = 3  # independent crashes before a part may be quarantined
MIN_COMPLETED_WITHOUT = 3  # requests without the part that completed between its crashes
MAX_CHANCE = 0.005  # probability at which a coincidence no longer explains the crashes
MAX_CHANCE_SEEN_SOUND = 0.0001  # for a part with which requests completed before

CERTAIN_SPREAD = 4  # lost requests for each crash, which meet nearly all crashes by coincidence

PartSet = frozenset[str]


class LostRequest(NamedTuple):
    """A request that a crashed upstream left unanswered.

    :ivar parts: keys of the parts that other requests may have too
    :ivar sent_at: event-loop time in seconds
    :ivar failed_at: event-loop time in seconds at which the attempt failed
    """

    fingerprint: str
    parts: PartSet
    sent_at: float
    failed_at: float


class SuspectedUse(NamedTuple):
    """The last requests with a part that a crashed upstream left unanswered.

    :ivar sent_at: event-loop time in seconds at which the last one was sent
    :ivar failed_at: event-loop time in seconds at which the last one failed
    """

    sent_at: float
    failed_at: float


class Crash:
    """The crash of one upstream, as all daemons that had requests there report it.

    :ivar at: event-loop time in seconds at which it was first detected
    :ivar requests: requests left unanswered, by fingerprint
    :ivar suspected: parts of those requests that have not completed since
    """

    def __init__(self, upstream: str, service: str, at: float) -> None:
        self.upstream = upstream
        self.service = service
        self.at = at
        self.requests: dict[str, LostRequest] = {}
        self.suspected: dict[str, SuspectedUse] = {}

    def suspect(self, part: str, request: LostRequest) -> None:
        """Count the crash against a part of a request."""
        known = self.suspected.get(part, SuspectedUse(request.sent_at, request.failed_at))
        self.suspected[part] = SuspectedUse(
            max(known.sent_at, request.sent_at), max(known.failed_at, request.failed_at)
        )


class Evidence(NamedTuple):
    """What speaks against a part and for it.

    :ivar crashes: independent crashes under requests with the part, oldest first
    :ivar seen_sound: whether a request with the part is known to have completed before
    :ivar lost_with: requests with the part lost in the span of those crashes
    :ivar lost_without: other requests lost in the same span
    :ivar completed_without: other requests completed in the same span
    :ivar all_crashes: crashes of the service in the span
    :ivar met_crashes: those of them that lost a request with the part
    """

    part: str
    crashes: tuple[Crash, ...]
    seen_sound: bool
    lost_with: int = 0
    lost_without: int = 0
    completed_without: int = 0
    all_crashes: int = 0
    met_crashes: int = 0

    @property
    def strength(self) -> tuple[int, bool]:
        """What the evidence of several parts is compared by; the higher, the more suspicious."""
        return len(self.crashes), not self.seen_sound

    @property
    def suffices(self) -> bool:
        """Whether the part is to be quarantined."""
        limit = MAX_CHANCE_SEEN_SOUND if self.seen_sound else MAX_CHANCE
        return len(self.crashes) >= MIN_CRASHES and self.chance <= limit

    @property
    def chance(self) -> float:
        """Probability of the evidence if the part doesn't crash upstreams.

        If nothing without the part completes, nothing tells it from a fault of the upstreams.
        """
        if self.completed_without < MIN_COMPLETED_WITHOUT:
            return 1.0
        return self.chance_of_losses * self.chance_of_spread

    @property
    def chance_of_losses(self) -> float:
        """Probability that requests with the part were lost each time by coincidence.

        Others were lost at some rate meanwhile, estimated by the rule of succession.
        """
        others = self.lost_without + self.completed_without
        return ((self.lost_without + 1) / (others + 2)) ** len(self.crashes)

    @property
    def chance_of_spread(self) -> float:
        """Probability that so few lost requests meet so many of the crashes by coincidence.

        The part that crashes upstreams is in each crash, seldom more than once. This tells it apart
        where crashes are so many that most other requests are lost as well.
        """
        if self.lost_with >= CERTAIN_SPREAD * self.all_crashes:
            return 1.0
        chances = [1.0] + [0.0] * self.all_crashes
        for _ in range(self.lost_with):
            chances = [
                (chances[met] * met + chances[met - 1] * (self.all_crashes - met + 1))
                / self.all_crashes
                if met
                else 0.0
                for met in range(self.all_crashes + 1)
            ]
        return min(sum(chances[self.met_crashes :]), 1.0)
