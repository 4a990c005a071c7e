"""Ends of streamed answers, and the thread-writing sink kept as a baseline."""

__all__ = ["BlockingSocketSink", "finish_stream"]

import json

from tanagertrail.callers.problems import build_problem
from tanagertrail.outcomes import Answered, Outcome
from tanagertrail.sockets import SocketSink

DONE_EVENT = b"data: [DONE]\n\n"


class BlockingSocketSink(SocketSink):
    """Write to the socket from whichever thread has the bytes, waiting while it is full."""

    def start(self) -> None:
        """Write the head, leaving the socket in its blocking mode."""
        super().start()
        self.sock.settimeout(self.old_timeout)

    def send(self, data: bytes) -> None:
        """Send all bytes."""
        try:
            self.sock.sendall(data)
        except OSError:
            self.closed = True


async def finish_stream(sink: SocketSink, outcome: Outcome, request_id: str) -> None:
    """End a streamed answer: a whole one with the customary mark, a cut one with its problem."""
    if isinstance(outcome, Answered):
        sink.write(DONE_EVENT)
    else:
        problem = json.dumps(build_problem(outcome, request_id))
        sink.write(f"event: error\ndata: {problem}\n\n".encode())
    await sink.finish()
