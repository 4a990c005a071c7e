"""Metrics of a daemon, collected with OpenTelemetry and exported in Prometheus text format."""

__all__ = ["DaemonMetrics"]

from collections.abc import Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from tanagertrail.core.node import Node


class DaemonMetrics:
    """Observe a daemon's counters and gauges each time the metrics are read."""

    def __init__(self, node: Node) -> None:
        self.node = node
        reader = PrometheusMetricReader()
        resource = Resource.create({"service.name": "tanagertraild"})
        self.provider = MeterProvider(metric_readers=[reader], resource=resource)
        meter = self.provider.get_meter("tanagertrail")
        meter.create_observable_counter(
            "tanagertrail_events", [self.observe_events], description="Events by kind"
        )
        meter.create_observable_counter(
            "tanagertrail_peer_bytes", [self.observe_bytes], "By", "Bytes sent to other daemons"
        )
        meter.create_observable_gauge(
            "tanagertrail_in_flight", [self.observe_flights], description="Requests at upstreams"
        )
        meter.create_observable_gauge(
            "tanagertrail_queued", [self.observe_queues], description="Requests that wait"
        )
        meter.create_observable_gauge(
            "tanagertrail_ticket", [self.observe_ticket], description="Ticket in force"
        )

    def observe_events(self, options: CallbackOptions) -> Iterable[Observation]:
        """Observe the event counters."""
        for kind, count in list(self.node.recorder.counters.items()):
            yield Observation(count, {"kind": kind})

    def observe_bytes(self, options: CallbackOptions) -> Iterable[Observation]:
        """Observe the bytes sent to other daemons."""
        for kind, count in list(self.node.dependencies.transport.bytes_sent.items()):
            yield Observation(count, {"message": kind})

    def observe_flights(self, options: CallbackOptions) -> Iterable[Observation]:
        """Observe the number of requests in flight by upstream."""
        for name, entry in list(self.node.limiter.slot_holder.held.items()):
            yield Observation(entry.in_flight, {"upstream": name})

    def observe_queues(self, options: CallbackOptions) -> Iterable[Observation]:
        """Observe the number of waiting requests by service and version."""
        for (service, version), queue in list(self.node.server.slot_queues.queues.items()):
            yield Observation(len(queue), {"service": service, "version": version})

    def observe_ticket(self, options: CallbackOptions) -> Iterable[Observation]:
        """Observe the number of the ticket in force."""
        yield Observation(self.node.configuration.current.number)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Shut down the meter provider."""
        self.provider.shutdown()
