"""Placement by the expected first event, under uneven machines and slow phases."""

from collections import Counter

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.expected_finish import choose_by_expected_finish, estimate_first_event
from tanagertrail.policy.placement import (
    PlacementCandidate,
    PlacementRequest,
    choose_by_expected_cost,
)

NOW = 10.0
TYPICAL = 150_000.0
LONG, SHORT = 54_000, 600
PACES = (0.6, 1.0, 1.6)


def build_candidate(name, pace=1.0, running=4, **fields):
    """Return a candidate of twelve slots with a learned read rate."""
    candidate = PlacementCandidate(name, running, 12, 0.0, True, None, pace * TYPICAL, pace)
    return candidate._replace(**fields)


def build_request(tokens, key="", number=0):
    """Return a request with a prompt that nobody has cached."""
    return PlacementRequest((f"own{number}",), (tokens,), tokens, NOW, key)


def count_choices(candidates, tokens, requests=400):
    """Count the choices of daemons with the same stale loads."""
    index = PrefixIndex(20.0)
    return Counter(
        choose_by_expected_finish(build_request(tokens, f"r{n}", n), candidates, index).upstream
        for n in range(requests)
    )


def test_choice_is_that_of_expected_cost_where_nothing_is_known():
    candidates = [
        PlacementCandidate(f"e{n}", n % 5, 12, 0.1 * (n % 3), n % 4 == 0) for n in range(30)
    ]
    index = PrefixIndex(20.0)
    index.note_stored("e7", ["common", "s"], NOW)
    for number in range(100):
        key = f"r{number}" if number % 2 else ""
        parts = ("common", "s", f"own{number}")
        request = PlacementRequest(parts, (500, 4900, 900 * number), 5400 + 900 * number, NOW, key)
        expected = choose_by_expected_cost(request, candidates, index)
        assert choose_by_expected_finish(request, candidates, index) is expected


def test_long_prompt_goes_to_a_fast_upstream_unless_its_queue_is_long():
    index = PrefixIndex(20.0)
    candidates = [build_candidate(str(pace), pace) for pace in PACES]
    assert choose_by_expected_finish(build_request(LONG), candidates, index).upstream == "1.6"
    candidates[2] = build_candidate("1.6", 1.6, running=24)
    assert choose_by_expected_finish(build_request(LONG), candidates, index).upstream == "1.0"


def test_many_daemons_give_uneven_upstreams_what_they_can_do():
    """With the same stale loads, daemons that chose among all overloaded the same few."""
    candidates = [build_candidate(f"e{n}", PACES[n % 3]) for n in range(45)]
    by_pace = {tokens: [0, 0, 0] for tokens in (LONG, SHORT)}
    for tokens, counts in by_pace.items():
        chosen = count_choices(candidates, tokens)
        assert max(chosen.values()) <= 0.1 * chosen.total()
        for name, count in chosen.items():
            counts[int(name[1:]) % 3] += count
    assert by_pace[LONG][0] < 0.5 * by_pace[SHORT][0] < 0.2 * sum(by_pace[SHORT])
    assert by_pace[LONG][2] > by_pace[SHORT][2]


def test_short_prompt_avoids_an_upstream_that_reads_a_long_one():
    index = PrefixIndex(20.0)
    candidates = [build_candidate("a", 1.6, unread_tokens=LONG), build_candidate("b", 0.6)]
    assert choose_by_expected_finish(build_request(SHORT), candidates, index).upstream == "b"


def test_stated_load_and_slowdown_count_instead_of_older_sums():
    request, index = build_request(6000), PrefixIndex(20.0)
    usual = estimate_first_event(request, build_candidate("a"), index)
    assert estimate_first_event(request, build_candidate("a", slowdown=2.5), index) > 2 * usual
    full = build_candidate("a", expected_running=18.0)
    assert estimate_first_event(request, full, index) > 5 * usual
    idle = build_candidate("a", running=18, expected_running=0.0)
    assert estimate_first_event(request, idle, index) < usual


def test_cached_parts_are_not_read_again_and_draw_a_prompt_to_a_slower_upstream():
    index = PrefixIndex(20.0)
    index.note_stored("a", ["common", "session"], NOW)
    candidates = [build_candidate("a", 1.0), build_candidate("b", 1.6)]
    parts = ("common", "session", "own")
    request = PlacementRequest(parts, (500, 20_000, 600), 21_100, NOW)
    assert choose_by_expected_finish(request, candidates, index).upstream == "a"


def test_falsely_idle_upstream_is_held_back_by_its_pace_and_failures():
    """One that states no load and answers slowly, or not, must not draw all requests."""
    index = PrefixIndex(20.0)
    false = build_candidate("a", 0.25, expected_running=0.0)
    sound = build_candidate("b", 1.0, expected_running=4.0)
    assert choose_by_expected_finish(build_request(6000), [false, sound], index) is sound
    failing = build_candidate("a", expected_running=0.0, failure_rate=0.3)
    assert choose_by_expected_finish(build_request(6000), [failing, sound], index) is sound


def test_request_without_a_prompt_is_not_bound_to_one_drawn_upstream():
    """Record upstreams reject when they are full, and state their loads."""
    candidates = [
        PlacementCandidate(f"r{n}", 6, 6, 0.0, n < 2, 6.0 if n % 2 else 1.0) for n in range(4)
    ]
    index, full = PrefixIndex(20.0), 0
    for number in range(200):
        request = PlacementRequest((), (), 0, NOW, f"q{number}")
        full += choose_by_expected_finish(request, candidates, index).expected_running == 6.0
    assert full < 80
