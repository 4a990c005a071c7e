"""Tests of how long callers' idle connections are kept."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.policy.keep_alive import MAX_STATED_SECONDS, STATED_MARGIN_SECONDS, KeepAlive

LIMITS = st.floats(0.0, 60.0)
FIXED = settings(derandomize=True, deadline=None, database=None)


@FIXED
@given(st.floats())
def test_stated_timeout_is_never_longer_than_the_limit(limit):
    stated = KeepAlive().state_timeout(limit)
    assert stated is None or 1 <= stated <= MAX_STATED_SECONDS
    assert stated is None or not stated > limit


@FIXED
@given(st.none() | LIMITS, LIMITS, st.lists(LIMITS))
def test_wait_never_ends_before_any_limit_that_its_caller_may_know(told, at_start, later):
    wait = KeepAlive()
    stated = None if told is None else wait.state_timeout(told)
    wait.begin_wait(at_start, 100.0)
    deadlines = [wait.compute_deadline(limit) - 100.0 for limit in [at_start, *later]]
    for length, limit in zip(deadlines, [at_start, *later], strict=True):
        assert length >= max(limit, at_start) - 1e-9
        assert stated is None or length >= stated + STATED_MARGIN_SECONDS - 1e-9
    assert deadlines == sorted(deadlines)


def test_caller_that_was_told_nothing_waits_under_the_limit_alone():
    wait = KeepAlive()
    assert wait.state_timeout(0.5) is None
    wait.begin_wait(0.5, 100.0)
    assert wait.compute_deadline(0.2) == 100.5
