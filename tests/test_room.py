"""Decisions on the places of upstreams, under the load patterns for which they were designed."""

import random

from tanagertrail.errors import SettingsError
from tanagertrail.policy.room import MAX_SENDS, RoomMode, allows_another_send, frees_attempt
from tanagertrail.policy.windowed_retries import WindowedRetryBudget
from tanagertrail.settings.gateway import GatewayTuning
from tanagertrail.settings.ini_file import parse_settings
from tests.utils import raises

REJECTED_SHARE = 644 / 10_179  # of the sends on deployment B
CALLS = 4_105
CALLS_PER_SECOND = 102.0


def play_rejections(mode, attempts, extra=180.0, share=REJECTED_SHARE):
    """Send calls to upstreams that reject a share; return the rejected calls and the budget."""
    rng = random.Random(7)
    budget = WindowedRetryBudget(0.2, extra, 10.0)
    rejected = 0
    for number in range(CALLS):
        now = number / CALLS_PER_SECOND
        budget.note_request(now)
        sends = free = 0
        while True:
            sends += 1
            if rng.random() >= share:
                break
            free += frees_attempt(mode, 503, limited=False, isolated=False)
            if not (allows_another_send(sends, free, attempts) and budget.spend(1, now)):
                rejected += 1
                break
    return rejected, budget


def test_rejected_unsafe_calls_are_served_elsewhere():
    """Calls with one attempt were passed back to their callers after the first rejection."""
    before, _ = play_rejections(RoomMode.OFF, 1)
    after, _ = play_rejections(RoomMode.RETRY, 1)
    assert before > 200
    assert after <= 2


def test_retries_elsewhere_stay_within_the_retry_budget_when_all_upstreams_are_full():
    """An overload could turn each request into as many sends as the largest number allows."""
    rejected, budget = play_rejections(RoomMode.RETRY, 1, share=1.0)
    assert rejected == CALLS
    assert len(budget.retries) <= budget.ratio * len(budget.requests) + budget.extra


def test_sends_are_bounded_and_the_attempts_of_a_route_still_hold():
    assert [allows_another_send(n, n, 1) for n in range(1, MAX_SENDS + 1)] == [True] * 3 + [False]
    assert not allows_another_send(2, 1, 1)  # one of them may have run
    assert allows_another_send(5, 0, 6)  # the route asks for more
    for sends in range(1, 8):
        for attempts in range(1, 8):
            assert allows_another_send(sends, 0, attempts) == (sends < attempts)


def test_refusals_under_other_rules_use_up_an_attempt():
    assert frees_attempt(RoomMode.WAIT, 429, limited=False, isolated=False)
    assert not frees_attempt(RoomMode.OFF, 503, limited=False, isolated=False)
    assert not frees_attempt(RoomMode.RETRY, 400, limited=False, isolated=False)
    assert not frees_attempt(RoomMode.RETRY, 503, limited=True, isolated=False)
    assert not frees_attempt(RoomMode.RETRY, 503, limited=False, isolated=True)


def test_room_setting_is_off_by_default_and_takes_only_known_modes():
    assert GatewayTuning().policy.room is RoomMode.OFF
    assert parse_settings("[policy]\nroom = retry\n", GatewayTuning).policy.room is RoomMode.RETRY
    with raises(SettingsError) as caught:
        parse_settings("[policy]\nroom = always\n", GatewayTuning)
    assert caught[0].violations[0].field == "policy.room"
