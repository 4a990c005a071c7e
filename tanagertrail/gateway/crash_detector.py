"""Upstreams that end, and the requests that were there and got no answer."""

__all__ = ["CrashDetector", "UnansweredAttempt"]

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.eventlog import EventLog

if TYPE_CHECKING:
    from tanagertrail.gateway.upstream_table import UpstreamEntry

CRASH_EVIDENCE_SECONDS = 5.0  # a registration lapses three heartbeats of 1.2 s after the last one
PROBE_TIMEOUT_SECONDS = 0.15  # a failure domain away answers in milliseconds
MAX_LOGGED_FINGERPRINTS = 10  # of an ended upstream that are named in its line


class UnansweredAttempt:
    """A request that was sent to an upstream and that it has not answered.

    :ivar sent_at: event-loop time in seconds
    :ivar broken_at: event-loop time in seconds at which it ended unanswered, None while it runs
    """

    def __init__(self, fingerprint: str, sent_at: float) -> None:
        self.fingerprint = fingerprint
        self.sent_at = sent_at
        self.failed_at: float | None = None


class CrashDetector:
    """Tell an upstream that ended from one that only broke off, by what is seen of it.

    An answer to a request that was sent later shows that the upstream has outlived a try. A
    refused connection, another upstream at its address, a new start under its name or the end
    of its registration shows that it has not.

    :ivar on_crash: told of an ended upstream and the fingerprints of what it left unanswered
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.on_crash: Callable[[UpstreamEntry, list[str]], None] = lambda entry, lost: None

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def start_attempt(self, fingerprint: str) -> UnansweredAttempt:
        """Note that a request is sent."""
        return UnansweredAttempt(fingerprint, self.now())

    def end_attempt(
        self, entry: "UpstreamEntry", attempt: UnansweredAttempt, answered: bool
    ) -> None:
        """Note how a try ended."""
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
        """Find out whether an upstream that broke off still takes connections."""
        if entry.probe_task is None:
            entry.probe_task = asyncio.create_task(self.probe_connection(entry))
            entry.probe_task.add_done_callback(lambda _: self.clear_probe_task(entry))
        await asyncio.shield(entry.probe_task)

    def clear_probe_task(self, entry: "UpstreamEntry") -> None:
        """Let the next break be examined anew."""
        entry.probe_task = None

    async def probe_connection(self, entry: "UpstreamEntry") -> None:
        """Open a connection and close it; a refusal shows that the upstream has ended."""
        host, _, port = entry.record.address.rpartition(":")
        try:
            channel = await open_channel(host, int(port), PROBE_TIMEOUT_SECONDS)
        except ConnectionRefusedError:
            self.note_crashed(entry, "it refused a connection")
        except (OSError, TimeoutError) as error:
            self.log.write_routine(
                "upstream_unclear", upstream=entry.record.id, error=repr(error)[:120]
            )
        else:
            channel.close()

    def note_crashed(self, entry: "UpstreamEntry", reason: str) -> None:
        """Note that an upstream has ended."""
        if entry.crashed_at is None:
            entry.crashed_at = self.now()
        self.report_crash(entry, reason)

    def report_crash(self, entry: "UpstreamEntry", reason: str) -> None:
        """Report what an ended upstream has left unanswered, unless it had said that it leaves."""
        cutoff = self.now() - CRASH_EVIDENCE_SECONDS
        lost = sorted(
            {
                attempt.fingerprint
                for attempt in entry.unanswered_attempts
                if attempt.failed_at >= cutoff
            }
        )
        entry.unanswered_attempts = []
        if not lost or entry.record.draining:
            return
        self.log.write(
            "upstream_ended",
            upstream=entry.record.id,
            born=entry.record.born,
            service=entry.record.service,
            failure_domain=entry.record.failure_domain,
            reason=reason,
            unanswered=len(lost),
            fingerprints=lost[:MAX_LOGGED_FINGERPRINTS],
        )
        self.on_crash(entry, lost)
