"""Whole events of a streamed answer."""

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Cut a stream into whole events and keep the id of the last one.

    :ivar last_id: id of the last whole event, None while there is none
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.pending = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those of all events that are now whole."""
        data = self.pending + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.pending = data
            return b""
        whole, self.pending = data[: end + len(EVENT_END)], data[end + len(EVENT_END) :]
        for event in whole.split(EVENT_END)[:-1]:
            self.events += 1
            self.note_id(event)
        return whole

    def note_id(self, event: bytes) -> None:
        """Keep the id of an event."""
        for line in event.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")

    def drop_partial(self) -> None:
        """Drop an event that its upstream did not finish."""
        self.pending = b""
