"""Structured log lines on standard output, bounded and never blocking."""

__all__ = ["EventLog", "LineWriter"]

import json
import sys
import threading
from collections import deque
from collections.abc import Callable
from typing import Any, TextIO

import logbook

from tanagertrail.gateway.clock import read_wall_time

MAX_QUEUED_LINES = 4000
ROUTINE_LINES_PER_SECOND = 60.0  # limits lines of successful requests; all other lines are written
FLUSH_INTERVAL_SECONDS = 0.1


class LineWriter(logbook.Handler):
    """Write log records from a thread and drop lines if the reader is too slow.

    :ivar queued_lines: lines that the thread has not written yet
    :ivar dropped: number of lines that were dropped
    :ivar wake: set to make the thread write
    """

    def __init__(self, stream: TextIO | None = None) -> None:
        super().__init__(level=logbook.INFO)
        self.stream = stream or sys.stdout
        self.queued_lines: deque[str] = deque()
        self.dropped = 0
        self.wake = threading.Event()
        self.stopping = False
        self.thread = threading.Thread(target=self.run, daemon=True, name="log")
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue the line of a record, or drop it if the queue is full."""
        if len(self.queued_lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.queued_lines.append(record.msg)
        self.wake.set()

    def run(self) -> None:
        """Write queued lines until closed; runs in the thread."""
        while not self.stopping or self.queued_lines:
            self.wake.wait()
            self.wake.clear()
            self.write_queued()
            if not self.stopping:
                threading.Event().wait(FLUSH_INTERVAL_SECONDS)

    def write_queued(self) -> None:
        """Write all queued lines."""
        lines = []
        while self.queued_lines:
            lines.append(self.queued_lines.popleft())
        if not lines:
            return
        try:
            self.stream.write("\n".join(lines) + "\n")
            self.stream.flush()
        except (OSError, ValueError):
            # The reader is gone or the disk is full; later lines may be read again.
            self.dropped += len(lines)

    def close(self) -> None:
        """Write all queued lines and stop the thread."""
        self.stopping = True
        self.wake.set()
        self.thread.join(timeout=1.0)


class EventLog:
    """Log the events of one daemon as JSON objects, one per line.

    Routine events are limited by a token bucket that holds one second's worth of lines.

    :ivar now: clock in seconds for the rate limit
    :ivar rate: maximum number of routine lines per second
    :ivar tokens: routine lines that may be written now
    :ivar suppressed: routine lines left out since the last written line
    """

    def __init__(
        self, daemon: str, now: Callable[[], float], rate: float = ROUTINE_LINES_PER_SECOND
    ) -> None:
        self.daemon = daemon
        self.now = now
        self.rate = rate
        self.logger = logbook.Logger(daemon)
        self.tokens = rate
        self.refilled_at = now()
        self.suppressed = 0

    def write(self, event: str, **fields: Any) -> None:
        """Log an event unconditionally."""
        line = {"t": round(read_wall_time(), 3), "daemon": self.daemon, "event": event, **fields}
        if self.suppressed:
            line["left_out"] = self.suppressed
            self.suppressed = 0
        self.logger.info(json.dumps(line, separators=(",", ":"), default=str))

    def write_routine(self, event: str, **fields: Any) -> None:
        """Log a frequent event unless the rate limit is exceeded."""
        now = self.now()
        refill = (now - self.refilled_at) * self.rate
        self.tokens = min(self.tokens + refill, self.rate)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return
        self.tokens -= 1.0
        self.write(event, **fields)
