"""The rig of planned stops: its counts, and a short run."""

import asyncio

from tanagertrail.soak.stop_callers import MODES, StopKind
from tanagertrail.soak.stop_counts import Planned, StopCall, count_rows, is_lost
from tanagertrail.soak.stop_rig import parse_kinds, play_stops
from tanagertrail.soak.stop_world import StopPlan

STOP = Planned("stop", 1000, at=10.0, grace=6.0, ended_at=15.5)


def build_call(sent_at, ended_at, **changes):
    """Return a call that got no answer, with changes."""
    call = StopCall("r1", "order", 1000, 0.02, 9.0, sent_at, ended_at=ended_at)
    return call._replace(**changes)


def test_call_that_ran_and_was_cut_in_a_stop_is_lost_unless_the_rule_excuses_it():
    late = build_call(13.5, 15.2)
    assert is_lost(late, STOP, ran=True)
    assert is_lost(late, STOP, ran=False), "held for longer than a crossing close"
    assert not is_lost(build_call(13.5, 13.6), STOP, ran=False), "crossed the close"
    assert not is_lost(build_call(12.9, 15.2), STOP, ran=True), "sent early, cut in the last sixth"
    assert is_lost(build_call(12.9, 14.9), STOP, ran=True), "cut before the last sixth"
    assert not is_lost(late._replace(front=1001), STOP, ran=True), "at another daemon"
    assert not is_lost(late._replace(ended_at=17.1), STOP, ran=True), "after the stop"
    assert not is_lost(late._replace(deadline=1.6), STOP, ran=True), "given up by its caller"
    assert not is_lost(late._replace(status=504, whole=True), STOP, ran=True), "answered"
    reload, config = Planned("reload", 1000, 13.0), Planned("config", 0, 13.0, ended_at=13.1)
    assert is_lost(late, reload, ran=True)
    assert not is_lost(late, reload._replace(at=11.4), ran=True)
    assert is_lost(late, config, ran=True)
    assert not is_lost(late, config._replace(at=11.0, ended_at=11.1), ran=True)


def test_each_count_of_a_stop_finds_what_it_is_for():
    calls = {
        "late": build_call(13.1, 13.2, status=200, whole=True, head_at=13.2, announced=True),
        "served": build_call(11.0, 11.1, status=200, whole=True, head_at=11.1, announced=True),
        "refused": build_call(15.45, 15.46, status=503, whole=True),
        "refused_in_time": build_call(14.0, 14.1, status=503, whole=True),
        "refused_and_run": build_call(14.0, 14.1, status=503, whole=True, request_id="ran"),
        "cut_early": build_call(12.0, 13.0, request_id="ran"),
        "cut_late": build_call(13.5, 14.0, request_id="ran"),
        "cut_last": build_call(12.0, 15.1, request_id="ran"),
        "crossed": build_call(12.0, 12.01),
        "failed": build_call(12.0, 15.1, status=504, whole=True, request_id="ran"),
        "unannounced": build_call(11.0, 11.1, status=200, whole=True, head_at=11.1),
        "reset": build_call(12.0, 12.01, reset=True),
        "lost": build_call(13.5, 15.0, request_id="ran"),
    }
    for name, call in calls.items():
        (row,) = count_rows([call], [STOP], {"ran": 11.9})
        assert row.calls == 1
        assert getattr(row, name) == 1, name
    (row,) = count_rows(calls.values(), [STOP], {"ran": 11.9})
    assert (row.calls, row.served, row.refused) == (13, 3, 3)
    assert (row.refused_in_time, row.cut_early, row.cut_late, row.lost) == (2, 2, 2, 3)


def test_calls_to_a_daemon_that_was_started_again_are_not_counted_as_met_by_its_stop():
    again = build_call(15.6, 15.7, status=200, whole=True, head_at=15.7)
    assert count_rows([again], [STOP], {})[0].calls == 0
    assert count_rows([again._replace(sent_at=15.4)], [STOP], {})[0].unannounced == 1


def test_kinds_have_their_own_work_and_deadline_or_the_common_ones():
    assert parse_kinds("order:0.022:0.6,safe", (0.02, 4), 9.0) == (
        StopKind("order", 0.022, 0.6),
        StopKind("safe", 0.02, 9.0),
        StopKind("safe", 4.0, 9.0),
    )


def test_short_requests_survive_a_stop_of_each_daemon():
    kinds = parse_kinds(("stream", "once", "order", "safe"), 0.02, 3.0)
    plan = StopPlan(
        seed=1,
        tree="",
        grace=5.0,
        kinds=kinds,
        modes=MODES,
        callers=12,
        pattern="all",
        at=0.5,
        beside="calm",
        daemons=3,
        upstreams=3,
        idle=0.0,
    )
    result = asyncio.run(play_stops(plan))
    assert (result.lost, result.calm_cut) == ([], [])
    assert len(result.stops) == 3
    assert all(stop.ended_itself for stop in result.stops)
    assert result.ended_starting == 0
    assert sum(row.served for row in result.rows) > 100
    assert sum(row.refused_and_run for row in result.rows) == 0


def test_late_requests_are_cut_by_real_daemons_when_upstreams_turn_slower():
    """Streams and orders were accepted late on what others had lasted, and cut."""
    plan = StopPlan(
        seed=1,
        tree="",
        grace=8.0,
        kinds=parse_kinds(("stream", "once", "order", "safe"), 0.4, 9.0),
        modes=("kept",),
        callers=16,
        pattern="one",
        at=2.0,
        beside="slowing",
        daemons=2,
        upstreams=3,
        idle=0.0,
    )
    result = asyncio.run(play_stops(plan))
    assert (result.lost, result.calm_cut) == ([], [])
    assert sum(row.failed for row in result.rows) == 0
    assert sum(row.served for row in result.rows) > 50
