"""Tests for the event log's rate limit and bounded queue."""

import io
import json

import logbook

from tanagertrail.gateway.eventlog import MAX_QUEUED_LINES, EventLog, LineWriter


class BlockedStream(io.StringIO):
    """A stream that blocks until its reader resumes."""

    def __init__(self, reader_resumed):
        super().__init__()
        self.reader_resumed = reader_resumed

    def write(self, text):
        self.reader_resumed.wait()
        return super().write(text)


def test_routine_lines_are_rate_limited_and_suppressed_ones_counted():
    with logbook.TestHandler() as handler:
        log = EventLog("d", lambda: 5.0, rate=10)
        for _ in range(50):
            log.write_routine("request")
        log.write("stopped")
    lines = [json.loads(record.msg) for record in handler.records]
    assert len(lines) == 11
    assert lines[-1]["left_out"] == 40


def test_slow_reader_loses_lines_without_blocking_the_daemon():
    import threading

    reader_resumed = threading.Event()
    writer = LineWriter(BlockedStream(reader_resumed))
    try:
        with writer.applicationbound():
            log = EventLog("d", lambda: 0.0)
            for _ in range(MAX_QUEUED_LINES + 2000):
                log.write("event")
        assert writer.dropped > 0
    finally:
        reader_resumed.set()
        writer.close()
