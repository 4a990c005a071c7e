"""What this daemon sees of versions while services are moved."""

__all__ = ["RolloutTrials"]

import asyncio

from tanagertrail.gateway.beliefs import Beliefs
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.model import RolloutOrder
from tanagertrail.policy.canary import CanaryBudget, TrialCounts, VersionUse
from tanagertrail.policy.version_trial import RequestResult, VersionBaseline, VersionTrial

FAILURE_RESULTS = frozenset({AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.TIMED_OUT})


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
        self.route_trials: dict[str, VersionTrial] = {}
        self.pending_results: list[RequestResult] = []
        self.counts = TrialCounts()


def build_request_result(
    exchange: Exchange, version: str, attempt: UpstreamAttempt
) -> RequestResult | None:
    """Return what a try shows of a version, None for a stream that went on at another upstream."""
    route = exchange.route.name
    now = asyncio.get_running_loop().time()
    if attempt.result in FAILURE_RESULTS:
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

    def __init__(self, beliefs: Beliefs) -> None:
        self.beliefs = beliefs
        self.trials: dict[str, Trial] = {}
        self.baselines: dict[tuple[str, str], VersionBaseline] = {}

    def get_trial(self, service: str) -> Trial | None:
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

    def get_version_use(self, service: str, version: str) -> VersionUse:
        """Say how an upstream of a version may be used."""
        trial = self.get_trial(service)
        if trial is None:
            return VersionUse.ALLOWED
        order = trial.order
        if order.completed:
            return VersionUse.ALLOWED if version == order.version else VersionUse.FORBIDDEN
        if version != order.version:
            return VersionUse.ALLOWED
        return VersionUse.FORBIDDEN if order.ended else VersionUse.BUDGETED

    def allows_canary_request(self, service: str, daemons: int) -> bool:
        """Say whether the next request may go to the version that is not proved."""
        trial = self.get_trial(service)
        return trial is not None and trial.budget.allows_request(daemons)

    def note_request(self, service: str) -> None:
        """Count a request for a service that is being moved."""
        trial = self.get_trial(service)
        if trial is not None:
            trial.budget.requests += 1

    def note_sent(self, service: str, version: str) -> None:
        """Count a request that is sent to a version."""
        trial = self.get_trial(service)
        if trial is not None and version == trial.order.version:
            trial.budget.exposed += 1

    def note_result(self, exchange: Exchange, version: str, attempt: UpstreamAttempt) -> None:
        """Take the result of a try; while nothing is moved it becomes part of the baseline."""
        if attempt.proves_not_run:
            return
        request_result = build_request_result(exchange, version, attempt)
        if request_result is None:
            return
        trial = self.get_trial(exchange.service)
        baseline = self.get_baseline(exchange.service, request_result.route)
        if trial is None or version != trial.order.version or trial.order.completed:
            baseline.add(request_result)
            if trial is not None:
                old = TrialCounts(old=1, old_bad=int(request_result.failed))
                trial.counts = trial.counts.add(old)
        else:
            trial.pending_results.append(request_result)
        if trial is not None:
            self.judge_pending_results(exchange.service, trial)

    def judge_pending_results(self, service: str, trial: Trial) -> None:
        """Judge the results of the new version for which enough is known of the old one."""
        pending_results, trial.pending_results = trial.pending_results, []
        for request_result in pending_results:
            baseline = self.get_baseline(service, request_result.route)
            if not (request_result.failed or baseline.can_judge(request_result)):
                trial.pending_results.append(request_result)
                continue
            route_trial = trial.route_trials.setdefault(
                request_result.route, VersionTrial(baseline)
            )
            bad_before = route_trial.bad_samples
            route_trial.add_new(request_result)
            new_bad_count = route_trial.bad_samples - bad_before
            trial.counts = trial.counts.add(TrialCounts(new=1, new_bad=new_bad_count))

    def get_baseline(self, service: str, route: str) -> VersionBaseline:
        """Return what is known of a route at the versions in force."""
        return self.baselines.setdefault((service, route), VersionBaseline())

    def encode(self) -> tuple:
        """Return the counts for other daemons: (service, order, counts)."""
        return tuple(
            (service, trial.order.order_id, tuple(trial.counts))
            for service, trial in self.trials.items()
        )
