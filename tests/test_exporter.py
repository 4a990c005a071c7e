"""Tests for the metrics export and for invalid requests to pages."""

import asyncio

import urllib3

from tanagertrail.gateway.exporter import render_metrics
from tanagertrail.gateway.metrics import GatewayMetrics, GaugeRow
from tests.gateway_utils import HOST, open_world, run_in_real_time


def build_metrics() -> GatewayMetrics:
    """Return metrics of a daemon that has served three requests."""
    rows = [
        GaugeRow("ready", 1.0, {}),
        GaugeRow("upstream_running", 5.0, {"upstream": "up-a", "service": "desk"}),
    ]
    metrics = GatewayMetrics(lambda: rows)
    metrics.record_request("look", "answered", 0.03, 0.009)
    metrics.record_request("look", "answered", 0.3, 0.02)
    metrics.record_request("look", "refused", 40.0, None)
    metrics.refusals["503"] += 1
    metrics.attempts["desk", "delivered"] += 2
    metrics.silences["desk", "went on"] += 1
    return metrics


def test_counters_histograms_and_gauges_keep_their_names():
    lines = render_metrics(build_metrics()).decode().splitlines()
    for line in (
        'tanagertrail_requests_total{outcome="answered",route="look"} 2.0',
        'tanagertrail_requests_total{outcome="refused",route="look"} 1.0',
        'tanagertrail_refusals_total{status="503"} 1.0',
        'tanagertrail_tries_total{result="delivered",service="desk"} 2.0',
        'tanagertrail_silences_total{outcome="went on",service="desk"} 1.0',
        'tanagertrail_state{name="ready",service="",upstream=""} 1.0',
        'tanagertrail_state{name="upstream_running",service="desk",upstream="up-a"} 5.0',
    ):
        assert line in lines, line


def test_histogram_buckets_are_cumulative():
    lines = render_metrics(build_metrics()).decode().splitlines()
    buckets = [line for line in lines if line.startswith("tanagertrail_duration_seconds_bucket")]
    counts = [float(line.rpartition(" ")[2]) for line in buckets]
    assert counts == sorted(counts)
    assert counts[-1] == 3.0
    assert 'tanagertrail_duration_seconds_count{route="look"} 3.0' in lines
    assert 'tanagertrail_first_byte_seconds_count{route="look"} 2.0' in lines
    assert 'tanagertrail_first_byte_seconds_bucket{le="0.01",route="look"} 1.0' in lines


@run_in_real_time
async def test_unknown_pages_and_malformed_requests_are_refused():
    async with open_world() as world:
        pool = urllib3.PoolManager(retries=False)

        def ask(path: str, method: str = "GET") -> int:
            url = f"http://{HOST}:{world.ports['ready']}{path}"
            return pool.request(method, url).status

        assert await asyncio.to_thread(ask, "/tanagertrail/ready") == 200
        assert await asyncio.to_thread(ask, "/tanagertrail/ready?a=%ff&b") == 200
        assert await asyncio.to_thread(ask, "/tanagertrail/resolve") == 404
        assert await asyncio.to_thread(ask, "/") == 404
        reader, writer = await asyncio.open_connection(HOST, world.ports["ready"])
        writer.write(b"nonsense\r\n\r\n")
        assert b" 400 " in await reader.readline()
        writer.close()
