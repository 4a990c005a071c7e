"""Experiment: placements where engines are uneven and slow at times, over several seeds."""

__all__ = ["run_uneven"]

from tanagertrail.emulator.uneven import UnevenResult, UnevenSettings, play_uneven

MEASURES = ("late", "credit", "p50_ms", "p90_ms", "p99_ms")


def run_uneven(settings: UnevenSettings, seeds: int) -> list[UnevenResult]:
    """Play a deployment with several seeds, and return the means by kind."""
    plays = [play_uneven(settings._replace(seed=seed + 1)) for seed in range(seeds)]
    rows = []
    for same_kind in zip(*plays, strict=True):
        means = {
            name: round(sum(getattr(row, name) for row in same_kind) / seeds, 4)
            for name in MEASURES
        }
        rows.append(same_kind[0]._replace(requests=sum(r.requests for r in same_kind), **means))
    return rows
