"""Request rates that upstreams say they accept, as known to one daemon."""

__all__ = ["RateLimitTable"]

import asyncio

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.limit_statements import LimitStatement, merge_statements

OWN_ANSWER = "own answer"  # source of a statement that an upstream made to this daemon


class RateLimitTable:
    """The newest statement of each upstream on the request rate that it accepts.

    :ivar statements: newest statement by upstream id, in event-loop time
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.statements: dict[str, LimitStatement] = {}

    def get_rate(self, entry: UpstreamEntry) -> float | None:
        """Return the requests per second that an upstream accepts, None for no limit."""
        statement = self.statements.get(entry.record.id)
        if statement is None or statement.born != entry.record.born:
            return None
        return statement.rate

    def note_answer(self, entry: UpstreamEntry, fields: UpstreamFields, sent_at: float) -> None:
        """Apply what an upstream's answer says of its limit; a malformed value changes nothing.

        :param sent_at: event-loop time in seconds at which the request was sent
        """
        named = fields.rate_limit
        if named is not None and named.rate is None:
            self.log.write_routine(
                "limit_refused", upstream=entry.record.id, field=named.field, value=named.value
            )
            return
        now = asyncio.get_running_loop().time()
        rate = None if named is None else named.rate
        statement = LimitStatement(entry.record.born, rate, sent_at, now)
        self.apply(entry.record.id, statement, OWN_ANSWER, "" if named is None else named.field)

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
        self.log_change(upstream, before, merged, source, field)
        return True

    def log_change(
        self,
        upstream: str,
        before: float | None,
        statement: LimitStatement,
        source: str,
        field: str,
    ) -> None:
        """Log a limit that was learned, changed or ended."""
        if statement.rate is None:
            event = "limit_ended"
        else:
            event = "limit_learned" if before is None else "limit_changed"
        self.log.write(
            event,
            upstream=upstream,
            rate=statement.rate,
            before=before,
            source=source,
            field=field,
            age_s=round(asyncio.get_running_loop().time() - statement.heard_at, 2),
        )
