"""Upstreams that say that they fall over if they have to reject too many requests."""

from types import SimpleNamespace

from tanagertrail.gateway.crash_detector import CrashDetector
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import decode_upstream_fields
from tests.gateway_utils import open_world, run_in_real_time
from tests.utils import with_virtual_time

FIELDS = (b"server-brittle", b"tanagertrail-server-brittle")


def build_record(name, born=1.0):
    """Build the registration of an upstream."""
    return Upstream(name, "desk", "h:1", "north", "v1", 8, False, 0.0, born, False, None)


def test_both_spellings_of_the_brittle_field_are_read():
    for field in FIELDS:
        assert decode_upstream_fields([(field, b" 3 ")]).rejection_limit.count == 3
    assert decode_upstream_fields([(b"date", b"3")]).rejection_limit is None


def test_malformed_brittle_field_is_not_taken_for_a_number_or_for_none():
    for value in (b"", b"-1", b"1.5", b"many", b"nan", b"9" * 40, b"0x1"):
        assert decode_upstream_fields([(FIELDS[0], value)]).rejection_limit.count is None, value
    mixed = decode_upstream_fields([(FIELDS[0], b"3"), (FIELDS[1], b"4")])
    assert mixed.rejection_limit.count is None


def end_registration(rejection_limit):
    """End the registration of an upstream with an unanswered request; list what is blamed."""
    watch = CrashDetector(SimpleNamespace(write=lambda event, **fields: None))
    blamed = []
    watch.on_crash = lambda entry, attempts: blamed.extend(item.fingerprint for item in attempts)
    table = UpstreamTable()
    table.on_registration_ended = watch.note_crashed
    table.put(build_record("up-a"), 0.0)
    entry = table.entries["up-a"]
    entry.rejection_limit = rejection_limit
    watch.end_attempt(entry, watch.start_attempt("request"), answered=False)
    table.put(build_record("up-a", born=2.0), 0.0)
    assert table.entries["up-a"].rejection_limit is None
    return blamed


@with_virtual_time
async def test_requests_are_not_blamed_for_the_fall_of_a_brittle_upstream():
    assert end_registration(3) == []
    assert end_registration(None) == ["request"]


def test_only_an_upstream_that_said_so_falls_as_a_brittle_one():
    entry = UpstreamEntry(build_record("up-a"))
    entry.crashed_at = 1.0
    assert not entry.has_fallen_brittle
    entry.rejection_limit = 0
    assert entry.has_fallen_brittle


async def break_off_once(brittle):
    """Let an upstream end under a request; list what counts against requests and the version."""
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        upstream.brittle = brittle
        assert (await world.fetch("/look/x")).status == 200
        judged = []
        world.node.dispatcher.trials.note_result = lambda exchange, version, attempt: judged.append(
            attempt.result.value
        )
        upstream.deadly = b"/book/y"
        assert (await world.fetch("/book/y")).status == 502
        return judged, [loss for _, loss in world.node.suspects.losses]


@run_in_real_time
async def test_version_and_requests_are_not_blamed_for_the_fall_of_a_brittle_upstream():
    assert await break_off_once("3") == ([], [])
    judged, losses = await break_off_once(None)
    assert judged == ["broken"]
    assert len(losses) == 1


@run_in_real_time
async def test_brittle_statement_in_a_rejection_counts_and_a_malformed_one_changes_nothing():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        entry = world.node.cluster_view.upstreams.entries["up-a"]
        upstream.brittle = "3"
        upstream.faults.append("refuse")
        assert (await world.fetch("/look/x")).status == 503
        assert entry.rejection_limit == 3
        for value, expected in (("soon", 3), ("2", 2), (None, None)):
            upstream.brittle = value
            assert (await world.fetch("/look/x")).status == 200
            assert entry.rejection_limit == expected
