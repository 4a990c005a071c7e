"""Server-sent events of a streamed response."""

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 64 * 1024  # events contain a few tokens, a few hundred bytes


class EventSplitter:
    """Split a stream into complete events and keep the id of the last one.

    Events without an id and events whose id does not increase are invalid. They are not returned,
    nor is anything after them.

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
                self.error = "an event has no id that rises"
                break
            events_data.append(block + EVENT_END)
        if len(self.buffer) > MAX_EVENT_BYTES:
            self.error = f"an event is longer than {MAX_EVENT_BYTES} bytes"
        return b"".join(events_data)

    def accept_event(self, block: bytes) -> bool:
        """Count an event and keep its id, unless its id is missing or does not increase."""
        for line in block.split(b"\n"):
            if line.startswith(ID_FIELD):
                event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                if not is_valid_successor(event_id, self.last_id):
                    return False
                self.last_id = event_id
                self.events += 1
                return True
        return False

    def discard_partial_event(self) -> None:
        """Discard an event that its upstream did not complete."""
        self.buffer = b""
        self.error = ""


def is_valid_successor(event_id: str, last_id: str | None) -> bool:
    """Return whether an id may follow another; if either is not a number, they must differ."""
    if last_id is None or not (event_id.isdigit() and last_id.isdigit()):
        return event_id != last_id
    return int(event_id) > int(last_id)
