"""Relay of the answer to one attempt, whichever transport it arrives on."""

__all__ = ["BaseAnswerTransport", "CallerGoneError", "relay_attempt"]

import asyncio
from contextlib import AbstractAsyncContextManager, AbstractContextManager

from tanagertrail.errors import TanagertrailError, UpstreamProtocolError
from tanagertrail.gateway.answer_reader import UnprovenAnswerError
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.upstream_stream import ResponseHead, UpstreamStream, read_body
from tanagertrail.outcomes import Step
from tanagertrail.platform.header_fields import build_response_headers
from tanagertrail.policy.silence import PartialEvent


class CallerGoneError(TanagertrailError):
    """The caller closed its connection, or did not read, while the response was being sent."""


class BaseAnswerTransport:
    """The connection on which the answer to one attempt arrives.

    :ivar upstream: id of the upstream that answers, empty while unknown
    :ivar timeout_result: how the attempt ends if a limit is exceeded
    :ivar timeout_reason: why
    :ivar is_suspended: whether the attempt waits for its caller
    """

    upstream: str
    timeout_result: AttemptResult
    timeout_reason: str
    is_suspended: bool

    def __init__(self, exchange: Exchange, stream: UpstreamStream) -> None:
        self.exchange = exchange
        self.stream = stream

    def send(self) -> None:
        """Write the request."""
        raise NotImplementedError

    def limit(self) -> AbstractAsyncContextManager[None]:
        """Limit the time for the whole answer.

        :raises TimeoutError: if a limit is exceeded; the context manager raises it
        """
        raise NotImplementedError

    async def read_head(self) -> tuple[ResponseHead, bool]:
        """Read the head of the answer, and whether it is the result of running the request.

        :raises UpstreamProtocolError: if it cannot be attributed to the request
        """
        raise NotImplementedError

    async def read_chunk(self) -> bytes | None:
        """Read the next chunk of the body, None at its end.

        :raises UpstreamProtocolError: if the body is cut short
        """
        raise NotImplementedError

    def note_events(self) -> None:
        """Record that whole events have arrived."""

    def suspended(self) -> AbstractContextManager[None]:
        """Count no silence while the caller takes what has arrived."""
        raise NotImplementedError

    def classify(self, head: ResponseHead, body: bytes) -> UpstreamAttempt:
        """Classify a complete answer that is no result of running the request.

        :raises UpstreamProtocolError: if it proves nothing
        """
        raise NotImplementedError

    def describe_break(self, error: Exception) -> str:
        """Describe why the answer broke off."""
        return repr(error)[:100]


async def relay_attempt(transport: BaseAnswerTransport, most_bytes: int) -> UpstreamAttempt:
    """Send a request and relay the answer if it is a success.

    :param most_bytes: largest body of an answer that is not streamed
    :raises CallerGoneError: if the caller has closed its connection or does not read
    """
    step = Step.HEAD
    try:
        transport.send()
        async with transport.limit():
            head, is_result = await transport.read_head()
            step = Step.STREAM
            if is_result and transport.exchange.route.streamed and 200 <= head.status < 300:
                return await relay_events(transport, head)
            body = await read_body(transport.read_chunk, most_bytes)
        if is_result:
            return relay_response(transport, head, body)
        return transport.classify(head, body)
    except TimeoutError as error:
        transport.stream.abort()
        if transport.is_suspended:
            raise CallerGoneError("the caller did not read the response in time") from error
        result, reason = transport.timeout_result, transport.timeout_reason
        return UpstreamAttempt(result, step, transport.upstream, reason)
    except UnprovenAnswerError as error:
        transport.stream.abort()
        return UpstreamAttempt(error.result, step, transport.upstream, str(error))
    except (OSError, UpstreamProtocolError) as error:
        transport.stream.abort()
        reason = transport.describe_break(error)
        return UpstreamAttempt(AttemptResult.BROKEN, step, transport.upstream, reason)
    except BaseException:
        transport.stream.abort()
        raise


def relay_response(
    transport: BaseAnswerTransport, head: ResponseHead, body: bytes
) -> UpstreamAttempt:
    """Relay a complete response if it is a success, else classify it.

    Within a stream that has begun, any complete response is a failure.
    """
    exchange, name = transport.exchange, transport.upstream
    reason = f"status {head.status}"
    if head.status >= 500 or exchange.is_continuation:
        return UpstreamAttempt(AttemptResult.FAILED, Step.END, name, reason, head, body)
    exchange.first_byte_at = asyncio.get_running_loop().time()
    exchange.stream.send_response(head.status, build_response_headers(head.headers), body)
    completed = head.status < 300 and head.is_framed
    return UpstreamAttempt(AttemptResult.DELIVERED, Step.END, name, reason, completed=completed)


async def relay_events(transport: BaseAnswerTransport, head: ResponseHead) -> UpstreamAttempt:
    """Relay the events of a streamed response as they arrive.

    :raises UpstreamProtocolError: if the stream contains malformed or endless events, ends within
        one, or does not continue the one that has begun
    """
    exchange = transport.exchange
    continues = exchange.is_continuation
    if exchange.begun is not None and head.representation != exchange.begun:
        raise UpstreamProtocolError(f"{head.representation} cannot continue the stream")
    splitter = exchange.splitter
    splitter.discard_partial_event()
    events_before = splitter.events
    partial_event = PartialEvent()
    while (chunk := await transport.read_chunk()) is not None:
        events = splitter.feed(chunk)
        if events:
            transport.note_events()
            partial_event.clear()
            with transport.suspended():
                await forward_events(exchange, head, events)
        elif partial_event.add_part(asyncio.get_running_loop().time()):
            raise UpstreamProtocolError("an event takes too long to arrive")
        if splitter.error:
            raise UpstreamProtocolError(splitter.error)
    if splitter.buffer:
        reason = "the stream ended within an event"
        return UpstreamAttempt(AttemptResult.BROKEN, Step.STREAM, transport.upstream, reason)
    if continues and splitter.events == events_before:
        raise UpstreamProtocolError("no event continues the stream")
    if not exchange.stream.response_started:
        with transport.suspended():
            await forward_events(exchange, head, b"")
    exchange.stream.finish_response()
    reason = f"{splitter.events} events"
    return UpstreamAttempt(
        AttemptResult.DELIVERED, Step.END, transport.upstream, reason, completed=head.is_framed
    )


async def forward_events(exchange: Exchange, head: ResponseHead, data: bytes) -> None:
    """Send events to the caller, preceded by the head of the response the first time.

    :raises CallerGoneError: if the caller has closed its connection
    """
    if exchange.stream.response_started:
        exchange.stream.send_chunk(data)
    else:
        exchange.begun = head.representation
        exchange.first_byte_at = asyncio.get_running_loop().time()
        headers = build_response_headers(head.headers)
        exchange.stream.start_chunked_response(head.status, headers, data)
    try:
        await exchange.stream.channel.drain()
    except ConnectionError as error:
        raise CallerGoneError(str(error)) from error
