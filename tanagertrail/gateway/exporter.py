"""Export of a gateway's metrics in the Prometheus text format.

Imported on the first request for metrics: importing the Prometheus client takes a noticeable part
of a start.
"""

__all__ = ["render_metrics"]

from collections.abc import Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from tanagertrail.gateway.metrics import (
    LATENCY_BUCKETS_SECONDS,
    GatewayMetrics,
    GaugeRow,
    LatencyHistogram,
)


class GatewayCollector(Collector):
    """Collect the metric families of a gateway."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self.metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield all metric families."""
        metrics = self.metrics
        yield build_counter(
            "requests", "Requests by route and outcome", ("route", "outcome"), metrics.requests
        )
        refusals = {(status,): count for status, count in dict(metrics.refusals).items()}
        yield build_counter(
            "refusals", "Refusals of the gateway's own by status", ("status",), refusals
        )
        yield build_counter(
            "tries",
            "Tries at upstreams by service and result",
            ("service", "result"),
            metrics.attempts,
        )
        yield build_counter(
            "silences",
            "Silent attempts at upstreams by service and what became of them",
            ("service", "outcome"),
            metrics.silences,
        )
        yield build_counter(
            "room",
            "Requests that met full upstreams by service and what was done for them",
            ("service", "decision"),
            metrics.room,
        )
        yield build_histogram(
            "first_byte_seconds", "Time to the first byte of an answer", metrics.first_byte
        )
        yield build_histogram("duration_seconds", "Time to the end of an answer", metrics.duration)
        yield from build_gauges(metrics.list_gauges())


def build_counter(
    name: str, help_text: str, labels: tuple[str, ...], counts: Mapping[tuple[str, ...], int]
) -> CounterMetricFamily:
    """Return a counter family."""
    family = CounterMetricFamily(f"tanagertrail_{name}", help_text, labels=labels)
    for values, count in dict(counts).items():
        family.add_metric(values, count)
    return family


def build_histogram(
    name: str, help_text: str, histograms: Mapping[str, LatencyHistogram]
) -> HistogramMetricFamily:
    """Return a histogram family with one histogram per route."""
    family = HistogramMetricFamily(f"tanagertrail_{name}", help_text, labels=("route",))
    for route, histogram in dict(histograms).items():
        buckets = []
        total = 0
        bounds = [*map(str, LATENCY_BUCKETS_SECONDS), "+Inf"]
        for bound, count in zip(bounds, list(histogram.counts), strict=True):
            total += count
            buckets.append((bound, total))
        family.add_metric((route,), buckets, histogram.total_seconds)
    return family


def build_gauges(rows: Iterable[GaugeRow]) -> Iterator[GaugeMetricFamily]:
    """Yield a single family for all gauges, which are told apart by their labels."""
    labelled_values = [({"name": row.name, **row.labels}, row.value) for row in rows]
    labels = sorted({label for item, _ in labelled_values for label in item})
    family = GaugeMetricFamily("tanagertrail_state", "State of the daemon by name", labels=labels)
    for item, value in labelled_values:
        family.add_metric([item.get(label, "") for label in labels], value)
    yield family


def render_metrics(metrics: GatewayMetrics) -> bytes:
    """Return all metrics in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(GatewayCollector(metrics))
    return generate_latest(registry)
