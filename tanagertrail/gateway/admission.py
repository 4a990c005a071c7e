"""Admission control: route, API key, quarantine and quota of a request."""

__all__ = ["Admission", "Admitted", "Refusal"]

import asyncio
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.http1 import CallerRequest
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.model import Customer, Route
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.platform.header_fields import CallerFields
from tanagertrail.policy.poison import Verdict, compute_fingerprint, compute_part_key
from tanagertrail.policy.retry_after import estimate_retry_after
from tanagertrail.policy.token_quota import Quota, QuotaLimiter, QuotaRefusal

MAX_CONFIG_AGE_SECONDS = 3.0  # beyond it, an unknown key or route may have just been added


class Refusal(NamedTuple):
    """An error response that the gateway generates itself.

    :ivar retry_after: value of the ``Retry-After`` header in seconds, None for no header
    :ivar log_fields: the values that the decision was based on
    :ivar may_change: whether a daemon that has just started may soon decide otherwise
    """

    status: int
    reason: str
    retry_after: float | None = None
    log_fields: dict[str, Any] = {}
    may_change: bool = False


StopCheck = Callable[[Route, CallerFields], Refusal | None]


class Admitted(NamedTuple):
    """An admitted request.

    :ivar customer: None if the request needs no key
    :ivar fingerprint: hash of customer, path and body, the same for every resend
    :ivar parts: keys of the prompt's parts that other requests may have too
    """

    route: Route
    customer: Customer | None
    fingerprint: str
    parts: tuple[str, ...]


class Admission:
    """Check requests against the configuration, the quarantine and the quotas.

    :ivar check_stop: returns the refusal of a request that does not end before a planned stop
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        quota: QuotaLimiter,
        suspects: SuspectTracker,
        rng: random.Random,
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.quota = quota
        self.suspects = suspects
        self.rng = rng
        self.check_stop: StopCheck = lambda route, fields: None

    def admit(self, request: CallerRequest, fields: CallerFields) -> Admitted | Refusal:
        """Check route, key, quarantine, a planned stop and quota of a request."""
        resolved = self.resolve_route(request, fields)
        if isinstance(resolved, Refusal):
            return resolved
        route, customer = resolved
        fingerprint = fingerprint_request(request, customer)
        parts = compute_part_keys(fields)
        refusal = self.check_quarantine(fingerprint, parts) or self.check_stop(route, fields)
        if refusal is None and customer is not None:
            refusal = self.check_quota(customer, fields)
        return refusal or Admitted(route, customer, fingerprint, parts)

    def resolve_route(
        self, request: CallerRequest, fields: CallerFields
    ) -> tuple[Route, Customer | None] | Refusal:
        """Return the route of a request and the customer that its key belongs to."""
        config = self.cluster_view.config
        if config is None or not self.cluster_view.complete:
            return Refusal(503, "too little is known yet", self.jittered_retry_after())
        route = config.find_route(request.host, request.path)
        config_is_fresh = self.cluster_view.config_age < MAX_CONFIG_AGE_SECONDS
        if route is None:
            if config_is_fresh:
                return Refusal(404, "no such route")
            return Refusal(503, "the configuration may be old", self.jittered_retry_after())
        if not config.customers or route.public:
            return route, None
        if not self.cluster_view.revocations_current:
            return Refusal(503, "keys cannot be checked now", self.jittered_retry_after())
        customer = config.keys.get(fields.api_key or "")
        if customer is None:
            if config_is_fresh:
                return Refusal(401, "unknown key")
            return Refusal(503, "the keys may be old", self.jittered_retry_after())
        return route, customer

    def check_quarantine(self, fingerprint: str, parts: tuple[str, ...]) -> Refusal | None:
        """Return a refusal if upstreams crash on this request or on parts of it, else None.

        A quarantined request is always refused, a suspected one while a copy of it is running.
        """
        quarantine = self.suspects.find_part_quarantine(parts)
        if quarantine is not None:
            left = self.suspects.get_quarantine_time_left(quarantine)
            log_fields = {"quarantine": quarantine, "parts": parts}
            return Refusal(503, "upstreams crash on a part of this prompt", left, log_fields)
        verdict = self.suspects.judge(fingerprint)
        if verdict is Verdict.QUARANTINED:
            left = self.suspects.get_quarantine_time_left(fingerprint)
            log_fields = {"fingerprint": fingerprint}
            return Refusal(503, "upstreams ended under this request", left, log_fields)
        if verdict is Verdict.SUSPECT and self.suspects.running[fingerprint]:
            log_fields = {"fingerprint": fingerprint}
            return Refusal(
                503, "the same request is being tried", self.jittered_retry_after(), log_fields
            )
        return None

    def check_quota(self, customer: Customer, fields: CallerFields) -> Refusal | None:
        """Charge a request to its customer's quota; return a refusal if it is exceeded."""
        quota_refusal = self.charge_quota(customer, fields)
        if quota_refusal is None:
            return None
        log_fields = {"customer": customer.name, **quota_refusal._asdict()}
        return Refusal(
            429, "over the quota", quota_refusal.retry_after, log_fields, quota_refusal.starting
        )

    def charge_quota(self, customer: Customer, fields: CallerFields) -> QuotaRefusal | None:
        """Charge a request to its customer's quota; return the reason if it is exceeded."""
        if customer.rate <= 0:
            return None
        units = 1.0
        if customer.counts_tokens:
            prompt = fields.prompt
            units = (
                prompt.input_tokens + prompt.max_output_tokens if prompt else customer.plain_tokens
            )
        bounds = self.cluster_view.bounds
        slack = bounds.quota_slack if customer.counts_tokens else 0.0
        quota = Quota(customer.rate, max(customer.burst, 1.0), bounds.quota_tolerance, slack)
        return self.quota.admit(
            customer.name, units, quota, self.members.count(), asyncio.get_running_loop().time()
        )

    def pick_service(self, route: Route) -> str:
        """Choose one of the route's services at random by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self.rng.choices(route.targets, weights)[0].service

    def jittered_retry_after(self) -> float:
        """Return a ``Retry-After`` value in seconds, randomized to spread the retries."""
        return estimate_retry_after(None, 0.0, self.rng.random())


def compute_part_keys(fields: CallerFields) -> tuple[str, ...]:
    """Return the keys of the prompt's parts that other requests may have too."""
    return tuple(compute_part_key(fields.model, name) for name in fields.shared_parts)


def fingerprint_request(request: CallerRequest, customer: Customer | None) -> str:
    """Return a hash of customer, path and body, by which resends are recognized."""
    caller = customer.name if customer else ""
    return compute_fingerprint(f"{caller} {request.target.decode('latin-1')}", request.body)
