"""Tests of the decision which requests a stopping daemon accepts."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from tanagertrail.policy.durations import MAX_KINDS, MAX_SAMPLES, DurationTable, LengthEstimate
from tanagertrail.policy.stop_admission import (
    EARLY_SECONDS,
    MIN_EARLY_SAMPLES,
    MIN_SAMPLES,
    Basis,
    RequestOutlook,
    StopSchedule,
    decide,
)

SCHEDULE = StopSchedule(100.0, 8.0)
LONG = 60.0  # seconds of a deadline that says nothing
NOW = 1000.0
MINUTE_SECONDS = 60.0


def decide_at(
    since, seconds=None, samples=MIN_SAMPLES, time_left=LONG, longest=None, arrived_s=None
):
    """Decide some seconds after the stop began on a request that arrived then or earlier."""
    estimate = None if seconds is None else LengthEstimate(seconds, longest or seconds, samples)
    now = SCHEDULE.started_at + since
    arrived_at = now if arrived_s is None else SCHEDULE.started_at + arrived_s
    return decide(SCHEDULE, RequestOutlook(time_left, estimate, arrived_at), now)


@params((0.5, 4.0), (2.7, 4.0))
def test_long_request_is_refused_early_though_it_is_expected_to_end(since, seconds):
    decision = decide_at(since, seconds)
    assert (decision.accepted, decision.basis) == (True, Basis.LENGTHS)


@params((EARLY_SECONDS + 0.1, 4.0), (4.0, 2.0), (5.0, 0.01))
def test_late_request_is_accepted_on_a_forecast(since, seconds):
    """Upstreams that turned slower within the stop made it wrong, and the requests were cut."""
    decision = decide_at(since, seconds, 200)
    assert (decision.accepted, decision.basis) == (False, Basis.LATE)


@params((3.1, 4.0, False), (4.0, 2.0, True), (5.0, 1.9, False))
def test_long_request_is_not_sent_again_late(since, seconds, accepted):
    decision = decide_at(since, seconds, arrived_s=1.0)
    assert (decision.accepted, decision.basis) == (accepted, Basis.LONGEST)


@params(0.5, 2.0, 3.6, 8.0, 60.0)
def test_cut_comes_before_the_last_sixth_of_the_grace_period(grace):
    schedule = StopSchedule(100.0, grace)
    assert 100.0 + grace * 5 / 6 <= schedule.cuts_at + 1e-9
    assert schedule.cuts_at + schedule.lingers_for < 100.0 + grace


def test_one_long_request_among_short_ones_is_looked_at_late():
    assert decide_at(EARLY_SECONDS - 0.1, 0.1, longest=6.0).accepted
    assert not decide_at(EARLY_SECONDS + 0.1, 0.1, longest=6.0, arrived_s=1.0).accepted


def test_request_that_is_expected_to_be_cut_is_refused_early_too():
    assert not decide_at(1.0, 7.0).accepted


@params(0.0, 2.0, 5.0)
def test_request_of_unknown_length_is_not_accepted(since):
    decision = decide_at(since, arrived_s=0.0)
    assert (decision.accepted, decision.basis, decision.seconds) == (False, Basis.UNKNOWN, LONG)


@params((6.0, 1.0, True), (6.0, 1.4, False), (0.1, 7.0, True))
def test_deadline_within_the_stop_is_enough_for_a_request_of_unknown_length(since, left, accepted):
    decision = decide_at(since, time_left=left)
    assert decision.accepted == accepted
    assert (decision.basis is Basis.DEADLINE) == accepted


def test_few_lengths_are_enough_only_early():
    early = decide_at(1.0, 1.0, MIN_EARLY_SAMPLES)
    assert (early.accepted, early.basis) == (True, Basis.FEW_LENGTHS)
    assert not decide_at(EARLY_SECONDS + 0.1, 1.0, MIN_SAMPLES - 1, arrived_s=1.0).accepted
    assert decide_at(EARLY_SECONDS + 0.1, 1.0, MIN_SAMPLES, arrived_s=1.0).accepted


@settings(max_examples=300, deadline=None)
@given(
    st.floats(0.0, 40.0),
    st.floats(0.0, 1.2),
    st.floats(0.0, 30.0),
    st.floats(0.0, 30.0),
    st.integers(1, 200),
    st.floats(0.0, 1.0),
)
def test_accepted_request_ends_before_the_cut(grace, part, seconds, time_left, samples, age):
    schedule = StopSchedule(50.0, grace)
    now = schedule.started_at + part * grace
    arrived_at = schedule.started_at + age * part * grace
    outlook = RequestOutlook(time_left, LengthEstimate(seconds, seconds, samples), arrived_at)
    decision = decide(schedule, outlook, now)
    if decision.accepted and arrived_at > schedule.started_at + EARLY_SECONDS:
        assert now + time_left <= schedule.answers_end_at, "accepted without a proof"
    ends_at = now + min(seconds, time_left)
    assert not decision.accepted or ends_at <= schedule.answers_end_at < schedule.cuts_at


def test_length_is_a_high_quantile_of_recent_ones():
    table = DurationTable()
    for seconds in range(1000):
        table.add("talk", 0, float(seconds % 10), NOW)
    assert table.estimate("talk", 0, NOW) == LengthEstimate(9.0, 9.0, MAX_SAMPLES)
    for _ in range(MAX_SAMPLES):
        table.add("talk", 0, 0.5, NOW + MINUTE_SECONDS)
    now = NOW + MINUTE_SECONDS
    assert table.estimate("talk", 0, now) == LengthEstimate(0.5, 0.5, MAX_SAMPLES)
    assert table.estimate("book", 0, now) is None


def test_many_short_requests_do_not_hide_a_long_one():
    table = DurationTable()
    table.add("talk", 0, 4.0, NOW)
    for number in range(3000):
        table.add("talk", 0, 0.02, NOW + number * 0.01)
    assert table.estimate("talk", 0, NOW + 30.0) == LengthEstimate(0.02, 4.0, MAX_SAMPLES)
    assert table.estimate("talk", 0, NOW + MINUTE_SECONDS).longest == 0.02


def test_short_answers_do_not_make_long_ones_look_short():
    table = DurationTable()
    for _ in range(50):
        table.add("talk", 20, 0.1, NOW)
    assert table.estimate("talk", 2000, NOW) is None
    table.add("talk", 2000, 5.0, NOW)
    assert table.estimate("talk", 2000, NOW) == LengthEstimate(5.0, 5.0, 1)
    assert table.estimate("talk", 20, NOW) == LengthEstimate(5.0, 5.0, 51)
    for _ in range(60):
        table.add("talk", 20, 0.1, NOW)
    assert table.estimate("talk", 20, NOW) == LengthEstimate(0.1, 5.0, 101)


@params(0, 0.5, 1, float("inf"), float("nan"), -3, 1e300)
def test_odd_sizes_are_measured(size):
    table = DurationTable()
    table.add("talk", size, 1.0, NOW)
    assert table.estimate("talk", size, NOW) == LengthEstimate(1.0, 1.0, 1)


def test_memory_for_lengths_is_bounded():
    table = DurationTable()
    rng = random.Random(7)
    for number in range(3 * MAX_KINDS):
        for _ in range(200):
            table.add(f"route-{number}", 10 ** rng.uniform(0, 12), 1.0, NOW)
    assert len(table.kinds) == MAX_KINDS
    held = [record for classes in table.kinds.values() for record in classes.values()]
    assert max(len(record.samples) for record in held) <= MAX_SAMPLES
    assert max(len(classes) for classes in table.kinds.values()) <= 22
