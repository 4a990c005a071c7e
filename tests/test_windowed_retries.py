"""Repeats stay a share of the requests over all daemons."""

from tanagertrail.policy.windowed_retries import WindowedRetryBudget

RATIO, EXTRA, WINDOW = 0.2, 56.0, 10.0


def test_repeats_of_a_burst_of_failures_stay_within_the_bound():
    daemons = 8
    budgets = [WindowedRetryBudget(RATIO, EXTRA, WINDOW) for _ in range(daemons)]
    repeats = requests = 0
    for tick in range(1000):
        for budget in budgets:
            budget.note_request(tick * 0.01)
            requests += 1
            repeats += budget.spend(daemons, tick * 0.01)
    assert repeats <= RATIO * requests + EXTRA
    assert repeats >= 0.5 * RATIO * requests


def test_budget_comes_back_with_time():
    budget = WindowedRetryBudget(RATIO, EXTRA, WINDOW)
    while budget.spend(8, 0.0):
        pass
    assert not budget.spend(8, WINDOW / 2)
    assert budget.spend(8, WINDOW * 1.1)
