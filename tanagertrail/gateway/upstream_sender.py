"""One attempt to send a request to an upstream and relay the response."""

__all__ = ["CallerGoneError", "UpstreamSender"]

import asyncio

from tanagertrail.errors import TanagertrailError, UpstreamProtocolError
from tanagertrail.gateway.answer_reader import AnswerReader, UnprovenAnswerError, may_reuse
from tanagertrail.gateway.brittle_upstreams import BrittleUpstreams
from tanagertrail.gateway.crash_detector import CrashDetector, UnansweredAttempt
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.pools import CONNECT_SECONDS, ConnectionPools
from tanagertrail.gateway.rate_limits import RateLimitTable
from tanagertrail.gateway.silence_watch import SilenceWatch
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_links import UpstreamLinks
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_stream import ResponseHead, UpstreamStream
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.outcomes import Step
from tanagertrail.platform.header_fields import (
    UpstreamFields,
    build_response_headers,
    build_upstream_headers,
)
from tanagertrail.policy.answers import Claim, Judgement
from tanagertrail.policy.silence import PartialEvent

UNSAFE_REUSE_SECONDS = 0.5  # idle connections older than this get only repeatable requests
EXECUTED_RESULTS = frozenset({AttemptResult.DELIVERED, AttemptResult.FAILED})
ANSWERED_RESULTS = EXECUTED_RESULTS | {AttemptResult.REFUSED}


class CallerGoneError(TanagertrailError):
    """The caller closed its connection, or did not read, while the response was being sent."""


class UpstreamSender:
    """Send requests to upstreams and relay their responses.

    :ivar most_bytes: largest body of a response that is not streamed
    :ivar answers: reader that attributes responses to requests
    """

    def __init__(
        self,
        pools: ConnectionPools,
        usage: UsageCounter,
        crash_detector: CrashDetector,
        suspects: SuspectTracker,
        rate_limits: RateLimitTable,
        statements: UpstreamStatements,
        brittle: BrittleUpstreams,
        links: UpstreamLinks,
        most_bytes: int,
        log: EventLog,
    ) -> None:
        self.pools = pools
        self.usage = usage
        self.crash_detector = crash_detector
        self.suspects = suspects
        self.rate_limits = rate_limits
        self.statements = statements
        self.brittle = brittle
        self.links = links
        self.most_bytes = most_bytes
        self.answers = AnswerReader(log, most_bytes)

    async def send_attempt(
        self, exchange: Exchange, entry: UpstreamEntry, watch: SilenceWatch
    ) -> UpstreamAttempt:
        """Send a request to one upstream and relay the response if it is a success.

        :param watch: decides how long a silence may last
        :raises CallerGoneError: if the caller has closed its connection or does not read
        """
        entry.in_flight += 1
        entry.sent_count += 1
        stream = None
        started_at = asyncio.get_running_loop().time()
        pending_attempt: UnansweredAttempt | None = None
        answered = False
        try:
            stream = await self.connect(exchange, entry)
            pending_attempt = self.crash_detector.start_attempt(
                exchange.fingerprint, exchange.part_keys
            )
            attempt = await self.send_and_receive(exchange, entry, stream, watch)
            answered = attempt.result in ANSWERED_RESULTS
            pending_attempt.broken = attempt.result is AttemptResult.BROKEN
        except (OSError, TimeoutError) as error:
            if stream is not None:
                raise
            if isinstance(error, ConnectionRefusedError):
                self.crash_detector.note_refused(entry)
            attempt = UpstreamAttempt(
                AttemptResult.NOT_SENT, Step.DISPATCH, entry.record.id, repr(error)[:100]
            )
        finally:
            entry.in_flight -= 1
            if pending_attempt is not None:
                self.crash_detector.end_attempt(entry, pending_attempt, answered)
            if stream is not None:
                self.pools.release(entry.record.id, stream)
        self.note_result(entry, attempt)
        served_for = asyncio.get_running_loop().time() - started_at
        delivered = attempt.result is AttemptResult.DELIVERED
        self.brittle.note_ended(
            entry, attempt.result is AttemptResult.REFUSED, served_for if delivered else None
        )
        if attempt.result in EXECUTED_RESULTS:
            self.suspects.note_answered(exchange.fingerprint)
        if attempt.completed:
            self.suspects.note_completed(exchange.service, exchange.part_keys)
        return attempt

    async def connect(self, exchange: Exchange, entry: UpstreamEntry) -> UpstreamStream:
        """Return a pooled connection to the upstream, or open one.

        :raises OSError: if it cannot be opened
        :raises TimeoutError: if that takes too long
        """
        pooled = self.pools.acquire(entry.record.id) if may_reuse(exchange, entry) else None
        if pooled is not None:
            idle = asyncio.get_running_loop().time() - pooled.idle_since
            if exchange.route.idempotent or idle < UNSAFE_REUSE_SECONDS:
                return pooled
            pooled.abort()
        timeout = min(CONNECT_SECONDS, max(exchange.time_left, 0.01))
        with self.links.watch_connect(entry):
            return await self.pools.open(entry.record.address, timeout)

    async def send_and_receive(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        stream: UpstreamStream,
        watch: SilenceWatch,
    ) -> UpstreamAttempt:
        """Send the request and handle the response."""
        step = Step.HEAD
        sent_at = self.rate_limits.boot_time()
        try:
            self.send(exchange, entry, stream)
            async with watch.limit(stream.channel):
                head, fields, claim = await self.answers.read_head(exchange, entry, stream)
                watch.note_head()
                self.links.note_reached(entry)
                stream.keep_for = 0.0 if fields.closes_connection else fields.keep_for
                self.apply_upstream_fields(entry, fields)
                if claim is not Claim.MISDIRECTED:
                    self.rate_limits.note_answer(entry, fields, sent_at)
                    self.statements.note_answer(entry, head.status, fields)
                    self.brittle.note_answer(entry, fields, sent_at)
                if exchange.customer is not None and claim is Claim.RESULT:
                    self.usage.note_started(exchange.customer.name)
                step = Step.STREAM
                if claim is Claim.RESULT and exchange.route.streamed and 200 <= head.status < 300:
                    return await self.relay_events(exchange, entry, stream, head, watch)
                body = await stream.read_remaining_body(self.most_bytes)
            if claim is Claim.RESULT:
                return self.handle_result(exchange, entry, head, body)
            return self.handle_refusal(exchange, entry, stream, claim, head, body)
        except TimeoutError as error:
            stream.abort()
            if watch.is_suspended:
                raise CallerGoneError("the caller did not read the response in time") from error
            return UpstreamAttempt(watch.result, step, entry.record.id, watch.reason)
        except UnprovenAnswerError as error:
            stream.abort()
            return UpstreamAttempt(error.result, step, entry.record.id, str(error))
        except (OSError, UpstreamProtocolError) as error:
            stream.abort()
            return UpstreamAttempt(AttemptResult.BROKEN, step, entry.record.id, repr(error)[:100])
        except asyncio.CancelledError:
            stream.abort()
            raise

    def send(self, exchange: Exchange, entry: UpstreamEntry, stream: UpstreamStream) -> None:
        """Write the request with the headers for the upstream."""
        request = exchange.request
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD")
        headers = build_upstream_headers(
            request.headers,
            upstream=entry.record.id,
            customer=exchange.customer.name if exchange.customer else None,
            seconds_left=exchange.time_left,
            priority=min(exchange.priority, 9) if exchange.route.sticky else None,
            last_event_id=exchange.splitter.last_id if exchange.route.streamed else None,
            body_length=len(request.body) if has_body else None,
        )
        stream.send_request(request.method, request.target, headers, request.body)

    def apply_upstream_fields(self, entry: UpstreamEntry, fields: UpstreamFields) -> None:
        """Apply what the response's headers say of the upstream's state."""
        now = asyncio.get_running_loop().time()
        if fields.cold_for:
            entry.cold_until = max(entry.cold_until, now + fields.cold_for)

    def handle_refusal(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        stream: UpstreamStream,
        claim: Claim,
        head: ResponseHead,
        body: bytes,
    ) -> UpstreamAttempt:
        """Classify a complete refusal.

        :raises UnprovenAnswerError: if another answer may follow it
        """
        name = entry.record.id
        if stream.has_unread_bytes:
            reason = "bytes follow a refusal"
            self.answers.reject(exchange, entry, Judgement(Claim.DOUBTFUL_REFUSAL, reason))
        if claim is Claim.MISDIRECTED:
            return UpstreamAttempt(
                AttemptResult.MISDIRECTED, Step.HEAD, name, "another upstream answered"
            )
        return UpstreamAttempt(
            AttemptResult.REFUSED, Step.HEAD, name, f"status {head.status}", head, body
        )

    def handle_result(
        self, exchange: Exchange, entry: UpstreamEntry, head: ResponseHead, body: bytes
    ) -> UpstreamAttempt:
        """Relay a complete response if it is a success, else classify it.

        Within a stream that has begun, any complete response is a failure.
        """
        name = entry.record.id
        if head.status >= 500 or exchange.begun_head is not None:
            return UpstreamAttempt(
                AttemptResult.FAILED, Step.END, name, f"status {head.status}", head, body
            )
        exchange.first_byte_at = asyncio.get_running_loop().time()
        exchange.stream.send_response(head.status, build_response_headers(head.headers), body)
        return UpstreamAttempt(
            AttemptResult.DELIVERED,
            Step.END,
            name,
            f"status {head.status}",
            completed=head.status < 300 and head.is_framed,
        )

    async def relay_events(
        self,
        exchange: Exchange,
        entry: UpstreamEntry,
        stream: UpstreamStream,
        head: ResponseHead,
        watch: SilenceWatch,
    ) -> UpstreamAttempt:
        """Relay the events of a streamed response as they arrive.

        :raises UpstreamProtocolError: if the stream contains malformed or endless events, or does
            not continue the one that has begun
        """
        name = entry.record.id
        begun = exchange.begun_head
        if begun is not None and head.representation != begun.representation:
            raise UpstreamProtocolError(f"{head.representation} cannot continue the stream")
        splitter = exchange.splitter
        splitter.discard_partial_event()
        events_before = splitter.events
        partial_event = PartialEvent()
        while (chunk := await stream.read_body_chunk()) is not None:
            events = splitter.feed(chunk)
            if events:
                self.links.note_reached(entry)
                partial_event.clear()
                with watch.suspended():
                    await self.forward_events(exchange, head, events)
            elif partial_event.add_part(asyncio.get_running_loop().time()):
                raise UpstreamProtocolError("an event takes too long to arrive")
            if splitter.error:
                raise UpstreamProtocolError(splitter.error)
        if splitter.buffer:
            return UpstreamAttempt(
                AttemptResult.BROKEN, Step.STREAM, name, "the stream ended within an event"
            )
        if begun is not None and splitter.events == events_before:
            raise UpstreamProtocolError("no event continues the stream")
        if exchange.begun_head is None:
            with watch.suspended():
                await self.forward_events(exchange, head, b"")
        exchange.stream.finish_response()
        return UpstreamAttempt(
            AttemptResult.DELIVERED,
            Step.END,
            name,
            f"{splitter.events} events",
            completed=head.is_framed,
        )

    async def forward_events(self, exchange: Exchange, head: ResponseHead, data: bytes) -> None:
        """Send events to the caller, preceded by the head of the response the first time.

        :raises CallerGoneError: if the caller has closed its connection
        """
        if exchange.begun_head is not None:
            exchange.stream.send_chunk(data)
        else:
            exchange.begun_head = head
            exchange.first_byte_at = asyncio.get_running_loop().time()
            headers = build_response_headers(head.headers)
            exchange.stream.start_chunked_response(head.status, headers, data)
        try:
            await exchange.stream.channel.drain()
        except ConnectionError as error:
            raise CallerGoneError(str(error)) from error

    def note_result(self, entry: UpstreamEntry, attempt: UpstreamAttempt) -> None:
        """Update the upstream's health from the result of an attempt."""
        now = asyncio.get_running_loop().time()
        if attempt.result in (AttemptResult.NOT_SENT, AttemptResult.BROKEN):
            entry.note_connection_failure(now)
        elif attempt.result is AttemptResult.MISDIRECTED:
            entry.gone = True
            self.crash_detector.note_crashed(entry, "another upstream has its address")
        elif attempt.result is AttemptResult.TIMED_OUT:
            entry.note_response(True)
        elif attempt.result not in (AttemptResult.REFUSED, AttemptResult.DOUBTFUL):
            entry.note_response(attempt.result is AttemptResult.FAILED)
