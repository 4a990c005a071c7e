"""Uneven engines and slow phases on virtual time, and the placements compared there."""

import math

from tanagertrail.emulator.uneven import UnevenPlay, UnevenSettings, play_uneven

SMALL = UnevenSettings(daemons=30, engines=15, load=1 / 3, seconds=14.0)


def sum_late(settings, seeds=2):
    """Sum the shares of late answers over all kinds and some seeds."""
    return sum(
        row.late for seed in range(seeds) for row in play_uneven(settings._replace(seed=seed))
    )


def test_expected_finish_has_fewer_late_answers_at_uneven_engines():
    late = {
        name: sum_late(SMALL._replace(placement=name))
        for name in ("expected_cost", "expected_finish")
    }
    assert late["expected_finish"] < late["expected_cost"], late


def test_equal_engines_that_state_no_slowdown_are_used_no_worse():
    equal = SMALL._replace(deployment="A", states_slowdown=False)
    late = {
        name: sum_late(equal._replace(placement=name))
        for name in ("expected_cost", "expected_finish")
    }
    assert late["expected_finish"] <= late["expected_cost"], late


def test_all_daemons_learn_the_speeds_within_seconds_of_a_start():
    """After a kill of all daemons the paces begin at 1.0."""
    play = UnevenPlay(SMALL)
    errors = []

    def note_errors():
        found = [
            abs(math.log(entry.pace / (play.engines[name].shape.read_rate / 157_000.0)))
            for daemon in play.daemons
            for name, entry in daemon.upstreams.entries.items()
        ]
        errors.append(sorted(found)[len(found) // 2])

    for at in (0.1, 6.0, 13.9):
        play.schedule(at, note_errors)
    play.run()
    assert errors[0] > 0.4 and errors[1] < 0.25 and errors[2] < 0.15, errors


def test_same_settings_give_the_same_play():
    brief = SMALL._replace(daemons=12, engines=6, seconds=6.0, load=0.1)
    assert play_uneven(brief) == play_uneven(brief)
