"""Placement of requests, replayed against the load patterns that it answers."""

from tanagertrail.policy.choice import PrefixIndex
from tanagertrail.policy.placement import Seat, Visit, choose_seat, estimate_cost

NOW = 10.0


def build_seat(name, running=0, fault_share=0.0, local=True):
    """Return an upstream with 64 slots."""
    return Seat(name, running, 64, fault_share, local)


def build_visit(tokens=6000, parts=(("common", 500), ("session", 4500))):
    """Return a long prompt whose leading parts others share."""
    names = tuple(name for name, _ in parts)
    return Visit(names, tuple(tokens for _, tokens in parts), tokens, NOW)


def test_prompt_goes_where_its_parts_were_read():
    index = PrefixIndex(20.0)
    index.note_stored("b", ["common", "session"], NOW)
    seats = [build_seat("a", 4), build_seat("b", 6), build_seat("c", 4)]
    assert choose_seat(build_visit(), seats, index).upstream == "b"


def test_hot_prefix_spills_over_when_its_holder_is_full():
    """hot_key: much of the traffic shares one prompt, whose holder must not be overrun."""
    index = PrefixIndex(20.0)
    index.note_stored("b", ["common", "session"], NOW)
    seats = [build_seat("a", 10), build_seat("b", 60)]
    assert choose_seat(build_visit(), seats, index).upstream == "a"


def test_wave_is_spread_evenly():
    index = PrefixIndex(20.0)
    running = dict.fromkeys("abcd", 0)
    for number in range(200):
        visit = build_visit(800, ((f"p{number}", 400),))
        seats = [build_seat(name, count) for name, count in running.items()]
        running[choose_seat(visit, seats, index).upstream] += 1
    assert max(running.values()) <= 1.25 * min(running.values())


def test_daemons_without_hints_agree_on_a_new_prompt():
    seats = [build_seat(name, 3) for name in "abcd"]
    chosen = {choose_seat(build_visit(), seats, PrefixIndex(20.0)).upstream for _ in range(5)}
    assert len(chosen) == 1


def test_failing_upstream_is_avoided_while_another_works():
    seats = [build_seat("a", 0, fault_share=0.4), build_seat("b", 50)]
    assert choose_seat(build_visit(), seats, PrefixIndex(20.0)).upstream == "b"


def test_cost_rises_with_load_and_unread_tokens():
    index = PrefixIndex(20.0)
    costs = [estimate_cost(build_visit(), build_seat("a", n), index) for n in (0, 20, 64, 120)]
    assert costs == sorted(costs)
    assert estimate_cost(build_visit(60_000), build_seat("a"), index) > 5 * costs[0]
