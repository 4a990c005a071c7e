"""Tests of the exchange topology, up to the largest fleet size of the design."""

from tanagertrail.policy.hubs import (
    STANDBY_COUNT,
    WATCHER_COUNT,
    compute_hub_capacity,
    plan_topology,
)


def plan_topologies(count):
    """Return the topology as seen by each daemon."""
    names = [f"d{n}" for n in range(count)]
    return {name: plan_topology(name, set(names) - {name}) for name in names}


def test_few_daemons_all_exchange_with_all():
    topologies = plan_topologies(9)
    assert all(len(topology.partners) == 8 and topology.is_hub for topology in topologies.values())


def test_exchanges_of_a_daemon_grow_with_the_square_root_of_the_fleet():
    for count in (67, 380):
        topologies = plan_topologies(count)
        exchange_counts = dict.fromkeys(topologies, 0)
        for topology in topologies.values():
            for partner in topology.partners:
                exchange_counts[partner] += 1
        assert max(exchange_counts.values()) <= 8 * count**0.5
        assert max(len(topology.partners) for topology in topologies.values()) <= count**0.5


def test_all_agree_on_hubs_and_watchers():
    topologies = plan_topologies(67)
    assert len({topology.hubs for topology in topologies.values()}) == 1
    assert sum(topology.is_watcher for topology in topologies.values()) == WATCHER_COUNT
    assert all(topology.is_hub for topology in topologies.values() if topology.is_watcher)
    standbys = [topology for topology in topologies.values() if topology.is_standby]
    assert len(standbys) == STANDBY_COUNT
    assert not any(topology.is_watcher for topology in standbys)


def test_lost_watcher_is_replaced():
    topologies = plan_topologies(8)
    lost = next(name for name, topology in topologies.items() if topology.is_watcher)
    names = set(topologies) - {lost}
    after = [plan_topology(name, names - {name}) for name in names]
    assert sum(topology.is_watcher for topology in after) == WATCHER_COUNT


def test_single_daemon_does_everything():
    topology = plan_topology("d0", ())
    assert topology.is_hub
    assert topology.is_watcher
    assert not topology.is_standby
    assert topology.partners == ()


def test_instances_with_the_highest_capacity_are_the_hubs():
    """Hubs on links of 10 Mbit/s lost two of three exchanges in a simulated day."""
    names = [f"d{n}" for n in range(67)]
    high_capacity_daemons = names[::8][:8]
    capacities = {name: compute_hub_capacity(2.15, 200.0) for name in high_capacity_daemons}
    capacities |= {
        name: compute_hub_capacity(0.516, 10.0)
        for name in names
        if name not in high_capacity_daemons
    }
    for name in names:
        topology = plan_topology(name, set(names) - {name}, capacities)
        assert set(topology.hubs) == set(high_capacity_daemons)
        assert topology.is_watcher <= (name in high_capacity_daemons)


def test_hubs_on_equal_instances_are_spread_by_hash():
    names = {f"d{n}" for n in range(67)}
    capacities = dict.fromkeys(names, compute_hub_capacity(1.07, 1000.0))
    assert plan_topology("d0", names, capacities).hubs == plan_topology("d0", names).hubs
