"""Upstreams that name the request rate that they accept from all daemons together."""

import asyncio
import json
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.gateway.eventlog import ROUTINE_LINES_PER_SECOND, EventLog
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.rate_limits import RateLimitTable
from tanagertrail.gateway.statement_table import MAX_SHARED_STATEMENTS
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import decode_rate_limit, decode_upstream_fields
from tanagertrail.policy.limit_statements import LimitStatement, merge_statements
from tests.gateway_utils import open_world, run_in_real_time

PREFIXED, PLAIN = b"tanagertrail-server-limit", b"server-limit"


def name_rate(*values, field=PLAIN):
    """Decode the header fields that name some values."""
    return decode_rate_limit([(field, value) for value in values])


def test_both_spellings_of_the_field_are_read():
    assert name_rate(b"1.6").rate == 1.6
    assert name_rate(b"1.6", field=PREFIXED).rate == 1.6
    assert name_rate(b"1.6", field=PREFIXED).field == "tanagertrail-server-limit"
    assert name_rate(b"0").rate == 0.0
    assert decode_rate_limit([(b"date", b"1.6")]) is None


def test_malformed_rate_is_not_taken_for_a_number_or_for_no_limit():
    for value in (
        b"-1",
        b"nan",
        b"inf",
        b"1e400",
        b"9" * 400,
        b"1e1",
        b"",
        b"many",
        b"1,5",
        b"0x1",
    ):
        assert name_rate(value).rate is None, value


def test_two_fields_that_disagree_are_malformed():
    assert name_rate(b"1.6", b"2").rate is None
    assert name_rate(b"1.6", b"1.6").rate == 1.6
    mixed = decode_rate_limit([(PLAIN, b"1.6"), (PREFIXED, b"3")])
    assert mixed.rate is None


def test_limit_is_not_lifted_by_an_answer_that_was_on_its_way():
    """An answer to a request from before the naming arrives after it."""
    naming = LimitStatement(1.0, 1.4, 10.0, 10.2)
    overtaken = LimitStatement(1.0, None, 9.0, 10.5)
    assert merge_statements(naming, overtaken).rate == 1.4
    assert merge_statements(overtaken, naming).rate == 1.4
    later = LimitStatement(1.0, None, 10.3, 10.4)
    assert merge_statements(merge_statements(naming, overtaken), later).rate is None


def test_limit_of_an_earlier_incarnation_does_not_bind_a_restarted_upstream():
    old = LimitStatement(1.0, 1.4, 10.0, 10.2)
    restarted = LimitStatement(2.0, None, 5.0, 5.1)
    assert merge_statements(old, restarted).rate is None
    assert merge_statements(restarted, old).rate is None


answers = st.lists(
    st.tuples(
        st.floats(0, 20),  # time at which the upstream decides on its answer
        st.floats(0, 3),  # time from the sending of the request until then
        st.floats(0, 3),  # time from then until the arrival of the answer
    ),
    min_size=1,
    max_size=8,
)
changes = st.lists(
    st.tuples(st.floats(0, 20), st.sampled_from([None, 0.0, 0.3, 1.4, 9.0])), max_size=4
)


@settings(max_examples=400, derandomize=True, deadline=None)
@given(answers, changes, st.randoms(use_true_random=False))
def test_newest_answer_decides_in_whatever_order_daemons_hear_of_it(answers, changes, random):
    changes = sorted(changes, key=lambda change: change[0])

    def rate_at(time):
        return next((rate for at, rate in reversed(changes) if at <= time), None)

    heard = [
        LimitStatement(1.0, rate_at(at), at - before, at + after) for at, before, after in answers
    ]
    # A request that is sent after all others were answered settles the limit for everybody.
    last = LimitStatement(1.0, rate_at(99.0), 30.0, 31.0)
    random.shuffle(heard)
    known = None
    for statement in heard:
        known = merge_statements(known, statement)
    assert merge_statements(known, last).rate == rate_at(99.0)
    # An answer that is known to be older never replaces a newer one.
    newest_sent = max(statement.sent_at for statement in heard)
    assert known.heard_at >= newest_sent


@run_in_real_time
async def test_a_named_limit_leaves_no_trace_in_the_log():
    lines = []
    async with open_world() as world:
        world.node.log.logger.info = lambda line: lines.append(json.loads(line))
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        for value in ("90.5", "80", "soon", None):
            upstream.named_rate = value
            while (await world.fetch("/look/x")).status != 200:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)
    shown = [(line["event"], line.get("rate"), line.get("field")) for line in lines]
    for row in (
        ("limit_learned", 90.5, "server-limit"),
        ("limit_changed", 80.0, "server-limit"),
        ("limit_refused", None, "server-limit"),
        ("limit_ended", None, ""),
    ):
        assert row in shown, row


class Clock:
    """A boot clock that the test advances."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def build_table(clock, name="a"):
    """Return the table of one daemon."""
    log = EventLog(name, clock)
    return RateLimitTable(SimpleNamespace(daemon_count=1), log, clock)


def build_upstream(name="up-1", born=1.0):
    """Return an entry of an upstream."""
    return UpstreamEntry(
        Upstream(name, "desk", "h:1", "north", "v1", 8, False, 0.0, born, False, None)
    )


def hear(table, clock, entry, rate, seconds=0.01):
    """Let a daemon hear an answer to a request that was sent just now."""
    sent_at = clock.now
    clock.now += seconds
    fields = [] if rate is None else [(PLAIN, str(rate).encode())]
    table.note_answer(entry, decode_upstream_fields(fields), sent_at)


def test_daemons_disagree_on_a_limit_after_they_have_told_each_other():
    clock = Clock()
    first, second = build_table(clock), build_table(clock, "b")
    entry = build_upstream()
    hear(first, clock, entry, 1.4)
    second.merge("a", first.encode(), clock.now)
    assert second.get_rate(entry) == 1.4
    clock.now += 3.0
    hear(second, clock, entry, None)
    # The first daemon's old statement must not bring the limit back.
    second.merge("a", first.encode(), clock.now)
    assert second.get_rate(entry) is None
    first.merge("b", second.encode(), clock.now)
    assert first.get_rate(entry) is None


def test_limit_of_an_ended_upstream_binds_its_successor_under_the_same_id():
    clock = Clock()
    table = build_table(clock)
    hear(table, clock, build_upstream(born=1.0), 1.4)
    assert table.get_rate(build_upstream(born=2.0)) is None
    assert table.get_rate(build_upstream("up-2", born=1.0)) is None


def test_limits_beyond_one_message_are_never_told():
    clock = Clock()
    table, other = build_table(clock), build_table(clock, "b")
    entries = [build_upstream(f"up-{number}") for number in range(200)]
    for entry in entries:
        hear(table, clock, entry, 1.4)
    for pause in (0.0, 60.0):
        clock.now += pause
        other.statements.clear()
        for _ in range(8):
            rows = table.encode()
            assert len(rows) <= MAX_SHARED_STATEMENTS
            other.merge("a", rows, clock.now)
        assert all(other.get_rate(entry) == 1.4 for entry in entries), pause
    hear(table, clock, entries[7], 2.0)
    assert table.encode()[0][:3] == ("up-7", 1.0, 2.0), "changes come first"


def test_statements_of_gone_upstreams_are_kept_for_ever():
    clock = Clock()
    table = build_table(clock)
    hear(table, clock, build_upstream("up-1"), 1.4)
    hear(table, clock, build_upstream("up-2"), 1.4)
    clock.now += 3600.0
    table.forget_ended({"up-1"})
    assert list(table.statements) == ["up-1"], "a limit in force has no end of its own"


def test_rate_that_changes_with_each_answer_floods_the_log():
    clock = Clock()
    table = build_table(clock)
    lines = []
    table.log.logger.info = lines.append
    for number in range(1000):
        clock.now += 0.001
        hear(table, clock, build_upstream(), 1.0 + number / 1000, 0.001)
    assert 10 < len(lines) <= ROUTINE_LINES_PER_SECOND * 3 + 1
