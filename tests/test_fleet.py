"""Orders of upstreams under reclaims."""

from tanagertrail.policy.fleet import FleetSnapshot, plan_reclaimable

PRICES = {"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9}


def view(**changes):
    """Return a view of a calm fleet with changes."""
    base = {
        "prices": PRICES,
        "reclaimable": True,
        "min_per_domain": 1,
        "max_per_domain": 3,
        "batch": 64,
        "demand": 10,
        "read_rate": 0.0,
        "warm": dict.fromkeys(PRICES, 2),
        "on_demand": {},
    }
    return FleetSnapshot(**(base | changes))


def test_calm_fleet_is_reclaimable_and_bears_the_loss_of_two_domains():
    plan = plan_reclaimable(view())
    assert sum(plan.on_demand.values()) == 0
    assert all(count >= 2 for count in plan.reclaimable.values())


def test_reclaimed_places_are_filled_with_ordinary_upstreams():
    """Three domains were reclaimed within 8 s on scale-1, and one upstream was left."""
    plan = plan_reclaimable(view(warm={"a": 1}, demand=100))
    assert sum(plan.on_demand.values()) >= 3


def test_both_kinds_stay_within_the_bound_of_a_domain():
    for warm in range(4):
        for on_demand in range(4):
            plan = plan_reclaimable(view(warm={"a": warm}, on_demand={"a": on_demand}, demand=500))
            for domain in PRICES:
                kept = max(plan.on_demand[domain], on_demand if domain == "a" else 0)
                assert plan.reclaimable[domain] + min(kept, 3) <= 3


def test_closed_domain_gets_no_ordinary_upstream():
    plan = plan_reclaimable(view(warm={}, closed_domains=frozenset({"b"})))
    assert plan.on_demand["b"] == 0
    assert sum(plan.on_demand.values()) >= 4


def test_service_without_reclaimable_upstreams_is_served_by_ordinary_ones():
    plan = plan_reclaimable(view(reclaimable=False, demand=100))
    assert sum(plan.reclaimable.values()) == 0
    assert sum(plan.on_demand.values()) >= 4


def test_each_domain_keeps_its_least():
    plan = plan_reclaimable(view(demand=0))
    assert all(plan.reclaimable[name] + plan.on_demand[name] >= 1 for name in PRICES)


def test_large_fleet_stands_before_its_wave():
    """kumo-dial-grown quiet-1: 30 upstreams were cut to 6 and 118 were started in a minute."""
    plan = plan_reclaimable(view(max_per_domain=15, demand=0, warm=dict.fromkeys(PRICES, 8)))
    assert sum(plan.reclaimable.values()) >= 30
    assert sum(plan.on_demand.values()) == 0


def test_domains_that_have_nothing_are_made_up_for_by_the_others():
    """trouble-1 of a grown site: 16 of 30 were reclaimed, and their domains had nothing."""
    warm = {"a": 8, "b": 0, "c": 7, "d": 0}
    calm = view(max_per_domain=30, demand=0, warm=dict.fromkeys(PRICES, 8))
    total = sum(plan_reclaimable(calm).reclaimable.values())
    exhausted_domains = frozenset({"b", "d"})
    plan = plan_reclaimable(
        calm._replace(warm=warm, present=warm, exhausted_domains=exhausted_domains)
    )
    assert plan.reclaimable["a"] + plan.reclaimable["c"] >= total
    assert plan.reclaimable["b"] >= 1, "a dry domain is asked on"
    small = plan_reclaimable(view(warm=warm, present=warm, exhausted_domains=exhausted_domains))
    assert all(count <= 3 for count in small.reclaimable.values())


def test_reclaim_under_load_is_filled_before_the_upstreams_left_are_late():
    """trouble-1 of a grown site: 16 of 30 upstreams were left for 950 k tokens a second."""
    left = {"a": 8, "c": 8}
    calm = view(
        max_per_domain=30,
        batch=48,
        demand=110,
        read_rate=750_000.0,
        warm=dict.fromkeys(PRICES, 8),
    )
    assert sum(plan_reclaimable(calm).on_demand.values()) == 0
    plan = plan_reclaimable(calm._replace(warm=left, present=left))
    assert 2 <= sum(plan.on_demand.values()) <= 8
    risen = plan_reclaimable(calm._replace(warm=left, present=left, read_rate=950_000.0))
    assert sum(risen.on_demand.values()) > sum(plan.on_demand.values())


def test_last_domain_with_upstreams_is_not_all_that_is_left_for_its_reclaim():
    """silentvowel-perth quiet-1: three domains were reclaimed in turn, and none served for 4 s."""
    calm = view(max_per_domain=8, demand=10, warm=dict.fromkeys(PRICES, 4))
    assert sum(plan_reclaimable(calm).on_demand.values()) == 0
    last = calm._replace(
        warm={"a": 4}, present={"a": 4}, exhausted_domains=frozenset({"b", "c", "d"})
    )
    assert sum(plan_reclaimable(last).on_demand.values()) >= 2
    many = calm._replace(warm={"a": 4, "b": 4}, exhausted_domains=frozenset({"c", "d"}))
    assert sum(plan_reclaimable(many).on_demand.values()) == 0
