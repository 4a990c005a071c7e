"""Gauges that show the state of a daemon."""

__all__ = ["list_gauges"]

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from tanagertrail.daemons.releases import RELEASE
from tanagertrail.gateway.metrics import GaugeRow

if TYPE_CHECKING:
    from tanagertrail.gateway.node import GatewayNode

MAX_AGE_SECONDS = 1e6  # shown instead of an infinite age


def list_gauges(node: "GatewayNode") -> Iterator[GaugeRow]:
    """Yield the gauges of a daemon; called from the thread that renders the metrics page."""
    config = node.cluster_view.config
    yield GaugeRow("config_version", config.version if config else 0, {})
    yield GaugeRow("config_age_s", min(node.cluster_view.config_age, MAX_AGE_SECONDS), {})
    yield GaugeRow("ready", float(node.ready), {})
    yield GaugeRow("reaches_upstreams", float(node.links.reaches_upstreams), {})
    yield GaugeRow("cut_from_upstreams", float(node.links.is_cut), {})
    yield GaugeRow("upstream_probe_rounds", node.links.rounds, {})
    yield GaugeRow("in_flight", node.dispatcher.in_flight, {})
    room_queue = node.dispatcher.room_queue
    yield GaugeRow("startup_requests_waiting", node.dispatcher.startup.waiting, {})
    yield GaugeRow("requests_waiting", room_queue.count_waiting(), {})
    yield GaugeRow("requests_waiting_bytes", room_queue.measure_bytes(), {})
    yield GaugeRow("members_alive", node.members.count_alive(node.loop.time()), {})
    yield GaugeRow("fencing", node.leadership.fencing, {})
    yield GaugeRow("store_calls", node.store.call_count, {})
    yield GaugeRow("upstream_connections_opened", node.pools.opened_count, {})
    answers = node.dispatcher.sender.answers
    yield GaugeRow("answers_unproven", answers.unproven_count, {})
    yield GaugeRow("answers_of_other_requests", answers.skipped_count, {})
    yield GaugeRow("requests_quarantined", len(node.suspects.poison_tracker.quarantined), {})
    yield GaugeRow("requests_suspected", len(node.suspects.poison_tracker.crashes), {})
    yield GaugeRow("store_era", node.store.era or 0, {})
    yield GaugeRow("entries_refused", node.follower.refusals.counts.total(), {})
    yield GaugeRow("peer_rows_refused", node.state_sync.refused_rows, {})
    yield from list_release_gauges(node)
    attributor = node.suspects.attributor
    yield GaugeRow("prompt_parts_quarantined", len(attributor.quarantined), {})
    yield GaugeRow("prompt_parts_suspected", len(attributor.suspected), {})
    yield GaugeRow("upstream_crashes_known", len(attributor.crashes), {})
    yield GaugeRow("brittle_upstreams", node.brittle.count_in_force(), {})
    yield GaugeRow("brittle_rejections", node.brittle.rejected_count, {})
    yield GaugeRow("limits_in_force", node.rate_limits.count_in_force(), {})
    yield GaugeRow("statements_refused", node.statements.refused_count, {})
    yield GaugeRow("read_rate_samples", node.paces.sample_count, {})
    for service, typical in list(node.paces.typical_rates.items()):
        yield GaugeRow("typical_read_rate", typical, {"service": service})
    for reason, count in list(node.http_server.closes.items()):
        yield GaugeRow("caller_connections_closed", count, {"reason": reason})
    yield from list_caller_gauges(node)
    yield GaugeRow("tasks_failing", len(node.supervisor.failing), {})
    for task, count in list(node.supervisor.failure_counts.items()):
        yield GaugeRow("task_failures", count, {"task": task})
    carry_client, carry_server = node.dispatcher.carry_client, node.carry_server
    yield GaugeRow("carried_out", carry_client.in_flight, {})
    yield GaugeRow("carried_in", carry_server.in_flight, {})
    yield GaugeRow("carry_room", carry_server.room, {})
    yield GaugeRow("carried_total", carry_server.carried_count, {})
    yield GaugeRow("refused_carry", carry_server.refused_count, {})
    for result, count in list(carry_client.results.items()):
        yield GaugeRow(f"carried_out_{result.replace(' ', '_')}", count, {})
    for domain in list(node.cluster_view.evacuated):
        yield GaugeRow("domain_out", 1.0, {"failure_domain": domain})
    for entry in list(node.cluster_view.upstreams.entries.values()):
        labels = {"upstream": entry.record.id, "service": entry.record.service}
        yield GaugeRow("upstream_in_flight", entry.in_flight, labels)
        yield GaugeRow("upstream_running", entry.running, labels)
        yield GaugeRow("upstream_faults", entry.failure_rate, labels)
        yield GaugeRow("upstream_sent", entry.sent_count, labels)
        yield GaugeRow("upstream_leaving", float(node.statements.is_leaving(entry.record)), labels)
        yield GaugeRow("upstream_wait_s", node.statements.count_wait_left(entry), labels)
        if entry.read_rate is not None:
            yield GaugeRow("upstream_pace", entry.pace, labels)
        room = node.brittle.rooms.get((entry.record.id, entry.record.born))
        if room is not None:
            yield GaugeRow("brittle_upstream_part", room.part, labels)
        rate = node.rate_limits.get_rate(entry)
        if rate is not None:
            yield GaugeRow("upstream_limit", rate, labels)
            yield GaugeRow("upstream_limit_own", node.rate_limits.get_own_rate(entry), labels)
            yield GaugeRow("upstream_limit_spent", node.rate_limits.get_spent(entry), labels)


def list_caller_gauges(node: "GatewayNode") -> Iterator[GaugeRow]:
    """Yield the gauges on what all callers hold together, and on who had to yield."""
    bodies, unread, budget = node.guard.bodies, node.guard.unread, node.caller_budget
    connections = node.http_server.connections
    yield GaugeRow("caller_body_bytes", bodies.held, {})
    yield GaugeRow("caller_body_bytes_limit", budget.body_bytes, {})
    yield GaugeRow("caller_bodies_too_slow", bodies.yielded[408], {})
    yield GaugeRow("caller_bodies_yielded", bodies.yielded[503], {})
    yield GaugeRow("caller_unread_bytes", unread.total, {})
    yield GaugeRow("caller_unread_bytes_limit", budget.unread_bytes, {})
    yield GaugeRow("caller_unread_aborted", unread.aborted, {})
    yield GaugeRow("caller_connections_open", len(connections.streams), {})
    yield GaugeRow("caller_connections_limit", budget.connections, {})
    yield GaugeRow("caller_connections_evicted", connections.evicted, {})
    pages = [server.connections for server in node.page_servers.http_servers]
    yield GaugeRow("page_connections_open", sum(len(page.streams) for page in pages), {})
    yield GaugeRow("page_connections_evicted", sum(page.evicted for page in pages), {})


def list_release_gauges(node: "GatewayNode") -> Iterator[GaugeRow]:
    """Yield the gauges on releases: this daemon's, those of living members, what is not told."""
    yield GaugeRow("release", RELEASE, {})
    yield GaugeRow("peer_frames_refused", node.state_sync.refused_frames, {})
    yield GaugeRow("members_too_old", len(node.state_sync.too_old), {})
    yield GaugeRow("store_updates_withheld", node.state_sync.withheld_updates, {})
    releases = Counter(state.release for state in node.members.list_alive(node.loop.time()))
    for release, count in releases.items():
        yield GaugeRow("members_of_release", count, {"member_release": str(release)})
