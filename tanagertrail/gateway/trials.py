"""What this daemon sees of versions while services are moved."""

__all__ = ["TrialBook"]

import asyncio

from tanagertrail.gateway.beliefs import Beliefs
from tanagertrail.gateway.exchange import Exchange, Tried, TryResult
from tanagertrail.gateway.model import RolloutOrder
from tanagertrail.policy.canary import CanaryBudget, MoveState, TrialCounts, VersionUse
from tanagertrail.policy.evidence import Evidence, VersionTrial

BAD_RESULTS = frozenset({TryResult.FAILED, TryResult.BROKEN, TryResult.TIMED_OUT})


class Trial:
    """The move of one service under one order.

    :ivar seen_at: event-loop time in seconds at which the order was first seen
    :ivar routes: sequential tests by route
    """

    def __init__(self, order: RolloutOrder, budget: CanaryBudget, seen_at: float) -> None:
        self.order = order
        self.budget = budget
        self.seen_at = seen_at
        self.routes: dict[str, VersionTrial] = {}
        self.counts = TrialCounts()


class TrialBook:
    """Trials of all services that are being moved."""

    def __init__(self, beliefs: Beliefs) -> None:
        self.beliefs = beliefs
        self.trials: dict[str, Trial] = {}

    def find(self, service: str) -> Trial | None:
        """Return the trial of a service under its present order, None if there is no order."""
        order = self.beliefs.rollouts.get(service)
        if order is None:
            self.trials.pop(service, None)
            return None
        trial = self.trials.get(service)
        if trial is None or trial.order.order_id != order.order_id:
            bounds = self.beliefs.bounds
            budget = CanaryBudget(bounds.rollout_share, bounds.rollout_extra)
            now = asyncio.get_running_loop().time()
            trial = self.trials[service] = Trial(order, budget, now)
        trial.order = order
        return trial

    def judge_version(self, service: str, version: str) -> VersionUse:
        """Say how an upstream of a version may be used."""
        trial = self.find(service)
        if trial is None:
            return VersionUse.ALLOWED
        order = trial.order
        state = order.state if order.reported_version == order.version else ""
        if state == MoveState.COMPLETED:
            return VersionUse.ALLOWED if version == order.version else VersionUse.FORBIDDEN
        if version != order.version:
            return VersionUse.ALLOWED
        return VersionUse.FORBIDDEN if state == MoveState.ROLLED_BACK else VersionUse.BUDGETED

    def may_expose(self, service: str, daemons: int) -> bool:
        """Say whether the next request may go to the version that is not proved."""
        trial = self.find(service)
        return trial is not None and trial.budget.has_room(daemons)

    def note_request(self, service: str) -> None:
        """Count a request for a service that is being moved."""
        trial = self.find(service)
        if trial is not None:
            trial.budget.requests += 1

    def note_sent(self, service: str, version: str) -> None:
        """Count a request that is sent to a version."""
        trial = self.find(service)
        if trial is not None and version == trial.order.version:
            trial.budget.exposed += 1

    def note_result(self, exchange: Exchange, version: str, tried: Tried) -> None:
        """Take the result of a try."""
        trial = self.find(exchange.service)
        if trial is None or tried.proves_not_run:
            return
        first = exchange.first_byte_at or asyncio.get_running_loop().time()
        bad = tried.result in BAD_RESULTS
        evidence = Evidence(version, exchange.route.name, bad, first - exchange.arrived)
        test = trial.routes.setdefault(exchange.route.name, VersionTrial())
        if version != trial.order.version:
            test.add_old(evidence)
            trial.counts = trial.counts.add(TrialCounts(old=1, old_bad=int(bad)))
            return
        before = test.bad_samples
        test.add_new(evidence)
        worse = test.bad_samples - before
        trial.counts = trial.counts.add(TrialCounts(new=1, new_bad=worse))

    def encode(self) -> tuple:
        """Return the counts for other daemons: (service, order, counts)."""
        return tuple(
            (service, trial.order.order_id, tuple(trial.counts))
            for service, trial in self.trials.items()
        )
