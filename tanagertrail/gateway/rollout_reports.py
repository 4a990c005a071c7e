"""Reports of the lease holder on the rollouts that operators ordered."""

__all__ = ["RolloutReporter"]

import asyncio
from collections.abc import Callable

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.rollout_records import ROLLOUTS, encode_rollout_status
from tanagertrail.platform.store import StoreClient
from tanagertrail.policy.canary import (
    CanaryState,
    TrialCounts,
    decide_canary_state,
    decide_return_state,
)
from tanagertrail.policy.rollout_orders import RolloutOrder


class RolloutReporter:
    """Decide and report how rollouts go on and end.

    :ivar get_trial_counts: returns the results of all daemons for a service and a rollout order
    :ivar count_trial_upstreams: returns the capacity of the upstreams of a service's ordered
        version, in whole upstreams
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        store: StoreClient,
        log: EventLog,
        get_trial_counts: Callable[[str, int], TrialCounts],
        count_trial_upstreams: Callable[[str], int],
    ) -> None:
        self.cluster_view = cluster_view
        self.store = store
        self.log = log
        self.get_trial_counts = get_trial_counts
        self.count_trial_upstreams = count_trial_upstreams

    async def update(self, order: RolloutOrder) -> None:
        """Report a rollout if its state has changed or its last report was lost.

        :raises PlatformError: if the order has changed or the store is unreachable
        """
        counts = self.get_trial_counts(order.service, order.order_id)
        if order.is_report_lost:
            await self.report(order, order.state, counts)
        if order.ended:
            return
        if order.served is None and not order.reported_version:
            order = order._replace(served=self.find_served_versions(order))
        new_state = self.decide_state(order, counts)
        if new_state != order.state:
            await self.report(order, new_state, counts)

    def decide_state(self, order: RolloutOrder, counts: TrialCounts) -> CanaryState:
        """Return the state to which an order should change, from when it was first seen here."""
        seen_at = self.cluster_view.get_rollout_seen_at(order)
        elapsed = asyncio.get_running_loop().time() - seen_at
        if order.is_return:
            drain = self.cluster_view.bounds.drain
            return decide_return_state(elapsed, order.seconds, drain)
        trial_upstreams = self.count_trial_upstreams(order.service)
        return decide_canary_state(counts, elapsed, order.seconds, trial_upstreams)

    def find_served_versions(self, order: RolloutOrder) -> tuple[str, ...]:
        """Return the versions that were in service before the first order of a service.

        The ordered version is one of them if its upstreams were there before and no others are.
        """
        seen_at = self.cluster_view.get_rollout_seen_at(order)
        table = self.cluster_view.upstreams
        entries = [
            entry
            for entry in table.iter_service(order.service)
            if table.is_staying(entry) and not self.is_withdrawn(entry)
        ]
        versions = {entry.record.version for entry in entries}
        if versions == {order.version} and any(entry.first_seen_at < seen_at for entry in entries):
            return (order.version,)
        return tuple(sorted(versions - {order.version}))

    def is_withdrawn(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream runs a version that was ordered before and not completed."""
        withdrawn = self.cluster_view.withdrawn.get(entry.record.service, ())
        return entry.record.version in withdrawn

    async def report(self, order: RolloutOrder, state: CanaryState, counts: TrialCounts) -> None:
        """Store the state of a rollout.

        :raises PlatformError: if the order has changed or the store is unreachable
        """
        withdrawn = self.cluster_view.withdrawn.get(order.service, ())
        report = encode_rollout_status(order, state, withdrawn)
        await self.store.set_status(ROLLOUTS, order.service, report, order.revision)
        self.log.write(
            "rollout_report",
            service=order.service,
            version=order.version,
            state=state,
            order=order.order_id,
            **counts._asdict(),
        )
