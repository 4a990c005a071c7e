"""Stored objects that cannot be used, each logged once."""

__all__ = ["RefusalLog"]

from collections import Counter, OrderedDict
from typing import Any

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.platform.store import Refusal

MAX_REMEMBERED = 1000
MAX_ERROR_LENGTH = 500  # characters
MAX_NAME_LENGTH = 100  # characters of a name in a log line


class RefusalLog:
    """Log each object that cannot be used once for each of its revisions.

    :ivar counts: refusals by kind
    :ivar logged: revision of the last logged refusal by event, kind and name, the newest last
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.counts: Counter[str] = Counter()
        self.logged: OrderedDict[tuple[str, str, str], int] = OrderedDict()

    def note(self, kind: str, refusal: Refusal) -> None:
        """Record an object, or a part of it, that cannot be read."""
        if self.is_new("entry_refused", kind, refusal.name, refusal.revision):
            self.counts[kind] += 1
            self.log.write(
                "entry_refused",
                kind=kind,
                name=refusal.name[:MAX_NAME_LENGTH],
                revision=refusal.revision,
                error=refusal.reason[:MAX_ERROR_LENGTH],
            )

    def write(
        self, event: str, kind: str, name: str, revision: int, error: Exception, **fields: Any
    ) -> None:
        """Log the refusal of a document that breaks the rules of its kind.

        :param fields: further fields of the line
        """
        if self.is_new(event, kind, name, revision):
            self.counts[kind] += 1
            self.log.write(event, **fields, revision=revision, error=str(error)[:MAX_ERROR_LENGTH])

    def is_new(self, event: str, kind: str, name: str, revision: int) -> bool:
        """Return whether a refusal was not logged before, and remember it."""
        key = (event, kind, name)
        if self.logged.get(key) == revision:
            return False
        self.logged[key] = revision
        self.logged.move_to_end(key)
        if len(self.logged) > MAX_REMEMBERED:
            self.logged.popitem(last=False)
        return True
