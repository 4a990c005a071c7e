"""Results of the old and the new version of a service during a rollout."""

__all__ = ["RolloutTrials"]

import asyncio

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.policy.canary import CanaryBudget, TrialCounts, VersionUse
from tanagertrail.policy.rollout_orders import RolloutOrder
from tanagertrail.policy.version_trial import RequestResult, VersionBaseline, VersionTrial

FAILURE_RESULTS = frozenset({AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.TIMED_OUT})


class Trial:
    """The rollout of a new version of one service.

    :ivar seen_at: event-loop time in seconds at which the order was first seen
    :ivar route_trials: sequential tests by route
    :ivar pending_results: results of the new version that cannot be judged yet, because there are
        too few of the old one
    :ivar counts: judged results of both versions
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
    """Return what an attempt shows of a version.

    It is None for the continuation of a stream that was interrupted at another upstream, because
    the first event came from there.
    """
    route = exchange.route.name
    now = asyncio.get_running_loop().time()
    if attempt.result in FAILURE_RESULTS:
        return RequestResult(version, route, True, now - exchange.sent_at)
    first = exchange.first_byte_at or now
    if first < exchange.sent_at or exchange.continues:
        return None
    gaps = exchange.splitter.events - 1
    pace = (now - first) / gaps if exchange.route.streamed and gaps > 0 else None
    return RequestResult(version, route, False, first - exchange.sent_at, pace)


class RolloutTrials:
    """Trials of all services with a rollout.

    :ivar baselines: results of the versions that are not on trial, by service and route
    """

    def __init__(self, cluster_view: ClusterView) -> None:
        self.cluster_view = cluster_view
        self.trials: dict[str, Trial] = {}
        self.baselines: dict[tuple[str, str], VersionBaseline] = {}

    def get_trial(self, service: str) -> Trial | None:
        """Return the trial of a service for its current order, None without an order."""
        order = self.cluster_view.rollouts.get(service)
        if order is None:
            self.trials.pop(service, None)
            return None
        trial = self.trials.get(service)
        if trial is None or trial.order.order_id != order.order_id:
            bounds = self.cluster_view.bounds
            budget = CanaryBudget(bounds.rollout_share, bounds.rollout_extra)
            seen_at = self.cluster_view.get_rollout_seen_at(order)
            trial = self.trials[service] = Trial(order, budget, seen_at)
        trial.order = order
        return trial

    def get_version_use(self, service: str, version: str) -> VersionUse:
        """Return whether upstreams of a version may get requests."""
        return self.cluster_view.get_version_use(service, version)

    def allows_canary_request(self, service: str, daemons: int) -> bool:
        """Return whether the next request may go to the version on trial."""
        trial = self.get_trial(service)
        return trial is not None and trial.budget.allows_request(daemons)

    def note_request(self, service: str) -> None:
        """Count a request for a service with a rollout."""
        trial = self.get_trial(service)
        if trial is not None:
            trial.budget.requests += 1

    def note_sent(self, service: str, version: str) -> None:
        """Count a request that is sent to an upstream of a version."""
        trial = self.get_trial(service)
        if trial is not None and version == trial.order.version:
            trial.budget.exposed += 1

    def note_result(self, exchange: Exchange, version: str, attempt: UpstreamAttempt) -> None:
        """Record the result of an attempt.

        Results of a version that is not on trial become part of the baseline. Those of requests
        that were sent before the order don't count for its trial.
        """
        if attempt.proves_not_run or attempt.result is AttemptResult.DOUBTFUL:
            return
        request_result = build_request_result(exchange, version, attempt)
        if request_result is None:
            return
        service = exchange.service
        trial = self.get_trial(service)
        belongs_to_trial = trial is not None and exchange.sent_at >= trial.seen_at
        if not self.cluster_view.is_on_trial(service, version):
            self.get_baseline(service, request_result.route).add(request_result)
            if belongs_to_trial:
                old = TrialCounts(old=1, old_bad=int(request_result.failed))
                trial.counts = trial.counts.add(old)
        elif belongs_to_trial and version == trial.order.version:
            trial.pending_results.append(request_result)
        if trial is not None:
            self.judge_pending_results(service, trial)

    def judge_pending_results(self, service: str, trial: Trial) -> None:
        """Judge the pending results for which there are enough results of the old version."""
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
        """Return the results of a route with versions that are not on trial."""
        return self.baselines.setdefault((service, route), VersionBaseline())

    def encode(self) -> tuple:
        """Encode the counts for other daemons as (service, order id, counts)."""
        return tuple(
            (service, trial.order.order_id, tuple(trial.counts))
            for service, trial in self.trials.items()
        )
