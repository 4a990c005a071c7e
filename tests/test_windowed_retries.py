"""Tests of the retry budget in a sliding window, shared by all daemons."""

from tanagertrail.policy.windowed_retries import WindowedRetryBudget

RATIO, EXTRA, WINDOW = 0.2, 56.0, 10.0


def test_retries_of_a_burst_of_failures_stay_within_the_limit():
    daemons = 8
    budgets = [WindowedRetryBudget(RATIO, EXTRA, WINDOW) for _ in range(daemons)]
    retries = requests = 0
    for tick in range(1000):
        for budget in budgets:
            budget.note_request(tick * 0.01)
            requests += 1
            retries += budget.spend(daemons, tick * 0.01)
    assert retries <= RATIO * requests + EXTRA
    assert retries >= 0.5 * RATIO * requests


def test_budget_recovers_after_the_window():
    budget = WindowedRetryBudget(RATIO, EXTRA, WINDOW)
    while budget.spend(8, 0.0):
        pass
    assert not budget.spend(8, WINDOW / 2)
    assert budget.spend(8, WINDOW * 1.1)
