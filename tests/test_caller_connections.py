"""Tests that callers' connections close without losing a request."""

import asyncio
import time

from nose2.tools import params

from tanagertrail.gateway.caller_close import CloseReason
from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.policy.keep_alive import STATED_MARGIN_SECONDS
from tanagertrail.standins.ports import HOST, find_port
from tests.caller_utils import IDLE_SECONDS, REQUEST, CallerWorld, turn_loop, with_callers
from tests.gateway_utils import run_in_real_time


@with_callers
async def test_closed_connections_are_counted_by_reason(world):
    idle, left, cut = world.connect(), world.connect(), world.connect()
    for transport in (idle, left):
        await world.request(transport)
    world.work = IDLE_SECONDS * 2
    await world.request(cut)
    left.end()
    left.deliver()
    await asyncio.sleep(IDLE_SECONDS + STATED_MARGIN_SECONDS + 0.1)
    world.server.close()
    await turn_loop()
    assert world.server.closes == {
        CloseReason.IDLE: 1,
        CloseReason.CALLER_CLOSED: 1,
        CloseReason.STOPPED: 1,
    }
    assert world.lines == [{"event": "caller_closed", "reason": "stopped", "state": "unanswered"}]


def deliver_at(transport, data, delay, turns):
    """Send bytes after a delay in seconds, and deliver them some turns of the loop later."""

    def arrive():
        transport.send(data)
        transport.deliver_after(turns)

    loop = asyncio.get_running_loop()
    loop.call_at(loop.time() + delay, arrive)


@params(0, 1, 2, 3)
@with_callers
async def test_request_that_comes_with_the_idle_timer_is_answered(world, turns):
    transport = world.connect()
    await turn_loop()
    deliver_at(transport, REQUEST % 1, IDLE_SECONDS, turns)
    await asyncio.sleep(IDLE_SECONDS + 1)
    assert (transport.answers, world.handled) == (1, ["/1"])


@params(0, 1, 2, 3)
@with_callers
async def test_head_that_comes_whole_with_the_timer_is_not_refused(world, turns):
    transport = world.connect()
    transport.send((REQUEST % 1)[:9])
    transport.deliver()
    await turn_loop()
    deliver_at(transport, (REQUEST % 1)[9:], world.limits.header_timeout, turns)
    await asyncio.sleep(world.limits.header_timeout + 1)
    assert world.handled == ["/1"]


@params(0, 1, 2, 3)
@with_callers
async def test_body_that_comes_whole_with_the_timer_is_not_refused(world, turns):
    transport = world.connect()
    transport.send(b"POST /1 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 4\r\n\r\n")
    transport.deliver()
    await turn_loop()
    deliver_at(transport, b"body", IDLE_SECONDS, turns)
    await asyncio.sleep(IDLE_SECONDS + 1)
    assert world.handled == ["/1"]


def block_event_loop(seconds):
    """Block the event loop, as a stall of the process does."""
    time.sleep(seconds)


@run_in_real_time
async def test_request_received_during_a_stall_is_answered():
    world = CallerWorld()
    world.set_idle_limit(0.2)
    port = find_port()
    await world.server.start(HOST, port)
    caller = UpstreamStream(await open_channel(HOST, port, 1.0))
    await asyncio.sleep(0.05)
    caller.send_request(b"GET", b"/1", [(b"host", b"desk.example")], b"")
    block_event_loop(0.3)
    assert (await caller.read_head()).status == 200
    caller.abort()
    world.close()


@with_callers
async def test_response_states_for_how_long_the_connection_is_kept(world):
    transport = world.connect()
    await world.request(transport)
    world.set_idle_limit(0.9)
    await world.request(transport)
    world.set_idle_limit(1.99)
    await world.request(transport)
    assert [f"keep-alive: timeout={n}".encode() in transport.sent for n in (15, 0, 1, 2)] == [
        True,
        False,
        True,
        False,
    ]
    assert transport.sent.count(b"keep-alive") == 2


@with_callers
async def test_closing_response_states_no_timeout(world):
    asked, stopping = world.connect(), world.connect()
    asked.send(b"GET /1 HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n\r\n")
    asked.deliver()
    await turn_loop()
    world.server.stopping = True
    await world.request(stopping)
    for transport in (asked, stopping):
        assert b"connection: close" in transport.sent.lower()
        assert b"keep-alive" not in transport.sent


@params(0.8, 1.0)
@with_callers
async def test_shortened_idle_timeout_keeps_the_time_that_a_caller_was_told(world, share):
    transport = world.connect()
    await world.request(transport)
    world.set_idle_limit(1.0)
    await asyncio.sleep(IDLE_SECONDS * share)
    await world.request(transport, 1)
    assert (transport.answers, world.handled) == (2, ["/0", "/1"])


@with_callers
async def test_timeout_shortened_while_a_response_is_made_keeps_the_time_that_was_told(world):
    async def answer_in_chunks(request, stream):
        stream.start_chunked_response(200, [], b"first")
        await asyncio.sleep(1)
        stream.finish_response()

    world.server.handler = answer_in_chunks
    transport = world.connect()
    await world.request(transport)
    world.set_idle_limit(1.0)
    await asyncio.sleep(1 + IDLE_SECONDS * 0.8)
    assert transport.closed_at is None


@with_callers
async def test_lengthened_idle_timeout_applies_to_connections_that_wait(world):
    world.set_idle_limit(1.0)
    silent, told = world.connect(), world.connect()
    await world.request(told)
    world.set_idle_limit(IDLE_SECONDS)
    await asyncio.sleep(IDLE_SECONDS * 0.8)
    for transport in (silent, told):
        await world.request(transport)
    assert (silent.answers, told.answers) == (1, 2)


@with_callers
async def test_connection_is_closed_once_it_was_idle_for_what_was_told_and_a_margin(world):
    told, silent = world.connect(), world.connect()
    await world.request(told)
    await asyncio.sleep(IDLE_SECONDS + 0.1)
    assert (told.closed_at is None, silent.closed_at is None) == (True, False)
    await asyncio.sleep(STATED_MARGIN_SECONDS)
    assert told.closed_at is not None


def build_failing_handler(failure):
    """Return a handler that fails, and its name for what it had sent by then."""

    async def fail_before(request, stream):
        raise failure

    async def fail_within(request, stream):
        stream.start_chunked_response(200, [], b"first")
        raise failure

    async def fail_to_send(request, stream):
        stream.send_response(200, [(b"bad\nname", b"")], b"")

    async def fail_within_head(request, stream):
        stream.send_response(204, [], b"a body that must not be")

    async def return_nothing(request, stream):
        pass

    return {
        "before": fail_before,
        "within": fail_within,
        "send": fail_to_send,
        "head": fail_within_head,
        "nothing": return_nothing,
    }


@params("before", "send", "head", "nothing")
@with_callers
async def test_failed_handler_gets_an_error_instead_of_a_bare_close(world, kind):
    world.server.handler = build_failing_handler(KeyError("cause"))[kind]
    transport = world.connect()
    await world.request(transport)
    await asyncio.sleep(2)
    assert transport.sent.startswith(b"HTTP/1.1 500 ")
    assert b"connection: close" in transport.sent
    assert transport.closed_at is not None
    assert world.server.closes == {CloseReason.DEFECT: 1}
    assert [line["event"] for line in world.lines if line["event"] == "defect"] == ["defect"]


@with_callers
async def test_handler_cancelled_by_itself_gets_an_error(world):
    world.server.handler = build_failing_handler(asyncio.CancelledError())["before"]
    transport = world.connect()
    await world.request(transport)
    assert transport.sent.startswith(b"HTTP/1.1 500 ")


@with_callers
async def test_response_broken_by_a_failure_does_not_look_complete(world):
    world.server.handler = build_failing_handler(KeyError("cause"))["within"]
    transport = world.connect()
    await world.request(transport)
    assert (transport.answers, transport.aborted) == (1, True)
    assert not transport.sent.endswith(b"0\r\n\r\n")
    assert world.lines[-1] == {
        "event": "caller_closed",
        "reason": CloseReason.DEFECT,
        "state": "response begun",
    }


@with_callers
async def test_failure_while_a_request_is_read_gets_an_error(world):
    def fail():
        raise KeyError("cause")

    transport = world.connect()
    await turn_loop()
    [stream] = world.server.streams
    stream.parser.next_event = fail  # as a defect of the parser would
    await world.request(transport)
    assert transport.sent.startswith(b"HTTP/1.1 500 ")
    assert world.server.closes == {CloseReason.DEFECT: 1}


@with_callers
async def test_refusal_after_a_head_request_is_sent(world):
    transport = world.connect()
    transport.send(b"HEAD /1 HTTP/1.1\r\nhost: desk.example\r\n\r\n")
    transport.deliver()
    await turn_loop()
    transport.send(b"no request\r\n\r\n")
    transport.deliver()
    await turn_loop()
    assert transport.answers == 2
    assert b"HTTP/1.1 400 " in transport.sent


@params(16_384, 20)
@with_callers
async def test_changed_head_limit_applies_to_connections_that_are_open(world, limit):
    world.limits = world.limits._replace(header_bytes=1000)
    transport = world.connect()
    await world.request(transport)
    world.limits = world.limits._replace(header_bytes=limit)
    transport.send(b"GET /1 HTTP/1.1\r\nhost: desk.example\r\nx: %s\r\n" % (b"x" * (limit // 8)))
    transport.deliver()
    await turn_loop()
    transport.send(b"\r\n")
    transport.deliver()
    await turn_loop()
    is_allowed = limit > 1000
    assert world.handled == (["/0", "/1"] if is_allowed else ["/0"])
    assert (b"HTTP/1.1 431" in transport.sent) != is_allowed


@params(1, 2)
@with_callers
async def test_request_pipelined_behind_a_closing_response_is_answered(world, count):
    transport = world.connect()
    world.server.stopping = True
    transport.send(b"".join(REQUEST % number for number in range(count + 1)))
    transport.deliver()
    await turn_loop(40)
    await asyncio.sleep(2)
    assert transport.answers == count + 1
    assert transport.sent.count(b"connection: close") == 1
    assert transport.closed_at is not None


@with_callers
async def test_request_in_the_kernel_behind_a_closing_response_is_answered(world):
    transport = world.connect()
    world.server.stopping = True
    world.work = 0.1
    await world.request(transport)
    transport.send(REQUEST % 1)
    await asyncio.sleep(0.15)
    transport.deliver()
    await asyncio.sleep(2)
    assert transport.answers == 2


@with_callers
async def test_response_made_while_the_daemon_stops_announces_the_close(world):
    transport = world.connect()
    world.work = 0.1
    await world.request(transport)
    world.server.stopping = True
    await asyncio.sleep(0.2)
    assert b"connection: close" in transport.sent


@with_callers
async def test_caller_that_ignores_a_refusal_is_not_read_forever(world):
    transport = world.connect()
    transport.send(b"no request\r\n\r\n")
    transport.deliver()
    await turn_loop()
    assert (transport.half_closed, transport.closed_at) == (True, None)
    for _ in range(20):
        transport.send(b"x" * 100)
        transport.deliver()
        await asyncio.sleep(0.1)
    assert transport.closed_at is not None
    assert (transport.answers, world.handled) == (1, [])


@run_in_real_time
async def test_bytes_behind_a_closing_response_do_not_reset_it():
    world = CallerWorld()
    port = find_port()
    await world.server.start(HOST, port)
    whole = 0
    for number in range(20):
        caller = UpstreamStream(await open_channel(HOST, port, 1.0))
        caller.send_request(
            b"GET", b"/1", [(b"host", b"desk.example"), (b"connection", b"close")], b""
        )
        caller.channel.transport.pause_reading()
        while len(world.handled) == number:
            await asyncio.sleep(0)
        caller.channel.write(REQUEST % 2)
        await asyncio.sleep(0.01)
        caller.channel.write(REQUEST % 3)
        await asyncio.sleep(0.01)
        caller.channel.transport.resume_reading()
        head = await caller.read_head()
        whole += head.status == 200 and await caller.read_remaining_body(100) == b"/1"
        caller.abort()
    world.close()
    assert whole == 20
