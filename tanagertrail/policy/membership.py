"""Daemon membership from the instance list, which may lag, and heartbeats between neighbours."""

__all__ = [
    "AddressAnswer",
    "Member",
    "MemberState",
    "Membership",
    "NeighbourRing",
    "StateChange",
    "build_holder",
    "parse_daemon",
    "pick_addresses",
]

import enum
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash, score_pair

HEARTBEAT_SECONDS = 0.5
SUSPICION_TIMEOUT_SECONDS = 1.6
RING_DEGREE = 3
ADDRESS_TTL_SECONDS = 10.0
ADDRESSES_PER_ANSWER = 3


class MemberState(enum.StrEnum):
    """State of a daemon as known to another one."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    GONE = "gone"


def build_holder(daemon: str, incarnation: int) -> str:
    """Return the identity of a daemon's incarnation."""
    return f"{daemon}@{incarnation}"


def parse_daemon(holder: str) -> str:
    """Return the name of the daemon from an incarnation's identity."""
    return holder.partition("@")[0]


@dataclass
class Member:
    """One daemon, identified by name and incarnation.

    :ivar counter: number of its last known heartbeat or state change
    :ivar heard_at: event-loop time in seconds of the last evidence that it is alive
    """

    daemon: str
    incarnation: int
    peer_address: str
    caller_address: str
    failure_domain: str
    state: MemberState = MemberState.LIVE
    counter: int = 0
    heard_at: float = 0.0

    @property
    def holder(self) -> str:
        """Return the identity of this incarnation."""
        return build_holder(self.daemon, self.incarnation)


class StateChange(NamedTuple):
    """A change of a member's state, flooded over the neighbour graph.

    :ivar counter: number assigned by the member itself; larger numbers supersede smaller ones
    """

    daemon: str
    incarnation: int
    counter: int
    state: MemberState


class Membership:
    """The members known to one daemon.

    A suspicion carries the last known counter; the member refutes it with a larger one. ``GONE``
    is set only from the instance list or by a newer incarnation, never because of missing
    heartbeats.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: dict[str, Member] = {}

    def add(self, member: Member, now: float) -> bool:
        """Add a registered daemon; return whether its incarnation is new."""
        known = self.members.get(member.daemon)
        if known is not None and known.incarnation >= member.incarnation:
            return False
        member.heard_at = now
        self.members[member.daemon] = member
        return True

    def note_heartbeat(
        self, daemon: str, incarnation: int, counter: int, now: float
    ) -> StateChange | None:
        """Record a heartbeat; return a state change if it refutes a suspicion."""
        member = self.members.get(daemon)
        if member is None or incarnation != member.incarnation or counter <= member.counter:
            return None
        member.counter = counter
        member.heard_at = now
        if member.state is not MemberState.SUSPECTED:
            return None
        member.state = MemberState.LIVE
        return StateChange(daemon, incarnation, counter, MemberState.LIVE)

    def apply(self, change: StateChange, now: float) -> bool:
        """Apply a flooded state change; return whether it changed anything."""
        member = self.members.get(change.daemon)
        if member is None or change.incarnation != member.incarnation:
            return False
        if member.state is MemberState.GONE:
            return False
        if change.state is MemberState.GONE:
            member.state = MemberState.GONE
            return True
        if change.counter < member.counter:
            return False
        if change.counter == member.counter and rank_state(change.state) <= rank_state(
            member.state
        ):
            return False
        member.counter = change.counter
        member.state = change.state
        if change.state is not MemberState.SUSPECTED:
            member.heard_at = now
        return True

    def suspect_silent(self, watched: Iterable[str], now: float) -> list[StateChange]:
        """Suspect the watched members whose heartbeats are overdue; return the state changes."""
        changes = []
        for daemon in watched:
            member = self.members.get(daemon)
            if member is None or member.state in (MemberState.SUSPECTED, MemberState.GONE):
                continue
            if now - member.heard_at > SUSPICION_TIMEOUT_SECONDS:
                member.state = MemberState.SUSPECTED
                changes.append(
                    StateChange(daemon, member.incarnation, member.counter, MemberState.SUSPECTED)
                )
        return changes

    def remove(self, daemon: str) -> Member | None:
        """Remove and return a daemon whose instance is no longer listed."""
        member = self.members.get(daemon)
        if member is None or daemon == self.own:
            return None
        member.state = MemberState.GONE
        return self.members.pop(daemon)

    def list_live(self) -> list[Member]:
        """Return the live members, including this daemon unless it is leaving."""
        return [item for item in self.members.values() if item.state is MemberState.LIVE]

    def is_current(self, holder: str) -> bool:
        """Return whether an identity is that of a registered daemon's current incarnation."""
        member = self.members.get(parse_daemon(holder))
        return member is not None and member.holder == holder

    def list_serving(self) -> list[Member]:
        """Return the live members, or the leaving ones if none is live."""
        leaving = [item for item in self.members.values() if item.state is MemberState.LEAVING]
        return self.list_live() or leaving


def rank_state(state: MemberState) -> int:
    """Return a state's rank; of two changes with the same counter the higher rank wins."""
    return list(MemberState).index(state)


class NeighbourRing:
    """A ring of daemons ordered by hashed name, from which neighbours are derived.

    The ring keeps the neighbour graph connected; chords at increasing distances keep its diameter
    small. Neighbourhood is symmetric. A daemon has at most ``2 * degree`` neighbours.
    """

    def __init__(self, degree: int = RING_DEGREE) -> None:
        self.degree = degree
        self.ring: list[tuple[int, str]] = []

    def add(self, daemon: str) -> None:
        """Add a daemon to the ring."""
        ring_position = (score_pair("ring", daemon), daemon)
        index = bisect_left(self.ring, ring_position)
        if index == len(self.ring) or self.ring[index] != ring_position:
            self.ring.insert(index, ring_position)

    def remove(self, daemon: str) -> None:
        """Remove a daemon from the ring."""
        ring_position = (score_pair("ring", daemon), daemon)
        index = bisect_left(self.ring, ring_position)
        if index < len(self.ring) and self.ring[index] == ring_position:
            del self.ring[index]

    def find_neighbours(self, daemon: str) -> list[str]:
        """Return the sorted names of a daemon's neighbours."""
        size = len(self.ring)
        own_index = bisect_left(self.ring, (score_pair("ring", daemon), daemon))
        chosen: set[str] = set()
        for index in range(self.degree):
            distance = max(round(size ** (index / self.degree)), index + 1)
            chosen.add(self.ring[(own_index + distance) % size][1])
            chosen.add(self.ring[(own_index - distance) % size][1])
        chosen.discard(daemon)
        return sorted(chosen)


class AddressAnswer(NamedTuple):
    """Caller addresses, as answered to a caller that asks which to use.

    :ivar ttl_seconds: time for which the caller may cache the answer
    """

    addresses: tuple[str, ...]
    ttl_seconds: float


def pick_addresses(
    members: Sequence[Member], question_number: int, count: int = ADDRESSES_PER_ANSWER
) -> AddressAnswer:
    """Return members' addresses in different failure domains, rotated with each question.

    :param question_number: number of the question at this daemon
    """
    ranked_names = rank_by_hash("addresses", [member.daemon for member in members])
    by_name = {member.daemon: member for member in members}
    start = question_number % len(ranked_names) if ranked_names else 0
    rotated_members = [by_name[name] for name in ranked_names[start:] + ranked_names[:start]]
    chosen: list[Member] = []
    for distinct_domains in (True, False):
        for member in rotated_members:
            domains = {item.failure_domain for item in chosen}
            is_new_domain = member.failure_domain not in domains
            if (
                len(chosen) < count
                and member not in chosen
                and (is_new_domain or not distinct_domains)
            ):
                chosen.append(member)
    return AddressAnswer(tuple(member.caller_address for member in chosen), ADDRESS_TTL_SECONDS)
