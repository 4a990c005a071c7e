"""Choice of the daemon that carries a request, and the room that daemons give."""

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.policy.carrier_choice import (
    REFUSED_SECONDS,
    REMOTE_PENALTY,
    UNREACHABLE_SECONDS,
    CarrierCandidate,
    CarrierChooser,
    compute_carry_room,
    compute_connection_limit,
)

NAMES = [f"entry-{number}" for number in range(12)]
candidate_lists = st.lists(
    st.builds(CarrierCandidate, st.sampled_from(NAMES), st.booleans()),
    unique_by=lambda item: item.daemon,
)
names = st.sets(st.sampled_from(NAMES))


def build_chooser(seed=1, in_flight=()):
    """Return a chooser that has sent some requests."""
    chooser = CarrierChooser(random.Random(seed))
    for name in in_flight:
        chooser.note_sent(name)
    return chooser


@given(candidate_lists, names, names, names, st.integers())
def test_carrier_that_refused_is_never_chosen(candidates, asked, broken, refused, seed):
    chooser = build_chooser(seed)
    for name in refused:
        chooser.note_refused(name, 10.0)
    chosen = chooser.choose(candidates, asked, broken, 10.1)
    usable = {item.daemon for item in candidates} - asked - refused
    assert (chosen in usable) if usable else (chosen is None)
    if usable - broken:
        assert chosen not in broken


@given(candidate_lists, names)
def test_carrier_that_refused_is_asked_again_later(candidates, refused):
    chooser = build_chooser()
    for name in refused:
        chooser.note_refused(name, 10.0)
    chosen = chooser.choose(candidates, (), (), 10.0 + REFUSED_SECONDS)
    assert (chosen is not None) == bool(candidates)


@given(st.integers(), st.integers(1, 6), st.integers(1, 6))
def test_request_leaves_the_failure_domain_only_for_a_less_loaded_carrier(seed, near, far):
    candidates = [CarrierCandidate(name, n < near) for n, name in enumerate(NAMES[: near + far])]
    chooser = build_chooser(seed)
    for _ in range(60):
        chosen = chooser.choose(candidates, (), (), 0.0)
        if chosen not in NAMES[:near]:
            local_loads = sorted(chooser.in_flight[name] for name in NAMES[:near])
            assert local_loads[-1] > chooser.in_flight[chosen] + REMOTE_PENALTY - 1
        chooser.note_sent(chosen)


def test_unreachable_carrier_is_left_out_for_longer_than_one_that_refused():
    candidates = [CarrierCandidate("entry-1", True)]
    chooser = build_chooser()
    chooser.note_unreachable("entry-1", 10.0)
    chooser.note_refused("entry-1", 10.0)
    assert chooser.choose(candidates, (), (), 10.0 + REFUSED_SECONDS) is None
    assert chooser.choose(candidates, (), (), 10.0 + UNREACHABLE_SECONDS) == "entry-1"


def test_origins_that_choose_at_once_do_not_overload_one_carrier():
    candidates = [CarrierCandidate(name, False) for name in NAMES]
    chosen = Counter()
    for origin in range(20):
        chooser = build_chooser(origin)
        for _ in range(12):
            name = chooser.choose(candidates, (), (), 0.0)
            chooser.note_sent(name)
            chosen[name] += 1
    assert max(chosen.values()) < 2 * 20 * 12 / len(NAMES)
    assert set(chosen) == set(NAMES)


@given(st.floats(0.01, 64), st.integers(8, 65_536), st.integers(0, 10_000))
def test_room_shrinks_with_own_requests_and_never_takes_all_descriptors(cores, descriptors, own):
    room = compute_carry_room(cores, descriptors, own)
    assert 0 < room <= descriptors // 8
    assert room + compute_connection_limit(descriptors) <= descriptors // 2
    assert room <= compute_carry_room(cores, descriptors, 0)


def test_requests_in_flight_are_forgotten_when_they_end():
    chooser = build_chooser(in_flight=["entry-1", "entry-1"])
    for _ in range(2):
        chooser.note_ended("entry-1")
    assert not chooser.in_flight
