"""Who exchanges with whom, at sizes up to the one that is designed for."""

from tanagertrail.policy.hubs import STANDBYS, WATCHERS, compute_hub_capacity, plan_topology


def plan_all(count):
    """Return the place of each daemon."""
    names = [f"d{n}" for n in range(count)]
    return {name: plan_topology(name, set(names) - {name}) for name in names}


def test_few_daemons_all_exchange_with_all():
    places = plan_all(9)
    assert all(len(place.partners) == 8 and place.is_hub for place in places.values())


def test_exchanges_of_one_daemon_grow_with_the_square_root():
    for count in (67, 380):
        places = plan_all(count)
        asked = dict.fromkeys(places, 0)
        for place in places.values():
            for partner in place.partners:
                asked[partner] += 1
        assert max(asked.values()) <= 8 * count**0.5
        assert max(len(place.partners) for place in places.values()) <= count**0.5


def test_all_agree_on_hubs_and_watchers():
    places = plan_all(67)
    assert len({place.hubs for place in places.values()}) == 1
    assert sum(place.is_watcher for place in places.values()) == WATCHERS
    assert all(place.is_hub for place in places.values() if place.is_watcher)
    standbys = [place for place in places.values() if place.is_standby]
    assert len(standbys) == STANDBYS
    assert not any(place.is_watcher for place in standbys)


def test_lost_watcher_is_replaced():
    places = plan_all(8)
    lost = next(name for name, place in places.items() if place.is_watcher)
    names = set(places) - {lost}
    after = [plan_topology(name, names - {name}) for name in names]
    assert sum(place.is_watcher for place in after) == WATCHERS


def test_single_daemon_does_everything():
    place = plan_topology("d0", ())
    assert place.is_hub
    assert place.is_watcher
    assert not place.is_standby
    assert place.partners == ()


def test_strong_instances_are_the_hubs():
    """Hubs on links of 10 Mbit/s lost two of three exchanges on a played day."""
    names = [f"d{n}" for n in range(67)]
    strong = names[::8][:8]
    strengths = {name: compute_hub_capacity(2.15, 200.0) for name in strong}
    strengths |= {name: compute_hub_capacity(0.516, 10.0) for name in names if name not in strong}
    for name in names:
        place = plan_topology(name, set(names) - {name}, strengths)
        assert set(place.hubs) == set(strong)
        assert place.is_watcher <= (name in strong)


def test_hubs_on_equal_instances_are_spread_by_hash():
    names = {f"d{n}" for n in range(67)}
    strengths = dict.fromkeys(names, compute_hub_capacity(1.07, 1000.0))
    assert plan_topology("d0", names, strengths).hubs == plan_topology("d0", names).hubs
