"""Counters and latency histograms of a gateway."""

__all__ = ["GatewayMetrics", "GaugeRow", "LatencyHistogram"]

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

LATENCY_BUCKETS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 10.0)


class GaugeRow(NamedTuple):
    """A gauge value that is read when the metrics are requested."""

    name: str
    value: float
    labels: dict[str, str]


class LatencyHistogram:
    """A latency histogram.

    :ivar counts: number of observations by the smallest bucket bound not below them; the last
        entry counts those above all bounds
    :ivar total_seconds: sum of all observations
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Add an observation."""
        self.counts[bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self.total_seconds += seconds


class GatewayMetrics:
    """Counters and latency histograms of the gateway.

    These are plain counters; :mod:`tanagertrail.gateway.exporter` formats them on request.

    :ivar list_gauges: returns the current gauges
    :ivar requests: requests by (route, outcome)
    :ivar refusals: refusals by the gateway itself, by status
    :ivar attempts: attempts at upstreams by (service, result)
    :ivar silences: silent attempts at upstreams by (service, what became of them)
    :ivar room: what was done for requests that met full upstreams, by (service, what)
    :ivar first_byte: latency of the first byte of an answer, by route
    :ivar duration: latency of the end of an answer, by route
    """

    def __init__(self, list_gauges: Callable[[], Iterable[GaugeRow]]) -> None:
        self.list_gauges = list_gauges
        self.requests: Counter[tuple[str, str]] = Counter()
        self.refusals: Counter[str] = Counter()
        self.attempts: Counter[tuple[str, str]] = Counter()
        self.silences: Counter[tuple[str, str]] = Counter()
        self.room: Counter[tuple[str, str]] = Counter()
        self.first_byte: dict[str, LatencyHistogram] = {}
        self.duration: dict[str, LatencyHistogram] = {}

    def record_request(
        self, route: str, outcome: str, seconds: float, first_byte: float | None
    ) -> None:
        """Record the outcome and the latencies of a request that has ended.

        :param first_byte: seconds until the first byte of the answer, None if there was none
        """
        self.requests[route, outcome] += 1
        self.duration.setdefault(route, LatencyHistogram()).observe(seconds)
        if first_byte is not None:
            self.first_byte.setdefault(route, LatencyHistogram()).observe(first_byte)
