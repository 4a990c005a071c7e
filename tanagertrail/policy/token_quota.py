"""Quotas of customers over all daemons, in tokens or requests."""

__all__ = ["QuotaLedger", "QuotaNews"]

from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

RECENT_SECONDS = 1.0  # span over which a daemon's present rate is taken
LONGEST_EXTRAPOLATION_SECONDS = 1.0  # a report is older only if its sender has gone silent
SILENT_SECONDS = 2.0  # four reports missed
LEAST_RETRY_SECONDS = 0.2


class QuotaNews(NamedTuple):
    """What a daemon said of one customer.

    :ivar used: units in the quota's window
    :ivar rate: units per second now
    """

    used: float
    rate: float


class CustomerUse:
    """Units that this daemon let pass for one customer."""

    def __init__(self) -> None:
        self.entries: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, units: float, now: float) -> None:
        """Count units."""
        self.entries.append((now, units))
        self.total += units

    def expire(self, oldest: float) -> None:
        """Forget what lies before the window."""
        while self.entries and self.entries[0][0] < oldest:
            self.total -= self.entries.popleft()[1]

    def count_since(self, since: float) -> float:
        """Count the units since a time."""
        total = 0.0
        for at, units in reversed(self.entries):
            if at < since:
                break
            total += units
        return total


class QuotaLedger:
    """Units of all daemons in a sliding window.

    Answers a customer that sends many times its usual through all daemons at once. A daemon adds
    what the others reported, and what they have used since at the rate that they reported. A
    member that has gone silent is taken to use its even share, so that two groups of daemons
    that cannot hear each other together stay within the quota.

    What a daemon let pass before it was started anew is not known to it. It is taken to be the
    daemon's even share of the quota, which leaves the window as time passes, so that a quota
    holds over a start of all daemons too.

    :ivar window: length of the window in seconds
    :ivar started_at: time in seconds at which the daemon started
    """

    def __init__(self, window: float, started_at: float) -> None:
        self.window = window
        self.started_at = started_at
        self.own: dict[str, CustomerUse] = {}
        self.others: dict[str, tuple[float, dict[str, QuotaNews]]] = {}

    def note_report(self, daemon: str, news: dict[str, QuotaNews], now: float) -> None:
        """Take what another daemon reported."""
        self.others[daemon] = (now, news)

    def forget_daemon(self, daemon: str) -> None:
        """Forget a daemon that has ended."""
        self.others.pop(daemon, None)

    def build_report(
        self, limits: Mapping[str, float], members: int, now: float
    ) -> dict[str, QuotaNews]:
        """Return what the other daemons are to know.

        :param limits: units that the window allows, by customer
        """
        report = {}
        for customer, limit in limits.items():
            used = self.count_own(customer, limit, members, now)
            if used > 0:
                use = self.own.get(customer)
                recent = use.count_since(now - RECENT_SECONDS) if use else 0.0
                report[customer] = QuotaNews(used, recent / RECENT_SECONDS)
        return report

    def count_own(self, customer: str, limit: float, members: int, now: float) -> float:
        """Return the units of this daemon in the window, those before its start estimated."""
        unknown = max(1.0 - (now - self.started_at) / self.window, 0.0)
        total = unknown * limit / max(members, 1)
        use = self.own.get(customer)
        if use is not None:
            use.expire(now - self.window)
            total += use.total
        return total

    def count_all(self, customer: str, members: int, limit: float, now: float) -> float:
        """Estimate the units of all daemons in the window.

        :param members: daemons that may use the quota, this one included
        """
        total = self.count_own(customer, limit, members, now)
        heard = 0
        for at, news in self.others.values():
            age = now - at
            if age > SILENT_SECONDS:
                continue
            heard += 1
            item = news.get(customer)
            if item is not None:
                total += item.used + item.rate * min(age, LONGEST_EXTRAPOLATION_SECONDS)
        silent = max(members - 1 - heard, 0)
        return total + silent * limit / max(members, 1)

    def admit(
        self, customer: str, units: float, limit: float, members: int, now: float
    ) -> float | None:
        """Let units pass, or return the seconds after which they may be asked for again.

        :param limit: units that the window allows
        """
        total = self.count_all(customer, members, limit, now)
        if total + units <= limit:
            self.own.setdefault(customer, CustomerUse()).add(units, now)
            return None
        return self.estimate_wait(customer, total + units - limit, now)

    def estimate_wait(self, customer: str, excess: float, now: float) -> float:
        """Estimate the seconds until this daemon's share of an excess has left the window."""
        use = self.own.get(customer)
        for at, units in use.entries if use else ():
            excess -= units * (1 + len(self.others))
            if excess <= 0:
                return max(at + self.window - now, LEAST_RETRY_SECONDS)
        return self.window / 2
