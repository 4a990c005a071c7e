"""Which faults come when, drawn from a seed."""

__all__ = [
    "FAULTS",
    "MEAN_GAP_SECONDS",
    "Fault",
    "FaultKind",
    "draw_plan",
    "register_fault",
    "was_disturbed",
]

import random
from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import Any, NamedTuple

from tanagertrail.registry import Registry

FIRST_FAULT_SECONDS = 3.0  # daemons have met and callers are served by then
MEAN_GAP_SECONDS = 1.5  # faults overlap: most last longer
LAST_FAULT_SHARE = 0.75  # of the run, so that its end shows the recovery


class Fault(NamedTuple):
    """A fault of a plan.

    :ivar at: seconds from the start of callers' requests
    :ivar target: number by which the daemon or upstream is picked that it strikes
    :ivar seconds: how long it lasts
    """

    at: float
    kind: str
    target: int
    seconds: float

    @property
    def until(self) -> float:
        """Return the seconds from the start at which it ends."""
        return self.at + self.seconds


Injector = Callable[[Any, Fault], Awaitable[None]]


class FaultKind(NamedTuple):
    """A kind of fault.

    :ivar shortest: seconds that it lasts at least
    :ivar longest: seconds that it lasts at most
    :ivar planned: whether it is planned work or no disruption at all, so that it must cut nothing
    :ivar chance: probability that a run has it, 0 for kinds that are drawn from the common ones
    """

    inject: Injector
    shortest: float
    longest: float
    planned: bool
    chance: float


FAULTS: Registry[FaultKind] = Registry("soak fault")


def register_fault(
    name: str, shortest: float, longest: float, planned: bool = False, chance: float = 0.0
) -> Callable[[Injector], Injector]:
    """Register what injects a kind of fault."""

    def register(inject: Injector) -> Injector:
        FAULTS.register(name)(FaultKind(inject, shortest, longest, planned, chance))
        return inject

    return register


def draw_plan(
    seed: int, seconds: float, kinds: Collection[str] = (), gap: float = MEAN_GAP_SECONDS
) -> list[Fault]:
    """Draw the faults of a run; the same seed gives the same plan.

    :param seconds: length of the run
    :param kinds: the only kinds to draw, empty for all
    :param gap: mean seconds between faults
    """
    rng = random.Random(seed)
    common = [name for name in sorted(FAULTS) if not FAULTS.get(name).chance]
    common = sorted(kinds) or common
    plan = []
    at = FIRST_FAULT_SECONDS
    while at < seconds * LAST_FAULT_SHARE:
        name = rng.choice(common)
        kind = FAULTS.get(name)
        lasts = rng.uniform(kind.shortest, kind.longest)
        plan.append(Fault(at, name, rng.randrange(1000), lasts))
        at += rng.expovariate(1.0 / gap)
    apart = [] if kinds else sorted(FAULTS)
    return plan + [fault for name in apart for fault in draw_apart(seed, name, seconds)]


def draw_apart(seed: int, name: str, seconds: float) -> list[Fault]:
    """Draw a fault that has a chance of its own, which leaves the other draws as they are."""
    kind = FAULTS.get(name)
    rng = random.Random(f"{seed} {name}")
    if not rng.random() < kind.chance:
        return []
    at = rng.uniform(FIRST_FAULT_SECONDS, seconds / 2)
    lasts = rng.uniform(kind.shortest, kind.longest)
    return [Fault(at, name, rng.randrange(1000), lasts)]


def was_disturbed(plan: Iterable[Fault], since: float, until: float) -> bool:
    """Say whether a fault that is not planned work touched a span of a run."""
    return any(
        fault.at < until and fault.until > since and not FAULTS.get(fault.kind).planned
        for fault in plan
    )
