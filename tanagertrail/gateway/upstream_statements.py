"""What upstreams state of themselves in their answers, as known to one daemon."""

__all__ = ["UpstreamStatements"]

from collections.abc import Callable, Iterable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.statements import (
    LeavingStatement,
    WaitStatement,
    bound_wait,
    merge_leaving,
    merge_wait,
)

OWN_ANSWER = "own answer"  # source of a statement that an upstream made to this daemon
WAIT_STATUS = 503
MAX_SHARED_STATEMENTS = 128  # in one message, the newest ones
KEEP_GONE_SECONDS = 120.0  # for which a statement outlives the registration


class UpstreamStatements:
    """Statements of upstreams by upstream id.

    :ivar leaving: statements of upstreams that leave, which hold for all daemons
    :ivar waits: statements of upstreams that want no request from this daemon for some time
    :ivar refused: (upstream, field) pairs of malformed values that are logged
    :ivar refused_count: malformed values so far
    :ivar on_change: called when an upstream's own answer has stated that it leaves
    """

    def __init__(self, upstreams: UpstreamTable, log: EventLog, boot_time: BootClock) -> None:
        self.upstreams = upstreams
        self.log = log
        self.boot_time = boot_time
        self.leaving: dict[str, LeavingStatement] = {}
        self.waits: dict[str, WaitStatement] = {}
        self.refused: set[tuple[str, str]] = set()
        self.refused_count = 0
        self.on_change: Callable[[], None] = lambda: None

    def is_leaving(self, record: Upstream) -> bool:
        """Return whether an upstream has stated that it leaves."""
        statement = self.leaving.get(record.id)
        return statement is not None and statement.holds_for(record.born)

    def count_wait_left(self, entry: UpstreamEntry) -> float:
        """Return the seconds for which an upstream wants no request from this daemon."""
        statement = self.waits.get(entry.record.id)
        if statement is None:
            return 0.0
        return statement.count_seconds_left(entry.record.born, self.boot_time())

    def note_answer(self, entry: UpstreamEntry, status: int, fields: UpstreamFields) -> None:
        """Apply what an attributed answer of an upstream states."""
        if fields.upstream not in ("", entry.record.id):
            return
        stated = fields.stated
        for item in stated.refused:
            self.note_refused(entry, item.field, item.value)
        if stated.leaving:
            statement = LeavingStatement(entry.record.born, self.boot_time())
            if self.apply_leaving(entry.record.id, statement, OWN_ANSWER):
                self.on_change()
        if stated.wait and status == WAIT_STATUS:
            self.apply_wait(entry, stated.wait)

    def note_refused(self, entry: UpstreamEntry, field: str, value: str) -> None:
        """Count a malformed value, and log the first of an upstream's field."""
        self.refused_count += 1
        if (entry.record.id, field) in self.refused:
            return
        self.refused.add((entry.record.id, field))
        self.log.write_routine(
            "statement_refused", upstream=entry.record.id, field=field, value=value
        )

    def apply_leaving(self, upstream: str, statement: LeavingStatement, source: str) -> bool:
        """Apply a statement that an upstream leaves, and return whether it is news."""
        known = self.leaving.get(upstream)
        self.leaving[upstream] = merge_leaving(known, statement)
        if known is not None and known.holds_for(statement.born):
            return False
        self.log.write(
            "upstream_stated",
            upstream=upstream,
            born=statement.born,
            statement="leaving",
            source=source,
            age_s=round(self.boot_time() - statement.heard_at, 2),
        )
        return True

    def apply_wait(self, entry: UpstreamEntry, seconds: float) -> None:
        """Apply a stated wait."""
        upstream, born = entry.record.id, entry.record.born
        kept = bound_wait(seconds)
        statement = WaitStatement(born, self.boot_time() + kept)
        self.waits[upstream] = merge_wait(self.waits.get(upstream), statement)
        self.log.write_routine(
            "upstream_stated",
            upstream=upstream,
            born=born,
            statement="wait",
            source=OWN_ANSWER,
            stated_s=seconds,
            kept_s=kept,
        )

    def merge(self, daemon: str, rows: Iterable[tuple], as_of: float) -> None:
        """Apply the statements that another daemon knows.

        :param rows: as built by :meth:`encode`
        :param as_of: boot time in seconds at which they were encoded
        """
        for upstream, born, age in rows:
            self.apply_leaving(upstream, LeavingStatement(born, as_of - max(age, 0.0)), daemon)

    def encode(self) -> tuple:
        """Encode statements for other daemons: upstream, its start, seconds since it was heard."""
        now = self.boot_time()
        kept = [name for name in self.leaving if self.is_kept(name, now)]
        kept.sort(key=lambda name: self.leaving[name].heard_at, reverse=True)
        return tuple(
            (name, self.leaving[name].born, round(now - self.leaving[name].heard_at, 3))
            for name in kept[:MAX_SHARED_STATEMENTS]
        )

    def is_kept(self, upstream: str, now: float) -> bool:
        """Return whether a statement that an upstream leaves still matters."""
        registered = upstream in self.upstreams.entries
        return registered or now - self.leaving[upstream].heard_at <= KEEP_GONE_SECONDS

    def forget_ended(self) -> None:
        """Drop waits that have ended and statements of upstreams that are gone."""
        now = self.boot_time()
        for name in [name for name in self.leaving if not self.is_kept(name, now)]:
            del self.leaving[name]
        for name in [name for name, wait in self.waits.items() if wait.until <= now]:
            del self.waits[name]
        self.refused = {item for item in self.refused if item[0] in self.upstreams.entries}
