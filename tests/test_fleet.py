"""Tests of fleet plans under reclaims."""

from tanagertrail.policy.fleet import FleetSnapshot, estimate_capacity, plan_reclaimable

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}


def build_snapshot(**changes):
    """Return a snapshot of a fleet without reclaims, with some fields changed."""
    defaults = {
        "prices": PRICES,
        "reclaimable": True,
        "min_upstreams": 1,
        "max_upstreams": 3,
        "batch": 64,
        "demand": 10,
        "prompt_token_rate": 0.0,
        "warm": dict.fromkeys(PRICES, 2),
        "on_demand": {},
    }
    return FleetSnapshot(**(defaults | changes))


def test_calm_fleet_is_reclaimable_and_tolerates_the_loss_of_two_domains():
    plan = plan_reclaimable(build_snapshot())
    assert sum(plan.on_demand.values()) == 0
    assert all(count >= 2 for count in plan.reclaimable.values())


def test_reclaimed_upstreams_are_replaced_by_on_demand_ones():
    """Three domains were reclaimed within 8 s, which left one upstream (scale-1)."""
    plan = plan_reclaimable(build_snapshot(warm={"a": 1}, demand=100))
    assert sum(plan.on_demand.values()) >= 3


def test_both_kinds_together_stay_within_the_limit_of_a_domain():
    for warm in range(4):
        for on_demand in range(4):
            plan = plan_reclaimable(
                build_snapshot(warm={"a": warm}, on_demand={"a": on_demand}, demand=500)
            )
            for domain in PRICES:
                kept = max(plan.on_demand[domain], on_demand if domain == "a" else 0)
                assert plan.reclaimable[domain] + min(kept, 3) <= 3


def test_closed_domain_gets_no_on_demand_upstream():
    plan = plan_reclaimable(build_snapshot(warm={}, closed_domains=frozenset({"b"})))
    assert plan.on_demand["b"] == 0
    assert sum(plan.on_demand.values()) >= 4


def test_service_without_reclaimable_upstreams_is_served_by_on_demand_ones():
    plan = plan_reclaimable(build_snapshot(reclaimable=False, demand=100))
    assert sum(plan.reclaimable.values()) == 0
    assert sum(plan.on_demand.values()) >= 4


def test_each_domain_keeps_its_minimum():
    plan = plan_reclaimable(build_snapshot(demand=0))
    assert all(plan.reclaimable[name] + plan.on_demand[name] >= 1 for name in PRICES)


def test_large_fleet_is_kept_while_idle():
    """An idle fleet of 30 was cut to 6, and 118 upstreams were then started in a minute
    (kumo-dial-grown quiet-1).
    """
    plan = plan_reclaimable(
        build_snapshot(max_upstreams=15, demand=0, warm=dict.fromkeys(PRICES, 8))
    )
    assert sum(plan.reclaimable.values()) >= 30
    assert sum(plan.on_demand.values()) == 0


def test_exhausted_domains_are_compensated_by_the_others():
    """16 of 30 upstreams were reclaimed, and their domains had no replacement (trouble-1)."""
    warm = {"a": 8, "b": 0, "c": 7, "d": 0}
    calm_snapshot = build_snapshot(max_upstreams=30, demand=0, warm=dict.fromkeys(PRICES, 8))
    total = sum(plan_reclaimable(calm_snapshot).reclaimable.values())
    exhausted_domains = frozenset({"b", "d"})
    plan = plan_reclaimable(
        calm_snapshot._replace(warm=warm, present=warm, exhausted_domains=exhausted_domains)
    )
    assert plan.reclaimable["a"] + plan.reclaimable["c"] >= total
    assert plan.reclaimable["b"] >= 1, "an exhausted domain is still ordered from"
    small_plan = plan_reclaimable(
        build_snapshot(warm=warm, present=warm, exhausted_domains=exhausted_domains)
    )
    assert all(count <= 3 for count in small_plan.reclaimable.values())


def test_reclaim_under_load_is_compensated_before_the_remaining_upstreams_are_late():
    """After a reclaim 16 of 30 upstreams had to serve 950 k tokens per second (trouble-1)."""
    remaining = {"a": 8, "c": 8}
    calm_snapshot = build_snapshot(
        max_upstreams=30,
        batch=48,
        demand=110,
        prompt_token_rate=750_000.0,
        warm=dict.fromkeys(PRICES, 8),
    )
    assert sum(plan_reclaimable(calm_snapshot).on_demand.values()) == 0
    plan = plan_reclaimable(calm_snapshot._replace(warm=remaining, present=remaining))
    assert 2 <= sum(plan.on_demand.values()) <= 8
    higher_rate_plan = plan_reclaimable(
        calm_snapshot._replace(warm=remaining, present=remaining, prompt_token_rate=950_000.0)
    )
    assert sum(higher_rate_plan.on_demand.values()) > sum(plan.on_demand.values())


def test_service_survives_the_reclaim_of_its_last_domain_with_upstreams():
    """Three domains were reclaimed in turn, and no upstream served for 4 s (silentvowel-perth
    quiet-1).
    """
    calm_snapshot = build_snapshot(max_upstreams=8, demand=10, warm=dict.fromkeys(PRICES, 4))
    assert sum(plan_reclaimable(calm_snapshot).on_demand.values()) == 0
    single_domain_snapshot = calm_snapshot._replace(
        warm={"a": 4}, present={"a": 4}, exhausted_domains=frozenset({"b", "c", "d"})
    )
    assert sum(plan_reclaimable(single_domain_snapshot).on_demand.values()) >= 2
    two_domain_snapshot = calm_snapshot._replace(
        warm={"a": 4, "b": 4}, exhausted_domains=frozenset({"c", "d"})
    )
    assert sum(plan_reclaimable(two_domain_snapshot).on_demand.values()) == 0


def test_rate_far_below_a_batch_counts_as_a_whole_upstream():
    assert estimate_capacity(None, 64) == 1.0
    assert estimate_capacity(1.4, 64) < 0.1
    assert estimate_capacity(0.0, 64) == 0.0
    assert estimate_capacity(500.0, 64) == 1.0
