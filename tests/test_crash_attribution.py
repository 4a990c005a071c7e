"""The decision which parts of prompts crash upstreams, over drawn histories."""

import itertools
import random
from typing import NamedTuple

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.policy.crash_attribution import (
    MAX_COMPLETED_PARTS,
    MAX_CRASHES,
    CrashAttributor,
)
from tanagertrail.policy.crash_evidence import MIN_CRASHES, LostRequest
from tanagertrail.policy.poison import QUARANTINE_SECONDS

SERVICE = "talk"
CULPRIT = "dead"
BOUND_SECONDS = 3.0  # after the fifth crash
MAX_LATE_ARRIVALS = 3
SETTLE_SECONDS = 0.6
DECISION_PERIOD_SECONDS = 0.5


def lose(attributor, upstream, at, *part_lists, sent_at=None):
    """Record a crash under requests with the given parts."""
    requests = [
        LostRequest(
            f"{upstream}-{number}", frozenset(parts), at - 0.1 if sent_at is None else sent_at, at
        )
        for number, parts in enumerate(part_lists)
    ]
    attributor.note_crash(upstream, SERVICE, at, requests)


def complete_others(attributor, at, count=100):
    """Record that requests without suspected parts completed."""
    attributor.count_completed(SERVICE, count, at)


def find_groups(attributor, now):
    """Return the parts that are newly quarantined."""
    return [set(group) for group, _ in attributor.quarantine_culprits(now)]


def crash_in_turn(attributor, count, *part_lists, start=0.0):
    """Record crashes a second apart, with other requests completed meanwhile."""
    for number in range(count):
        lose(attributor, f"up-{start}-{number}", start + number, *part_lists)
        complete_others(attributor, start + number)


def test_part_that_every_request_has_is_blamed_for_a_loss_of_all_upstreams():
    """Nothing without the part completes, so nothing tells it from a fault of the upstreams."""
    attributor = CrashAttributor()
    for number in range(12):
        lose(attributor, f"up-{number}", number * 0.5, ["first", f"second-{number}"])
    assert find_groups(attributor, 10.0) == []


def test_upstreams_that_go_at_once_count_more_than_once_against_what_they_ran():
    attributor = CrashAttributor()
    for number in range(12):
        lose(attributor, f"up-{number}", number * 0.05, ["popular"], sent_at=-0.5)
        complete_others(attributor, number * 0.05)
    assert len(attributor.list_crashes("popular")) == 1
    assert find_groups(attributor, 10.0) == []


def test_first_part_is_blamed_beside_the_second_that_crashes_upstreams():
    attributor = CrashAttributor()
    for number in range(MIN_CRASHES):
        lose(attributor, f"up-{number}", number, ["first", CULPRIT], ["first", "sound"])
        complete_others(attributor, number)
        attributor.note_completed("first", number + 0.1)
        attributor.note_completed("sound", number + 0.1)
    assert find_groups(attributor, 10.0) == [{CULPRIT}]
    assert attributor.find_quarantine(["first", "sound"], 10.0) is None
    assert attributor.find_quarantine(["first", CULPRIT], 10.0) == {CULPRIT}


def test_parts_that_always_come_together_are_held_until_one_is_seen_alone():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, ["first", CULPRIT])
    assert find_groups(attributor, 10.0) == [{"first", CULPRIT}]
    assert attributor.find_quarantine(["first"], 10.0) is None
    ((group, rest),) = attributor.list_refuted(["first", "sound"])
    assert set(rest) == {CULPRIT}
    attributor.lift(group, 10.0)
    attributor.quarantine(rest, 10.0)
    assert attributor.find_quarantine([CULPRIT, "other"], 10.0) == {CULPRIT}


def test_part_held_together_with_another_crashes_upstreams_beside_others():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, ["first", CULPRIT])
    assert find_groups(attributor, 10.0) == [{"first", CULPRIT}]
    lose(attributor, "up-late", 11.0, ["other", CULPRIT])
    assert find_groups(attributor, 12.0) == [{CULPRIT}]


def test_neighbours_of_a_known_culprit_are_blamed_for_its_crashes():
    attributor = CrashAttributor()
    crash_in_turn(attributor, 1, ["a", CULPRIT])
    crash_in_turn(attributor, MIN_CRASHES - 1, ["a", CULPRIT], ["b"], start=2.0)
    attributor.note_completed("a", 5.0)
    assert find_groups(attributor, 6.0) == [{CULPRIT}]
    lose(attributor, "up-other", 7.0, ["b"])
    lose(attributor, "up-flight", 8.0, ["a", CULPRIT], ["b"])
    assert len(attributor.list_crashes("b")) == 1
    assert find_groups(attributor, 10.0) == []


def test_wrong_one_of_two_parts_with_the_same_evidence_is_blamed():
    attributor = CrashAttributor()
    attributor.note_completed("b", -1.0)
    crash_in_turn(attributor, MIN_CRASHES, ["a", CULPRIT], ["b"])
    attributor.note_completed("a", 5.0)
    assert find_groups(attributor, 5.0) == [{CULPRIT}]


def test_parts_with_the_same_evidence_are_told_apart_too_soon():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, [CULPRIT], ["b"])
    decisive_at = MIN_CRASHES - 1
    assert find_groups(attributor, decisive_at + 1.0) == []
    lose(attributor, "up-next", decisive_at + 1.2, [CULPRIT])
    assert find_groups(attributor, decisive_at + 1.3) == [{CULPRIT}]


def test_parts_that_nothing_tells_apart_go_on_crashing_upstreams():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, [CULPRIT], ["b"])
    groups = find_groups(attributor, MIN_CRASHES + 1.0)
    assert sorted(map(sorted, groups)) == [["b"], [CULPRIT]]


def test_completion_heard_late_does_not_clear_a_part():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, ["slow"])
    attributor.note_completed("slow", MIN_CRASHES)
    assert find_groups(attributor, 10.0) == []


def test_completion_between_crashes_is_forgotten_when_it_is_heard_after_the_last():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, ["sound"])
    assert not attributor.note_completed("sound", MIN_CRASHES - 1.5)
    assert len(attributor.list_crashes("sound")) == 1
    assert find_groups(attributor, 10.0) == []


def test_crash_heard_late_counts_though_the_part_completed_since():
    attributor = CrashAttributor()
    attributor.note_completed("sound", 5.0)
    crash_in_turn(attributor, MIN_CRASHES, ["sound"])
    assert find_groups(attributor, 10.0) == []
    assert not attributor.is_risky(["sound"])


def test_lifted_part_is_quarantined_again_for_old_crashes():
    attributor = CrashAttributor()
    crash_in_turn(attributor, MIN_CRASHES, [CULPRIT])
    assert find_groups(attributor, 10.0) == [{CULPRIT}]
    assert attributor.lift(frozenset([CULPRIT]), 10.0)
    assert find_groups(attributor, 11.0) == []
    crash_in_turn(attributor, MIN_CRASHES, [CULPRIT], start=20.0)
    assert find_groups(attributor, 30.0) == [{CULPRIT}]


def test_quarantine_outlasts_its_time():
    attributor = CrashAttributor()
    attributor.quarantine(frozenset([CULPRIT]), 0.0)
    assert attributor.find_quarantine([CULPRIT], QUARANTINE_SECONDS - 1.0) is not None
    assert attributor.find_quarantine([CULPRIT], QUARANTINE_SECONDS) is None
    assert not attributor.quarantined_by_part


def test_memory_grows_with_parts_that_callers_choose():
    attributor = CrashAttributor()
    attributor.quarantine(frozenset([CULPRIT]), 0.0)
    for number in range(2 * MAX_COMPLETED_PARTS):
        attributor.note_completed(f"part-{number}", float(number))
    assert len(attributor.completed_at) == MAX_COMPLETED_PARTS
    for number in range(2 * MAX_CRASHES):
        lose(attributor, f"up-{number}", 1.0, [f"p-{number}"])
    assert len(attributor.crashes) == MAX_CRASHES
    assert attributor.find_quarantine([CULPRIT], 1.0) == {CULPRIT}


class Happening(NamedTuple):
    """An arrival of a request with the culprit, or an unrelated crash.

    :ivar at: seconds
    """

    at: float
    deadly: bool


def play_history(seed, deadly_times, other_crash_times, daemons, report_seconds):
    """Play the culprit's arrivals beside sound load and other crashes.

    :param deadly_times: arrivals that callers want, refused once the part is quarantined
    :param report_seconds: longest time until the deciding daemon hears of a crash or a completion
    :return: arrivals later than the bound, and the parts quarantined at the end
    """
    rng = random.Random(seed)
    attributor = CrashAttributor()
    news = []
    numbers = itertools.count()
    happenings = [Happening(at, True) for at in deadly_times]
    happenings += [Happening(at, False) for at in other_crash_times]
    end = max((item.at for item in happenings), default=0.0) + 5.0
    for step in range(int(end / 0.05)):
        at = step * 0.05
        parts = ["first", f"s{rng.randrange(4)}"]
        news.append((at + rng.uniform(0, report_seconds), next(numbers), "done", at, parts))
    for step in range(int(end / DECISION_PERIOD_SECONDS) + 4):
        news.append((step * DECISION_PERIOD_SECONDS, next(numbers), "decide", 0.0, ()))
    for item in happenings:
        news.append((item.at, next(numbers), "arrive", item.at, item.deadly))
    crashes, arrivals = [], []
    news.sort()
    while news:
        now, _, kind, at, what = news.pop(0)
        if kind == "done":
            attributor.count_completed(SERVICE, 1, at)
            for part in what:
                attributor.note_completed(part, at)
        elif kind == "decide":
            attributor.quarantine_culprits(now, SETTLE_SECONDS)
        elif kind == "lost":
            attributor.note_crash(f"up-{at}-{what[0]}", SERVICE, at, what[1])
        else:
            own = ("first", CULPRIT) if what else ("first", f"s{rng.randrange(4)}")
            if what and attributor.find_quarantine(own, now) is not None:
                continue
            crashed_at = at + rng.uniform(0.05, 0.3)
            if what:
                arrivals.append(at)
                crashes.append(crashed_at)
            number = next(numbers)
            lost = [LostRequest(f"r{number}", frozenset(own), at, crashed_at)]
            for _ in range(rng.randrange(3)):
                extra = next(numbers)
                beside = frozenset(["first", f"s{rng.randrange(4)}"])
                lost.append(LostRequest(f"r{extra}", beside, crashed_at - 0.2, crashed_at))
            for share in range(min(daemons, len(lost))):
                heard = crashed_at + rng.uniform(0.01, report_seconds)
                rows = (number, lost[share::daemons])
                news.append((heard, next(numbers), "lost", crashed_at, rows))
            news.sort()
    crashes.sort()
    late = 0
    if len(crashes) >= 5:
        late = sum(at > crashes[4] + BOUND_SECONDS for at in arrivals)
    return late, set(attributor.quarantined)


@settings(max_examples=80, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    gap=st.floats(0.05, 3.0),
    count=st.integers(5, 40),
    others=st.lists(st.floats(0.0, 20.0), max_size=6),
    daemons=st.integers(1, 4),
    report_seconds=st.floats(0.05, 0.6),
)
def test_arrivals_go_on_later_than_the_bound_or_a_sound_part_is_refused(
    seed, gap, count, others, daemons, report_seconds
):
    """Late news, other crashes and unequal pauses must neither hide the culprit nor move blame."""
    rng = random.Random(seed)
    times = list(itertools.accumulate(rng.expovariate(1.0 / gap) for _ in range(count)))
    late, quarantined = play_history(seed, times, others, daemons, report_seconds)
    assert late <= MAX_LATE_ARRIVALS
    assert quarantined <= {frozenset([CULPRIT]), frozenset(["first", CULPRIT])}


@settings(max_examples=80, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    others=st.lists(st.floats(0.0, 20.0), max_size=30),
    report_seconds=st.floats(0.05, 1.5),
)
def test_crashes_without_a_culprit_quarantine_a_part(seed, others, report_seconds):
    _, quarantined = play_history(seed, [], others, 3, report_seconds)
    assert quarantined == set()
