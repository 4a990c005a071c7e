"""Server-sent events of a streamed response."""

__all__ = ["EventSplitter"]

import re

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
FIELD_LINE = re.compile(rb"[a-z0-9_-]*:[^\r\0]*|data")  # an empty name begins a comment
NUMERIC_ID = re.compile(r"\d{1,20}", re.ASCII)
MAX_EVENT_BYTES = 64 * 1024  # events contain a few tokens, a few hundred bytes


class EventSplitter:
    """Split a stream into complete events and keep the id of the last one.

    Valid events consist of fields, one of which is a numeric id that increases. Invalid ones are
    not returned, nor is anything after them.

    :ivar buffer: bytes of an incomplete event
    :ivar last_id: id of the last complete event, None before the first one
    :ivar events: number of complete events
    :ivar error: why the next event is invalid, empty if there is no error
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.buffer = b""
        self.last_id = last_id
        self.events = 0
        self.error = ""

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return those of the events that are now complete."""
        *blocks, self.buffer = (self.buffer + data).split(EVENT_END)
        events_data = []
        for block in blocks:
            if not self.accept_event(block):
                self.error = "an event is malformed or has no id that rises"
                break
            events_data.append(block + EVENT_END)
        if len(self.buffer) > MAX_EVENT_BYTES:
            self.error = f"an event is longer than {MAX_EVENT_BYTES} bytes"
        return b"".join(events_data)

    def accept_event(self, block: bytes) -> bool:
        """Count an event and keep its id, unless it is invalid."""
        lines = block.split(b"\n")
        ids = [line[len(ID_FIELD) :] for line in lines if line.startswith(ID_FIELD)]
        if len(ids) != 1 or not all(FIELD_LINE.fullmatch(line) for line in lines):
            return False
        event_id = ids[0].strip().decode("latin-1")
        if not is_valid_successor(event_id, self.last_id):
            return False
        self.last_id = event_id
        self.events += 1
        return True

    def discard_partial_event(self) -> None:
        """Discard an event that its upstream did not complete."""
        self.buffer = b""
        self.error = ""


def is_valid_successor(event_id: str, last_id: str | None) -> bool:
    """Return whether an id is a number above the last one.

    :param last_id: the last id; one of the caller's may be no number, which any number follows
    """
    if not NUMERIC_ID.fullmatch(event_id):
        return False
    if last_id is None or not NUMERIC_ID.fullmatch(last_id):
        return True
    return int(event_id) > int(last_id)
