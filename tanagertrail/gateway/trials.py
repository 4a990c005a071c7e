"""What this daemon sees of versions while services are moved."""

__all__ = ["RolloutTrials"]

import asyncio

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.model import RolloutOrder
from tanagertrail.policy.canary import CanaryBudget, TrialCounts, VersionUse
from tanagertrail.policy.version_trial import RequestResult, VersionBaseline, VersionTrial

BAD_RESULTS = frozenset({AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.TIMED_OUT})


class Trial:
    """The move of one service under one order.

    :ivar seen_at: event-loop time in seconds at which the order was first seen
    :ivar routes: sequential tests by route
    :ivar waiting: results of the new version for which too little is known of the old one
    """

    def __init__(self, order: RolloutOrder, budget: CanaryBudget, seen_at: float) -> None:
        self.order = order
        self.budget = budget
        self.seen_at = seen_at
        self.routes: dict[str, VersionTrial] = {}
        self.waiting: list[RequestResult] = []
        self.counts = TrialCounts()


def describe_result(
    exchange: Exchange, version: str, tried: UpstreamAttempt
) -> RequestResult | None:
    """Return what a try shows of a version, None for a stream that went on at another upstream."""
    route = exchange.route.name
    now = asyncio.get_running_loop().time()
    if tried.result in BAD_RESULTS:
        return RequestResult(version, route, True, now - exchange.sent_at)
    first = exchange.first_byte_at or now
    if first < exchange.sent_at:
        return None
    gaps = exchange.splitter.events - 1
    pace = (now - first) / gaps if exchange.route.streamed and gaps > 0 else None
    return RequestResult(version, route, False, first - exchange.sent_at, pace)


class RolloutTrials:
    """Trials of all services that are being moved.

    :ivar baselines: results of the versions in force, by service and route
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self.cluster_view = cluster_view
        self.trials: dict[str, Trial] = {}
        self.baselines: dict[tuple[str, str], VersionBaseline] = {}

    def find(self, service: str) -> Trial | None:
        """Return the trial of a service under its present order, None if there is no order."""
        order = self.cluster_view.rollouts.get(service)
        if order is None:
            self.trials.pop(service, None)
            return None
        trial = self.trials.get(service)
        if trial is None or trial.order.order_id != order.order_id:
            bounds = self.cluster_view.bounds
            budget = CanaryBudget(bounds.rollout_share, bounds.rollout_extra)
            now = asyncio.get_running_loop().time()
            trial = self.trials[service] = Trial(order, budget, now)
        trial.order = order
        return trial

    def get_version_use(self, service: str, version: str) -> VersionUse:
        """Say how an upstream of a version may be used."""
        trial = self.find(service)
        if trial is None:
            return VersionUse.ALLOWED
        order = trial.order
        if order.completed:
            return VersionUse.ALLOWED if version == order.version else VersionUse.FORBIDDEN
        if version != order.version:
            return VersionUse.ALLOWED
        return VersionUse.FORBIDDEN if order.ended else VersionUse.BUDGETED

    def may_expose(self, service: str, daemons: int) -> bool:
        """Say whether the next request may go to the version that is not proved."""
        trial = self.find(service)
        return trial is not None and trial.budget.allows_request(daemons)

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

    def note_result(self, exchange: Exchange, version: str, tried: UpstreamAttempt) -> None:
        """Take the result of a try; while nothing is moved it becomes part of the baseline."""
        if tried.proves_not_run:
            return
        evidence = describe_result(exchange, version, tried)
        if evidence is None:
            return
        trial = self.find(exchange.service)
        baseline = self.find_baseline(exchange.service, evidence.route)
        if trial is None or version != trial.order.version or trial.order.completed:
            baseline.add(evidence)
            if trial is not None:
                old = TrialCounts(old=1, old_bad=int(evidence.failed))
                trial.counts = trial.counts.add(old)
        else:
            trial.waiting.append(evidence)
        if trial is not None:
            self.judge_waiting(exchange.service, trial)

    def judge_waiting(self, service: str, trial: Trial) -> None:
        """Judge the results of the new version for which enough is known of the old one."""
        waiting, trial.waiting = trial.waiting, []
        for evidence in waiting:
            baseline = self.find_baseline(service, evidence.route)
            if not (evidence.failed or baseline.can_judge(evidence)):
                trial.waiting.append(evidence)
                continue
            test = trial.routes.setdefault(evidence.route, VersionTrial(baseline))
            before = test.bad_samples
            test.add_new(evidence)
            worse = test.bad_samples - before
            trial.counts = trial.counts.add(TrialCounts(new=1, new_bad=worse))

    def find_baseline(self, service: str, route: str) -> VersionBaseline:
        """Return what is known of a route at the versions in force."""
        return self.baselines.setdefault((service, route), VersionBaseline())

    def encode(self) -> tuple:
        """Return the counts for other daemons: (service, order, counts)."""
        return tuple(
            (service, trial.order.order_id, tuple(trial.counts))
            for service, trial in self.trials.items()
        )
