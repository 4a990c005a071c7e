"""Upstreams that end, and the requests that were there and got no answer."""

__all__ = ["CrashDetector", "UnansweredAttempt"]

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.eventlog import EventLog

if TYPE_CHECKING:
    from tanagertrail.gateway.upstream_table import UpstreamEntry

PROOF_SECONDS = 5.0  # a registration lapses three heartbeats of 1.2 s after the last one
EXAMINE_SECONDS = 0.15  # a failure domain away answers in milliseconds
LOGGED_REQUESTS = 10  # of an ended upstream that are named in its line


class UnansweredAttempt:
    """A request that was sent to an upstream and that it has not answered.

    :ivar sent_at: event-loop time in seconds
    :ivar broken_at: event-loop time in seconds at which it ended unanswered, None while it runs
    """

    def __init__(self, fingerprint: str, sent_at: float) -> None:
        self.fingerprint = fingerprint
        self.sent_at = sent_at
        self.broken_at: float | None = None


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

    def begin(self, fingerprint: str) -> UnansweredAttempt:
        """Note that a request is sent."""
        return UnansweredAttempt(fingerprint, self.now())

    def finish(self, entry: "UpstreamEntry", item: UnansweredAttempt, answered: bool) -> None:
        """Note how a try ended."""
        if answered:
            entry.unanswered = [
                other for other in entry.unanswered if other.broken_at >= item.sent_at
            ]
            if entry.ended_at is not None and item.sent_at > entry.ended_at:
                entry.ended_at = None
            return
        item.broken_at = self.now()
        oldest = item.broken_at - PROOF_SECONDS
        entry.unanswered = [other for other in entry.unanswered if other.broken_at >= oldest]
        entry.unanswered.append(item)
        if entry.ended_at is not None:
            self.report_lost(entry, "it had ended before")

    async def examine(self, entry: "UpstreamEntry") -> None:
        """Find out whether an upstream that broke off still takes connections."""
        if entry.examination is None:
            entry.examination = asyncio.create_task(self.try_connection(entry))
            entry.examination.add_done_callback(lambda _: self.end_examination(entry))
        await asyncio.shield(entry.examination)

    def end_examination(self, entry: "UpstreamEntry") -> None:
        """Let the next break be examined anew."""
        entry.examination = None

    async def try_connection(self, entry: "UpstreamEntry") -> None:
        """Open a connection and close it; a refusal shows that the upstream has ended."""
        host, _, port = entry.record.address.rpartition(":")
        try:
            channel = await open_channel(host, int(port), EXAMINE_SECONDS)
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
        if entry.ended_at is None:
            entry.ended_at = self.now()
        self.report_lost(entry, reason)

    def report_lost(self, entry: "UpstreamEntry", reason: str) -> None:
        """Report what an ended upstream has left unanswered, unless it had said that it leaves."""
        oldest = self.now() - PROOF_SECONDS
        lost = sorted({item.fingerprint for item in entry.unanswered if item.broken_at >= oldest})
        entry.unanswered = []
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
            fingerprints=lost[:LOGGED_REQUESTS],
        )
        self.on_crash(entry, lost)
