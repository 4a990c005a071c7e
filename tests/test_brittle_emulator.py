"""Limits at brittle upstreams, compared in the emulator."""

from tanagertrail.emulator.brittle import BrittleSettings, play_brittle

UPSTREAMS = 10
ALLOWED_FALLS = 2 + UPSTREAMS // 10


def play(limit, daemons):
    """Play ten brittle upstreams."""
    return play_brittle(BrittleSettings(limit, daemons, upstreams=UPSTREAMS, seconds=7.0))


def test_divided_slots_keep_brittle_upstreams_standing():
    for daemons, least_used in ((5, 0.9), (75, 0.5), (195, 0.3)):
        result = play("parts", daemons)
        assert result.falls <= ALLOWED_FALLS, result
        assert result.used >= least_used, result


def test_limit_that_only_halves_at_rejections_lets_brittle_upstreams_fall():
    for limit in ("none", "halving"):
        assert play(limit, 75).falls > ALLOWED_FALLS
