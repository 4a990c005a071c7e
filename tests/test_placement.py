"""Tests of placement under the load patterns for which it was designed."""

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.placement import (
    PlacementCandidate,
    PlacementRequest,
    choose_by_expected_cost,
    estimate_cost,
)

NOW = 10.0


def build_candidate(name, running=0, failure_rate=0.0, local=True):
    """Return a candidate with 64 slots."""
    return PlacementCandidate(name, running, 64, failure_rate, local)


def build_request(tokens=6000, parts=(("common", 500), ("session", 4500))):
    """Return a request with a long prompt whose leading parts are shared with others."""
    names = tuple(name for name, _ in parts)
    return PlacementRequest(names, tuple(tokens for _, tokens in parts), tokens, NOW)


def test_prompt_goes_to_the_upstream_that_cached_its_parts():
    index = PrefixIndex(20.0)
    index.note_stored("b", ["common", "session"], NOW)
    candidates = [build_candidate("a", 4), build_candidate("b", 6), build_candidate("c", 4)]
    assert choose_by_expected_cost(build_request(), candidates, index).upstream == "b"


def test_shared_prefix_overflows_to_others_when_its_holder_is_full():
    """Much of the traffic shares one prompt, whose holder must not be overloaded (hot_key)."""
    index = PrefixIndex(20.0)
    index.note_stored("b", ["common", "session"], NOW)
    candidates = [build_candidate("a", 10), build_candidate("b", 60)]
    assert choose_by_expected_cost(build_request(), candidates, index).upstream == "a"


def test_burst_is_spread_evenly():
    index = PrefixIndex(20.0)
    running = dict.fromkeys("abcd", 0)
    for number in range(200):
        request = build_request(800, ((f"p{number}", 400),))
        candidates = [build_candidate(name, count) for name, count in running.items()]
        running[choose_by_expected_cost(request, candidates, index).upstream] += 1
    assert max(running.values()) <= 1.25 * min(running.values())


def test_daemons_without_hints_agree_on_a_new_prompt():
    candidates = [build_candidate(name, 3) for name in "abcd"]
    chosen = {
        choose_by_expected_cost(build_request(), candidates, PrefixIndex(20.0)).upstream
        for _ in range(5)
    }
    assert len(chosen) == 1


def test_failing_upstream_is_avoided_while_another_works():
    candidates = [build_candidate("a", 0, failure_rate=0.4), build_candidate("b", 50)]
    assert choose_by_expected_cost(build_request(), candidates, PrefixIndex(20.0)).upstream == "b"


def test_cost_rises_with_load_and_unread_tokens():
    index = PrefixIndex(20.0)
    costs = [
        estimate_cost(build_request(), build_candidate("a", n), index) for n in (0, 20, 64, 120)
    ]
    assert costs == sorted(costs)
    assert estimate_cost(build_request(60_000), build_candidate("a"), index) > 5 * costs[0]


def count_cache_hits(requests, daemons, candidates, sessions):
    """Return how many requests reached an upstream that had cached their session's prompt.

    Each daemon sees a part of the requests and knows only the requests that it sent itself.
    """
    indexes = [PrefixIndex(20.0) for _ in range(daemons)]
    cached_sessions = {candidate.upstream: set() for candidate in candidates}
    cache_hits = 0
    for number in range(requests):
        session = f"session{number * 7 % sessions}"
        request = build_request(12_000, (("common", 500), (session, 4900), (f"own{number}", 6600)))
        request = request._replace(sampling_key=f"r{number}" if daemons > 9 else "")
        index = indexes[number * 13 % daemons]
        chosen = choose_by_expected_cost(request, candidates, index).upstream
        index.note_stored(chosen, request.parts, NOW)
        cache_hits += session in cached_sessions[chosen]
        cached_sessions[chosen].add(session)
    return cache_hits


def test_many_daemons_find_the_upstream_that_cached_a_session():
    """Among 67 daemons each saw few requests of a session, and they recomputed 6.9 M tokens in a
    day.
    """
    candidates = [build_candidate(f"i{n}", 10, local=n % 4 == 0) for n in range(30)]
    assert count_cache_hits(1000, 67, candidates, 85) >= 900
    small_fleet = [build_candidate(f"i{n}", 10) for n in range(6)]
    assert count_cache_hits(300, 8, small_fleet, 85) >= 200


def test_daemons_with_the_same_stale_loads_do_not_all_choose_the_least_loaded():
    candidates = [build_candidate(f"i{n}", 8 + n % 4, local=n % 4 == 0) for n in range(30)]
    chosen = []
    for number in range(600):
        request = build_request(800, (("common", 120), (f"s{number}", 80), (f"own{number}", 600)))
        request = request._replace(sampling_key=f"r{number}")
        chosen.append(choose_by_expected_cost(request, candidates, PrefixIndex(20.0)).upstream)
    counts = [chosen.count(candidate.upstream) for candidate in candidates if candidate.local]
    assert max(counts) <= 3 * len(chosen) / len(counts)


def test_overloaded_domain_overflows_to_others_despite_stale_loads():
    candidates = [build_candidate(f"i{n}", 60 if n < 8 else 6, local=n < 8) for n in range(30)]
    remote = 0
    for number in range(100):
        request = build_request(800, ((f"own{number}", 800),))._replace(sampling_key=f"r{number}")
        remote += not choose_by_expected_cost(request, candidates, PrefixIndex(20.0)).local
    assert remote == 100
