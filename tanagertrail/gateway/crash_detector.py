"""Detection of crashed upstreams and of the requests that they left unanswered."""

__all__ = ["CrashDetector", "UnansweredAttempt"]

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import TYPE_CHECKING

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.eventlog import EventLog

if TYPE_CHECKING:
    from tanagertrail.gateway.model import Upstream
    from tanagertrail.gateway.upstream_table import UpstreamEntry

# Time after a failed attempt within which a crash is attributed to it. A registration expires three
# heartbeats of 1.2 s after the last one.
CRASH_EVIDENCE_SECONDS = 5.0
PROBE_TIMEOUT_SECONDS = 0.15  # upstreams in other failure domains answer in milliseconds
MAX_LOGGED_FINGERPRINTS = 10  # per crashed upstream
MAX_LOGGED_PARTS = 20  # per crashed upstream


class UnansweredAttempt:
    """A request that was sent to an upstream and is not answered.

    :ivar part_keys: hashes of the parts of its prompt that other requests may have too
    :ivar sent_at: event-loop time in seconds
    :ivar failed_at: event-loop time in seconds at which the attempt failed, None while it runs
    :ivar broken: whether the connection broke, rather than being given up by this daemon
    """

    def __init__(self, fingerprint: str, sent_at: float, part_keys: tuple[str, ...] = ()) -> None:
        self.fingerprint = fingerprint
        self.part_keys = part_keys
        self.sent_at = sent_at
        self.failed_at: float | None = None
        self.broken = False


class CrashDetector:
    """Tell a crashed upstream from one that only closed a connection.

    A response to a request that was sent later shows that the upstream has survived an attempt. A
    refused connection, another upstream at its address, a restart under the same id or the end of
    its registration shows that it has crashed.

    While this daemon reaches no upstream at all, nothing that fails is held against one. Nor is the
    end of a brittle upstream held against requests, since rejections alone end it.

    :ivar on_crash: called with a crashed upstream and the attempts that it left unanswered
    :ivar reaches_upstreams: waits until it is known, and returns, whether any upstream is reached
    :ivar states_leaving: returns whether an upstream has stated that it leaves
    :ivar refusal_tasks: judgements of refused connections under way
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.on_crash: Callable[[UpstreamEntry, list[UnansweredAttempt]], None] = (
            lambda entry, attempts: None
        )
        self.reaches_upstreams: Callable[[], Awaitable[bool]] = assume_reached
        self.states_leaving: Callable[[Upstream], bool] = lambda record: False
        self.refusal_tasks: set[asyncio.Task] = set()

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def start_attempt(self, fingerprint: str, part_keys: tuple[str, ...] = ()) -> UnansweredAttempt:
        """Record that a request is sent."""
        return UnansweredAttempt(fingerprint, self.now(), part_keys)

    def end_attempt(
        self, entry: "UpstreamEntry", attempt: UnansweredAttempt, answered: bool
    ) -> None:
        """Record whether an attempt was answered.

        A response clears the failed attempts that ended before its request was sent.
        """
        if answered:
            entry.unanswered_attempts = [
                other for other in entry.unanswered_attempts if other.failed_at >= attempt.sent_at
            ]
            if entry.crashed_at is not None and attempt.sent_at > entry.crashed_at:
                entry.crashed_at = None
            return
        attempt.failed_at = self.now()
        cutoff = attempt.failed_at - CRASH_EVIDENCE_SECONDS
        entry.unanswered_attempts = [
            other for other in entry.unanswered_attempts if other.failed_at >= cutoff
        ]
        entry.unanswered_attempts.append(attempt)
        if entry.crashed_at is not None:
            self.report_crash(entry, "it had ended before")

    async def probe(self, entry: "UpstreamEntry") -> None:
        """Check whether an upstream that broke a connection still accepts new ones."""
        if entry.probe_task is None:
            entry.probe_task = asyncio.create_task(self.probe_connection(entry))
            entry.probe_task.add_done_callback(lambda _: self.clear_probe_task(entry))
        await asyncio.shield(entry.probe_task)

    def clear_probe_task(self, entry: "UpstreamEntry") -> None:
        """Allow the next broken connection to start a new probe."""
        entry.probe_task = None

    async def probe_connection(self, entry: "UpstreamEntry") -> None:
        """Open a connection and close it; a refused one shows that the upstream has crashed."""
        host, _, port = entry.record.address.rpartition(":")
        try:
            channel = await open_channel(host, int(port), PROBE_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            await self.judge_refusal(entry)
        except (OSError, TimeoutError) as error:
            self.log.write_routine(
                "upstream_unclear", upstream=entry.record.id, error=repr(error)[:120]
            )
        else:
            channel.close()

    def note_refused(self, entry: "UpstreamEntry") -> None:
        """Judge in the background whether an upstream that refused a connection has crashed."""
        task = asyncio.create_task(self.judge_refusal(entry))
        self.refusal_tasks.add(task)
        task.add_done_callback(self.refusal_tasks.discard)

    async def judge_refusal(self, entry: "UpstreamEntry") -> None:
        """Record a crash unless connections to all upstreams fail."""
        if await self.reaches_upstreams():
            self.note_crashed(entry, "it refused a connection")
        else:
            self.log.write_routine("refusal_ignored", upstream=entry.record.id)

    def forget_unanswered(self, entries: Iterable["UpstreamEntry"]) -> None:
        """Forget failed attempts, because this daemon was cut off from the upstreams."""
        for entry in entries:
            entry.unanswered_attempts = []

    def note_crashed(self, entry: "UpstreamEntry", reason: str) -> None:
        """Record that an upstream has crashed, and report its unanswered requests."""
        if entry.crashed_at is None:
            entry.crashed_at = self.now()
        self.report_crash(entry, reason)

    def report_crash(self, entry: "UpstreamEntry", reason: str) -> None:
        """Report the unanswered requests of a crash that they may have caused."""
        cutoff = self.now() - CRASH_EVIDENCE_SECONDS
        attempts = [item for item in entry.unanswered_attempts if item.failed_at >= cutoff]
        fingerprints = sorted({attempt.fingerprint for attempt in attempts})
        parts = Counter(key for attempt in attempts for key in attempt.part_keys)
        entry.unanswered_attempts = []
        is_leaving = entry.record.draining or self.states_leaving(entry.record)
        if not fingerprints or is_leaving:
            return
        if entry.rejection_limit is not None:
            self.log.write(
                "brittle_upstream_ended",
                upstream=entry.record.id,
                born=entry.record.born,
                reason=reason,
                unanswered=len(fingerprints),
                rejection_limit=entry.rejection_limit,
            )
            return
        self.log.write(
            "upstream_ended",
            upstream=entry.record.id,
            born=entry.record.born,
            service=entry.record.service,
            failure_domain=entry.record.failure_domain,
            reason=reason,
            unanswered=len(fingerprints),
            fingerprints=fingerprints[:MAX_LOGGED_FINGERPRINTS],
            parts=dict(parts.most_common(MAX_LOGGED_PARTS)),
        )
        self.on_crash(entry, attempts)


async def assume_reached() -> bool:
    """Return true, for a detector without knowledge of the links."""
    return True
