"""Which daemons are live, from the lagging instance list and heartbeats over a small graph."""

__all__ = [
    "AddressAnswer",
    "Member",
    "MemberState",
    "Membership",
    "NeighbourRing",
    "StateChange",
    "build_holder",
    "pick_addresses",
    "parse_daemon",
]

import enum
from bisect import bisect_left
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.policy.hashing import rank_by_hash, score_pair

HEARTBEAT_SECONDS = 0.5
SUSPECT_SECONDS = 1.6
DEGREE = 3
ADDRESS_TTL_SECONDS = 10.0
ADDRESSES_PER_ANSWER = 3


class MemberState(enum.StrEnum):
    """What is known of a daemon."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECTED = "suspected"
    GONE = "gone"


def build_holder(daemon: str, incarnation: int) -> str:
    """Return the identity of one incarnation of a daemon."""
    return f"{daemon}@{incarnation}"


def parse_daemon(holder: str) -> str:
    """Return the daemon's name in an incarnation's identity."""
    return holder.partition("@")[0]


@dataclass
class Member:
    """One daemon, identified by instance and incarnation.

    :ivar counter: number of its last heartbeat or state change known here
    :ivar heard_at: event-loop time of its last sign of life, in seconds
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
    """News of a member, flooded over the graph.

    :ivar counter: the member's own number; a larger one outdates the smaller
    """

    daemon: str
    incarnation: int
    counter: int
    state: MemberState


class Membership:
    """The members known to one daemon.

    A suspicion carries the last counter heard; the member refutes it by a larger one. ``GONE``
    comes only from the instance list or from a newer incarnation, never from silence.
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.members: dict[str, Member] = {}

    def add(self, member: Member, now: float) -> bool:
        """Add a registered daemon; return whether it is a new incarnation."""
        known = self.members.get(member.daemon)
        if known is not None and known.incarnation >= member.incarnation:
            return False
        member.heard_at = now
        self.members[member.daemon] = member
        return True

    def note_heartbeat(
        self, daemon: str, incarnation: int, counter: int, now: float
    ) -> StateChange | None:
        """Take a heartbeat; return news if it refutes a suspicion."""
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
        """Apply flooded news and return whether it is news here."""
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

    def find_silent(self, watched: Iterable[str], now: float) -> list[StateChange]:
        """Suspect the watched members that have been silent, and return the news."""
        changes = []
        for daemon in watched:
            member = self.members.get(daemon)
            if member is None or member.state in (MemberState.SUSPECTED, MemberState.GONE):
                continue
            if now - member.heard_at > SUSPECT_SECONDS:
                member.state = MemberState.SUSPECTED
                changes.append(
                    StateChange(daemon, member.incarnation, member.counter, MemberState.SUSPECTED)
                )
        return changes

    def remove(self, daemon: str) -> Member | None:
        """Forget a daemon whose instance is gone from the list."""
        member = self.members.get(daemon)
        if member is None or daemon == self.own:
            return None
        member.state = MemberState.GONE
        return self.members.pop(daemon)

    def list_live(self) -> list[Member]:
        """Return the live members, this daemon among them unless it leaves."""
        return [item for item in self.members.values() if item.state is MemberState.LIVE]

    def is_current(self, holder: str) -> bool:
        """Say whether an identity is that of a registered daemon's present incarnation."""
        member = self.members.get(parse_daemon(holder))
        return member is not None and member.holder == holder

    def list_serving(self) -> list[Member]:
        """Return the live members, or the leaving ones if there is no live one."""
        leaving = [item for item in self.members.values() if item.state is MemberState.LEAVING]
        return self.list_live() or leaving


def rank_state(state: MemberState) -> int:
    """Order states so that of two with the same counter the graver wins."""
    return list(MemberState).index(state)


class NeighbourRing:
    """A ring of daemons by hashed name, on which each finds its neighbours.

    The ring makes the graph connected; chords at rising distances make it shallow. Both ends of
    a chord agree on it. A daemon has at most twice ``degree`` neighbours.
    """

    def __init__(self, degree: int = DEGREE) -> None:
        self.degree = degree
        self.ring: list[tuple[int, str]] = []

    def add(self, daemon: str) -> None:
        """Put a daemon on the ring."""
        place = (score_pair("ring", daemon), daemon)
        index = bisect_left(self.ring, place)
        if index == len(self.ring) or self.ring[index] != place:
            self.ring.insert(index, place)

    def remove(self, daemon: str) -> None:
        """Take a daemon off the ring."""
        place = (score_pair("ring", daemon), daemon)
        index = bisect_left(self.ring, place)
        if index < len(self.ring) and self.ring[index] == place:
            del self.ring[index]

    def find_neighbours(self, daemon: str) -> list[str]:
        """Return the neighbours of a daemon on the ring."""
        size = len(self.ring)
        position = bisect_left(self.ring, (score_pair("ring", daemon), daemon))
        chosen: set[str] = set()
        for index in range(self.degree):
            step = max(round(size ** (index / self.degree)), index + 1)
            chosen.add(self.ring[(position + step) % size][1])
            chosen.add(self.ring[(position - step) % size][1])
        chosen.discard(daemon)
        return sorted(chosen)


class AddressAnswer(NamedTuple):
    """An answer to the question which address to use.

    :ivar keep: seconds for which the caller may keep it
    """

    addresses: tuple[str, ...]
    ttl_seconds: float


def pick_addresses(
    members: Sequence[Member], asked: int, count: int = ADDRESSES_PER_ANSWER
) -> AddressAnswer:
    """Answer with live addresses in different failure domains, spread by counting.

    :param asked: number of the question at this daemon
    """
    ordered = rank_by_hash("addresses", [member.daemon for member in members])
    by_name = {member.daemon: member for member in members}
    start = asked % len(ordered) if ordered else 0
    rotated = [by_name[name] for name in ordered[start:] + ordered[:start]]
    chosen: list[Member] = []
    for spread in (True, False):
        for member in rotated:
            domains = {item.failure_domain for item in chosen}
            fresh = member.failure_domain not in domains
            if len(chosen) < count and member not in chosen and (fresh or not spread):
                chosen.append(member)
    return AddressAnswer(tuple(member.caller_address for member in chosen), ADDRESS_TTL_SECONDS)
