"""Upstreams that say that they are brittle, and this daemon's room at them."""

__all__ = ["BrittleUpstreams"]

import asyncio
from collections.abc import Collection

from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.shared_rates import SharedRates
from tanagertrail.gateway.statement_table import OWN_ANSWER, StatementTable
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.platform.header_fields import UpstreamFields
from tanagertrail.policy.brittle import BrittleRoom, count_holders, plan_slots, widen_room
from tanagertrail.policy.limit_statements import LimitStatement

LOAD_FACTOR = 2.0  # requests per slot that all daemons send to an upstream that is not brittle
SERVICE_TIME_WEIGHT = 0.1  # of the newest request in the moving average
FIRST_SERVICE_SECONDS = 1.0  # until a request was answered


class BrittleUpstreams(StatementTable):
    """The newest statement of each upstream on the rejections that it survives in a second.

    All upstreams of a service are brittle at the same times. One that has not answered since
    another of its service said so, such as one that has just started, is taken to be brittle.

    :ivar in_force: ids of the upstreams whose newest statement says that they are brittle
    :ivar rooms: this daemon's room by upstream id and start
    :ivar service_seconds: moving average of the time of a request, by service
    :ivar rejected_count: requests that brittle upstreams rejected
    """

    def __init__(
        self,
        upstreams: UpstreamTable,
        shared_rates: SharedRates,
        log: EventLog,
        boot_time: BootClock,
    ) -> None:
        super().__init__(log, boot_time)
        self.upstreams = upstreams
        self.shared_rates = shared_rates
        self.in_force: set[str] = set()
        self.rooms: dict[tuple[str, float], BrittleRoom] = {}
        self.service_seconds: dict[str, float] = {}
        self.rejected_count = 0

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def is_worth_keeping(self, statement: LimitStatement) -> bool:
        """Keep what shows that an upstream is not brittle while others are."""
        return statement.rate is not None or bool(self.statements)

    def apply(self, upstream: str, statement: LimitStatement, source: str, field: str = "") -> bool:
        """Apply a statement and return whether it changed what the upstream survives."""
        changed = super().apply(upstream, statement, source, field)
        known = self.statements.get(upstream)
        if known is not None and known.rate is not None:
            self.in_force.add(upstream)
        else:
            self.in_force.discard(upstream)
        entry = self.upstreams.entries.get(upstream)
        if entry is not None:
            rate = self.get_rate(entry)
            entry.rejection_limit = None if rate is None else int(rate)
        return changed

    def forget_ended(self, registered: Collection[str]) -> None:
        """Drop old statements that have ended and those of upstreams that are gone."""
        super().forget_ended(registered)
        self.in_force.intersection_update(self.statements)

    def note_answer(self, entry: UpstreamEntry, fields: UpstreamFields, sent_at: float) -> None:
        """Apply what an upstream's answer says; a malformed value changes nothing.

        :param sent_at: boot time in seconds at which the request was sent
        """
        stated = fields.rejection_limit
        if stated is not None and stated.count is None:
            self.log.write_routine("brittle_refused", upstream=entry.record.id, value=stated.value)
            return
        limit = None if stated is None else float(stated.count)
        statement = LimitStatement(entry.record.born, limit, sent_at, self.boot_time())
        if self.apply(entry.record.id, statement, OWN_ANSWER):
            self.on_change()

    def is_brittle(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream is brittle by its newest answer or by those of others."""
        if not self.in_force:
            return False
        own = self.statements.get(entry.record.id)
        if own is not None and own.born == entry.record.born:
            if own.rate is not None:
                return True
            heard_at = own.heard_at
        else:
            heard_at = float("-inf")
        return any(
            self.statements[name].heard_at > heard_at
            for name in self.in_force
            if self.is_in_service(name, entry.record.service)
        )

    def is_in_service(self, upstream: str, service: str) -> bool:
        """Return whether an upstream is registered for a service."""
        entry = self.upstreams.entries.get(upstream)
        return entry is not None and entry.record.service == service

    def allows_request(self, entry: UpstreamEntry) -> bool:
        """Return whether this daemon may send a request to an upstream now."""
        if not self.statements:
            return True
        key = (entry.record.id, entry.record.born)
        if self.is_brittle(entry):
            room = self.refresh_room(entry)
            return entry.running < entry.record.slots and room.allows_request(
                entry.in_flight, self.now()
            )
        if key not in self.rooms:
            return True
        usual = LOAD_FACTOR * entry.record.slots
        ended_for = self.boot_time() - self.changed_at.get(entry.record.id, float("-inf"))
        return entry.in_flight < widen_room(self.rooms[key].part, usual, ended_for)

    def refresh_room(self, entry: UpstreamEntry) -> BrittleRoom:
        """Return this daemon's room at an upstream for the fleet as it is."""
        self.shared_rates.refresh_fleet()
        held = self.shared_rates.held_rates
        room = self.rooms.setdefault((entry.record.id, entry.record.born), BrittleRoom())
        part = plan_slots(self.find_holders(entry), entry.record.slots, held.fleet)
        is_alone = len(held.fleet.serving) == 1 and held.fleet.live_share == 1.0
        room.apply_part(part, is_alone or self.now() >= held.settled_at)
        return room

    def note_ended(self, entry: UpstreamEntry, rejected: bool, served_for: float | None) -> None:
        """Record the end of an attempt at an upstream.

        :param served_for: seconds that a successful one took, None for any other
        """
        if served_for is not None:
            service = entry.record.service
            known = self.service_seconds.get(service, served_for)
            self.service_seconds[service] = known + SERVICE_TIME_WEIGHT * (served_for - known)
        room = self.rooms.get((entry.record.id, entry.record.born))
        if room is None or not self.is_brittle(entry):
            return
        if rejected:
            self.rejected_count += 1
            room.note_rejected(entry.in_flight, self.now())
            self.log.write_routine(
                "brittle_rejected",
                upstream=entry.record.id,
                in_flight=entry.in_flight,
                running=entry.running,
                part=room.part,
                pause_s=room.pause,
            )
        elif served_for is not None:
            room.note_answered()

    def find_holders(self, entry: UpstreamEntry) -> list[str]:
        """Find the daemons that hold a part of an upstream's slots, none unless it is brittle."""
        if not self.is_brittle(entry):
            return []
        count = count_holders(entry.record.slots, self.shared_rates.daemon_count)
        key = f"brittle {entry.record.id} {entry.record.born}"
        return self.shared_rates.find_holders(key, count)

    def estimate_rate(self, entries: list[UpstreamEntry]) -> float | None:
        """Estimate the requests per second that brittle upstreams take from one daemon's callers.

        It is None unless all are brittle.
        """
        if not entries or not all(map(self.is_brittle, entries)):
            return None
        self.shared_rates.refresh_fleet()
        fleet = self.shared_rates.held_rates.fleet
        slots = sum(entry.record.slots for entry in entries) * fleet.live_share
        seconds = self.service_seconds.get(entries[0].record.service, FIRST_SERVICE_SECONDS)
        return slots / max(len(fleet.serving), 1) / max(seconds, 0.001)

    def forget_rooms(self) -> None:
        """Drop the rooms at upstreams that are gone or have not been brittle for long."""
        for upstream, born in list(self.rooms):
            entry = self.upstreams.entries.get(upstream)
            if entry is None or entry.record.born != born or upstream not in self.statements:
                del self.rooms[upstream, born]

    def log_change(
        self,
        upstream: str,
        before: float | None,
        statement: LimitStatement,
        source: str,
        field: str,
    ) -> None:
        """Log that an upstream says it is brittle, or does so no more."""
        if before is None or statement.rate is None:
            event = "brittle_ended" if statement.rate is None else "brittle_learned"
            write = self.log.write
        else:
            event, write = "brittle_changed", self.log.write_routine
        write(
            event,
            upstream=upstream,
            rejection_limit=statement.rate,
            before=before,
            source=source,
            age_s=round(self.boot_time() - statement.heard_at, 2),
            daemons=self.shared_rates.daemon_count,
        )
