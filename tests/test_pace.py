"""Read rates learned from first events, and what each daemon makes of those of others."""

import itertools
import math
import random

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_load import StatedLoad, estimate_load
from tanagertrail.gateway.upstream_paces import (
    MAX_SHARED_ROWS,
    MAX_TURN_ROWS,
    NEWS_SECONDS,
    UpstreamPaces,
)
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_table import UpstreamTable
from tanagertrail.platform.header_fields import SERVER_LOAD, UpstreamLoad, decode_upstream_fields
from tanagertrail.policy.pace import (
    MAX_PACE,
    MAX_WEIGHT,
    PaceEstimate,
    ReadSample,
    apply_sample,
    merge_estimates,
    shrink_rate,
    weigh_sample,
)
from tanagertrail.policy.reading import predict_reading

TYPICAL = 150_000.0
FIXED = 0.004


class Clock:
    """A clock that tests set."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def build_record(name, born=1.0):
    """Return the registration of a model's replica."""
    return Upstream(name, "m", "h:1", "d", "v", 12, False, 0.0, born, False, None)


def build_paces(clock, names):
    """Return a table of paces that knows upstreams."""
    upstreams = UpstreamTable()
    for name in names:
        upstreams.put(build_record(name), 0.0)
    log = EventLog("g", clock, 0.0)
    statements = UpstreamStatements(upstreams, log, clock)
    paces = UpstreamPaces(upstreams, statements, clock, random.Random(1))
    paces.now = clock
    return paces


def read_prompts(paces, clock, speeds, rounds=20, tokens=6000):
    """Let upstreams read prompts at their speeds, a fifth of them after a wait."""
    for number in range(rounds):
        for name, speed in speeds.items():
            wait = 0.2 if number % 5 == 4 else 0.0
            clock.now += 0.01
            entry = paces.upstreams.entries[name]
            paces.note_first_event(entry, tokens, 0.0, FIXED + wait + tokens / TYPICAL / speed)
    clock.now += 1.0
    paces.refresh_rates()
    return {name: entry.pace for name, entry in paces.upstreams.entries.items()}


def build_sample(tokens=6000.0, seconds=0.044, **changes):
    """Return the sample of a prompt that nobody had cached."""
    return ReadSample(tokens, 0.0, seconds, 1.0, False)._replace(**changes)


def test_uneven_upstreams_are_told_apart_in_spite_of_waits():
    clock = Clock()
    speeds = {f"e{n}": (0.6, 1.0, 1.6)[n % 3] for n in range(9)}
    paces = read_prompts(build_paces(clock, speeds), clock, speeds)
    for name, speed in speeds.items():
        assert abs(paces[name] / speed - 1.0) < 0.15, (name, speed, paces[name])


def test_equal_upstreams_count_as_equal():
    clock = Clock()
    speeds = dict.fromkeys("abcde", 1.0)
    paces = read_prompts(build_paces(clock, speeds), clock, speeds)
    assert all(abs(pace - 1.0) < 0.02 for pace in paces.values())


def test_typical_rate_is_learned_where_no_engine_has_the_usual_one():
    clock = Clock()
    speeds = {"a": 0.1, "b": 0.1, "c": 0.16}
    paces = read_prompts(build_paces(clock, speeds), clock, speeds)
    assert abs(paces["a"] - 1.0) < 0.05
    assert paces["c"] > 1.4


def test_short_and_probably_cached_prompts_say_nothing_or_little():
    assert weigh_sample(build_sample(600.0)) == 0.0
    assert weigh_sample(build_sample(uncertain=6000.0)) < 0.5 * weigh_sample(build_sample())
    assert weigh_sample(build_sample(full=True)) < 0.5 * weigh_sample(build_sample())


def test_parts_that_others_may_have_sent_make_a_sample_uncertain():
    tokens = (500, 4900, 6600)
    assert predict_reading(12_000, tokens, 2, True) == (6600, 0)
    held, unsure = (predict_reading(12_000, tokens, 0, is_holder) for is_holder in (True, False))
    assert 6600 < held.tokens < unsure.tokens < 12_000
    assert 0 < held.uncertain < unsure.uncertain
    assert predict_reading(3, tokens, 3, True).tokens == 0.0


def test_stated_slowdown_is_not_taken_for_a_slow_upstream():
    estimate = None
    for number in range(10):
        slow = number % 2
        sample = build_sample(seconds=0.044 * (2.5 if slow else 1), slowdown=2.5 if slow else 1.0)
        estimate = apply_sample(estimate, 1.0, sample, FIXED, 10.0)
    assert abs(estimate.rate / TYPICAL - 1.0) < 0.1


def test_single_outlier_moves_a_settled_estimate_little():
    estimate = PaceEstimate(1.0, TYPICAL, MAX_WEIGHT, 10.0)
    for seconds in (5.0, 0.001):
        moved = apply_sample(estimate, 1.0, build_sample(seconds=seconds), FIXED, 10.0)
        assert abs(math.log(moved.rate / TYPICAL)) < 0.06, seconds


def test_restarted_upstream_is_learned_anew():
    known = PaceEstimate(1.0, TYPICAL, MAX_WEIGHT, 10.0)
    learned = apply_sample(known, 2.0, build_sample(seconds=0.084), FIXED, 11.0)
    assert learned.born == 2.0 and learned.weight < 1.0
    assert abs(learned.rate / (6000 / 0.08) - 1.0) < 0.01
    clock = Clock()
    speeds = {"a": 0.6, "b": 1.0, "c": 1.6}
    paces = build_paces(clock, speeds)
    assert read_prompts(paces, clock, speeds)["a"] < 0.7
    paces.upstreams.put(build_record("a", born=2.0), clock.now)
    clock.now += 1.0
    paces.refresh_rates()
    assert paces.upstreams.entries["a"].pace == 1.0


def test_little_evidence_counts_little_and_paces_are_bounded():
    one = PaceEstimate(1.0, 2 * TYPICAL, 0.2, 10.0)
    assert shrink_rate(one, TYPICAL, 10.0) < 1.2 * TYPICAL
    odd = PaceEstimate(1.0, 1000 * TYPICAL, MAX_WEIGHT, 10.0)
    assert shrink_rate(odd, TYPICAL, 10.0) == MAX_PACE * TYPICAL
    assert shrink_rate(odd, TYPICAL, 1e5) < 1.01 * TYPICAL


def test_daemons_that_hear_estimates_in_any_order_keep_the_same():
    """Estimates pass by several hubs, so that a daemon hears them twice and out of order."""
    estimates = [
        PaceEstimate(born, TYPICAL * rate, weight, at)
        for born, rate, weight, at in (
            (1.0, 1.0, 12.0, 30.0),
            (2.0, 0.6, 3.0, 20.0),
            (2.0, 0.7, 3.5, 5.0),
            (2.0, 0.8, 1.0, 21.0),
        )
    ]
    kept = set()
    for order in itertools.permutations([*estimates, estimates[1]]):
        known = None
        for estimate in order:
            known = merge_estimates(known, estimate)
        kept.add(known)
    assert len(kept) == 1 and kept.pop() in estimates[1:]


def test_daemon_that_sent_nothing_learns_from_others_by_way_of_a_hub():
    clock = Clock()
    speeds = {f"e{n}": (0.6, 1.0, 1.6)[n % 3] for n in range(45)}
    sender, hub, other = (build_paces(clock, speeds) for _ in range(3))
    for _ in range(20):
        read_prompts(sender, clock, speeds, rounds=1)
        for paces, others in 5 * ((sender, hub), (hub, other), (other, hub)):
            rows = paces.encode(paces is hub, paces is hub)
            assert len(rows) <= MAX_SHARED_ROWS
            others.merge(rows, clock.now)
    for name, entry in other.upstreams.entries.items():
        assert abs(entry.pace / speeds[name] - 1.0) < 0.2, name
    assert other.encode(False, False) == ()


def test_only_a_hub_tells_of_what_has_not_changed():
    clock = Clock()
    paces = build_paces(clock, "abc")
    read_prompts(paces, clock, dict.fromkeys("abc", 1.0))
    clock.now += 2 * NEWS_SECONDS
    assert paces.encode(False, False) == ()
    assert len(paces.encode(True, True)) == MAX_TURN_ROWS


def test_odd_rows_of_another_daemon_are_passed_over():
    clock = Clock()
    paces = build_paces(clock, "ab")
    for rate, weight, age in ((0, 8, 1), (-5, 8, 1), (10**15, 8, 1), (1500, 0, 1), (1500, 8, -1)):
        paces.merge([("a", 1000, rate, weight, age)], clock.now)
    paces.merge([("a", 2000, 1500, 8, 1), ("gone", 1000, 1500, 8, 1)], clock.now)
    assert not paces.estimates
    paces.merge([("a", 1000, 1500, 10**15, 1)], clock.now)
    assert paces.estimates["a"].weight == MAX_WEIGHT


def test_load_is_read_with_three_or_four_figures():
    for value, load, refused in (
        (b"3,1,8", UpstreamLoad(3, 1, 8), ""),
        (b"3, 1, 8, 250", UpstreamLoad(3, 1, 8, 250), ""),
        (b"3,1,8,0", UpstreamLoad(3, 1, 8), "3,1,8,0"),
        (b"3,1,8,-5", UpstreamLoad(3, 1, 8), "3,1,8,-5"),
        (b"3,1,8,999999", UpstreamLoad(3, 1, 8), "3,1,8,999999"),
        (b"3,1,8,", UpstreamLoad(3, 1, 8), "3,1,8,"),
        (b"3,1,8,100,1", None, "3,1,8,100,1"),
        (b"3,1", None, "3,1"),
        (b"3,1,0", None, "3,1,0"),
        (b"-3,1,8", None, "-3,1,8"),
        (b"999999999,1,8", None, "999999999,1,8"),
        (b"busy", None, "busy"),
        (b"", None, "empty"),
    ):
        fields = decode_upstream_fields([(SERVER_LOAD, value)])
        assert (fields.load, fields.refused_load) == (load, refused), value
    assert decode_upstream_fields([]).load is None


def test_odd_load_is_counted_and_logged_once_and_the_last_one_is_kept():
    clock = Clock()
    paces = build_paces(clock, "a")
    entry = paces.upstreams.entries["a"]
    paces.note_answer(entry, decode_upstream_fields([(SERVER_LOAD, b"4,0,12,100")]))
    for _ in range(3):
        paces.note_answer(entry, decode_upstream_fields([(SERVER_LOAD, b"4")]))
    assert paces.statements.refused_count == 3
    assert paces.statements.refused == {("a", "server-load")}
    assert entry.load.stated == UpstreamLoad(4, 0, 12, 100)


def test_stale_statement_counts_for_nothing():
    load = StatedLoad(UpstreamLoad(9, 2, 12, 250), 10, 100.0)
    assert estimate_load(load, 1, 3, 100.0) == (11.0, 2.5)
    running, slowdown = estimate_load(load, 1, 3, 100.5)
    assert 4.0 < running < 11.0 and 1.0 < slowdown < 2.0
    assert estimate_load(load, 1, 3, 101.5)[0] is None
    assert estimate_load(load, 1, 3, 103.0) == (None, 1.0)
    assert estimate_load(None, 1, 3, 103.0) == (None, 1.0)
