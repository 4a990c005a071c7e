"""What a stand-in of an upstream does instead of answering a request well."""

__all__ = ["EVENTS", "FAULTS", "STREAM_SUFFIX"]

import asyncio
import itertools
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.platform import header_fields
from tanagertrail.registry import Registry

if TYPE_CHECKING:
    from tanagertrail.standins.upstream import StandInUpstream

STREAM_SUFFIX = "/events"
EVENTS = 6
ENDLESS_BLOCK = 16_384
LONG_EVENTS = 800
COPY_SECONDS = 0.03  # a caller's next request comes before or after it
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # lingers for no time, so that a close sends a reset
DRIP_SECONDS = 0.1  # less than any pause that is allowed between events

Fault = Callable[["StandInUpstream", CallerRequest, CallerStream], Awaitable[None]]
FAULTS: Registry[Fault] = Registry("upstream fault")


@FAULTS.register("refuse")
async def refuse(upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream) -> None:
    """Reject the request as one that has not run."""
    fields = [*upstream.sign(request)[:1], (header_fields.NOT_RUN, b"1"), *upstream.name_rate()]
    fields += [*upstream.state_leaving(), *upstream.ask_for_wait(), *upstream.state_brittle()]
    stream.send_response(503, fields, b"full")


@FAULTS.register("hold")
async def hold(upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream) -> None:
    """Run the request until it is released."""
    upstream.begin(request)
    await upstream.released.wait()
    upstream.answer(request, stream)


@FAULTS.register("fail")
async def fail(upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream) -> None:
    """Run the request and answer with a failure."""
    upstream.begin(request)
    stream.send_response(500, upstream.sign(request), b"failed")


@FAULTS.register("reset")
async def reset(upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream) -> None:
    """Run the request and reset the connection without an answer."""
    upstream.begin(request)
    stream.channel.abort()


@FAULTS.register("silent")
async def stay_silent(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Run the request and never answer."""
    upstream.begin(request)
    await asyncio.sleep(3600)


@FAULTS.register("pause_first")
async def pause_before_answer(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Be silent for a while before the answer."""
    await asyncio.sleep(upstream.pause)
    await upstream.run(request, stream)


@FAULTS.register("pause_within")
async def pause_within_answer(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a part of the answer, be silent for a while, and send the rest."""
    upstream.begin(request)
    if not request.path.endswith(STREAM_SUFFIX):
        body = b"answer of " + upstream.id.encode()
        length = b"content-length: %d" % len(body)
        stream.channel.write(build_head(upstream, request, length) + body[:4])
        await asyncio.sleep(upstream.pause)
        stream.channel.write(body[4:])
        stream.close_after = True
        return
    last = await upstream.send_events(request, stream, 2)
    await asyncio.sleep(upstream.pause)
    await upstream.send_events(request, stream, EVENTS, last)
    stream.finish_response()


@FAULTS.register("stall_within")
async def stall_within_stream(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send two events and no more, though others are answered."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    await asyncio.sleep(3600)


@FAULTS.register("freeze_within")
async def freeze_within_stream(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send two events, then stop the whole process while its connections stay open."""
    upstream.begin(request)
    last = await upstream.send_events(request, stream, 2)
    upstream.thawed.clear()
    await upstream.send_events(request, stream, EVENTS, last)
    stream.finish_response()


@FAULTS.register("vanish_within")
async def vanish_within_stream(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send two events, then lose power: nothing that arrives is acknowledged."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    await asyncio.sleep(0.05)  # until the events are acknowledged
    upstream.vanish()
    await asyncio.sleep(3600)


@FAULTS.register("half_event")
async def break_within_event(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Break off within the third event of a stream."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    stream.send_chunk(b"id: 3\nda")
    await asyncio.sleep(0.02)
    stream.channel.close()


@FAULTS.register("extra")
async def answer_twice(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send another whole answer behind the first."""
    await upstream.run(request, stream)
    stream.channel.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra")


@FAULTS.register("late_other")
async def answer_other_first(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send the answer to another request before the one that is asked for."""
    stream.channel.write(
        b"HTTP/1.1 200 OK\r\n" + header_fields.REQUEST_ID + b": other\r\n"
        b"" + header_fields.SERVER_STAMP + b": x\r\ncontent-length: 5\r\n\r\nother"
    )
    await upstream.run(request, stream)


@FAULTS.register("late_copy")
async def answer_again_late(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a second copy of the answer while the connection is kept."""
    await upstream.run(request, stream)
    asyncio.get_running_loop().call_later(COPY_SECONDS, stream.channel.write, copy_answer(upstream))


@FAULTS.register("copy_first")
async def answer_before_first(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send the answer to the request that ran before this one once more, then this one's."""
    if upstream.runs:
        stream.channel.write(copy_answer(upstream))
    await upstream.run(request, stream)


def copy_answer(upstream: "StandInUpstream") -> bytes:
    """Return another copy of the last answer, as whole and signed as the first."""
    head = build_head(upstream, upstream.runs[-1].request, b"content-length: 8")
    return head + b"old copy"


async def refuse_earlier(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream, *lines: bytes
) -> None:
    """Run the request after a refusal of an earlier one on the connection, if it had one."""
    if stream in upstream.kept:
        mark = header_fields.NOT_RUN + b": 1"
        head = [b"HTTP/1.1 503 Service Unavailable", mark, b"content-length: 4", *lines]
        stream.channel.write(b"\r\n".join(head) + b"\r\n\r\nfull")
        request_id = dict(request.headers).get(header_fields.REQUEST_ID, b"")
        upstream.refused_earlier.append(request_id.decode())
    await upstream.run(request, stream)


@FAULTS.register("refusal_again")
async def refuse_earlier_unnamed(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Refuse an earlier request once more, without its id."""
    await refuse_earlier(upstream, request, stream)


@FAULTS.register("named_refusal_again")
async def refuse_earlier_named(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Refuse an earlier request once more, with its id."""
    await refuse_earlier(upstream, request, stream, header_fields.REQUEST_ID + b": earlier")


@FAULTS.register("missing")
async def answer_missing(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Run the request and answer that there is nothing."""
    upstream.begin(request)
    stream.send_response(404, upstream.sign(request), b"missing")


@FAULTS.register("text")
async def answer_text(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Run the request and answer with a success that holds text, and no events."""
    upstream.begin(request)
    fields = [*upstream.sign(request), (b"content-type", b"text/plain")]
    stream.send_response(200, fields, b"an error of the upstream\n")


@FAULTS.register("empty")
async def answer_empty(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Run the request and answer with a success that holds nothing."""
    upstream.begin(request)
    stream.send_response(200, upstream.sign(request), b"")


@FAULTS.register("half_head")
async def break_within_head(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Run the request and break off within the head of a failure."""
    upstream.begin(request)
    stream.channel.write(b"HTTP/1.1 500 Internal Server Error\r\ncontent-le")
    await asyncio.sleep(0.02)
    stream.channel.close()


@FAULTS.register("drip")
async def drip(upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream) -> None:
    """Send two events and then a byte of the third now and then."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    for byte in b"id: 3\ndata: " + b"x" * 1000:
        await asyncio.sleep(DRIP_SECONDS)
        stream.send_chunk(bytes([byte]))


@FAULTS.register("short")
async def answer_short(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Announce more bytes than are sent."""
    upstream.begin(request)
    lines = [b"HTTP/1.1 200 OK", b"content-length: 50"]
    lines.extend(name + b": " + value for name, value in upstream.sign(request))
    stream.channel.write(b"\r\n".join(lines) + b"\r\n\r\nhalf")
    await asyncio.sleep(0.02)
    stream.channel.close()


async def send_endlessly(upstream: "StandInUpstream", stream: CallerStream, data: bytes) -> None:
    """Send bytes again and again until the connection closes, and count them."""
    while True:
        stream.channel.write(data)
        upstream.endless_bytes += len(data)
        await stream.channel.drain()
        await asyncio.sleep(0)


def build_head(upstream: "StandInUpstream", request: CallerRequest, *lines: bytes) -> bytes:
    """Return the head of a signed success."""
    signed = [name + b": " + value for name, value in upstream.sign(request)]
    return b"\r\n".join([b"HTTP/1.1 200 OK", *signed, *lines]) + b"\r\n\r\n"


@FAULTS.register("endless_line")
async def send_endless_line(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a head whose first line has no end."""
    upstream.begin(request)
    await send_endlessly(upstream, stream, b"x" * ENDLESS_BLOCK)


@FAULTS.register("endless_heads")
async def send_endless_heads(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send heads that announce an answer, and never the answer."""
    upstream.begin(request)
    await send_endlessly(upstream, stream, b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100)


@FAULTS.register("endless_others")
async def send_endless_others(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send answers to other requests."""
    upstream.begin(request)
    head = (
        b"HTTP/1.1 200 OK\r\n" + header_fields.REQUEST_ID + b": other\r\ncontent-length: 5\r\n\r\n"
    )
    await send_endlessly(upstream, stream, (head + b"other") * 100)


@FAULTS.register("endless_chunks")
async def send_endless_chunks(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a signed success whose chunks have no end, nor does an event in them."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request, b"transfer-encoding: chunked"))
    block = b"%x\r\n" % ENDLESS_BLOCK + b"x" * ENDLESS_BLOCK + b"\r\n"
    await send_endlessly(upstream, stream, block)


@FAULTS.register("endless_body")
async def send_endless_body(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a signed success that ends with its connection, which stays open."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request, b"connection: close"))
    await send_endlessly(upstream, stream, b"x" * ENDLESS_BLOCK)


@FAULTS.register("endless_blocks")
async def send_endless_blocks(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a signed success of blocks that look like events and have no id."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request, b"connection: close"))
    await send_endlessly(upstream, stream, b"noise: x\n\n" * 100)


@FAULTS.register("long_stream")
async def send_long_stream(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send long events, more than sockets buffer, as fast as they are taken."""
    upstream.begin(request)
    stream.start_chunked_response(200, upstream.sign(request), b"")
    for number in range(1, LONG_EVENTS + 1):
        stream.send_chunk(b"id: %d\ndata: %s\n\n" % (number, b"x" * ENDLESS_BLOCK))
        await stream.channel.drain()
    stream.finish_response()


@FAULTS.register("endless_events")
async def send_endless_events(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send whole events as fast as they are taken."""
    upstream.begin(request)
    stream.start_chunked_response(200, upstream.sign(request), b"id: 0\ndata: piece 0\n\n")
    for number in itertools.count(1):
        event = f"id: {number}\ndata: {'x' * ENDLESS_BLOCK}\n\n".encode()
        stream.send_chunk(event)
        upstream.endless_bytes += len(event)
        await stream.channel.drain()


async def send_unframed(
    upstream: "StandInUpstream",
    request: CallerRequest,
    stream: CallerStream,
    cut_bytes: int = 0,
    version: bytes = b"1.1",
) -> None:
    """Send an answer that only the end of its connection ends.

    :param cut_bytes: bytes that are missing at its end
    """
    upstream.begin(request)
    body = b"answer of " + upstream.id.encode()
    if request.path.endswith(STREAM_SUFFIX):
        last = int(dict(request.headers).get(header_fields.LAST_EVENT_ID, b"0"))
        numbers = range(last + 1, EVENTS + 1)
        body = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in numbers)
    head = build_head(upstream, request)
    stream.channel.write(head.replace(b"HTTP/1.1", b"HTTP/" + version, 1))
    await asyncio.sleep(upstream.work)
    if request.method != b"HEAD":
        stream.channel.write(body[: len(body) - cut_bytes])
    await asyncio.sleep(upstream.work)
    stream.channel.close()


@FAULTS.register("unframed")
async def answer_unframed(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a whole answer without a length or chunks."""
    await send_unframed(upstream, request, stream)


@FAULTS.register("unframed_1_0")
async def answer_as_http_1_0(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Send a whole answer of HTTP/1.0."""
    await send_unframed(upstream, request, stream, version=b"1.0")


@FAULTS.register("unframed_half")
async def break_unframed(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """End a stream without a length or chunks within its last event; send a plain answer whole."""
    cut_bytes = 4 if request.path.endswith(STREAM_SUFFIX) else 0
    await send_unframed(upstream, request, stream, cut_bytes)


@FAULTS.register("unframed_reset")
async def reset_unframed(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Reset the connection after whole events of an answer without a length or chunks."""
    upstream.begin(request)
    stream.channel.write(build_head(upstream, request))
    stream.channel.write(b"id: 1\ndata: piece 1\n\n")
    await asyncio.sleep(0.02)
    connection = stream.channel.transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.channel.abort()


@FAULTS.register("unsigned")
async def answer_unsigned(
    upstream: "StandInUpstream", request: CallerRequest, stream: CallerStream
) -> None:
    """Answer without the upstream's signature."""
    upstream.begin(request)
    stream.send_response(200, upstream.sign(request)[:1], b"whose")
