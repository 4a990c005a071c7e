"""Counters and latency histograms of a gateway, in the Prometheus text format."""

__all__ = ["GatewayMetrics"]

from collections.abc import Callable, Iterable
from typing import NamedTuple

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

LATENCY_BOUNDS_SECONDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 10.0)


class GaugeRow(NamedTuple):
    """A value that is observed when the metrics are asked for."""

    name: str
    value: float
    labels: dict[str, str]


class GatewayMetrics:
    """Count and time the gateway's work."""

    def __init__(self, list_gauges: Callable[[], Iterable[GaugeRow]]) -> None:
        self.list_gauges = list_gauges
        resource = Resource.create({"service.name": "tanagertrail-gateway"})
        self.provider = MeterProvider(metric_readers=[PrometheusMetricReader()], resource=resource)
        meter = self.provider.get_meter("tanagertrail.gateway")
        self.requests = meter.create_counter(
            "tanagertrail_requests", description="Requests by route and outcome"
        )
        self.refusals = meter.create_counter(
            "tanagertrail_refusals", description="Refusals of the gateway's own by status"
        )
        self.tries = meter.create_counter(
            "tanagertrail_tries", description="Tries at upstreams by service and result"
        )
        self.first_byte = meter.create_histogram(
            "tanagertrail_first_byte",
            "s",
            "Time to the first byte of an answer",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_SECONDS,
        )
        self.duration = meter.create_histogram(
            "tanagertrail_duration",
            "s",
            "Time to the end of an answer",
            explicit_bucket_boundaries_advisory=LATENCY_BOUNDS_SECONDS,
        )
        meter.create_observable_gauge(
            "tanagertrail_state", [self.observe], description="State of the daemon by name"
        )

    def observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Observe the gauges."""
        for row in self.list_gauges():
            yield Observation(row.value, {"name": row.name, **row.labels})

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Stop observing."""
        self.provider.shutdown()
