"""One attempt to send a request to an upstream and relay the response."""

__all__ = ["UpstreamSender"]

import asyncio
from contextlib import AbstractAsyncContextManager, AbstractContextManager

from tanagertrail.gateway.answer_reader import AnswerReader, may_reuse
from tanagertrail.gateway.answer_relay import BaseAnswerTransport, relay_attempt
from tanagertrail.gateway.brittle_upstreams import BrittleUpstreams
from tanagertrail.gateway.crash_detector import CrashDetector, UnansweredAttempt
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, Exchange, UpstreamAttempt
from tanagertrail.gateway.pools import CONNECT_SECONDS, ConnectionPools
from tanagertrail.gateway.rate_limits import RateLimitTable
from tanagertrail.gateway.silence_watch import SilenceWatch
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_links import UpstreamLinks
from tanagertrail.gateway.upstream_paces import UpstreamPaces
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_stream import ResponseHead, UpstreamStream
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.gateway.usage import UsageCounter
from tanagertrail.outcomes import Step
from tanagertrail.platform.header_fields import UpstreamFields, build_upstream_headers
from tanagertrail.policy.answers import Claim, Judgement
from tanagertrail.policy.reading import Reading

UNSAFE_REUSE_SECONDS = 0.5  # idle connections older than this get only repeatable requests
EXECUTED_RESULTS = frozenset({AttemptResult.DELIVERED, AttemptResult.FAILED})
ANSWERED_RESULTS = EXECUTED_RESULTS | {AttemptResult.REFUSED}


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
        paces: UpstreamPaces,
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
        self.paces = paces
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
        stream = transport = None
        started_at = asyncio.get_running_loop().time()
        pending_attempt: UnansweredAttempt | None = None
        answered = False
        try:
            stream = await self.connect(exchange, entry)
            pending_attempt = self.crash_detector.start_attempt(
                exchange.fingerprint, exchange.part_keys
            )
            transport = UpstreamTransport(exchange, stream, entry, watch, self)
            attempt = await relay_attempt(transport, self.most_bytes)
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
            if transport is not None:
                transport.end_reading()
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

    def note_answer(
        self,
        entry: UpstreamEntry,
        head: ResponseHead,
        fields: UpstreamFields,
        claim: Claim,
        sent_at: float,
    ) -> None:
        """Apply what the head of an answer says of the upstream's state.

        :param sent_at: boot time in seconds at which the request was sent
        """
        self.links.note_reached(entry)
        if fields.cold_for:
            now = asyncio.get_running_loop().time()
            entry.cold_until = max(entry.cold_until, now + fields.cold_for)
        if claim is not Claim.MISDIRECTED:
            self.rate_limits.note_answer(entry, fields, sent_at)
            self.statements.note_answer(entry, head.status, fields)
            self.brittle.note_answer(entry, fields, sent_at)
            self.paces.note_answer(entry, fields)

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


class UpstreamTransport(BaseAnswerTransport):
    """A connection to an upstream.

    :ivar watch: decides how long a silence may last
    :ivar sent_at: boot time in seconds at which the request is sent
    :ivar claim: what the answer is to the request
    :ivar reading: what the upstream has to read of the prompt, None from the first event on
    :ivar read_from: event-loop time in seconds at which the request is sent
    """

    def __init__(
        self,
        exchange: Exchange,
        stream: UpstreamStream,
        entry: UpstreamEntry,
        watch: SilenceWatch,
        sender: UpstreamSender,
    ) -> None:
        super().__init__(exchange, stream)
        self.entry = entry
        self.watch = watch
        self.sender = sender
        self.sent_at = sender.rate_limits.boot_time()
        self.claim = Claim.UNPROVEN
        self.reading = exchange.reading
        self.read_from = asyncio.get_running_loop().time()
        if self.reading is not None:
            entry.unread_tokens += self.reading.tokens

    @property
    def upstream(self) -> str:
        """The id of the upstream."""
        return self.entry.record.id

    @property
    def timeout_result(self) -> AttemptResult:
        """How the attempt ends if it is interrupted."""
        return self.watch.result

    @property
    def timeout_reason(self) -> str:
        """Why the attempt is interrupted."""
        return self.watch.reason

    @property
    def is_suspended(self) -> bool:
        """Whether the attempt waits for its caller."""
        return self.watch.is_suspended

    def send(self) -> None:
        """Write the request with the headers for the upstream."""
        exchange, request = self.exchange, self.exchange.request
        has_body = bool(request.body) or request.method not in (b"GET", b"HEAD")
        headers = build_upstream_headers(
            request.headers,
            upstream=self.upstream,
            customer=exchange.customer.name if exchange.customer else None,
            seconds_left=exchange.time_left,
            priority=min(exchange.priority, 9) if exchange.route.sticky else None,
            last_event_id=exchange.splitter.last_id if exchange.route.streamed else None,
            body_length=len(request.body) if has_body else None,
        )
        self.stream.send_request(request.method, request.target, headers, request.body)

    def limit(self) -> AbstractAsyncContextManager[None]:
        """Limit the answer to the request's deadline and to what silence is allowed."""
        return self.watch.limit(self.stream.channel)

    async def read_head(self) -> tuple[ResponseHead, bool]:
        """Read the head of the answer, and whether it is the result of running the request."""
        head, fields, self.claim = await self.sender.answers.read_head(
            self.exchange, self.entry, self.stream
        )
        self.watch.note_head()
        self.stream.keep_for = 0.0 if fields.closes_connection else fields.keep_for
        self.sender.note_answer(self.entry, head, fields, self.claim, self.sent_at)
        customer = self.exchange.customer
        if customer is not None and self.claim is Claim.RESULT:
            self.sender.usage.note_started(customer.name)
        return head, self.claim is Claim.RESULT

    async def read_chunk(self) -> bytes | None:
        """Read the next chunk of the body, None at its end."""
        return await self.stream.read_body_chunk()

    def note_events(self) -> None:
        """Record that the upstream is reached, and learn from the first event how fast it reads."""
        self.sender.links.note_reached(self.entry)
        reading = self.end_reading()
        if reading is not None and not self.exchange.is_continuation:
            seconds = asyncio.get_running_loop().time() - self.read_from
            self.sender.paces.note_first_event(self.entry, *reading, seconds)

    def end_reading(self) -> Reading | None:
        """Record that the prompt is read, and return what there was to read the first time."""
        reading, self.reading = self.reading, None
        if reading is not None:
            self.entry.unread_tokens -= reading.tokens
        return reading

    def suspended(self) -> AbstractContextManager[None]:
        """Count no silence while the caller takes what has arrived."""
        return self.watch.suspended()

    def classify(self, head: ResponseHead, body: bytes) -> UpstreamAttempt:
        """Classify a complete refusal.

        :raises UnprovenAnswerError: if another answer may follow it
        """
        if self.stream.has_unread_bytes:
            judgement = Judgement(Claim.DOUBTFUL_REFUSAL, "bytes follow a refusal")
            self.sender.answers.reject(self.exchange, self.entry, judgement)
        if self.claim is Claim.MISDIRECTED:
            return UpstreamAttempt(
                AttemptResult.MISDIRECTED, Step.HEAD, self.upstream, "another upstream answered"
            )
        reason = f"status {head.status}"
        return UpstreamAttempt(AttemptResult.REFUSED, Step.HEAD, self.upstream, reason, head, body)
