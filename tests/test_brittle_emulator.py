"""Limits at brittle upstreams, compared in the emulator."""

from tanagertrail.emulator.brittle import BrittleSettings, play_brittle

UPSTREAMS = 10
ALLOWED_FALLS = 2 + UPSTREAMS // 10
USED_GOAL = 0.9  # share of the room


def play(limit, daemons):
    """Play ten brittle upstreams."""
    return play_brittle(BrittleSettings(limit, daemons, upstreams=UPSTREAMS, seconds=7.0))


def test_divided_slots_keep_brittle_upstreams_standing():
    for daemons in (5, 75, 195):
        result = play("parts", daemons)
        assert result.falls <= ALLOWED_FALLS, result


def test_few_daemons_leave_room_at_brittle_upstreams_unused():
    assert play("parts", 5).used >= USED_GOAL


def test_many_daemons_leave_room_at_brittle_upstreams_unused():
    for daemons in (75, 195):
        result = play("parts", daemons)
        assert result.used >= USED_GOAL, result


def test_limit_that_only_halves_at_rejections_lets_brittle_upstreams_fall():
    for limit in ("none", "halving"):
        assert play(limit, 75).falls > ALLOWED_FALLS
