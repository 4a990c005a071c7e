"""Server-sent events of a streamed answer: request id, sequence and explicit end."""

__all__ = ["EventChecker", "encode_end", "encode_token", "read_token_text"]

import json
from collections.abc import Iterator

from tanagertrail.errors import UpstreamProtocolError

EVENT_END = b"\n\n"
ID_PREFIX = b"id: "
END_PREFIX = b"event: end\nid: "
MAX_EVENT_BYTES = 1_000_000


def encode_token(attempt_id: str, sequence: int, text: str) -> bytes:
    """Encode one token in the customary chat-completions chunk shape."""
    data = json.dumps({"choices": [{"index": 0, "delta": {"content": text}}]})
    return f"id: {attempt_id}:{sequence}\ndata: {data}\n\n".encode()


def encode_end(attempt_id: str, sequence: int) -> bytes:
    """Encode the explicit end of an answer of ``sequence`` tokens."""
    return f'event: end\nid: {attempt_id}:{sequence}\ndata: {{"tokens": {sequence}}}\n\n'.encode()


def read_token_text(event: bytes) -> str:
    """Return the text of one token event."""
    data = event.partition(b"data: ")[2]
    return json.loads(data)["choices"][0]["delta"].get("content", "")


class EventChecker:
    """Let through only the events of one attempt, in order and without gaps.

    Events of other attempts and repeated events are dropped and counted; a gap is an error.

    :ivar next_sequence: sequence number of the next token
    :ivar ended: whether the explicit end has come
    """

    def __init__(self, attempt_id: str, next_sequence: int = 0) -> None:
        self.id_prefix = ID_PREFIX + attempt_id.encode() + b":"
        self.end_prefix = END_PREFIX + attempt_id.encode() + b":"
        self.next_sequence = next_sequence
        self.ended = False
        self.dropped = 0
        self.partial = b""
        self.expected = self.build_expected()

    def build_expected(self) -> bytes:
        """Return the first line of the next token event."""
        return b"%b%d\n" % (self.id_prefix, self.next_sequence)

    def accept_next(self) -> None:
        """Count the next token as come."""
        self.next_sequence += 1
        self.expected = self.build_expected()

    def is_single(self, data: bytes, start: int, end: int) -> bool:
        """Say whether a part of some data is exactly the next token event."""
        if self.partial or self.ended or not data.startswith(self.expected, start):
            return False
        return data.find(EVENT_END, start) == end - len(EVENT_END)

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the token events that pass.

        :raises UpstreamProtocolError: on a gap, an early end or an oversized event
        """
        if self.partial:
            data = self.partial + data
        complete, separator, self.partial = data.rpartition(EVENT_END)
        if len(self.partial) > MAX_EVENT_BYTES:
            raise UpstreamProtocolError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        if not separator:
            return b""
        return b"".join(self.check_events(complete))

    def check_events(self, block: bytes) -> Iterator[bytes]:
        """Yield the events of a block that pass."""
        for event in block.split(EVENT_END):
            if self.check_event(event):
                yield event + EVENT_END

    def check_event(self, event: bytes) -> bool:
        """Say whether an event is the next token; note the end."""
        if event.startswith(self.id_prefix):
            return self.check_sequence(read_sequence(event, self.id_prefix))
        if event.startswith(self.end_prefix):
            self.check_end(read_sequence(event, self.end_prefix))
            return False
        self.dropped += 1
        return False

    def check_sequence(self, sequence: int) -> bool:
        """Say whether a sequence number is the next one."""
        if self.ended or sequence < self.next_sequence:
            self.dropped += 1
            return False
        if sequence > self.next_sequence:
            raise UpstreamProtocolError(f"expected token {self.next_sequence}, got {sequence}")
        self.accept_next()
        return True

    def check_end(self, count: int) -> None:
        """Note the end, which must name the number of tokens that came."""
        if count != self.next_sequence:
            raise UpstreamProtocolError(f"end after {count} tokens, {self.next_sequence} came")
        self.ended = True


def read_sequence(event: bytes, prefix: bytes) -> int:
    """Read the sequence number after a prefix.

    :raises UpstreamProtocolError: if it is not a number
    """
    digits = event[len(prefix) :].partition(b"\n")[0]
    if not digits.isdigit():
        raise UpstreamProtocolError("an event has no sequence number")
    return int(digits)
