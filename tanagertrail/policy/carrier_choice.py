"""Choice of the daemon that carries a request to an upstream, and the room that it gives."""

__all__ = [
    "CarrierCandidate",
    "CarrierChooser",
    "compute_carry_room",
    "compute_connection_limit",
]

import random
from collections import Counter
from collections.abc import Collection, Sequence
from typing import NamedTuple

REFUSED_SECONDS = 0.2  # for which a carrier that refused gets no other request
UNREACHABLE_SECONDS = 2.0  # by then its states, or their absence, tell of it
CHOICES_PER_DISTANCE = 2
REMOTE_PENALTY = 4  # requests in flight that outweigh the cost of another failure domain
REQUESTS_PER_CORE = 200  # own and carried ones in progress, mostly waiting for their upstreams
MIN_ROOM = 4  # requests that a carrier with a busy instance still takes
CONNECTION_SHARE = 0.25  # of all descriptors, for connections of other daemons
CARRIED_SHARE = 0.125  # of all descriptors, for connections to upstreams on their behalf


class CarrierCandidate(NamedTuple):
    """A daemon that may carry a request.

    :ivar is_local: whether it is in the failure domain of the daemon that asks
    """

    daemon: str
    is_local: bool


class CarrierChooser:
    """Choose carriers by distance and by the requests that they carry for this daemon.

    Two random candidates of each distance are compared, so that daemons that choose at the same
    time, each by what it has sent itself, spread over all carriers.

    :ivar in_flight: requests that each carrier carries for this daemon
    :ivar refused_until: time in seconds until which a carrier is left out
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.in_flight: Counter[str] = Counter()
        self.refused_until: dict[str, float] = {}

    def choose(
        self,
        candidates: Sequence[CarrierCandidate],
        refused: Collection[str],
        broken: Collection[str],
        now: float,
    ) -> str | None:
        """Return the daemon that carries the next request, None if there is none.

        :param refused: daemons that have refused this request
        :param broken: daemons that broke off under it, chosen only if there is no other
        :param now: event-loop time in seconds
        """
        self.refused_until = {name: at for name, at in self.refused_until.items() if at > now}
        usable = [
            item
            for item in candidates
            if item.daemon not in self.refused_until and item.daemon not in refused
        ]
        usable = [item for item in usable if item.daemon not in broken] or usable
        sampled = []
        for is_local in (True, False):
            group = [item for item in usable if item.is_local is is_local]
            sampled += self.rng.sample(group, min(CHOICES_PER_DISTANCE, len(group)))
        best = min(sampled, key=self.weigh, default=None)
        return None if best is None else best.daemon

    def weigh(self, candidate: CarrierCandidate) -> int:
        """Return the load of a carrier, raised if it is in another failure domain."""
        penalty = 0 if candidate.is_local else REMOTE_PENALTY
        return self.in_flight[candidate.daemon] + penalty

    def note_sent(self, daemon: str) -> None:
        """Record that a carrier gets a request."""
        self.in_flight[daemon] += 1

    def note_ended(self, daemon: str) -> None:
        """Record that a carrier has finished with a request."""
        self.in_flight[daemon] -= 1
        if not self.in_flight[daemon]:
            del self.in_flight[daemon]

    def note_refused(self, daemon: str, now: float) -> None:
        """Record that a carrier refused a request."""
        self.refused_until[daemon] = max(self.refused_until.get(daemon, 0.0), now + REFUSED_SECONDS)

    def note_unreachable(self, daemon: str, now: float) -> None:
        """Record that a carrier could not be reached, or reaches no upstream."""
        self.refused_until[daemon] = now + UNREACHABLE_SECONDS


def compute_carry_room(cores: float, descriptors: int, own_requests: int) -> int:
    """Return the number of requests that a daemon carries for others at once.

    :param cores: CPU limit of the instance in cores
    :param descriptors: largest number of open files
    :param own_requests: requests of the daemon's own callers in progress
    """
    by_cores = max(int(cores * REQUESTS_PER_CORE) - own_requests, MIN_ROOM)
    return min(by_cores, int(descriptors * CARRIED_SHARE))


def compute_connection_limit(descriptors: int) -> int:
    """Return the number of connections that a daemon accepts from other daemons.

    :param descriptors: largest number of open files
    """
    return int(descriptors * CONNECTION_SHARE)
