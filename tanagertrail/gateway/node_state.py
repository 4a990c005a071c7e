"""The state that a daemon tells others, and what it does with theirs."""

__all__ = ["NodeState"]

from typing import TYPE_CHECKING

from tanagertrail.daemons.peer_messages import DaemonState, FleetSummary
from tanagertrail.gateway.clock import read_boot_time
from tanagertrail.gateway.state_sync import SyncDelegate
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS
from tanagertrail.policy.token_quota import QuotaUsage

if TYPE_CHECKING:
    from tanagertrail.gateway.node import GatewayNode


class NodeState(SyncDelegate):
    """The state of one daemon among those of the others.

    :ivar counter: number of states that this daemon has described
    """

    def __init__(self, node: "GatewayNode") -> None:
        self.node = node
        self.counter = 0

    def on_store_update(self) -> None:
        """Push the store update to other daemons."""
        self.node.peer_client.schedule_push()

    def describe_state(self) -> DaemonState:
        """Return this daemon's current state."""
        node = self.node
        now = node.loop.time()
        self.counter += 1
        in_flight = tuple(
            (entry.record.id, entry.in_flight)
            for entry in node.cluster_view.upstreams.entries.values()
            if entry.in_flight
        )
        quota_usage = node.quota.build_report(now)
        quota = tuple((name, item.used, item.rate) for name, item in quota_usage.items())
        # Callers state the counts, whose sums may exceed any integer that a message can hold.
        prompt_tokens = tuple(
            (service, float(tokens))
            for service, tokens in node.dispatcher.prompt_tokens_sent.items()
        )
        is_hub = node.state_sync.topology.is_hub
        relays = is_hub and node.members.count() > MAX_FULL_MESH_DAEMONS
        return node.own.build_state(
            self.counter,
            serving=node.ready,
            lease_fencing=node.leadership.fencing if node.leadership.renewed_recently else 0,
            lease_renewal=node.leadership.encode_renewal(),
            store_reachable=all(watch.is_store_reachable for watch in node.watches),
            in_flight=in_flight,
            quota=quota,
            usage=node.usage.encode(),
            trials=node.dispatcher.trials.encode(),
            prompt_tokens=prompt_tokens,
            upstream_losses=node.suspects.encode_losses(),
            limits=node.rate_limits.encode(),
            cleared_parts=node.suspects.encode_cleared(),
            suspected_parts=node.suspects.encode_suspected(),
            completed=tuple(node.suspects.completed.items()),
            reaches_upstreams=node.links.reaches_upstreams,
            leaving=node.statements.encode(),
            brittle=node.brittle.encode(),
            paces=node.paces.encode(is_hub, relays),
        )

    def apply_state(self, state: DaemonState) -> None:
        """Apply another daemon's state; only a hub sums up the requests and quotas in it."""
        node = self.node
        now = node.loop.time()
        node.leadership.note_fencing(state.lease_fencing)
        if state.lease_fencing:
            self.record_leader_seen(state.age_ms / 1000)
            node.leadership.record_renewal(state.lease_fencing, state.lease_renewal, state.age_ms)
        node.usage.merge(state.daemon, state.incarnation, state.usage)
        as_of = now - state.age_ms / 1000
        node.suspects.merge_losses(state.daemon, state.incarnation, state.upstream_losses, as_of)
        node.suspects.merge_parts(state, as_of)
        encoded_at = read_boot_time() - state.age_ms / 1000
        node.rate_limits.merge(state.daemon, state.limits, encoded_at)
        node.statements.merge(state.daemon, state.leaving, encoded_at)
        node.brittle.merge(state.daemon, state.brittle, encoded_at)
        node.paces.merge(state.paces, encoded_at)
        node.cluster_view.limits_known |= state.serving
        if node.state_sync.topology.is_hub:
            usage = {name: QuotaUsage(used, rate) for name, used, rate in state.quota}
            node.quota.note_report(state.daemon, state.incarnation, usage, now)
            node.cluster_view.upstreams.record_in_flight(state.daemon, dict(state.in_flight))

    def record_leader_seen(self, age: float) -> None:
        """Record that the lease holder was alive some seconds ago."""
        node = self.node
        node.leader_seen_at = max(node.leader_seen_at, node.loop.time() - age)

    def apply_fleet_summary(self, hub: str, incarnation: int, summary: FleetSummary) -> None:
        """Apply the totals over all other daemons that a hub computed."""
        node = self.node
        node.quota.retain_daemons((hub,))
        usage = {name: QuotaUsage(used, rate) for name, used, rate in summary.quota}
        node.quota.note_report(hub, incarnation, usage, node.loop.time(), summary.daemon_count)
        node.cluster_view.upstreams.replace_in_flight(dict(summary.in_flight))
