"""A daemon on virtual time that decides with the gateway's own parts."""

__all__ = ["SERVICE", "UnevenDaemon", "build_selector"]

import random
from collections import Counter
from collections.abc import Callable, Iterable
from types import SimpleNamespace

from tanagertrail.gateway.brittle_upstreams import BrittleUpstreams
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.model import SharedBounds, Upstream
from tanagertrail.gateway.rate_limits import RateLimitTable
from tanagertrail.gateway.shared_rates import SharedRates
from tanagertrail.gateway.trials import RolloutTrials
from tanagertrail.gateway.upstream_load import StatedLoad
from tanagertrail.gateway.upstream_paces import UpstreamPaces
from tanagertrail.gateway.upstream_selector import UpstreamSelector
from tanagertrail.gateway.upstream_statements import UpstreamStatements
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamLoad

SERVICE = "model"
DOMAINS = 4


def build_selector(
    name: str, domain: str, clock: Callable[[], float], placement: str, rng: random.Random
) -> UpstreamSelector:
    """Build a selector of a daemon without limits, trials or store."""
    members = MemberTable(Member(name, 1, "h:1", "h:2", domain), EventLog(name, clock, 0.0))
    view = ClusterView(SharedBounds(*[1.0] * len(SharedBounds._fields)), clock)
    rates = SharedRates(members, lambda: True)
    selector = UpstreamSelector(
        view,
        members,
        RolloutTrials(view),
        RateLimitTable(rates, members.log, clock),
        UpstreamStatements(view.upstreams, members.log, clock),
        BrittleUpstreams(view.upstreams, rates, members.log, clock),
        rng,
        placement,
    )
    selector.now = clock
    return selector


class UnevenDaemon:
    """One daemon.

    :ivar flights: upstream, time of the send and whether its first event has come, by request
    """

    def __init__(self, number: int, clock: Callable[[], float], placement: str, seed: int) -> None:
        self.number = number
        self.clock = clock
        rng = random.Random(seed * 1000 + number)
        self.selector = build_selector(f"g{number}", f"d{number % DOMAINS}", clock, placement, rng)
        self.upstreams = self.selector.cluster_view.upstreams
        self.paces = UpstreamPaces(self.upstreams, self.selector.statements, clock, rng)
        self.paces.now = clock
        self.flights: dict[int, tuple[UpstreamEntry, float, SimpleNamespace]] = {}

    def know(self, records: Iterable[Upstream]) -> None:
        """Take the registrations of upstreams."""
        for record in records:
            self.upstreams.put(record, self.clock())

    def know_daemons(self, count: int) -> None:
        """Take other daemons for members, whose loads are heard late if they are many."""
        for number in range(count):
            member = Member(f"g{number}", 1, "h:1", "h:2", "d0")
            self.selector.members.merge_member(member, 0.0, True)

    def send(self, exchange: SimpleNamespace, number: int) -> UpstreamEntry | None:
        """Choose an upstream for a request and count it there, None if there is none."""
        entry = self.selector.select_upstream(exchange)
        if entry is None:
            return None
        self.selector.note_dispatch(exchange, entry)
        entry.in_flight += 1
        entry.unread_tokens += exchange.reading.tokens
        self.flights[number] = (entry, self.clock(), exchange)
        return entry

    def note_first(self, number: int, load: UpstreamLoad | None) -> None:
        """Take the first event of an answer and what it states."""
        entry, sent_at, exchange = self.flights[number]
        entry.unread_tokens -= exchange.reading.tokens
        if load is not None:
            others = max(load.running + load.waiting - entry.in_flight, 0)
            entry.load = StatedLoad(load, others, self.clock())
        self.paces.note_first_event(entry, *exchange.reading, self.clock() - sent_at)

    def note_ended(self, number: int) -> None:
        """Take the end of an answer."""
        entry, _, _ = self.flights.pop(number)
        entry.in_flight -= 1

    def count_in_flight(self) -> Counter[str]:
        """Count this daemon's requests by upstream."""
        return Counter(entry.record.id for entry, _, _ in self.flights.values())

    def note_others(self, others: dict[str, int]) -> None:
        """Take the requests that the others have, as a report told them."""
        for name, count in others.items():
            self.upstreams.entries[name].in_flight_elsewhere = count

    def exchange_paces(self, hub: "UnevenDaemon") -> None:
        """Tell a hub what was learned, and hear what it knows."""
        hub.paces.merge(self.paces.encode(False, False), self.clock())
        self.paces.merge(hub.paces.encode(True, True), self.clock())
