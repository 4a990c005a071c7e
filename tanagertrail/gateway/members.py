"""Members of the fleet of daemons, their liveness and their registration."""

__all__ = ["Member", "MemberHandler", "MemberTable", "build_own_member", "register_member"]

import asyncio
import random
from dataclasses import dataclass
from typing import Any, NamedTuple

from tanagertrail.daemons.peer_messages import DaemonState, LivenessRecord
from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import BaseKindHandler, ObjectStatus
from tanagertrail.gateway.model import GatewaySettings
from tanagertrail.platform.store import StoreClient, StoredObject
from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS, compute_hub_capacity

MEMBERS_KIND = "tanagertrail-daemons"
ALIVE_TIMEOUT_SECONDS = 2.5  # five missed states if all daemons exchange directly
RELAYED_ALIVE_TIMEOUT_SECONDS = 4.5  # if states are relayed by two hubs
FORGET_TIMEOUT_SECONDS = 20.0
REGISTRATION_RETRY_SECONDS = (0.3, 0.8)  # random delay, since many daemons start at once


class Member(NamedTuple):
    """A daemon as it describes itself to others.

    :ivar incarnation: start time as Unix time in milliseconds
    :ivar address: address for traffic between daemons
    :ivar front: address for callers
    :ivar strength: capacity of its instance for the work of a hub
    :ivar carrier: address for requests that it carries for other daemons, empty if it carries none
    """

    daemon: str
    incarnation: int
    address: str
    front: str
    failure_domain: str
    strength: int = 0
    carrier: str = ""

    def encode(self) -> dict[str, object]:
        """Return the content of the stored registration."""
        return self._asdict()

    def build_state(self, counter: int, **details: Any) -> DaemonState:
        """Return a state of the daemon.

        :param counter: sequence number of the state within the incarnation
        :param details: values of the other fields of :class:`DaemonState`
        """
        return DaemonState(counter=counter, **self._asdict(), **details)

    @classmethod
    def from_state(cls, state: DaemonState) -> "Member":
        """Return the daemon that reported a state."""
        return cls(*(getattr(state, name) for name in cls._fields))


@dataclass
class MemberState:
    """What this daemon knows about a member.

    :ivar last_seen_at: event-loop time in seconds at which it was last known to be alive
    :ivar serving: whether it accepts callers' requests
    :ivar reaches_upstreams: whether it reaches upstreams over its own connections
    """

    member: Member
    last_seen_at: float
    serving: bool
    reaches_upstreams: bool = True


class MemberTable:
    """All known members except this daemon.

    :ivar own: this daemon as a member
    :ivar states: known members by name
    """

    def __init__(self, own: Member, log: EventLog) -> None:
        self.own = own
        self.log = log
        self.states: dict[str, MemberState] = {}

    def merge_member(self, member: Member, last_seen_at: float, serving: bool) -> None:
        """Merge what was learnt about a member, unless something newer is known."""
        if member.daemon == self.own.daemon:
            self.raise_incarnation(member.incarnation)
            return
        state = self.states.get(member.daemon)
        if state is None or member.incarnation > state.member.incarnation:
            if state is None or state.member.address != member.address:
                self.log.write("member_known", member=member.daemon, front=member.front)
            self.states[member.daemon] = MemberState(member, last_seen_at, serving)
        elif member.incarnation == state.member.incarnation and last_seen_at > state.last_seen_at:
            if serving != state.serving:
                self.log.write("member_serving", member=member.daemon, serving=serving)
            state.last_seen_at = last_seen_at
            state.serving = serving

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise this daemon's incarnation above an earlier one that others consider newer.

        Incarnations come from the wall clock, which may have been ahead at an earlier start.
        """
        if incarnation > self.own.incarnation:
            self.log.write("incarnation_raised", old=self.own.incarnation, known=incarnation)
            self.own = self.own._replace(incarnation=incarnation + 1)

    def find_newer_incarnation(self, daemon: str, incarnation: int) -> int:
        """Return the known incarnation of a member if it is newer than the given one, else 0."""
        state = self.states.get(daemon)
        known = state.member.incarnation if state is not None else 0
        return known if known > incarnation else 0

    def mark_unreachable(self, daemon: str, now: float) -> None:
        """Mark a member as not alive, since its process no longer listens."""
        state = self.states.get(daemon)
        if state is not None and now - state.last_seen_at < self.alive_timeout:
            self.log.write(
                "member_lost", member=daemon, silent_s=round(now - state.last_seen_at, 2)
            )
            state.last_seen_at = now - self.alive_timeout

    def remove_silent(self, now: float) -> list[str]:
        """Remove the members that have been silent for a long time and return their names."""
        silent = [
            name
            for name, state in self.states.items()
            if now - state.last_seen_at > FORGET_TIMEOUT_SECONDS
        ]
        for name in silent:
            del self.states[name]
            self.log.write("member_forgotten", member=name)
        return silent

    @property
    def alive_timeout(self) -> float:
        """Return the seconds of silence after which a member no longer counts as alive."""
        return (
            ALIVE_TIMEOUT_SECONDS
            if len(self.states) < MAX_FULL_MESH_DAEMONS
            else RELAYED_ALIVE_TIMEOUT_SECONDS
        )

    def list_alive(self, now: float) -> list[MemberState]:
        """Return the members that are alive."""
        limit = self.alive_timeout
        return [state for state in self.states.values() if now - state.last_seen_at < limit]

    def apply_liveness_record(self, record: LivenessRecord, now: float) -> None:
        """Apply a liveness record of a known member; it carries no address of its own."""
        state = self.states.get(record.daemon)
        if state is not None and state.member.incarnation == record.incarnation:
            self.merge_member(state.member, now - record.age_ms / 1000, record.serving)

    def list_strengths(self) -> dict[str, int]:
        """Return the strength of each member, including this daemon."""
        known = {name: state.member.strength for name, state in self.states.items()}
        return known | {self.own.daemon: self.own.strength}

    def list_serving_members(self, now: float) -> list[Member]:
        """Return the members that are alive and accept callers' requests."""
        return [state.member for state in self.list_alive(now) if state.serving]

    def list_sending_members(self, now: float) -> list[Member]:
        """Return the members that serve callers and reach upstreams."""
        return [
            state.member
            for state in self.list_alive(now)
            if state.serving and state.reaches_upstreams
        ]

    def list_carriers(self, now: float) -> list[Member]:
        """Return the members that can carry requests to upstreams."""
        return [member for member in self.list_sending_members(now) if has_carrier(member)]

    def is_alive(self, daemon: str, now: float) -> bool:
        """Return whether a member is alive."""
        state = self.states.get(daemon)
        return state is not None and now - state.last_seen_at < self.alive_timeout

    def list_hosts(self) -> set[str]:
        """Return the hosts of all known members."""
        return {str(state.member.address).rpartition(":")[0] for state in self.states.values()}

    def count(self) -> int:
        """Count all known members, including this daemon."""
        return len(self.states) + 1

    def count_alive(self, now: float) -> int:
        """Count the members that are alive, including this daemon."""
        return len(self.list_alive(now)) + 1


def build_own_member(settings: GatewaySettings, incarnation: int) -> Member:
    """Return this daemon as a member, as described by its settings."""
    return Member(
        settings.name,
        incarnation,
        f"{settings.host}:{settings.internal[0]}",
        settings.front,
        settings.failure_domain,
        compute_hub_capacity(settings.cores, settings.link),
        find_carrier_address(settings),
    )


def has_carrier(member: Member) -> bool:
    """Return whether a member names an address for carried requests."""
    return isinstance(member.carrier, str) and ":" in member.carrier


def find_carrier_address(settings: GatewaySettings) -> str:
    """Return the address for carried requests, empty if there is no port for them."""
    first, last = settings.internal
    return f"{settings.host}:{first + 1}" if first < last else ""


async def register_member(
    store: StoreClient, table: MemberTable, log: EventLog, rng: random.Random
) -> None:
    """Register this daemon in the store, retrying until it succeeds."""
    while True:
        try:
            await write_registration(store, table)
            return
        except PlatformError as error:
            log.write("registration_failed", error=str(error)[:200])
            await asyncio.sleep(rng.uniform(*REGISTRATION_RETRY_SECONDS))


async def write_registration(store: StoreClient, table: MemberTable) -> None:
    """Create or replace this daemon's registration.

    :raises PlatformError: if the write failed or its answer was lost
    """
    name = table.own.daemon
    try:
        await store.create(MEMBERS_KIND, name, table.own.encode())
    except ConflictError:
        found = await store.read(MEMBERS_KIND, name)
        if found is not None and isinstance(found.content, dict):
            earlier = found.content.get("incarnation")
            table.raise_incarnation(earlier if isinstance(earlier, int) else 0)
        revision = found.revision if found else 0
        await store.replace(MEMBERS_KIND, name, table.own.encode(), revision)


class MemberHandler(BaseKindHandler):
    """Learn members from their registrations in the store."""

    def __init__(self, table: MemberTable, now) -> None:
        self.table = table
        self.now = now

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply all registrations; members are removed only after long silence."""
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)

    def on_synced(self, as_of: float) -> None:
        """Do nothing: liveness comes from states, not from registrations."""

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a registration, which provides an address but no proof of liveness."""
        if object_status is not ObjectStatus.PRESENT or not isinstance(item.content, dict):
            return
        try:
            member = Member(**item.content)
        except TypeError as error:
            self.table.log.write("member_refused", member=item.name, error=str(error))
            return
        self.table.merge_member(member, self.now() - self.table.alive_timeout, False)
