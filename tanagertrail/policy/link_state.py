"""Whether a daemon reaches the upstreams, judged by rounds of probes."""

__all__ = ["LinkJudge", "LinkPhase", "ProbeTarget", "pick_probe_targets", "select_fronts"]

import enum
import random
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import NamedTuple

RETURN_SECONDS = 1.5  # after a return in which only a share of the requests uses own connections
RETURN_SHARE = 0.25
MIN_REACHED = 2  # upstreams that one round must reach to show a return, fewer if fewer are known
FLAP_SECONDS = 10.0  # a cut so soon after a return doubles the rounds that show the next one
MAX_GOOD_ROUNDS = 4
MIN_NAMED_SHARE = 1 / 3  # of the serving daemons, below which those that are cut off are named too


class LinkPhase(enum.StrEnum):
    """What is known of a daemon's links to the upstreams."""

    CONNECTED = "connected"
    UNREACHED = "unreached"
    RETURNING = "returning"


class ProbeTarget(NamedTuple):
    """An upstream that may be probed."""

    upstream: str
    service: str
    failure_domain: str


class LinkJudge:
    """Judge from rounds of probes whether the upstreams can be reached.

    One upstream that answers shows that the links work: the others may have ended, be of a service
    that is gone or in a failure domain that is lost.

    :ivar good_rounds: rounds in a row that showed a return
    :ivar needed_rounds: such rounds that end the phase ``UNREACHED``
    :ivar returned_at: time in seconds of the last return
    """

    def __init__(self) -> None:
        self.phase = LinkPhase.CONNECTED
        self.good_rounds = 0
        self.needed_rounds = 1
        self.returned_at = float("-inf")

    def record_round(self, reached: int, tried: int, now: float) -> LinkPhase:
        """Record a round of probes and return the phase that follows from it.

        :param reached: upstreams that accepted a connection
        :param tried: upstreams that were probed
        :param now: event-loop time in seconds
        """
        if not tried:
            return self.phase
        if self.phase is LinkPhase.UNREACHED:
            self.record_return_round(reached, tried, now)
        elif not reached:
            is_flapping = now - self.returned_at < FLAP_SECONDS
            self.needed_rounds = min(self.needed_rounds * 2, MAX_GOOD_ROUNDS) if is_flapping else 1
            self.good_rounds = 0
            self.phase = LinkPhase.UNREACHED
        return self.phase

    def record_return_round(self, reached: int, tried: int, now: float) -> None:
        """Record a round while no upstream was reached before."""
        self.good_rounds = self.good_rounds + 1 if reached >= min(MIN_REACHED, tried) else 0
        if self.good_rounds >= self.needed_rounds:
            self.phase = LinkPhase.RETURNING
            self.returned_at = now

    def compute_own_share(self, now: float) -> float:
        """Return the share of the requests that may use the daemon's own connections."""
        if self.phase is LinkPhase.UNREACHED:
            return 0.0
        if self.phase is LinkPhase.RETURNING and now - self.returned_at < RETURN_SECONDS:
            return RETURN_SHARE
        self.phase = LinkPhase.CONNECTED
        return 1.0


def pick_probe_targets(
    targets: Iterable[ProbeTarget], count: int, rng: random.Random
) -> list[ProbeTarget]:
    """Pick upstreams to probe, spread over failure domains and services.

    :param count: largest number of upstreams
    """
    left = list(targets)
    rng.shuffle(left)
    picked: list[ProbeTarget] = []
    domains: Counter[str] = Counter()
    services: Counter[str] = Counter()
    while left and len(picked) < count:
        target = min(left, key=lambda item: domains[item.failure_domain] + services[item.service])
        left.remove(target)
        picked.append(target)
        domains[target.failure_domain] += 1
        services[target.service] += 1
    return picked


def select_fronts(serving: Sequence[tuple[str, bool]]) -> list[str]:
    """Select the daemons that callers are told to connect to.

    Daemons that are cut off from the upstreams are left out, unless too few others remain for all
    callers.

    :param serving: address of each daemon that serves, and whether it reaches the upstreams
    """
    connected = [front for front, reaches_upstreams in serving if reaches_upstreams]
    if len(connected) >= MIN_NAMED_SHARE * len(serving):
        return connected
    return [front for front, _ in serving]
