"""Numbers that upstreams state of themselves in answers, told between daemons."""

__all__ = ["MAX_SHARED_STATEMENTS", "OWN_ANSWER", "StatementTable"]

import itertools
from collections.abc import Callable, Collection, Iterable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.limit_statements import LimitStatement, merge_statements

OWN_ANSWER = "own answer"  # source of a statement that an upstream made to this daemon
MAX_SHARED_STATEMENTS = 64  # in one message; the others take turns
NEWS_SECONDS = 5.0  # for which a change precedes the statements that take turns
KEEP_ENDED_SECONDS = 60.0  # after which all daemons have heard that a limit ended
UNLIMITED = -1.0  # rate of a statement without a limit in messages


class StatementTable:
    """The newest statement of each upstream.

    Times of statements are boot times, because a daemon that was suspended would take an old
    statement for a new one.

    :ivar statements: newest statement by upstream id
    :ivar changed_at: boot time in seconds of the last change of a number, by upstream id
    :ivar on_change: called when an upstream's own answer has changed its number
    :ivar turn: number of messages so far, which decides whose turn it is
    """

    def __init__(self, log: EventLog, boot_time: BootClock) -> None:
        self.log = log
        self.boot_time = boot_time
        self.statements: dict[str, LimitStatement] = {}
        self.changed_at: dict[str, float] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.turn = 0

    def log_change(
        self,
        upstream: str,
        before: float | None,
        statement: LimitStatement,
        source: str,
        field: str,
    ) -> None:
        """Log a number that was learned, changed or ended."""
        raise NotImplementedError

    def is_worth_keeping(self, statement: LimitStatement) -> bool:
        """Return whether the first statement of an upstream is kept."""
        return statement.rate is not None

    def get_rate(self, entry: UpstreamEntry) -> float | None:
        """Return the number that an upstream states, None if it states none."""
        statement = self.statements.get(entry.record.id)
        if statement is None or statement.born != entry.record.born:
            return None
        return statement.rate

    def count_in_force(self) -> int:
        """Count the upstreams whose limit is in force."""
        return sum(item.rate is not None for item in list(self.statements.values()))

    def merge(self, daemon: str, rows: Iterable[tuple], as_of: float) -> None:
        """Apply the statements that another daemon knows.

        :param rows: as built by :meth:`encode`
        :param as_of: boot time in seconds at which they were encoded
        """
        for upstream, born, rate, sent_age, heard_age in rows:
            limit = None if rate == UNLIMITED else rate
            statement = LimitStatement(born, limit, as_of - sent_age, as_of - heard_age)
            self.apply(upstream, statement, daemon)

    def encode(self) -> tuple:
        """Encode statements for other daemons, recent changes first.

        A row holds the upstream, its start, the rate, and the seconds since the request was sent
        and since the answer was heard.
        """
        now = self.boot_time()
        self.turn += 1
        changed = {name for name, at in self.changed_at.items() if now - at <= NEWS_SECONDS}
        recent = [name for name in self.statements if name in changed]
        others = [name for name in self.statements if name not in changed]
        shared = self.take_turn(recent, MAX_SHARED_STATEMENTS)
        shared += self.take_turn(others, MAX_SHARED_STATEMENTS - len(shared))
        return tuple(self.encode_statement(name, now) for name in shared)

    def take_turn(self, names: list[str], room: int) -> list[str]:
        """Return as many names as there is room for, others each time."""
        if len(names) <= room or room <= 0:
            return names[: max(room, 0)]
        start = self.turn * room % len(names)
        return list(itertools.islice(itertools.cycle(names), start, start + room))

    def encode_statement(self, upstream: str, now: float) -> tuple:
        """Encode one statement."""
        born, rate, sent_at, heard_at = self.statements[upstream]
        limit = UNLIMITED if rate is None else rate
        return (upstream, born, limit, round(now - sent_at, 3), round(now - heard_at, 3))

    def apply(self, upstream: str, statement: LimitStatement, source: str, field: str = "") -> bool:
        """Apply a statement and return whether it changed the upstream's limit.

        :param source: who heard it
        :param field: header field that it was read from, empty if not known
        """
        known = self.statements.get(upstream)
        if known is None and not self.is_worth_keeping(statement):
            return False
        merged = merge_statements(known, statement)
        self.statements[upstream] = merged
        before = None if known is None or known.born != merged.born else known.rate
        if merged.rate == before:
            return False
        self.changed_at[upstream] = self.boot_time()
        self.log_change(upstream, before, merged, source, field)
        return True

    def forget_ended(self, registered: Collection[str]) -> None:
        """Drop old statements of limits that have ended and of upstreams that are gone."""
        oldest = self.boot_time() - KEEP_ENDED_SECONDS
        for upstream, statement in list(self.statements.items()):
            in_force = statement.rate is not None and upstream in registered
            changed_at = self.changed_at.get(upstream, 0.0)
            if not in_force and max(statement.heard_at, changed_at) < oldest:
                del self.statements[upstream]
                self.changed_at.pop(upstream, None)
