"""Whether a request may be served: its route, its key, its customer's quota."""

__all__ = ["Admission", "Admitted", "Refusal"]

import asyncio
import random
from typing import Any, NamedTuple

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.http1 import CallerRequest
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.model import Customer, Route
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.platform.fields import CallerFields
from tanagertrail.policy.poison import Verdict, compute_fingerprint
from tanagertrail.policy.retry_after import estimate_retry_after
from tanagertrail.policy.token_quota import Quota, QuotaLimiter, QuotaRefusal

MAX_CONFIG_AGE_SECONDS = 3.0  # beyond it, an unknown key or route may have just been added


class Refusal(NamedTuple):
    """An answer that the gateway gives by itself.

    :ivar retry_after: seconds after which the caller may come back, None for unsaid
    :ivar inputs: what decided it, for the log
    """

    status: int
    reason: str
    retry_after: float | None = None
    log_fields: dict[str, Any] = {}


class Admitted(NamedTuple):
    """What is known of a request that may be served.

    :ivar fingerprint: what it has in common with others of the same caller, path and body
    """

    route: Route
    customer: Customer | None
    fingerprint: str


class Admission:
    """Check requests against what is believed of the configuration and of earlier requests."""

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

    def admit(self, request: CallerRequest, fields: CallerFields) -> Admitted | Refusal:
        """Check route, key, earlier requests alike, and quota."""
        resolved = self.resolve_route(request, fields)
        if isinstance(resolved, Refusal):
            return resolved
        route, customer = resolved
        fingerprint = fingerprint_request(request, customer)
        refusal = self.check_quarantine(fingerprint)
        if refusal is None and customer is not None:
            refusal = self.check_quota(customer, fields)
        return refusal or Admitted(route, customer, fingerprint)

    def resolve_route(
        self, request: CallerRequest, fields: CallerFields
    ) -> tuple[Route, Customer | None] | Refusal:
        """Find the route of a request and the customer whose key it has."""
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
        customer = config.keys.get(fields.key or "")
        if customer is None:
            if config_is_fresh:
                return Refusal(401, "unknown key")
            return Refusal(503, "the keys may be old", self.jittered_retry_after())
        return route, customer

    def check_quarantine(self, fingerprint: str) -> Refusal | None:
        """Say why a request under which upstreams ended is not sent to another one now."""
        verdict = self.suspects.judge(fingerprint)
        if verdict is Verdict.QUARANTINED:
            left = self.suspects.find_quarantine_left(fingerprint)
            log_fields = {"fingerprint": fingerprint}
            return Refusal(503, "upstreams ended under this request", left, log_fields)
        if verdict is Verdict.SUSPECT and self.suspects.running[fingerprint]:
            log_fields = {"fingerprint": fingerprint}
            return Refusal(
                503, "the same request is being tried", self.jittered_retry_after(), log_fields
            )
        return None

    def check_quota(self, customer: Customer, fields: CallerFields) -> Refusal | None:
        """Charge a request to its customer's quota, or say why it is refused."""
        over = self.charge_quota(customer, fields)
        if over is None:
            return None
        log_fields = {"customer": customer.name, **over._asdict()}
        return Refusal(429, "over the quota", over.retry_after, log_fields)

    def charge_quota(self, customer: Customer, fields: CallerFields) -> QuotaRefusal | None:
        """Count a request against its customer's quota, or say why it is over it."""
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
        """Return one of the route's services by their weights."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return route.targets[0].service
        return self.rng.choices(route.targets, weights)[0].service

    def jittered_retry_after(self) -> float:
        """Return the seconds after which a refused caller may come back, spread by chance."""
        return estimate_retry_after(None, 0.0, self.rng.random())


def fingerprint_request(request: CallerRequest, customer: Customer | None) -> str:
    """Return what a request has in common with others of the same caller, path and body."""
    caller = customer.name if customer else ""
    return compute_fingerprint(f"{caller} {request.target.decode('latin-1')}", request.body)
