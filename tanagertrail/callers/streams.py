"""The end of streamed answers, and a blocking sink that serves as a baseline."""

__all__ = ["BlockingSocketSink", "finish_stream"]

import json

from tanagertrail.callers.problems import build_problem
from tanagertrail.outcomes import Answered, Outcome
from tanagertrail.sockets import SocketSink

DONE_EVENT = b"data: [DONE]\n\n"


class BlockingSocketSink(SocketSink):
    """Write to the socket from the calling thread, blocking while the send buffer is full.

    Kept as the baseline to compare :class:`SocketSink` with.
    """

    def start(self) -> None:
        """Write the response head, then make the socket blocking again with its old timeout."""
        super().start()
        self.sock.settimeout(self.old_timeout)

    def send(self, data: bytes) -> None:
        """Send all bytes before returning; a failure marks the sink as closed."""
        try:
            self.sock.sendall(data)
        except OSError:
            self.closed = True


async def finish_stream(sink: SocketSink, outcome: Outcome, request_id: str) -> None:
    """End a streamed answer and give its socket back.

    A complete answer ends with ``[DONE]``, an incomplete one with an error event that holds the
    problem document.
    """
    if isinstance(outcome, Answered):
        sink.write(DONE_EVENT)
    else:
        problem = json.dumps(build_problem(outcome, request_id))
        sink.write(f"event: error\ndata: {problem}\n\n".encode())
    await sink.finish()
