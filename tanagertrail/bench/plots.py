"""Plots of experiments."""

__all__ = ["write_limits_plot", "write_load_plot"]

from collections.abc import Sequence

from tanagertrail.bench.limits import run_limits
from tanagertrail.emulator.load import LoadResult
from tanagertrail.testing import run_in_virtual_time

LOADS = (0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0)


def write_limits_plot(path: str, daemons: int = 9, replicas: int = 10) -> None:
    """Write a plot of slots in use and of overshoot, by load."""
    from matplotlib import pyplot

    rows = [run_in_virtual_time(run_limits(daemons, replicas, load)) for load in LOADS]
    figure, axes = pyplot.subplots()
    axes.plot(LOADS, [row.utilisation for row in rows], marker="o", label="share of slots in use")
    axes.plot(LOADS, [row.overshoot for row in rows], marker="x", label="requests over the limit")
    axes.set_xlabel("callers as a share of all slots")
    axes.set_title(f"{daemons} daemons, {replicas} replicas")
    axes.legend()
    figure.savefig(path)


def write_load_plot(path: str, rows: Sequence[LoadResult]) -> None:
    """Write a plot of the credit that each placement earns, by load pattern."""
    from matplotlib import pyplot

    patterns = list(dict.fromkeys(row.pattern for row in rows))
    figure, axes = pyplot.subplots()
    for placement in dict.fromkeys(row.placement for row in rows):
        credit = {row.pattern: row.credit for row in rows if row.placement == placement}
        axes.plot(patterns, [credit[name] for name in patterns], marker="o", label=placement)
    axes.set_ylabel("credit earned as a share of all answers on time")
    axes.legend()
    figure.savefig(path)
