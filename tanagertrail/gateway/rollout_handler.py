"""Handler of the operators' rollout orders."""

__all__ = ["RolloutHandler"]

import asyncio

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.handlers import OPERATOR_REWRITE_SECONDS
from tanagertrail.gateway.mirror import BaseKindHandler, ObjectStatus
from tanagertrail.gateway.refusals import RefusalLog
from tanagertrail.platform.rollout_records import ROLLOUTS, decode_rollout
from tanagertrail.platform.store import StoredObject
from tanagertrail.policy.rollout_orders import find_withdrawn, identify_order


class RolloutHandler(BaseKindHandler):
    """Follow the rollout orders.

    :ivar drop_timers: pending ends of orders that a restored store has lost
    """

    def __init__(
        self, cluster_view: ClusterView, log: EventLog, refusals: RefusalLog | None = None
    ) -> None:
        self.cluster_view = cluster_view
        self.log = log
        self.refusals = refusals or RefusalLog(log)
        self.drop_timers: dict[str, asyncio.TimerHandle] = {}

    def replace_restored(self, objects: list[StoredObject]) -> None:
        """Apply a restored listing; orders that it lacks or has unreported keep their state."""
        known = dict(self.cluster_view.rollouts)
        self.replace_all(objects, True)
        for name, order in known.items():
            found = self.cluster_view.rollouts.get(name)
            if found is None:
                self.cluster_view.put_rollout(order)
                self.cancel_drop(name)
                self.drop_timers[name] = asyncio.get_running_loop().call_later(
                    OPERATOR_REWRITE_SECONDS, self.drop_lost, name
                )
            elif found.equals_request(order) and not found.ended and found.state != order.state:
                self.cluster_view.put_rollout(
                    order._replace(revision=found.revision, is_report_lost=True)
                )
            else:
                continue
            self.log.write("rollout_kept", service=name, version=order.version, state=order.state)

    def cancel_drop(self, name: str) -> None:
        """Keep an order whose end was scheduled."""
        timer = self.drop_timers.pop(name, None)
        if timer is not None:
            timer.cancel()

    def drop_lost(self, name: str) -> None:
        """Drop an order that was not written again."""
        self.drop_timers.pop(name, None)
        self.cluster_view.remove_rollout(name)

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply a complete listing of the orders."""
        present = {item.name for item in objects}
        for name in [name for name in self.cluster_view.rollouts if name not in present]:
            self.cluster_view.remove_rollout(name)
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)
        self.cluster_view.rollouts_known = True

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a change of an order; an invalid one changes nothing."""
        self.cancel_drop(item.name)
        if object_status is not ObjectStatus.PRESENT or item.deleting:
            self.cluster_view.remove_rollout(item.name)
            return
        try:
            entry = decode_rollout(item)
        except InvalidInputError as error:
            self.refusals.write(
                "rollout_refused", ROLLOUTS, item.name, item.revision, error, service=item.name
            )
            return
        former = self.cluster_view.rollouts.get(item.name)
        known = self.cluster_view.withdrawn.get(item.name, ())
        self.cluster_view.withdrawn[item.name] = find_withdrawn(entry, former, known)
        order = identify_order(entry, former)
        self.cluster_view.put_rollout(order)
        self.log.write(
            "rollout",
            service=order.service,
            version=order.version,
            state=order.state,
            revision=order.revision,
            order=order.order_id,
            withdrawn=self.cluster_view.withdrawn[item.name],
        )
