"""One try of a request at one upstream."""

__all__ = ["CallerGoneError", "UpstreamSender"]

import asyncio

from tanagertrail.errors import TanagertrailError, UpstreamProtocolError
from tanagertrail.gateway.crash_detector import CrashDetector, UnansweredAttempt
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.http1 import ResponseHead, UpstreamStream
from tanagertrail.gateway.pools import CONNECT_SECONDS, ConnectionPools
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.outcomes import Step
from tanagertrail.platform.fields import (
    UpstreamFields,
    build_answer_headers,
    build_upstream_headers,
    decode_upstream_fields,
)

MISDIRECTED_STATUS = 421
EVENT_GAP_FACTOR = 3.0  # an event this many objectives late is taken to be lost
MIN_EVENT_GAP_SECONDS = 1.0
UNSAFE_REUSE_SECONDS = 0.5  # longest idle time of a connection that gets work that runs once
MAX_SKIPPED_RESPONSES = 4  # late answers to other requests that are read past
EXECUTED_RESULTS = frozenset({AttemptResult.DELIVERED, AttemptResult.FAILED})
ANSWERED_RESULTS = EXECUTED_RESULTS | {AttemptResult.REFUSED}


class CallerGoneError(TanagertrailError):
    """The caller closed its connection while its answer was written."""


class UpstreamSender:
    """Send requests to upstreams and pass their answers on.

    :ivar most_bytes: longest plain answer
    """

    def __init__(
        self,
        pools: ConnectionPools,
        usage: UsageCounter,
        crash_detector: CrashDetector,
        suspects: SuspectTracker,
        most_bytes: int,
    ) -> None:
        self.pools = pools
        self.usage = usage
        self.crash_detector = crash_detector
        self.suspects = suspects
        self.most_bytes = most_bytes

    async def send_attempt(
        self, exchange: Exchange, entry: UpstreamEntry, first_byte_timeout: float
    ) -> UpstreamAttempt:
        """Send a request to one upstream and pass its answer on if it is a success.

        :param patience: seconds to wait for the first byte of the answer
        :raises CallerGoneError: if the caller has left
        """
        entry.in_flight += 1
        stream = None
        pending_attempt: UnansweredAttempt | None = None
        answered = False
        try:
            stream = await self.connect(exchange, entry)
            pending_attempt = self.crash_detector.begin(exchange.fingerprint)
            attempt = await self.send_and_receive(exchange, entry, stream, first_byte_timeout)
            answered = attempt.result in ANSWERED_RESULTS
        except (OSError, TimeoutError) as error:
            if stream is not None:
                raise
            if isinstance(error, ConnectionRefusedError):
                self.crash_detector.note_crashed(entry, "it refused a connection")
            attempt = UpstreamAttempt(
                AttemptResult.NOT_SENT, Step.DISPATCH, entry.record.id, repr(error)[:100]
            )
        finally:
            entry.in_flight -= 1
            if pending_attempt is not None:
                self.crash_detector.finish(entry, pending_attempt, answered)
            if stream is not None:
                self.pools.release(entry.record.id, stream)
        self.note_result(entry, attempt)
        if attempt.result in EXECUTED_RESULTS:
            self.suspects.note_answered(exchange.fingerprint)
        return attempt

    async def connect(self, exchange: Exchange, entry: UpstreamEntry) -> UpstreamStream:
        """Return a connection to the upstream.

        :raises OSError: if none can be made
        """
        pooled = self.pools.acquire(entry.record.id)
        if pooled is not None:
            idle = asyncio.get_running_loop().time() - pooled.idle_since
            if exchange.route.idempotent or idle < UNSAFE_REUSE_SECONDS:
                return pooled
            pooled.abort()
        timeout = min(CONNECT_SECONDS, max(exchange.time_left, 0.01))
        return await self.pools.open(entry.record.address, timeout)

    async def send_and_receive(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        stream: UpstreamStream,
        first_byte_timeout: float,
    ) -> UpstreamAttempt:
        """Send the request and read the answer."""
        step = Step.HEAD
        try:
            self.send(exchange, entry, stream)
            async with asyncio.timeout(min(first_byte_timeout, max(exchange.time_left, 0.0))):
                head, fields = await self.read_matching_head(exchange, stream)
            stream.keep_for = 0.0 if fields.closes else fields.keep_for
            self.apply_upstream_fields(entry, fields)
            if exchange.customer is not None and fields.signed and not fields.not_run:
                self.usage.note_begun(exchange.customer.name)
            step = Step.STREAM
            if exchange.route.streamed and 200 <= head.status < 300:
                return await self.relay_events(exchange, entry, stream, head, fields)
            async with asyncio.timeout(max(exchange.time_left, 0.0)):
                body = await stream.read_remaining_body(self.most_bytes)
            return self.handle_complete_response(exchange, entry, head, fields, body)
        except TimeoutError:
            stream.abort()
            return UpstreamAttempt(
                AttemptResult.TIMED_OUT, step, entry.record.id, "no answer in time"
            )
        except (OSError, UpstreamProtocolError) as error:
            stream.abort()
            return UpstreamAttempt(AttemptResult.BROKEN, step, entry.record.id, repr(error)[:100])
        except asyncio.CancelledError:
            stream.abort()
            raise

    def send(self, exchange: Exchange, entry: UpstreamEntry, stream: UpstreamStream) -> None:
        """Send the request."""
        request = exchange.request
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD")
        headers = build_upstream_headers(
            request.headers,
            upstream=entry.record.id,
            customer=exchange.customer.name if exchange.customer else None,
            left=exchange.time_left,
            priority=min(exchange.priority, 9) if exchange.route.sticky else None,
            last_event=exchange.splitter.last_id if exchange.route.streamed else None,
            body_length=len(request.body) if has_body else None,
        )
        stream.send_request(request.method, request.target, headers, request.body)

    async def read_matching_head(
        self, exchange: Exchange, stream: UpstreamStream
    ) -> tuple[ResponseHead, UpstreamFields]:
        """Read the head of the answer to this request, past late answers to other ones."""
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            head = await stream.read_head()
            fields = decode_upstream_fields(head.headers)
            if fields.request_id in ("", exchange.fields.request_id):
                return head, fields
            await stream.read_remaining_body(self.most_bytes)
            stream.skip_answer()
        raise UpstreamProtocolError(f"more than {MAX_SKIPPED_RESPONSES} answers to other requests")

    def apply_upstream_fields(self, entry: UpstreamEntry, fields: UpstreamFields) -> None:
        """Take what the upstream told of itself."""
        now = asyncio.get_running_loop().time()
        if fields.cold_for:
            entry.cold_until = max(entry.cold_until, now + fields.cold_for)

    def handle_complete_response(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        head: ResponseHead,
        fields: UpstreamFields,
        body: bytes,
    ) -> UpstreamAttempt:
        """Pass a whole answer on if it is a success, else say what it means."""
        name = entry.record.id
        if head.status == MISDIRECTED_STATUS:
            return UpstreamAttempt(
                AttemptResult.MISDIRECTED, Step.HEAD, name, "another upstream answered"
            )
        if fields.not_run:
            return UpstreamAttempt(
                AttemptResult.REFUSED, Step.HEAD, name, f"status {head.status}", head, body
            )
        if not fields.signed:
            return UpstreamAttempt(
                AttemptResult.BROKEN, Step.HEAD, name, f"unsigned status {head.status}"
            )
        if head.status >= 500:
            return UpstreamAttempt(
                AttemptResult.FAILED, Step.END, name, f"status {head.status}", head, body
            )
        exchange.first_byte_at = asyncio.get_running_loop().time()
        exchange.stream.send_response(head.status, build_answer_headers(head.headers), body)
        return UpstreamAttempt(AttemptResult.DELIVERED, Step.END, name, f"status {head.status}")

    async def relay_events(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        stream: UpstreamStream,
        head: ResponseHead,
        fields: UpstreamFields,
    ) -> UpstreamAttempt:
        """Pass the events of a streamed answer on as they come."""
        name = entry.record.id
        if not fields.signed:
            stream.abort()
            return UpstreamAttempt(AttemptResult.BROKEN, Step.HEAD, name, "unsigned stream")
        splitter = exchange.splitter
        splitter.drop_partial()
        max_event_gap = max(
            EVENT_GAP_FACTOR * exchange.route.event_gap_objective, MIN_EVENT_GAP_SECONDS
        )
        # Bytes of an event that never ends are no progress.
        next_event_due_at = exchange.deadline
        while True:
            timeout = min(next_event_due_at - asyncio.get_running_loop().time(), exchange.time_left)
            try:
                async with asyncio.timeout(max(timeout, 0.0)):
                    chunk = await stream.read_part()
            except TimeoutError:
                # Bytes that came while the process stood still are passed on, not given up.
                if stream.channel.buffer and exchange.time_left > 0:
                    continue
                raise
            if chunk is None:
                break
            events = splitter.feed(chunk)
            if events:
                await self.forward_events(exchange, head, events)
                next_event_due_at = asyncio.get_running_loop().time() + max_event_gap
            if splitter.fault:
                raise UpstreamProtocolError(splitter.fault)
        if splitter.pending:
            return UpstreamAttempt(
                AttemptResult.BROKEN, Step.STREAM, name, "the stream ended within an event"
            )
        if not exchange.stream.response_started:
            await self.forward_events(exchange, head, b"")
        exchange.stream.finish_response()
        return UpstreamAttempt(AttemptResult.DELIVERED, Step.END, name, f"{splitter.events} events")

    async def forward_events(self, exchange: Exchange, head: ResponseHead, data: bytes) -> None:
        """Send events to the caller, after the head if it was not sent before.

        :raises CallerGoneError: if the caller has left
        """
        if exchange.stream.response_started:
            exchange.stream.send_chunk(data)
        else:
            exchange.first_byte_at = asyncio.get_running_loop().time()
            headers = build_answer_headers(head.headers)
            exchange.stream.start_chunked_response(head.status, headers, data)
        try:
            async with asyncio.timeout(max(exchange.time_left, 0.0)):
                await exchange.stream.channel.drain()
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    def note_result(self, entry: UpstreamEntry, attempt: UpstreamAttempt) -> None:
        """Take the result of a try into what is believed of the upstream."""
        now = asyncio.get_running_loop().time()
        if attempt.result in (AttemptResult.NOT_SENT, AttemptResult.BROKEN):
            entry.note_break(now)
        elif attempt.result is AttemptResult.MISDIRECTED:
            entry.gone = True
            self.crash_detector.note_crashed(entry, "another upstream has its address")
        elif attempt.result is AttemptResult.TIMED_OUT:
            entry.note_answer(True)
        elif attempt.result is not AttemptResult.REFUSED:
            entry.note_answer(attempt.result is AttemptResult.FAILED)
