"""Members of the fleet of daemons, their liveness and their registration."""

__all__ = [
    "Member",
    "MemberHandler",
    "MemberTable",
    "build_own_member",
    "check_member",
    "decode_member",
    "register_member",
]

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from tanagertrail.daemons.peer_messages import DaemonState, LivenessRecord
from tanagertrail.daemons.releases import CARRIER_RELEASE, OLDEST_RELEASE, RELEASE
from tanagertrail.daemons.row_checks import decode_row
from tanagertrail.decoding import (
    MAX_COUNT,
    MAX_UNIX_MILLISECONDS,
    is_endpoint,
    is_integer,
    is_name,
)
from tanagertrail.errors import ConflictError, FrameError, PlatformError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.mirror import BaseKindHandler, ObjectStatus
from tanagertrail.gateway.model import GatewaySettings
from tanagertrail.gateway.refusals import RefusalLog
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

    def encode(self, names_carrier: bool = True) -> dict[str, object]:
        """Return the content of the stored registration.

        :param names_carrier: whether it has the field that older releases refuse
        """
        content = self._asdict()
        if not names_carrier:
            del content["carrier"]
        return content

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


def check_member(member: Member) -> None:
    """Check the values by which a daemon is reached and compared with others.

    :raises FrameError: if one is out of its bounds
    """
    if not is_name(member.daemon):
        raise FrameError("a daemon must have a name")
    if not is_integer(member.incarnation, 0, MAX_UNIX_MILLISECONDS):
        raise FrameError(f"incarnation {member.incarnation} of {member.daemon} is out of range")
    if not (is_endpoint(member.address) and is_endpoint(member.front)):
        raise FrameError(f"an address of {member.daemon} is not host:port")
    if not is_integer(member.strength, 0, MAX_COUNT):
        raise FrameError(f"strength {member.strength} of {member.daemon} is out of range")


def decode_member(content: Any) -> Member:
    """Decode a stored registration; unknown fields are ignored.

    :raises FrameError: if a field is missing, of another type or out of its bounds
    """
    if not isinstance(content, dict):
        raise FrameError("a registration must be a table")
    names = Member._fields
    member = decode_row(
        Member, tuple(content.get(name, Member._field_defaults.get(name)) for name in names)
    )
    check_member(member)
    return member


@dataclass
class MemberState:
    """What this daemon knows about a member.

    :ivar last_seen_at: event-loop time in seconds at which it was last known to be alive
    :ivar serving: whether it accepts callers' requests
    :ivar reaches_upstreams: whether it reaches the upstreams, as far as it knows
    :ivar release: newest release in whose form it was seen to tell its state or registration
    """

    member: Member
    last_seen_at: float
    serving: bool
    reaches_upstreams: bool = True
    release: int = RELEASE

    def merge_form(self, member: Member, release: int) -> bool:
        """Merge what a newer form tells, and return whether the release is news."""
        if member.carrier and not self.member.carrier:
            self.member = self.member._replace(carrier=member.carrier)
        is_news = release > self.release
        self.release = max(release, self.release)
        return is_news


class MemberTable:
    """All known members except this daemon.

    :ivar own: this daemon as a member
    :ivar states: known members by name
    :ivar registered: content of the stored registration, None until it is stored
    """

    def __init__(self, own: Member, log: EventLog) -> None:
        self.own = own
        self.log = log
        self.states: dict[str, MemberState] = {}
        self.registered: dict[str, object] | None = None

    @property
    def may_name_carrier(self) -> bool:
        """Whether all known members read a registration that names a carrier."""
        return all(state.release >= CARRIER_RELEASE for state in self.states.values())

    @property
    def is_registration_outdated(self) -> bool:
        """Whether the stored registration has a form that was chosen for other members."""
        content = self.registered
        return content is not None and ("carrier" in content) != self.may_name_carrier

    def merge_member(
        self,
        member: Member,
        last_seen_at: float,
        serving: bool,
        reaches_upstreams: bool = True,
        release: int = RELEASE,
    ) -> None:
        """Merge what was learnt about a member, unless something newer is known.

        :param release: release in whose form it was told
        """
        if member.daemon == self.own.daemon:
            self.raise_incarnation(member.incarnation)
            return
        state = self.states.get(member.daemon)
        if state is None or member.incarnation > state.member.incarnation:
            if state is None or state.member.address != member.address:
                self.log.write("member_known", member=member.daemon, front=member.front)
            self.states[member.daemon] = MemberState(
                member, last_seen_at, serving, reaches_upstreams, release
            )
            return
        if member.incarnation != state.member.incarnation:
            return
        if state.merge_form(member, release):
            self.log.write("member_release", member=member.daemon, release=state.release)
        if last_seen_at > state.last_seen_at:
            if serving != state.serving:
                self.log.write("member_serving", member=member.daemon, serving=serving)
            if reaches_upstreams != state.reaches_upstreams:
                self.log.write(
                    "member_links", member=member.daemon, reaches_upstreams=reaches_upstreams
                )
            state.last_seen_at = last_seen_at
            state.serving = serving
            state.reaches_upstreams = reaches_upstreams

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise this daemon's incarnation above an earlier one that others consider newer.

        Incarnations come from the wall clock, which may have been ahead at an earlier start.
        """
        if self.own.incarnation < incarnation < MAX_UNIX_MILLISECONDS:
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

    def apply_liveness_record(self, record: LivenessRecord, now: float, field_count: int) -> None:
        """Apply a liveness record of a known member; it carries no address of its own.

        :param field_count: number of fields that were told; the others change nothing
        """
        state = self.states.get(record.daemon)
        if state is not None and state.member.incarnation == record.incarnation:
            seen_at = now - record.age_ms / 1000
            told = LivenessRecord._fields[:field_count]
            links = record if "reaches_upstreams" in told else state
            form = record if "release" in told else state
            self.merge_member(
                state.member, seen_at, record.serving, links.reaches_upstreams, form.release
            )

    def list_strengths(self) -> dict[str, int]:
        """Return the strength of each member, including this daemon."""
        known = {name: state.member.strength for name, state in self.states.items()}
        return known | {self.own.daemon: self.own.strength}

    def list_serving(self, now: float) -> list[MemberState]:
        """Return the members that are alive and accept callers' requests."""
        return [state for state in self.list_alive(now) if state.serving]

    def list_connected(self, now: float) -> list[MemberState]:
        """Return the members that accept callers' requests and reach the upstreams."""
        return [state for state in self.list_serving(now) if state.reaches_upstreams]

    def list_carriers(self, now: float) -> list[Member]:
        """Return the members that can carry requests to upstreams."""
        return [state.member for state in self.list_connected(now) if has_carrier(state.member)]

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
    table.registered = None
    while True:
        try:
            table.registered = await write_registration(store, table)
            return
        except PlatformError as error:
            log.write("registration_failed", error=str(error)[:200])
            await asyncio.sleep(rng.uniform(*REGISTRATION_RETRY_SECONDS))


async def write_registration(store: StoreClient, table: MemberTable) -> dict[str, object]:
    """Create or replace this daemon's registration, and return its content.

    :raises PlatformError: if the write failed or its answer was lost
    """
    name = table.own.daemon
    content = table.own.encode(table.may_name_carrier)
    try:
        await store.create(MEMBERS_KIND, name, content)
    except ConflictError:
        found = await store.read(MEMBERS_KIND, name)
        if found is not None:
            table.raise_incarnation(read_incarnation(found))
        revision = found.revision if found else 0
        content = table.own.encode(table.may_name_carrier)
        await store.replace(MEMBERS_KIND, name, content, revision)
    return content


def read_incarnation(item: StoredObject) -> int:
    """Return the incarnation in a stored registration, 0 if it cannot be read."""
    try:
        return decode_member(item.content).incarnation
    except FrameError:
        return 0


class MemberHandler(BaseKindHandler):
    """Learn members from their registrations in the store."""

    def __init__(
        self, table: MemberTable, now: Callable[[], float], refusals: RefusalLog | None = None
    ) -> None:
        self.table = table
        self.now = now
        self.refusals = refusals or RefusalLog(table.log)

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Apply all registrations; members are removed only after long silence."""
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)

    def on_synced(self, as_of: float) -> None:
        """Do nothing: liveness comes from states, not from registrations."""

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a registration, which provides an address but no proof of liveness."""
        if object_status is not ObjectStatus.PRESENT:
            return
        try:
            member = decode_member(item.content)
        except FrameError as error:
            self.refusals.write(
                "member_refused", MEMBERS_KIND, item.name, item.revision, error, member=item.name
            )
            return
        release = CARRIER_RELEASE if "carrier" in item.content else OLDEST_RELEASE
        last_seen_at = self.now() - self.table.alive_timeout
        self.table.merge_member(member, last_seen_at, False, release=release)
