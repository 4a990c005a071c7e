"""Request rates that upstreams say they accept, as known to one daemon."""

__all__ = ["RateLimitTable"]

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.shared_rates import SharedRates
from tanagertrail.gateway.statement_table import OWN_ANSWER, StatementTable
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.limit_statements import LimitStatement
from tanagertrail.policy.shared_rate import (
    NAMED_RATE_BOUND,
    SharedRateLimiter,
    count_rate_holders,
)


class RateLimitTable(StatementTable):
    """The newest statement of each upstream on the request rate that it accepts."""

    def __init__(self, shared_rates: SharedRates, log: EventLog, boot_time: BootClock) -> None:
        super().__init__(log, boot_time)
        self.shared_rates = shared_rates

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

    def find_holders(self, entry: UpstreamEntry) -> list[str]:
        """Find the daemons that hold a part of an upstream's rate, none unless it names one."""
        rate = self.get_rate(entry)
        if rate is None:
            return []
        return self.shared_rates.find_holders(
            build_key(entry.record.id, entry.record.born),
            count_rate_holders(rate, NAMED_RATE_BOUND),
        )

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

    def list_keys(self) -> set[str]:
        """Return the keys of the shared rates of all statements."""
        return {build_key(name, item.born) for name, item in self.statements.items()}

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
