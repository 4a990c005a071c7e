"""Placement of requests, replayed against the load patterns that it answers."""

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.placement import (
    PlacementCandidate,
    PlacementRequest,
    choose_by_expected_cost,
    estimate_cost,
)

NOW = 10.0


def build_seat(name, running=0, fault_share=0.0, local=True):
    """Return an upstream with 64 slots."""
    return PlacementCandidate(name, running, 64, fault_share, local)


def build_visit(tokens=6000, parts=(("common", 500), ("session", 4500))):
    """Return a long prompt whose leading parts others share."""
    names = tuple(name for name, _ in parts)
    return PlacementRequest(names, tuple(tokens for _, tokens in parts), tokens, NOW)


def test_prompt_goes_where_its_parts_were_read():
    index = PrefixIndex(20.0)
    index.note_stored("b", ["common", "session"], NOW)
    seats = [build_seat("a", 4), build_seat("b", 6), build_seat("c", 4)]
    assert choose_by_expected_cost(build_visit(), seats, index).upstream == "b"


def test_hot_prefix_spills_over_when_its_holder_is_full():
    """hot_key: much of the traffic shares one prompt, whose holder must not be overrun."""
    index = PrefixIndex(20.0)
    index.note_stored("b", ["common", "session"], NOW)
    seats = [build_seat("a", 10), build_seat("b", 60)]
    assert choose_by_expected_cost(build_visit(), seats, index).upstream == "a"


def test_wave_is_spread_evenly():
    index = PrefixIndex(20.0)
    running = dict.fromkeys("abcd", 0)
    for number in range(200):
        visit = build_visit(800, ((f"p{number}", 400),))
        seats = [build_seat(name, count) for name, count in running.items()]
        running[choose_by_expected_cost(visit, seats, index).upstream] += 1
    assert max(running.values()) <= 1.25 * min(running.values())


def test_daemons_without_hints_agree_on_a_new_prompt():
    seats = [build_seat(name, 3) for name in "abcd"]
    chosen = {
        choose_by_expected_cost(build_visit(), seats, PrefixIndex(20.0)).upstream for _ in range(5)
    }
    assert len(chosen) == 1


def test_failing_upstream_is_avoided_while_another_works():
    seats = [build_seat("a", 0, fault_share=0.4), build_seat("b", 50)]
    assert choose_by_expected_cost(build_visit(), seats, PrefixIndex(20.0)).upstream == "b"


def test_cost_rises_with_load_and_unread_tokens():
    index = PrefixIndex(20.0)
    costs = [estimate_cost(build_visit(), build_seat("a", n), index) for n in (0, 20, 64, 120)]
    assert costs == sorted(costs)
    assert estimate_cost(build_visit(60_000), build_seat("a"), index) > 5 * costs[0]


def count_reads(requests, daemons, seats, sessions):
    """Return how many of some requests of a few sessions met an upstream that had read theirs.

    Each daemon sees a part of the requests and knows only what it sent itself.
    """
    indexes = [PrefixIndex(20.0) for _ in range(daemons)]
    held = {seat.upstream: set() for seat in seats}
    found = 0
    for number in range(requests):
        session = f"session{number * 7 % sessions}"
        visit = build_visit(12_000, (("common", 500), (session, 4900), (f"own{number}", 6600)))
        visit = visit._replace(sampling_key=f"r{number}" if daemons > 9 else "")
        index = indexes[number * 13 % daemons]
        chosen = choose_by_expected_cost(visit, seats, index).upstream
        index.note_stored(chosen, visit.parts, NOW)
        found += session in held[chosen]
        held[chosen].add(session)
    return found


def test_many_daemons_meet_the_upstream_that_read_a_session():
    """Grown sites: 67 daemons each saw few requests of a session, and 6.9 M tokens were read
    again in a day.
    """
    seats = [build_seat(f"i{n}", 10, local=n % 4 == 0) for n in range(30)]
    assert count_reads(1000, 67, seats, 85) >= 900
    few = [build_seat(f"i{n}", 10) for n in range(6)]
    assert count_reads(300, 8, few, 85) >= 200


def test_daemons_with_the_same_old_loads_do_not_all_choose_the_least_loaded():
    seats = [build_seat(f"i{n}", 8 + n % 4, local=n % 4 == 0) for n in range(30)]
    chosen = []
    for number in range(600):
        visit = build_visit(800, (("common", 120), (f"s{number}", 80), (f"own{number}", 600)))
        visit = visit._replace(sampling_key=f"r{number}")
        chosen.append(choose_by_expected_cost(visit, seats, PrefixIndex(20.0)).upstream)
    counts = [chosen.count(seat.upstream) for seat in seats if seat.local]
    assert max(counts) <= 3 * len(chosen) / len(counts)


def test_overloaded_domain_sends_to_others_with_old_loads_too():
    seats = [build_seat(f"i{n}", 60 if n < 8 else 6, local=n < 8) for n in range(30)]
    remote = 0
    for number in range(100):
        visit = build_visit(800, ((f"own{number}", 800),))._replace(sampling_key=f"r{number}")
        remote += not choose_by_expected_cost(visit, seats, PrefixIndex(20.0)).local
    assert remote == 100
