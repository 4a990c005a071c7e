"""Counters and latency histograms of a gateway."""

__all__ = ["GatewayMetrics", "GaugeRow", "LatencyHistogram"]

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

LATENCY_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 10.0)


class GaugeRow(NamedTuple):
    """A value that is observed when the metrics are asked for."""

    name: str
    value: float
    labels: dict[str, str]


class LatencyHistogram:
    """Times by the first bound that they do not pass, the last entry for those beyond all."""

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_SECONDS) + 1)
        self.seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Count a time."""
        self.counts[bisect_left(LATENCY_BOUNDS_SECONDS, seconds)] += 1
        self.seconds += seconds


class GatewayMetrics:
    """Count and time the gateway's work.

    Plain counters, which `tanagertrail.gateway.exporter` turns into text when it is asked for.

    :ivar requests: by (route, outcome)
    :ivar refusals: the gateway's own, by status
    :ivar attempts: at upstreams, by (service, result)
    :ivar first_byte: times to the first byte of an answer, by route
    :ivar duration: times to the end of an answer, by route
    """

    def __init__(self, list_gauges: Callable[[], Iterable[GaugeRow]]) -> None:
        self.list_gauges = list_gauges
        self.requests: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.attempts: Counter[tuple[str, str]] = Counter()
        self.first_byte: dict[str, LatencyHistogram] = {}
        self.duration: dict[str, LatencyHistogram] = {}

    def record_request(
        self, route: str, outcome: str, seconds: float, first_byte: float | None
    ) -> None:
        """Count and time a request that has ended.

        :param first_byte: seconds to the first byte of its answer, None if there was none
        """
        self.requests[route, outcome] += 1
        self.duration.setdefault(route, LatencyHistogram()).observe(seconds)
        if first_byte is not None:
            self.first_byte.setdefault(route, LatencyHistogram()).observe(first_byte)
