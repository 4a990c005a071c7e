"""Tests of canary rollouts: bounded exposure, detection of regressions, end before the deadline."""

from tanagertrail.policy.canary import (
    CanaryBudget,
    CanaryState,
    TrialCounts,
    decide_canary_state,
    is_regression,
)

SHARE, EXTRA, DAEMONS = 0.1, 50.0, 8


def test_exposure_over_all_daemons_stays_within_the_limit():
    budgets = [CanaryBudget(SHARE, EXTRA) for _ in range(DAEMONS)]
    for _ in range(200):
        for budget in budgets:
            budget.requests += 1
            budget.exposed += budget.allows_request(DAEMONS)
    requests = sum(budget.requests for budget in budgets)
    exposed = sum(budget.exposed for budget in budgets)
    assert exposed <= SHARE * requests + EXTRA
    assert exposed >= 0.5 * SHARE * requests


def test_bad_version_is_rolled_back_before_its_fiftieth_bad_answer():
    counts = TrialCounts(old=400, old_bad=8)
    while not is_regression(counts):
        counts = counts.add(TrialCounts(new=2, new_bad=1))
        assert counts.new_bad < 50
    assert decide_canary_state(counts, 1.0, 12.0, 4) is CanaryState.ROLLED_BACK


def test_version_that_fails_like_the_old_one_is_completed_before_the_deadline():
    counts = TrialCounts(new=60, new_bad=9, old=600, old_bad=84)
    assert decide_canary_state(counts, 5.0, 12.0, 4) is CanaryState.RUNNING
    assert decide_canary_state(counts, 10.6, 12.0, 4) is CanaryState.COMPLETED


def test_few_bad_answers_decide_only_at_the_end():
    counts = TrialCounts(new=4, new_bad=4, old=100)
    assert decide_canary_state(counts, 5.0, 12.0, 4) is CanaryState.RUNNING
    assert decide_canary_state(counts, 11.0, 12.0, 4) is CanaryState.ROLLED_BACK


def test_version_with_few_samples_is_rolled_back():
    """A slow version was completed after 16 answers, none of which was judged bad (day hasty)."""
    assert (
        decide_canary_state(TrialCounts(new=16, old=938), 13.6, 15.0, 8) is CanaryState.ROLLED_BACK
    )
    assert decide_canary_state(TrialCounts(), 13.6, 15.0, 8) is CanaryState.ROLLED_BACK


def test_version_without_upstreams_is_not_completed():
    counts = TrialCounts(new=60, old=600)
    assert decide_canary_state(counts, 13.6, 15.0, 0) is CanaryState.ROLLED_BACK
    assert decide_canary_state(counts, 13.6, 15.0, 1) is CanaryState.COMPLETED
