"""Watching of attempts for silent upstreams."""

__all__ = ["SilenceMonitor", "SilenceWatch"]

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, Exchange
from tanagertrail.gateway.metrics import GatewayMetrics
from tanagertrail.gateway.tcp_info import peer_answers
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.silence import (
    FIRST_ATTEMPT_SHARE,
    CallerPatience,
    Registration,
    Silence,
    SilenceAction,
    SilenceJudgement,
    judge_silence,
)

FIRST_REVIEW_SECONDS = 0.5  # of silence, since most events come sooner
REVIEW_SECONDS = 0.25
MIN_REVIEW_SECONDS = 0.001  # a rounding error of the clock is no time to wait
UNREAD_REVIEW_SECONDS = 0.02  # until what has arrived is read
MAX_LATENESS_SECONDS = 0.05  # of a timer, beyond which the daemon itself did not run
LOGGED_SILENCE_SECONDS = 1.0


class SilenceMonitor:
    """What the watches of all attempts share.

    :ivar may_resend: whether a request may run at another upstream too
    :ivar claim_resend: reserves a resend of a request for which an upstream is free
    :ivar is_cut_off: whether this daemon is cut off from all upstreams
    :ivar metrics: None if metrics are not exported
    """

    def __init__(
        self,
        log: EventLog,
        may_resend: Callable[[Exchange], bool],
        claim_resend: Callable[[Exchange, UpstreamEntry, bool], bool],
    ) -> None:
        self.log = log
        self.may_resend = may_resend
        self.claim_resend = claim_resend
        self.is_cut_off: Callable[[], bool] = lambda: False
        self.metrics: GatewayMetrics | None = None

    def count(self, service: str, outcome: str) -> None:
        """Count what became of a silent attempt."""
        if self.metrics is not None:
            self.metrics.silences[service, outcome] += 1


class SilenceWatch:
    """Interrupts one attempt when its request is to be sent to another upstream.

    :ivar result: how the attempt ended if it was interrupted
    :ivar reason: why
    :ivar first_review: seconds of silence before it is judged
    :ivar progress_at: event-loop time in seconds of the last progress
    :ivar begun: whether a part of the body has arrived, of a stream an event
    :ivar is_suspended: whether the attempt waits for its caller
    :ivar is_kept: whether the attempt lasts although its silence is over its limit
    """

    def __init__(self, exchange: Exchange, entry: UpstreamEntry, monitor: SilenceMonitor) -> None:
        self.exchange = exchange
        self.entry = entry
        self.monitor = monitor
        self.result = AttemptResult.TIMED_OUT
        self.reason = "no answer in time"
        self.begun = False
        self.is_suspended = False
        self.is_kept = False
        self.loop = asyncio.get_running_loop()
        self.progress_at = self.loop.time()
        self.first_review = min(FIRST_REVIEW_SECONDS, FIRST_ATTEMPT_SHARE * exchange.time_left)
        self.received_bytes = 0
        self.channel: Channel | None = None
        self.scope: asyncio.Timeout | None = None
        self.timer: asyncio.TimerHandle | None = None

    @asynccontextmanager
    async def limit(self, channel: Channel) -> AsyncIterator[None]:
        """Limit a block to the request's deadline and to what silence is allowed.

        :raises TimeoutError: if a limit is exceeded
        """
        self.channel = channel
        self.progress_at = self.loop.time()
        self.received_bytes = channel.received_bytes
        async with asyncio.timeout(max(self.exchange.time_left, 0.0)) as self.scope:
            self.review_after(self.first_review)
            try:
                yield
            finally:
                self.timer.cancel()

    def note_head(self) -> None:
        """Record that the head of the response has arrived.

        A stream may still wait for its first event as long as for the head.
        """
        self.note_progress()
        self.begun = not self.exchange.route.streamed

    def note_progress(self) -> None:
        """Record that a whole event has arrived."""
        now = self.loop.time()
        silent_for = now - self.progress_at
        if self.begun and silent_for >= LOGGED_SILENCE_SECONDS:
            self.monitor.count(self.exchange.service, "went on")
            self.monitor.log.write_routine(
                "upstream_went_on",
                request=self.exchange.fields.request_id,
                upstream=self.entry.record.id,
                silent_ms=round(silent_for * 1000),
            )
        self.begun = True
        self.progress_at = now
        self.received_bytes = self.channel.received_bytes
        self.entry.note_heard(now)

    @contextmanager
    def suspended(self) -> Iterator[None]:
        """Record progress, and count no silence while the caller takes what has arrived.

        An interrupted block leaves the attempt suspended, which shows that the caller held it up.
        """
        self.note_progress()
        self.is_suspended = True
        yield
        self.is_suspended = False
        self.progress_at = self.loop.time()

    def review_after(self, seconds: float) -> None:
        """Schedule the next review."""
        self.timer = self.loop.call_later(seconds, self.review, self.loop.time() + seconds)

    def review(self, planned_at: float) -> None:
        """Judge the silence, and interrupt the attempt if it is over its limit.

        Time in which the daemon itself did not run is no silence of the upstream.
        """
        if self.scope.expired():
            return
        now = self.loop.time()
        if now - planned_at > MAX_LATENESS_SECONDS:
            self.progress_at = min(self.progress_at + now - planned_at, now)
        if self.channel.buffer:
            self.review_after(UNREAD_REVIEW_SECONDS)
            return
        if self.begun and self.channel.received_bytes > self.received_bytes:
            self.received_bytes = self.channel.received_bytes
            self.progress_at = now
            self.entry.note_heard(now)
        silent_for = 0.0 if self.is_suspended else now - self.progress_at
        if silent_for < self.first_review:
            self.review_after(max(self.first_review - silent_for, MIN_REVIEW_SECONDS))
            return
        silence = self.describe(now)
        judgement = judge_silence(silence)
        if judgement.is_suspect:
            self.entry.note_silent(now)
        if judgement.action is not SilenceAction.WAIT and self.give_up(silence, judgement):
            self.scope.reschedule(now)
            return
        until_limit = max(judgement.limit - silence.seconds, 0.0)
        until_limit = max(until_limit, MIN_REVIEW_SECONDS) if until_limit else REVIEW_SECONDS
        self.review_after(min(until_limit, REVIEW_SECONDS))

    def describe(self, now: float) -> Silence:
        """Describe the silence for the judgement."""
        exchange = self.exchange
        return Silence(
            now - self.progress_at,
            self.begun,
            self.monitor.may_resend(exchange),
            exchange.time_left,
            CallerPatience(exchange.route.latency_objective, exchange.route.event_gap_objective),
            now - self.entry.heard_at,
            peer_answers(self.channel),
            self.get_registration(),
            self.monitor.is_cut_off(),
        )

    def get_registration(self) -> Registration:
        """Return what the registry says of the upstream."""
        if self.entry.replaced:
            return Registration.REPLACED
        return Registration.ENDED if self.entry.gone else Registration.CURRENT

    def give_up(self, silence: Silence, judgement: SilenceJudgement) -> bool:
        """Reserve a resend where one is needed; return whether the attempt ends."""
        if judgement.action is SilenceAction.END:
            self.result = AttemptResult.BROKEN
            outcome = "ended"
        else:
            must_be_idle = not (silence.begun or judgement.proven)
            claimed = self.monitor.claim_resend(self.exchange, self.entry, must_be_idle)
            outcome = "resent" if claimed else "kept"
        if outcome != "kept" or not self.is_kept:
            self.report(silence, judgement, outcome)
        self.is_kept = outcome == "kept"
        self.reason = f"silent: {judgement.reason}"
        return not self.is_kept

    def report(self, silence: Silence, judgement: SilenceJudgement, outcome: str) -> None:
        """Log and count what becomes of the attempt."""
        self.monitor.count(self.exchange.service, outcome)
        self.monitor.log.write(
            "upstream_silent",
            request=self.exchange.fields.request_id,
            route=self.exchange.route.name,
            upstream=self.entry.record.id,
            outcome=outcome,
            reason=judgement.reason,
            silent_ms=round(silence.seconds * 1000),
            limit_ms=round(judgement.limit * 1000),
            left_ms=round(silence.time_left * 1000),
            begun=silence.begun,
            heard=silence.heard,
            host_answers=silence.host_answers,
            registration=silence.registration,
        )
