"""Requests at daemons that are cut off from all upstreams, carried by the others."""

import asyncio
import random
from collections import Counter
from contextlib import suppress

from nose2.tools import params

from tanagertrail.gateway.carry_protocol import CarriedResult, CarryOutcome, build_result_headers
from tanagertrail.gateway.exchange import AttemptResult
from tanagertrail.gateway.planned_stop import PlannedStop
from tanagertrail.operators.explain import LogLine, explain_request
from tanagertrail.platform.header_fields import LAST_EVENT_ID
from tanagertrail.standins.documents import build_route
from tests.gateway_utils import (
    HOST,
    SetLinks,
    build_config,
    cut_off_from_upstreams,
    list_tries,
    open_fleet,
    run_in_real_time,
    set_links,
)

WHOLE_STREAM = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 7))
KINDS = (
    ("/look/1", b""),
    ("/book/1", b"order"),
    ("/talk/1/events", b"prompt"),
    ("/once/1/events", b"prompt"),
)


def list_runs(fleet):
    """Return the ids of the requests that upstreams began to run."""
    return [run.request_id for upstream in fleet.upstreams for run in upstream.runs]


def get_upstream_of(fleet, request_id):
    """Return the upstream that ran a request last."""
    return next(
        upstream
        for upstream in reversed(fleet.upstreams)
        if request_id in [run.request_id for run in upstream.runs]
    )


def set_faults(fleet, *faults):
    """Have every upstream misbehave at its next requests."""
    for upstream in fleet.upstreams:
        upstream.faults.extend(faults)


def replace_carriers(fleet, handler):
    """Have all daemons but the first handle carried requests in another way."""
    for node in fleet.nodes[1:]:
        node.carry_server.handler = handler


async def break_off(request, stream):
    """Reset the connection after the request was read."""
    stream.channel.abort()


def mark(request_id, outcome):
    """Return the fields of a carrier's answer."""
    return build_result_headers([], CarriedResult(request_id, outcome, upstream="up-a"))


@params("hanging", "refused")
@run_in_real_time
async def test_daemons_cut_off_from_all_upstreams_serve_their_callers(cut):
    async with open_fleet("entry-2", "entry-3") as fleet:
        for node in fleet.nodes[:2]:
            cut_off_from_upstreams(node, cut)
        for front in (0, 1):
            for path, body in KINDS:
                reply = await fetch_timed(fleet, path, body, front)
                assert reply.status == 200, (path, reply)
                assert b"tanagertrail-server-stamp" in reply.headers
                assert not [name for name in reply.headers if name.startswith(b"carry-")]
                assert reply.whole
                assert reply.body == WHOLE_STREAM or b"answer of" in reply.body
        runs = list_runs(fleet)
        assert len(runs) == len(set(runs)) == 2 * len(KINDS)
        assert not fleet.nodes[2].dispatcher.in_flight


async def fetch_timed(fleet, path, body=b"", front=0, seconds=1.0, **changes):
    """Send a request that must be answered within some seconds."""
    async with asyncio.timeout(seconds):
        return await fleet.fetch(path, body, front, **changes)


@run_in_real_time
async def test_upstream_gets_a_carried_request_as_the_caller_sent_it():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        target = "/book/a%20b?x=1&y=%2F"
        changes = {"x_colour": "red", "carry_request": "[1]", "tanagertrail_tenant": "other"}
        assert (await fleet.fetch(target, b"\x00\xff", **changes)).status == 200
        run = next(run for upstream in fleet.upstreams for run in upstream.runs)
        headers = dict(run.request.headers)
        assert (run.request.method, run.request.body) == (b"POST", b"\x00\xff")
        assert run.request.target == target.encode()
        assert run.customer == "guild"
        assert headers[b"x-colour"] == b"red"
        assert headers[b"host"] == b"desk.example"
        assert 1500 < int(headers[b"tanagertrail-deadline-ms"]) <= 2000
        assert not {b"api-key", b"carry-request"} & headers.keys()


@run_in_real_time
async def test_upstream_sees_no_difference_between_a_carried_and_a_direct_request():
    routes = [build_route("look", "safe", sticky=True, priority=3)]
    async with open_fleet("entry-2") as fleet:
        changes = {"tenants": [{"name": "guild", "api_keys": ["key-guild"], "priority": 7}]}
        fleet.store.put("config", "main", build_config(2, routes=routes, **changes))
        await fleet.wait_until(
            lambda: all(node.cluster_view.config.version == 2 for node in fleet.nodes)
        )
        cut_off_from_upstreams(fleet.node)
        prompt = {"tanagertrail_token_count": "100,20", "tanagertrail_prompt_prefix": "a:90,b:10"}
        for front in (0, 1):
            reply = await fleet.fetch("/look/1", b"x", front, last_event_id="5", **prompt)
            assert reply.status == 200
        runs = [run for upstream in fleet.upstreams for run in upstream.runs]
        carried, direct = (describe_run(run) for run in runs)
        assert carried == direct
        assert (b"tanagertrail-request-priority", b"7") in carried[2]


def describe_run(run):
    """Return what an upstream gets of a request, except what differs for every one."""
    volatile = (b"tanagertrail-request-id", b"tanagertrail-deadline-ms")
    headers = {(name, value) for name, value in run.request.headers if name not in volatile}
    headers = {(name, value) for name, value in headers if not name.endswith(b"expect-instance")}
    return run.request._replace(headers=[]), run.customer, headers


@params(
    ("half_event", "/talk/1/events"),
    ("stall_within", "/talk/1/events"),
    ("half_event", "/once/1/events"),
)
@run_in_real_time
async def test_stream_in_progress_when_the_cut_begins_goes_on_if_it_may_be_resumed(fault, path):
    async with open_fleet("entry-2") as fleet:
        set_faults(fleet, fault)
        for upstream in fleet.upstreams:
            upstream.work = 0.1
        stream = await fleet.connect()
        request_id = fleet.send(stream, path, b"prompt", tanagertrail_deadline_ms="4000")
        await fleet.wait_until(lambda: list_runs(fleet))
        cut_off_from_upstreams(fleet.node)
        first = get_upstream_of(fleet, request_id)
        other = next(upstream for upstream in fleet.upstreams if upstream is not first)
        other.faults.clear()
        reply = await fleet.read(stream)
        stream.abort()
        may_resume = path.startswith("/talk")
        assert reply.whole is may_resume
        assert len(other.runs) == int(may_resume)
        if may_resume:
            assert reply.body == WHOLE_STREAM
            assert dict(other.runs[0].request.headers)[LAST_EVENT_ID] == b"2"


@run_in_real_time
async def test_request_that_could_not_be_sent_is_carried_once_the_cut_is_known():
    for has_backoff in (False, True):
        async with open_fleet("entry-2") as fleet:
            cut_off_from_upstreams(fleet.node)
            set_links(fleet.node, SetLinks(settles_as_cut=True))
            if has_backoff:
                now = fleet.node.loop.time()
                for entry in fleet.node.cluster_view.upstreams.entries.values():
                    entry.note_connection_failure(now)
            assert (await fetch_timed(fleet, "/book/1", b"order")).status == 200
            assert len(list_runs(fleet)) == 1
            tries = list_tries(fleet.node)
            assert tries.total() == (0 if has_backoff else 1)


def tell_others_of_cut(fleet, node):
    """Let all other daemons know that one reaches no upstream."""
    node.links.reaches_upstreams = False
    for other in fleet.nodes:
        if other is not node:
            other.members.states[node.settings.name].reaches_upstreams = False


@run_in_real_time
async def test_most_daemons_are_cut_off_and_all_callers_are_served():
    names = [f"entry-{number}" for number in range(2, 7)]
    async with open_fleet(*names, upstreams=4) as fleet:
        for node in fleet.nodes[:5]:
            cut_off_from_upstreams(node)
            tell_others_of_cut(fleet, node)
        for _ in range(5):
            calls = [fleet.fetch("/look/1", front=front) for front in range(6)]
            assert {reply.status for reply in await asyncio.gather(*calls)} == {200}
        assert fleet.nodes[5].carry_server.carried_count == 25


@run_in_real_time
async def test_stream_whose_hop_breaks_goes_on_through_another_carrier():
    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        for upstream in fleet.upstreams:
            upstream.work = 0.1
        stream = await fleet.connect()
        fleet.send(stream, "/talk/1/events", b"prompt")
        await fleet.wait_until(lambda: fleet.node.dispatcher.carry_client.in_flight)
        await asyncio.sleep(0.25)
        carrier = next(node for node in fleet.nodes if node.carry_server.in_flight)
        for channel in list(carrier.carry_server.busy_channels):
            channel.abort()
        reply = await fleet.read(stream)
        stream.abort()
        assert (reply.status, reply.body, reply.whole) == (200, WHOLE_STREAM, True)
        assert len(list_runs(fleet)) == 2


@run_in_real_time
async def test_hop_that_breaks_after_the_request_was_sent_promises_nothing():
    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        replace_carriers(fleet, break_off)
        for path, body in KINDS:
            reply = await fetch_timed(fleet, path, body)
            assert reply.status == 502, path
            assert b"retry-after" not in reply.headers
        entries = fleet.node.cluster_view.upstreams.entries.values()
        assert not any(entry.consecutive_failures or entry.crashed_at for entry in entries)


@run_in_real_time
async def test_safe_request_whose_hop_breaks_is_sent_through_another_carrier():
    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        fleet.nodes[1].carry_server.handler = break_off
        fleet.node.dispatcher.carry_client.chooser.note_sent("entry-3")
        assert (await fetch_timed(fleet, "/look/1")).status == 200
        assert fleet.node.dispatcher.carry_client.results == {"broken": 1, "delivered": 1}


@run_in_real_time
async def test_broken_answer_of_a_carrier_is_not_relayed():
    async def answer(request, stream):
        request_id = dict(request.headers)[b"tanagertrail-request-id"].decode()
        fault = request.path.removeprefix("/book/")
        if fault == "short":
            ((name, value),) = mark(request_id, AttemptResult.DELIVERED)
            stream.channel.write(b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n")
            stream.channel.write(name + b": " + value + b"\r\n\r\nhalf")
            stream.channel.close()
        elif fault == "unmarked":
            stream.send_response(503, [(b"retry-after", b"1")], b"full")
        elif fault == "other":
            stream.send_response(200, mark("r0", AttemptResult.DELIVERED), b"other")
        else:
            stream.send_response(503, mark("r0", CarryOutcome.NOT_CARRIED), b"full")

    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        replace_carriers(fleet, answer)
        for fault in ("short", "unmarked", "other", "refused"):
            reply = await fetch_timed(fleet, f"/book/{fault}", b"order")
            assert reply.status == 502, fault


@run_in_real_time
async def test_error_is_not_relayed_within_a_stream_that_has_begun():
    event = b"id: 1\ndata: piece 1\n\n"
    answers = []

    async def answer(request, stream):
        answers.append(request)
        request_id = dict(request.headers)[b"tanagertrail-request-id"].decode()
        headers = mark(request_id, AttemptResult.DELIVERED)
        if len(answers) > 1:
            stream.send_response(404, headers, b"no such stream")
            return
        stream.start_chunked_response(200, headers, event)
        await asyncio.sleep(0.02)
        stream.channel.abort()

    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        replace_carriers(fleet, answer)
        reply = await fetch_timed(fleet, "/talk/1/events", b"prompt")
        assert len(answers) == 2
        assert (reply.status, reply.body, reply.whole) == (200, event, False)


@params(("/look/1", b"", 200), ("/book/1", b"order", 504))
@run_in_real_time
async def test_only_a_request_that_may_run_twice_leaves_a_silent_carrier(path, body, status):
    async def stay_silent(request, stream):
        await asyncio.sleep(3600)

    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        fleet.nodes[1].carry_server.handler = stay_silent
        fleet.node.dispatcher.carry_client.chooser.note_sent("entry-3")
        fleet.node.members.is_alive = lambda daemon, now: daemon != "entry-2"
        reply = await fetch_timed(fleet, path, body, 0, 1.5, tanagertrail_deadline_ms="1200")
        assert reply.status == status
        assert len(list_runs(fleet)) == int(status == 200)


@run_in_real_time
async def test_request_refused_by_one_carrier_is_carried_by_another():
    async with open_fleet("entry-2", "entry-3") as fleet:
        for node in fleet.nodes[:2]:
            cut_off_from_upstreams(node)
        client = fleet.node.dispatcher.carry_client
        client.chooser.note_sent("entry-3")
        assert (await fetch_timed(fleet, "/book/1", b"order")).status == 200
        assert client.results == {"cut off": 1, "delivered": 1}
        assert fleet.nodes[1].carry_server.refused_count == 1


@run_in_real_time
async def test_carrier_that_finds_itself_cut_off_leaves_the_request_to_another():
    for has_backoff in (False, True):
        async with open_fleet("entry-2", "entry-3") as fleet:
            cut_off_from_upstreams(fleet.node)
            cut_off_from_upstreams(fleet.nodes[1], "refused")
            carrier = fleet.nodes[1]
            set_links(carrier, SetLinks(settles_as_cut=True))
            if has_backoff:
                for entry in carrier.cluster_view.upstreams.entries.values():
                    entry.note_connection_failure(carrier.loop.time())
            client = fleet.node.dispatcher.carry_client
            client.chooser.note_sent("entry-3")
            assert (await fetch_timed(fleet, "/book/1", b"order")).status == 200
            assert client.results == {"cut off": 1, "delivered": 1}


@run_in_real_time
async def test_unreachable_carrier_is_followed_by_another():
    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        fleet.nodes[1].carry_server.close()
        fleet.node.dispatcher.carry_client.chooser.note_sent("entry-3")
        assert (await fetch_timed(fleet, "/book/1", b"order")).status == 200
        assert fleet.node.dispatcher.carry_client.results["not carried"] == 1


@run_in_real_time
async def test_request_is_refused_at_once_when_no_daemon_can_carry_it():
    async with open_fleet("entry-2", "entry-3") as fleet:
        for node in fleet.nodes:
            cut_off_from_upstreams(node)
        for path, body in KINDS:
            reply = await fetch_timed(fleet, path, body, seconds=0.5)
            assert reply.status == 503
            assert 0 < float(reply.headers[b"retry-after"]) < 1
        assert not any(upstream.arrivals for upstream in fleet.upstreams)


@run_in_real_time
async def test_carried_request_is_not_carried_on():
    async with open_fleet("entry-2", "entry-3") as fleet:
        for node in fleet.nodes[:2]:
            cut_off_from_upstreams(node)
        assert (await fetch_timed(fleet, "/look/1")).status == 200
        assert fleet.nodes[1].dispatcher.carry_client.results == {}


@run_in_real_time
async def test_carrier_without_room_refuses_and_serves_its_own_callers():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        fleet.nodes[1].carry_server.descriptors = 8
        set_faults(fleet, "hold", "hold")
        held = [await fleet.connect() for _ in range(2)]
        try:
            fleet.send(held[0], "/book/1", b"order")
            await fleet.wait_until(lambda: list_runs(fleet))
            set_faults(fleet)
            reply = await fetch_timed(fleet, "/book/2", b"order", seconds=0.5)
            assert reply.status == 503
            for upstream in fleet.upstreams:
                upstream.faults.clear()
            assert (await fetch_timed(fleet, "/book/3", b"order", front=1)).status == 200
        finally:
            for stream in held:
                stream.abort()


@run_in_real_time
async def test_upstream_stops_when_the_caller_of_a_carried_request_leaves():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        set_faults(fleet, "hold")
        stream = await fleet.connect()
        request_id = fleet.send(stream, "/look/1")
        await fleet.wait_until(lambda: list_runs(fleet))
        stream.abort()
        upstream = get_upstream_of(fleet, request_id)
        async with asyncio.timeout(0.5):
            while not upstream.cut:
                await asyncio.sleep(0.01)
        await fleet.wait_until(lambda: not fleet.nodes[1].carry_server.in_flight)
        assert not fleet.node.dispatcher.carry_client.in_flight


@run_in_real_time
async def test_slow_caller_of_a_carried_stream_slows_its_upstream():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        set_faults(fleet, "endless_events")
        stream = await fleet.connect()
        fleet.send(stream, "/talk/1/events", b"prompt", tanagertrail_deadline_ms="9000")
        stream.channel.transport.pause_reading()
        await fleet.wait_until(lambda: list_runs(fleet))
        await wait_until_steady(fleet)
        assert 0 < sum(upstream.endless_bytes for upstream in fleet.upstreams) < 32_000_000
        stream.abort()


async def wait_until_steady(fleet):
    """Wait until the upstreams send nothing more."""
    sent = -1
    while sent != sum(upstream.endless_bytes for upstream in fleet.upstreams):
        sent = sum(upstream.endless_bytes for upstream in fleet.upstreams)
        await asyncio.sleep(0.1)


@run_in_real_time
async def test_carrier_that_stops_ends_its_carried_requests_first():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        set_faults(fleet, "hold")
        held = asyncio.create_task(
            fleet.fetch("/book/1", b"order", tanagertrail_deadline_ms="9000")
        )
        await fleet.wait_until(lambda: list_runs(fleet))
        carrier = fleet.nodes[1]
        carrier.stopping = carrier.carry_server.stopping = True
        assert (await fetch_timed(fleet, "/book/2", b"order")).status == 503
        now = carrier.loop.time()
        servers = (carrier.http_server, carrier.carry_server)
        gate = carrier.dispatcher.stop_gate
        stop = PlannedStop(servers, carrier.leadership, carrier.supervisor, carrier.log, gate)
        draining = asyncio.create_task(stop.wait_until_drained(now, now + 3.0))
        await asyncio.sleep(0.1)
        assert not draining.done()
        for upstream in fleet.upstreams:
            upstream.released.set()
        assert (await held).status == 200
        await draining


@run_in_real_time
async def test_logs_of_both_daemons_explain_a_carried_request():
    lines = []
    async with open_fleet("entry-2") as fleet:
        for node in fleet.nodes:
            capture_lines(node, lines)
        cut_off_from_upstreams(fleet.node)
        assert (await fleet.fetch("/book/1", b"order")).status == 200
    found = explain_request(f"r{fleet.request_count}", lines)
    by_daemon = {line.daemon: line for line in found.own}
    origin, carrier = by_daemon["entry-1"], by_daemon["entry-2"]
    assert (origin.event, carrier.event) == ("request", "carried")
    assert origin.fields["carriers"] == ["entry-2"]
    assert origin.fields["last_upstream"] == carrier.fields["last_upstream"] != ""
    assert carrier.fields["origin"] == "entry-1"
    assert carrier.fields["fingerprint"] == origin.fields["fingerprint"]
    assert carrier.fields["tries"][0][:2] == origin.fields["tries"][0][:2]


def capture_lines(node, lines):
    """Append what a daemon logs to a list of lines."""
    name = node.settings.name

    def write(event, **fields):
        lines.append(LogLine(0.0, name, event, fields))

    node.log.write = write


@run_in_real_time
async def test_odd_address_of_a_carrier_does_not_break_requests():
    async with open_fleet("entry-2", "entry-3") as fleet:
        cut_off_from_upstreams(fleet.node)
        state = fleet.node.members.states["entry-2"]
        client = fleet.node.dispatcher.carry_client
        client.chooser.note_sent("entry-3")
        for address in ("10.0.0.9", 7, "nowhere:0", "host:99999999", "[::1", None):
            state.member = state.member._replace(carrier=address)
            client.chooser.refused_until.clear()
            client.refreshed_at = float("-inf")
            assert (await fetch_timed(fleet, "/book/1", b"order")).status == 200, address


def disturb(node, rng):
    """Let a carrier break its connections at random moments."""
    handle = node.carry_server.handler

    async def handle_disturbed(request, stream):
        delay = rng.choice((0.0, 0.001, 0.003, 0.006, None, None, None))
        if delay is not None:
            asyncio.get_running_loop().call_later(delay, stream.channel.abort)
        await handle(request, stream)

    node.carry_server.handler = handle_disturbed


async def fetch_any(fleet, path, body, front):
    """Send a request and return its id and status, which is 0 if the connection closed."""
    stream = await fleet.connect(front)
    request_id = fleet.send(stream, path, body)
    try:
        reply = await fleet.read(stream)
        return request_id, reply.status if reply.whole else 0
    except ConnectionError:
        return request_id, 0
    finally:
        stream.abort()


@run_in_real_time
async def test_answers_stay_true_while_hops_and_upstreams_break_at_random():
    rng = random.Random(33)
    faults = ("refuse", "reset", "fail", "short", "late_other", "extra", "", "")
    async with open_fleet("entry-2", "entry-3", "entry-4", upstreams=4) as fleet:
        for node in fleet.nodes[:2]:
            cut_off_from_upstreams(node)
        for node in fleet.nodes[2:]:
            disturb(node, rng)
        answers = {}
        for number in range(40):
            fault = rng.choice(faults)
            set_faults(fleet, *filter(None, [fault]))
            kinds = [KINDS[(number + n) % 2 * 2 + 1] for n in range(4)]
            calls = [fetch_any(fleet, *kind, front=n % 2) for n, kind in enumerate(kinds)]
            answers |= dict(await asyncio.gather(*calls))
            for upstream in fleet.upstreams:
                upstream.faults.clear()
        runs = Counter(list_runs(fleet))
        assert max(runs.values()) == 1
        assert all(runs[name] == 0 for name, status in answers.items() if status == 503)
        assert all(runs[name] == 1 for name, status in answers.items() if status == 200)
        assert {200, 502, 503} <= set(answers.values())


async def send_raw(fleet, data):
    """Send bytes to the second daemon's port for carried requests and return the answer."""
    reader, writer = await asyncio.open_connection(*fleet.nodes[1].own.carrier.split(":"))
    try:
        writer.write(data)
        async with asyncio.timeout(2.0):
            return await reader.readuntil(b"\r\n\r\n")
    finally:
        writer.close()
        with suppress(ConnectionError):
            await writer.wait_closed()


def build_raw(field):
    """Return a request with a value of the field that describes carried requests."""
    head = b"POST /book/1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 1\r\n"
    return head + b"carry-request: " + field + b"\r\n\r\nx"


def describe(origin, version=1):
    """Return a value of the field that describes carried requests."""
    start = f'[{version},"{origin}","desk","guild",0,"book","unsafe",'
    return (start + "2.0,1.0,2,false,false,0.5,false,[]]").encode()


@run_in_real_time
async def test_stranger_on_the_port_for_carried_requests_runs_nothing():
    async with open_fleet("entry-2") as fleet:
        requests = (
            b"GET /book/1 HTTP/1.1\r\nhost: desk.example\r\n\r\n",
            build_raw(describe("stranger")),
            build_raw(describe("entry-1", version=2)),
            build_raw(b"[" * 5000),
            build_raw(b"[1,null,1e999]"),
            build_raw(describe("entry-1")).replace(b"\r\n\r\n", b"\r\ncarry-request: x\r\n\r\n"),
            b"\x00\x01\x02 nonsense\r\n\r\n",
        )
        for data in requests:
            answer = await send_raw(fleet, data)
            assert answer.startswith((b"HTTP/1.1 503", b"HTTP/1.1 400")), answer
            assert b'"not carried"' in answer
        fleet.nodes[1].carry_server.list_hosts = lambda: {"10.9.8.7"}
        answer = await send_raw(fleet, build_raw(describe("entry-1")))
        assert answer.startswith(b"HTTP/1.1 503")
        assert not any(upstream.arrivals for upstream in fleet.upstreams)
        fleet.nodes[1].carry_server.list_hosts = lambda: {HOST}
        answer = await send_raw(fleet, build_raw(describe("entry-1")))
        assert answer.startswith(b"HTTP/1.1 200")
        assert len(list_runs(fleet)) == 1
