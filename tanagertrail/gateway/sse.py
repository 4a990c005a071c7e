"""Whole events of a streamed answer."""

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 64 * 1024  # events hold some tokens, some hundred bytes


class EventSplitter:
    """Cut a stream into whole events and keep the id of the last one.

    Bytes that are no event are not returned: one without an id, or whose id does not rise.

    :ivar last_id: id of the last whole event, None while there is none
    :ivar fault: why the bytes after the events that were returned are none, empty for no fault
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.buffer = b""
        self.last_id = last_id
        self.events = 0
        self.error = ""

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those of all events that are now whole."""
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
        """Take an event if its id comes after the last one."""
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
        """Drop an event that its upstream did not finish."""
        self.buffer = b""
        self.error = ""


def is_valid_successor(event_id: str, last_id: str | None) -> bool:
    """Say whether an id may follow another; ids that are no numbers may not be the same."""
    if last_id is None or not (event_id.isdigit() and last_id.isdigit()):
        return event_id != last_id
    return int(event_id) > int(last_id)
