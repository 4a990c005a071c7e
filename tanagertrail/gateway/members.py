"""Which daemons there are and which of them serve."""

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
ALIVE_SECONDS = 2.5  # five states missed where each daemon hears each
RELAYED_ALIVE_SECONDS = 4.5  # where states pass two hubs
FORGET_SECONDS = 20.0
REGISTER_PAUSE_SECONDS = (0.3, 0.8)  # after a failed try; many daemons start at one moment


class Member(NamedTuple):
    """A daemon as it describes itself.

    :ivar incarnation: Unix time in milliseconds of its start
    :ivar address: its address for traffic between daemons
    :ivar front: its address for callers
    :ivar strength: how well its instance bears the work of a hub
    """

    daemon: str
    incarnation: int
    address: str
    front: str
    failure_domain: str
    strength: int = 0

    def encode(self) -> dict[str, object]:
        """Return the object that the store keeps."""
        return self._asdict()

    def build_state(self, counter: int, **details: Any) -> DaemonState:
        """Return the daemon's state.

        :param counter: number of the state in this incarnation
        :param details: what the daemon does, by the names of the state's fields
        """
        return DaemonState(counter=counter, **self._asdict(), **details)

    @classmethod
    def of_state(cls, state: DaemonState) -> "Member":
        """Return the daemon that told a state."""
        return cls(*(getattr(state, name) for name in cls._fields))


@dataclass
class MemberState:
    """What is known of a member.

    :ivar heard_at: event-loop time in seconds at which it was last known to live
    :ivar serving: whether it takes callers' requests
    """

    member: Member
    heard_at: float
    serving: bool


class MemberTable:
    """The daemons that are known, this one left out."""

    def __init__(self, own: Member, log: EventLog) -> None:
        self.own = own
        self.log = log
        self.states: dict[str, MemberState] = {}

    def merge_member(self, member: Member, heard_at: float, serving: bool) -> None:
        """Take news of a member unless something newer is known."""
        if member.daemon == self.own.daemon:
            self.raise_incarnation(member.incarnation)
            return
        state = self.states.get(member.daemon)
        if state is None or member.incarnation > state.member.incarnation:
            if state is None or state.member.address != member.address:
                self.log.write("member_known", member=member.daemon, front=member.front)
            self.states[member.daemon] = MemberState(member, heard_at, serving)
        elif member.incarnation == state.member.incarnation and heard_at > state.heard_at:
            if serving != state.serving:
                self.log.write("member_serving", member=member.daemon, serving=serving)
            state.heard_at = heard_at
            state.serving = serving

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise this daemon's incarnation above an earlier one that others take as newer.

        Incarnations come from the time of day, which may have been ahead at an earlier start.
        """
        if incarnation > self.own.incarnation:
            self.log.write("incarnation_raised", old=self.own.incarnation, known=incarnation)
            self.own = self.own._replace(incarnation=incarnation + 1)

    def find_newer_incarnation(self, daemon: str, incarnation: int) -> int:
        """Return the incarnation of a member that is known here if it is newer, else 0."""
        state = self.states.get(daemon)
        known = state.member.incarnation if state is not None else 0
        return known if known > incarnation else 0

    def note_unreachable(self, daemon: str, now: float) -> None:
        """Take a member whose process no longer listens as not living."""
        state = self.states.get(daemon)
        if state is not None and now - state.heard_at < self.alive_seconds:
            self.log.write("member_lost", member=daemon, silent_s=round(now - state.heard_at, 2))
            state.heard_at = now - self.alive_seconds

    def forget_silent(self, now: float) -> list[str]:
        """Forget the members that have been silent for long, and return them."""
        silent = [n for n, state in self.states.items() if now - state.heard_at > FORGET_SECONDS]
        for name in silent:
            del self.states[name]
            self.log.write("member_forgotten", member=name)
        return silent

    @property
    def alive_seconds(self) -> float:
        """Return the seconds of silence after which a member no longer counts as living."""
        return ALIVE_SECONDS if len(self.states) < MAX_FULL_MESH_DAEMONS else RELAYED_ALIVE_SECONDS

    def list_alive_members(self, now: float) -> list[MemberState]:
        """Return the members that live."""
        limit = self.alive_seconds
        return [state for state in self.states.values() if now - state.heard_at < limit]

    def apply_liveness_record(self, sign: LivenessRecord, now: float) -> None:
        """Take a sign of life of a member whose address is known."""
        state = self.states.get(sign.daemon)
        if state is not None and state.member.incarnation == sign.incarnation:
            self.merge_member(state.member, now - sign.age_ms / 1000, sign.serving)

    def list_strengths(self) -> dict[str, int]:
        """Return the strength of each member, this one included."""
        known = {name: state.member.strength for name, state in self.states.items()}
        return known | {self.own.daemon: self.own.strength}

    def list_fronts(self, now: float) -> list[Member]:
        """Return the members that take callers' requests."""
        return [state.member for state in self.list_alive_members(now) if state.serving]

    def count(self) -> int:
        """Count the members that may act, this one included."""
        return len(self.states) + 1

    def count_alive(self, now: float) -> int:
        """Count the members that live, this one included."""
        return len(self.list_alive_members(now)) + 1


def build_own_member(settings: GatewaySettings, incarnation: int) -> Member:
    """Return the description of this daemon."""
    return Member(
        settings.name,
        incarnation,
        f"{settings.host}:{settings.internal[0]}",
        settings.front,
        settings.failure_domain,
        compute_hub_capacity(settings.cores, settings.link),
    )


async def register_member(
    store: StoreClient, table: MemberTable, log: EventLog, rng: random.Random
) -> None:
    """Register this daemon in the store, however often it takes."""
    while True:
        try:
            await put_registration(store, table)
            return
        except PlatformError as error:
            log.write("registration_failed", error=str(error)[:200])
            await asyncio.sleep(rng.uniform(*REGISTER_PAUSE_SECONDS))


async def put_registration(store: StoreClient, table: MemberTable) -> None:
    """Create or replace this daemon's registration.

    :raises PlatformError: if it failed or its answer was lost
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
    """Follow the daemons that registered in the store."""

    def __init__(self, table: MemberTable, now) -> None:
        self.table = table
        self.now = now

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Take all registrations."""
        for item in objects:
            self.apply_change(item, ObjectStatus.PRESENT)

    def on_synced(self, as_of: float) -> None:
        """Do nothing: members prove their life themselves."""

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Take a registration; it gives an address, not a sign of life."""
        if object_status is not ObjectStatus.PRESENT or not isinstance(item.content, dict):
            return
        try:
            member = Member(**item.content)
        except TypeError as error:
            self.table.log.write("member_refused", member=item.name, error=str(error))
            return
        self.table.merge_member(member, self.now() - self.table.alive_seconds, False)
