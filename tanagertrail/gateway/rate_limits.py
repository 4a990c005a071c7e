"""Request rates that upstreams say they accept, as known to one daemon."""

__all__ = ["RateLimitTable"]

import itertools
from collections.abc import Callable, Collection, Iterable

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.shared_rates import SharedRates
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.limit_statements import LimitStatement, merge_statements
from tanagertrail.policy.shared_rate import NAMED_RATE_BOUND, SharedRateLimiter

OWN_ANSWER = "own answer"  # source of a statement that an upstream made to this daemon
MAX_SHARED_STATEMENTS = 64  # in one message; the others take turns
NEWS_SECONDS = 5.0  # for which a change precedes the statements that take turns
KEEP_ENDED_SECONDS = 60.0  # after which all daemons have heard that a limit ended
UNLIMITED = -1.0  # rate of a statement without a limit in messages


class RateLimitTable:
    """The newest statement of each upstream on the request rate that it accepts.

    Times of statements are boot times, because a daemon that was suspended would take an old
    statement for a new one.

    :ivar statements: newest statement by upstream id
    :ivar changed_at: boot time in seconds of the last change of a limit, by upstream id
    :ivar on_change: called when an upstream's own answer has changed its limit
    :ivar turn: number of messages so far, which decides whose turn it is
    """

    def __init__(self, shared_rates: SharedRates, log: EventLog, boot_time: BootClock) -> None:
        self.shared_rates = shared_rates
        self.log = log
        self.boot_time = boot_time
        self.statements: dict[str, LimitStatement] = {}
        self.changed_at: dict[str, float] = {}
        self.on_change: Callable[[], None] = lambda: None
        self.turn = 0

    def get_rate(self, entry: UpstreamEntry) -> float | None:
        """Return the requests per second that an upstream accepts, None for no limit."""
        statement = self.statements.get(entry.record.id)
        if statement is None or statement.born != entry.record.born:
            return None
        return statement.rate

    def allows_request(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream's limit allows this daemon to send it a request now."""
        rate = self.get_rate(entry)
        if rate is None:
            return True
        return self.shared_rates.allows_request(
            build_key(entry.record.id, entry.record.born), rate, NAMED_RATE_BOUND
        )

    def note_sent(self, entry: UpstreamEntry) -> None:
        """Count a request that is sent to an upstream."""
        if self.get_rate(entry) is not None:
            self.shared_rates.note_sent(build_key(entry.record.id, entry.record.born))

    def get_own_rate(self, entry: UpstreamEntry) -> float:
        """Return this daemon's part of an upstream's rate in requests per second."""
        limiter = self.get_limiter(entry)
        return limiter.share.rate if limiter is not None and limiter.share is not None else 0.0

    def get_spent(self, entry: UpstreamEntry) -> int:
        """Return the requests that this daemon sent to an upstream while its limit was in force."""
        limiter = self.get_limiter(entry)
        return limiter.spent if limiter is not None else 0

    def get_limiter(self, entry: UpstreamEntry) -> SharedRateLimiter | None:
        """Return the limiter of an upstream's rate, None before the first request."""
        key = build_key(entry.record.id, entry.record.born)
        held = self.shared_rates.held_rates.held.get(key)
        return None if held is None else held.limiter

    def count_in_force(self) -> int:
        """Count the upstreams whose limit is in force."""
        return sum(item.rate is not None for item in list(self.statements.values()))

    def note_answer(self, entry: UpstreamEntry, fields: UpstreamFields, sent_at: float) -> None:
        """Apply what an upstream's answer says of its limit; a malformed value changes nothing.

        :param sent_at: boot time in seconds at which the request was sent
        """
        named = fields.rate_limit
        if named is not None and named.rate is None:
            self.log.write_routine(
                "limit_refused", upstream=entry.record.id, field=named.field, value=named.value
            )
            return
        rate = None if named is None else named.rate
        statement = LimitStatement(entry.record.born, rate, sent_at, self.boot_time())
        field = "" if named is None else named.field
        if self.apply(entry.record.id, statement, OWN_ANSWER, field):
            self.on_change()

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
        if known is None and statement.rate is None:
            return False
        merged = merge_statements(known, statement)
        self.statements[upstream] = merged
        before = None if known is None or known.born != merged.born else known.rate
        if merged.rate == before:
            return False
        self.changed_at[upstream] = self.boot_time()
        self.log_change(upstream, before, merged, source, field)
        return True

    def list_keys(self) -> set[str]:
        """Return the keys of the shared rates of all statements."""
        return {build_key(name, item.born) for name, item in self.statements.items()}

    def forget_ended(self, registered: Collection[str]) -> None:
        """Drop old statements of limits that have ended and of upstreams that are gone."""
        oldest = self.boot_time() - KEEP_ENDED_SECONDS
        for upstream, statement in list(self.statements.items()):
            in_force = statement.rate is not None and upstream in registered
            if not in_force and max(statement.heard_at, self.changed_at[upstream]) < oldest:
                del self.statements[upstream]
                del self.changed_at[upstream]

    def log_change(
        self,
        upstream: str,
        before: float | None,
        statement: LimitStatement,
        source: str,
        field: str,
    ) -> None:
        """Log a limit that was learned, changed or ended.

        An upstream may name another rate in each answer, so changes are routine lines.
        """
        if statement.rate is None:
            event, write = "limit_ended", self.log.write
        elif before is None:
            event, write = "limit_learned", self.log.write
        else:
            event, write = "limit_changed", self.log.write_routine
        write(
            event,
            upstream=upstream,
            rate=statement.rate,
            before=before,
            source=source,
            field=field,
            age_s=round(self.boot_time() - statement.heard_at, 2),
            daemons=self.shared_rates.daemon_count,
        )


def build_key(upstream: str, born: float) -> str:
    """Return the key of the limit that one incarnation of an upstream named."""
    return f"limit {upstream} {born}"
