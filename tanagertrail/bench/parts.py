"""Experiment: how soon a part of prompts that crashes engines is refused, and what is held."""

__all__ = ["PartRow", "run_parts"]

from typing import NamedTuple

from tanagertrail.emulator.prompt_parts import PartLoad, play_parts

MAX_LATE_ARRIVALS = 3


class PartRow(NamedTuple):
    """What plays of one size and rate came to.

    :ivar rate: requests with the part per second
    :ivar crashes: mean crashes of a play
    :ivar broken: plays with more late arrivals than are allowed
    :ivar most_late: most late arrivals of a play
    :ivar known_after: longest seconds from the fifth crash until all daemons refuse the part
    :ivar sound_held: sound parts that were quarantined in all plays
    """

    daemons: int
    rate: float
    plays: int
    crashes: float
    broken: int
    most_late: int
    known_after: float | None
    sound_held: int


def run_parts(
    daemons: int, engines: int, rate: float, load: float, strays: float, seeds: int
) -> PartRow:
    """Play several seeds.

    :param load: sound requests per second over all daemons
    :param strays: crashes per second without a cause in requests
    """
    results = [
        play_parts(PartLoad(daemons, engines, load, rate, stray_crashes=strays, seed=seed))
        for seed in range(seeds)
    ]
    known = [item.known_after for item in results if item.known_after is not None]
    return PartRow(
        daemons,
        rate,
        seeds,
        round(sum(item.crashes for item in results) / seeds, 1),
        sum(item.late > MAX_LATE_ARRIVALS for item in results),
        max(item.late for item in results),
        max(known, default=None),
        sum(item.sound_held for item in results),
    )
