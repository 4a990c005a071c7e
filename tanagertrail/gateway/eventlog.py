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
ROUTINE_LINES_PER_SECOND = 60.0  # lines of requests that went well; all others are written
FLUSH_INTERVAL_SECONDS = 0.1


class LineWriter(logbook.Handler):
    """Write records from a thread, and drop lines when the reader is too slow.

    :ivar dropped: lines that were dropped
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
        """Queue a line."""
        if len(self.queued_lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        self.queued_lines.append(record.msg)
        self.wake.set()

    def run(self) -> None:
        """Write lines until the program ends."""
        while not self.stopping or self.queued_lines:
            self.wake.wait()
            self.wake.clear()
            self.write_queued()
            if not self.stopping:
                threading.Event().wait(FLUSH_INTERVAL_SECONDS)

    def write_queued(self) -> None:
        """Write what waits."""
        lines = []
        while self.queued_lines:
            lines.append(self.queued_lines.popleft())
        if lines:
            self.stream.write("\n".join(lines) + "\n")
            self.stream.flush()

    def close(self) -> None:
        """Write what waits and stop."""
        self.stopping = True
        self.wake.set()
        self.thread.join(timeout=1.0)


class EventLog:
    """Log decisions of one daemon as JSON objects, one a line.

    :ivar now: clock in seconds by which routine lines are rationed
    :ivar rate: most routine lines in a second
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
        """Log an event that is always worth a line."""
        line = {"t": round(read_wall_time(), 3), "daemon": self.daemon, "event": event, **fields}
        if self.suppressed:
            line["left_out"] = self.suppressed
            self.suppressed = 0
        self.logger.info(json.dumps(line, separators=(",", ":"), default=str))

    def write_routine(self, event: str, **fields: Any) -> None:
        """Log an event of which many alike happen, within a rate."""
        now = self.now()
        refill = (now - self.refilled_at) * self.rate
        self.tokens = min(self.tokens + refill, self.rate)
        self.refilled_at = now
        if self.tokens < 1.0:
            self.suppressed += 1
            return
        self.tokens -= 1.0
        self.write(event, **fields)
