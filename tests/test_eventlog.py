"""Log lines are bounded and never hold up the daemon."""

import io
import json

import logbook

from tanagertrail.gateway.eventlog import MAX_WAITING_LINES, EventLog, LineWriter


class SlowStream(io.StringIO):
    """A stream whose reader has stopped."""

    def __init__(self, gate):
        super().__init__()
        self.gate = gate

    def write(self, text):
        self.gate.wait()
        return super().write(text)


def test_routine_lines_are_rationed_and_the_rest_counted():
    with logbook.TestHandler() as handler:
        log = EventLog("d", lambda: 5.0, rate=10)
        for _ in range(50):
            log.write_routine("request")
        log.write("stopped")
    lines = [json.loads(record.msg) for record in handler.records]
    assert len(lines) == 11
    assert lines[-1]["left_out"] == 40


def test_slow_reader_loses_lines_but_holds_up_nobody():
    import threading

    gate = threading.Event()
    writer = LineWriter(SlowStream(gate))
    try:
        with writer.applicationbound():
            log = EventLog("d", lambda: 0.0)
            for _ in range(MAX_WAITING_LINES + 2000):
                log.write("event")
        assert writer.dropped > 0
    finally:
        gate.set()
        writer.close()
