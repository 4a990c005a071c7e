"""Whether a request may be sent to another upstream."""

__all__ = ["DEADLINE_MARGIN_SECONDS", "RetryRules"]

import asyncio
from collections.abc import Callable

from tanagertrail.gateway.carry_client import CarryClient
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.stop_gate import StopGate
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_selector import UpstreamSelector
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.poison import Verdict
from tanagertrail.policy.room import allows_another_send, frees_attempt
from tanagertrail.policy.windowed_retries import WindowedRetryBudget

DEADLINE_MARGIN_SECONDS = 0.05  # kept back for the response to the caller
MAX_CONNECT_ATTEMPTS = 4  # attempts after which another unreachable upstream ends the request


class RetryRules:
    """Decide on further attempts at requests, and charge them to the retry budgets.

    :ivar budgets: retry budgets by service
    :ivar is_cut_off: returns whether this daemon reaches no upstream itself
    :ivar metrics: None if metrics are not exported
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        suspects: SuspectTracker,
        stop_gate: StopGate,
        selector: UpstreamSelector,
        carry_client: CarryClient,
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.suspects = suspects
        self.stop_gate = stop_gate
        self.selector = selector
        self.carry_client = carry_client
        self.budgets: dict[str, WindowedRetryBudget] = {}
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.metrics: GatewayMetrics | None = None

    def may_resend(self, exchange: Exchange) -> bool:
        """Return whether another upstream may get a request that this one may be running."""
        return (
            exchange.route.idempotent
            and allows_another_send(
                exchange.sent_count + 1, exchange.free_refusals, exchange.route.attempts
            )
            and self.may_run_again(exchange)
            and self.stop_gate.allows_attempt(exchange)
            and self.origin_serves(exchange)
        )

    def origin_serves(self, exchange: Exchange) -> bool:
        """Return whether the origin of a carried request is not known to stop.

        It makes the next attempt, and the time that it has left for one is not known here.
        """
        if not exchange.origin:
            return True
        state = self.members.states.get(exchange.origin)
        return state is not None and state.serving

    def claim_resend(self, exchange: Exchange, entry: UpstreamEntry, must_be_idle: bool) -> bool:
        """Charge a resend to the retry budget while the first attempt still lasts.

        The attempt may be given up only then, since it would be the last one otherwise.

        :param must_be_idle: whether only a lightly loaded upstream may get the request
        :returns: whether another upstream may get it now
        """
        if not self.may_resend(exchange):
            return False
        if self.is_cut_off():
            has_alternative = self.carry_client.has_carrier(exchange)
        else:
            has_alternative = self.selector.has_alternative(exchange, entry, must_be_idle)
        if not has_alternative:
            return False
        exchange.resend_claimed = self.spend_retry(exchange.service)
        return exchange.resend_claimed

    def may_retry(self, exchange: Exchange, attempt: UpstreamAttempt) -> bool:
        """Return whether another attempt is allowed, and charge it to the retry budget."""
        is_free = self.note_free_refusal(exchange, attempt)
        if exchange.time_left <= DEADLINE_MARGIN_SECONDS:
            return False
        if exchange.resend_claimed:
            exchange.resend_claimed = False
            return True
        if not attempt.proves_not_run and not exchange.route.idempotent:
            return False
        if not allows_another_send(
            exchange.sent_count, exchange.free_refusals, exchange.route.attempts
        ):
            return False
        if not self.may_risk_another_crash(exchange):
            return False
        if attempt.result is AttemptResult.NOT_SENT:
            return len(exchange.attempts) < MAX_CONNECT_ATTEMPTS
        if (
            attempt.result is AttemptResult.FAILED
            and exchange.time_left < exchange.route.latency_objective / 2
        ):
            return False
        may_send = self.spend_retry(exchange.service)
        if is_free and self.metrics is not None:
            decision = "retried elsewhere" if may_send else "retry budget used up"
            self.metrics.room[exchange.service, decision] += 1
        return may_send

    def note_free_refusal(self, exchange: Exchange, attempt: UpstreamAttempt) -> bool:
        """Count a refusal if it uses up none of the route's attempts; return whether it does."""
        if attempt.result is not AttemptResult.REFUSED:
            return False
        entry = self.cluster_view.upstreams.entries.get(attempt.upstream)
        is_free = frees_attempt(
            self.selector.load_limits.mode,
            attempt.head.status if attempt.head is not None else None,
            entry is not None and self.selector.has_own_limit(entry),
            self.suspects.must_run_isolated(exchange.fingerprint),
        )
        exchange.free_refusals += int(is_free)
        return is_free

    def spend_retry(self, service: str) -> bool:
        """Take a retry from the budget of a service; return whether one was available."""
        return self.get_budget(service).spend(
            self.members.count(), asyncio.get_running_loop().time()
        )

    def may_risk_another_crash(self, exchange: Exchange) -> bool:
        """Return whether another upstream may get the request although it may crash it.

        A request that must run isolated is not retried by the gateway once an attempt may have
        run it; its caller has to send it again.
        """
        if self.is_quarantined(exchange):
            return False
        return exchange.known_not_run or self.may_run_again(exchange)

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Return whether no upstream may get a request, because it crashes them."""
        if self.suspects.judge(exchange.fingerprint) is Verdict.QUARANTINED:
            return True
        return self.suspects.find_part_quarantine(exchange.part_keys) is not None

    def may_run_again(self, exchange: Exchange) -> bool:
        """Return whether a request that may have crashed an upstream may be sent to another."""
        return not self.is_quarantined(exchange) and self.suspects.may_send_again(
            exchange.fingerprint, exchange.part_keys
        )

    def get_budget(self, service: str) -> WindowedRetryBudget:
        """Return the retry budget of a service."""
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.cluster_view.bounds
            budget = WindowedRetryBudget(
                bounds.retry_ratio, bounds.retry_extra, bounds.retry_window
            )
            self.budgets[service] = budget
        return budget
