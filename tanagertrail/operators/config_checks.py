"""Checks of one configuration, as pure functions on the document that the decoder accepts.

Sentences name API keys by their tenant and position only, since keys are secrets.
"""

__all__ = ["CHECKS"]

import functools
import math
from collections.abc import Callable, Iterator

from tanagertrail.operators.findings import ENTRY_KINDS, Place, RuleSet, Severity, show_number
from tanagertrail.platform.records import ConfigurationDocument as Config
from tanagertrail.platform.records import RouteDocument, TenantDocument, build_targets

CHECKS = RuleSet("configuration check")


def for_each(field: str) -> Callable[[Callable], Callable[[Config], Iterator[Place]]]:
    """Return a decorator that applies a check of one entry to all entries of a field."""

    def decorate(check: Callable) -> Callable[[Config], Iterator[Place]]:
        @functools.wraps(check)
        def check_all(config: Config) -> Iterator[Place]:
            for index, entry in enumerate(getattr(config, field)):
                for path, sentence in check(entry):
                    title = f"{ENTRY_KINDS[field]} {entry.name!r}"
                    yield Place(f"{field}.{index}.{path}", f"{title}: {sentence}")

        return check_all

    return decorate


@CHECKS.rule("duplicate_name", Severity.ERROR)
def check_names(config: Config) -> Iterator[Place]:
    """Find names that an earlier entry has; daemons keep the last service or tenant of a name."""
    for field, kind in ENTRY_KINDS.items():
        first: dict[str, int] = {}
        for index, entry in enumerate(getattr(config, field)):
            earlier = first.setdefault(entry.name, index)
            if earlier != index:
                sentence = f"{kind} {entry.name!r} has the name of {field}.{earlier}"
                yield Place(f"{field}.{index}.name", sentence)


@CHECKS.rule("shared_key", Severity.ERROR)
def check_shared_keys(config: Config) -> Iterator[Place]:
    """Find keys that an earlier tenant holds."""
    holders: dict[str, int] = {}
    for index, tenant in enumerate(config.tenants):
        for position, key in enumerate(tenant.api_keys):
            holder = holders.setdefault(key, index)
            if holder != index:
                sentence = f"tenant {tenant.name!r} has a key of {config.tenants[holder].name!r}"
                yield Place(f"tenants.{index}.api_keys.{position}", sentence)


@CHECKS.rule("empty_key", Severity.ERROR)
@for_each("tenants")
def check_empty_keys(tenant: TenantDocument) -> Iterator[Place]:
    """Find empty keys, which admit requests without a key."""
    for position, key in enumerate(tenant.api_keys):
        if not key:
            yield Place(f"api_keys.{position}", "an empty key admits requests without a key")


@CHECKS.rule("shadowed_route", Severity.ERROR)
def check_shadowed_routes(config: Config) -> Iterator[Place]:
    """Find routes that never match, since an earlier one has the same host and prefix."""
    first: dict[tuple[str, str], int] = {}
    for index, route in enumerate(config.routes):
        earlier = first.setdefault((route.host.lower(), route.prefix), index)
        if earlier != index:
            cause = f"{config.routes[earlier].name!r} before it has the same host and prefix"
            values = f"{route.host!r}, {route.prefix!r}"
            yield Place(f"routes.{index}", f"route {route.name!r} never matches: {cause} {values}")


@CHECKS.rule("prefix_slashes", Severity.ERROR)
@for_each("routes")
def check_prefix(route: RouteDocument) -> Iterator[Place]:
    """Find prefixes that do not begin and end with a slash."""
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Place("prefix", f"prefix {route.prefix!r} must begin and end with a slash")


@CHECKS.rule("attempts_below_one", Severity.ERROR)
@for_each("routes")
def check_attempts(route: RouteDocument) -> Iterator[Place]:
    """Find routes with less than one attempt, which daemons read as one."""
    if route.attempts < 1:
        yield Place("attempts", f"attempts must be 1 or more, not {route.attempts}")


@CHECKS.rule("unknown_service", Severity.ERROR)
def check_known_services(config: Config) -> Iterator[Place]:
    """Find routes to services that the configuration does not have."""
    known = {service.name for service in config.services}
    for index, route in enumerate(config.routes):
        for position, target in enumerate(build_targets(route)):
            if target.service not in known:
                path = f"backends.{position}.service" if route.backends else "service"
                sentence = f"route {route.name!r} names the unknown service {target.service!r}"
                yield Place(f"routes.{index}.{path}", sentence)


def sum_weights(route: RouteDocument) -> float:
    """Return the sum of the weights of a route's targets."""
    return sum(target.weight for target in build_targets(route))


@CHECKS.rule("weights_sum", Severity.ERROR)
@for_each("routes")
def check_weights(route: RouteDocument) -> Iterator[Place]:
    """Find weights by which no target can be drawn."""
    total = sum_weights(route)
    if total == 0 or math.isinf(total):
        yield Place("backends", f"weights must have a finite sum above 0, not {show_number(total)}")


@CHECKS.rule("unused_target", Severity.WARNING)
@for_each("routes")
def check_unused_targets(route: RouteDocument) -> Iterator[Place]:
    """Find targets of weight 0 beside others that get all requests."""
    for position, target in enumerate(route.backends):
        if target.weight == 0 < sum_weights(route):
            sentence = f"service {target.service!r} has weight 0 and gets no request"
            yield Place(f"backends.{position}.weight", sentence)


@CHECKS.rule("unused_service", Severity.WARNING)
def check_unused_services(config: Config) -> Iterator[Place]:
    """Find services that no route uses."""
    used = {target.service for route in config.routes for target in build_targets(route)}
    for index, service in enumerate(config.services):
        if service.name not in used:
            yield Place(f"services.{index}", f"no route uses service {service.name!r}")


@CHECKS.rule("tenant_without_keys", Severity.WARNING)
@for_each("tenants")
def check_missing_keys(tenant: TenantDocument) -> Iterator[Place]:
    """Find tenants that no request can belong to."""
    if not tenant.api_keys:
        yield Place("api_keys", "without a key, no request belongs to it")


@CHECKS.rule("objective_above_timeout", Severity.WARNING)
@for_each("routes")
def check_objectives(route: RouteDocument) -> Iterator[Place]:
    """Find objectives that allow more time than the timeout."""
    for field in ("slo_ms", "gap_aim_ms"):
        value = getattr(route, field)
        if value > route.timeout_ms:
            limit = f"timeout_ms {show_number(route.timeout_ms)}"
            yield Place(field, f"{field} {show_number(value)} is above {limit}")


@CHECKS.rule("burst_below_request", Severity.WARNING)
@for_each("tenants")
def check_burst(tenant: TenantDocument) -> Iterator[Place]:
    """Find bursts smaller than the charge of one request that states no token counts."""
    has_token_quota = tenant.unit == "tokens" and tenant.rate_per_s > 0
    if has_token_quota and tenant.burst < tenant.plain_tokens:
        values = f"burst {show_number(tenant.burst)} is below plain_tokens {tenant.plain_tokens}"
        yield Place("burst", values)


@CHECKS.rule("burst_without_rate", Severity.WARNING)
@for_each("tenants")
def check_rate(tenant: TenantDocument) -> Iterator[Place]:
    """Find bursts without effect, since only a rate above 0 sets a quota."""
    if tenant.rate_per_s <= 0 < tenant.burst:
        rate, burst = show_number(tenant.rate_per_s), show_number(tenant.burst)
        yield Place("burst", f"burst {burst} has no effect: rate_per_s {rate} means no quota")


@CHECKS.rule("limits_out_of_order", Severity.WARNING)
def check_limits(config: Config) -> Iterator[Place]:
    """Find limits on heads of requests that exceed those on whole requests."""
    for smaller, larger in (
        ("header_timeout_ms", "idle_timeout_ms"),
        ("max_header_bytes", "max_body_bytes"),
    ):
        low, high = getattr(config.limits, smaller), getattr(config.limits, larger)
        if low > high:
            values = f"{smaller} {show_number(low)} is above {larger} {show_number(high)}"
            yield Place(f"limits.{smaller}", values)
