"""The states of all daemons, and the messages in which daemons exchange them."""

__all__ = ["StateSync", "SyncDelegate"]

import asyncio
from collections import Counter
from collections.abc import Iterable

from tanagertrail.daemons.peer_messages import (
    DaemonState,
    FleetSummary,
    LivenessRecord,
    MirrorUpdate,
    PeerAck,
    PeerRequest,
    PeerResponse,
    PeerUpdate,
    pack_rows,
    unpack_rows,
)
from tanagertrail.errors import FrameError
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.policy.hubs import Topology

CLIENT_SECONDS = 2.0  # after its last question a daemon is no longer a client of this hub
FOLLOWING_SECONDS = 2.0  # age of a state beyond which its daemon may no longer follow the store
STATE_SECONDS = 4.5  # age beyond which a state is not passed on


class SyncDelegate:
    """Contract of the daemon whose state is told."""

    def describe_state(self) -> DaemonState:
        """Return this daemon's state."""
        raise NotImplementedError

    def apply_state(self, state: DaemonState) -> None:
        """Take another daemon's state."""
        raise NotImplementedError

    def record_leader_seen(self, age: float) -> None:
        """Note that the holder of the lease lived some seconds ago."""
        raise NotImplementedError

    def apply_fleet_summary(self, hub: str, incarnation: int, sums: FleetSummary) -> None:
        """Take what all other daemons do together."""
        raise NotImplementedError

    def on_store_update(self) -> None:
        """Note that news of the store has come that others may lack."""
        raise NotImplementedError


class KnownState:
    """A state and when it was said, by this daemon's event loop.

    :ivar summed: whether it is part of the totals
    """

    def __init__(self, state: DaemonState, said_at: float, direct: bool) -> None:
        self.state = state
        self.said_at = said_at
        self.direct = direct
        self.summed = False


class FleetTotals:
    """Requests at upstreams and rates of customers over many daemons.

    Kept as states come and go: to add up all states anew for each daemon that asks would cost a
    hub the square of the fleet's size.
    """

    def __init__(self) -> None:
        self.daemons = 0
        self.in_flight: Counter[str] = Counter()
        self.rates: Counter[str] = Counter()

    def add(self, known: KnownState) -> None:
        """Add a state."""
        known.summed = True
        self.shift(known.state, 1)

    def drop(self, known: KnownState) -> None:
        """Take off a state if it was added."""
        if known.summed:
            known.summed = False
            self.shift(known.state, -1)

    def shift(self, state: DaemonState, sign: int) -> None:
        """Add what a daemon does, or take it off."""
        self.daemons += sign
        for upstream_id, count in state.in_flight:
            self.in_flight[upstream_id] += sign * count
            if not self.in_flight[upstream_id]:
                del self.in_flight[upstream_id]
        for customer, _, rate in state.quota:
            self.rates[customer] += sign * rate


class StateSync:
    """Keep the states of other daemons, and build and take messages.

    :ivar topology: place of this daemon
    :ivar peer_revisions: revisions of the store's kinds that each daemon is known to have
    :ivar client_at: when each daemon that is to be told of news asked last
    :ivar quota_seen: units by customer that were ever learnt of, which only rises
    """

    def __init__(
        self, source: SyncDelegate, members: MemberTable, mirrors: dict[str, KindMirror]
    ) -> None:
        self.source = source
        self.members = members
        self.mirrors = mirrors
        self.topology = Topology((), (), True, True, False, 0)
        self.states: dict[str, KnownState] = {}
        self.peer_revisions: dict[str, dict[str, int]] = {}
        self.client_at: dict[str, float] = {}
        self.quota_seen: Counter[str] = Counter()
        self.totals = FleetTotals()

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def apply_state(self, state: DaemonState, direct: bool) -> None:
        """Take a state unless a newer one is known."""
        if state.daemon == self.members.own.daemon:
            return
        said_at = self.now() - state.age_ms / 1000
        self.members.merge_member(Member.of_state(state), said_at, state.serving)
        known = self.states.get(state.daemon)
        if known is not None and not is_newer(state, known.state):
            known.direct = known.direct or direct
            return
        self.count_quota(state, known.state if known else None)
        if known is not None:
            self.totals.drop(known)
        fresh = self.states[state.daemon] = KnownState(state, said_at, direct)
        self.totals.add(fresh)
        self.source.apply_state(state)

    def count_quota(self, state: DaemonState, before: DaemonState | None) -> None:
        """Add what a daemon used since its last state."""
        earlier = {}
        if before is not None and before.incarnation == state.incarnation:
            earlier = {customer: used for customer, used, _ in before.quota}
        for customer, used, _ in state.quota:
            self.quota_seen[customer] += max(used - earlier.get(customer, 0.0), 0.0)

    def is_followed(self, daemons: Iterable[str]) -> bool:
        """Say whether the store answers the watches of one of some daemons."""
        now = self.now()
        known = [self.states[name] for name in daemons if name in self.states]
        return any(
            item.state.store_reachable and now - item.said_at <= FOLLOWING_SECONDS for item in known
        )

    def forget(self, daemon: str) -> None:
        """Forget a daemon that is gone."""
        known = self.states.pop(daemon, None)
        if known is not None:
            self.totals.drop(known)
        self.peer_revisions.pop(daemon, None)
        self.client_at.pop(daemon, None)

    def relay_states(self, leave_out: str) -> bytes:
        """Return the states that this hub heard itself, for another hub.

        What it heard from other hubs is left out, so that no state goes in circles.
        """
        now = self.now()
        return pack_rows(
            known.state._replace(age_ms=int((now - known.said_at) * 1000))
            for name, known in self.states.items()
            if known.direct and name != leave_out and now - known.said_at <= STATE_SECONDS
        )

    def list_alive(self, leave_out: str) -> bytes:
        """Return life signs of all others, for a daemon that is no hub."""
        now = self.now()
        return pack_rows(
            LivenessRecord(
                name,
                known.state.incarnation,
                known.state.serving,
                known.state.lease_fencing,
                int((now - known.said_at) * 1000),
            )
            for name, known in self.states.items()
            if name != leave_out and now - known.said_at <= STATE_SECONDS
        )

    def sum_others(self, receiver: str, own: DaemonState) -> FleetSummary:
        """Return what all daemons but the receiver do together.

        :param own: the state of this daemon, which is included
        """
        now = self.now()
        for known in self.states.values():
            if known.summed and now - known.said_at > STATE_SECONDS:
                self.totals.drop(known)
        flights = self.totals.in_flight + Counter(dict(own.in_flight))
        rates = self.totals.rates + Counter({customer: rate for customer, _, rate in own.quota})
        used = self.quota_seen + Counter({customer: total for customer, total, _ in own.quota})
        daemons = self.totals.daemons + 1
        left_out = self.states.get(receiver)
        if left_out is not None:
            used.subtract({customer: total for customer, total, _ in left_out.state.quota})
        if left_out is not None and left_out.summed:
            daemons -= 1
            flights -= Counter(dict(left_out.state.in_flight))
            rates.subtract({customer: rate for customer, _, rate in left_out.state.quota})
        quota = tuple(
            (customer, total, max(rates[customer], 0.0)) for customer, total in used.items()
        )
        return FleetSummary(daemons, tuple(flights.items()), quota)

    def list_revisions(self) -> tuple:
        """Return the revisions that are known here."""
        return tuple((kind, mirror.revision) for kind, mirror in self.mirrors.items())

    def build_updates(self, known: dict[str, int]) -> tuple:
        """Return what a daemon lacks of the store."""
        news = (mirror.build_update(known.get(kind, 0)) for kind, mirror in self.mirrors.items())
        return tuple(tuple(item) for item in news if item is not None)

    def build_request(self, receiver: str) -> PeerRequest:
        """Return a question to a daemon."""
        return PeerRequest(
            pack_rows([self.source.describe_state()]),
            self.topology.is_hub,
            receiver in self.topology.partners[:1],
            self.list_revisions(),
        )

    def handle_request(self, question: PeerRequest) -> PeerResponse:
        """Take a question and return its answer.

        A state that came to its second hub is not relayed from there, since the first one does.
        """
        asker = unpack_state(question.state)
        if question.primary or question.hub:
            self.client_at[asker.daemon] = self.now()
        self.apply_state(asker, direct=question.primary and not question.hub)
        self.peer_revisions[asker.daemon] = dict(question.revisions)
        told_sums = question.primary and not question.hub
        own = self.source.describe_state()
        return PeerResponse(
            pack_rows([own]),
            self.topology.is_hub,
            self.list_revisions(),
            self.relay_states(asker.daemon) if question.hub else b"",
            b"" if question.hub else self.list_alive(asker.daemon),
            self.build_updates(dict(question.revisions)),
            pack_rows([self.sum_others(asker.daemon, own)]) if told_sums else b"",
            self.members.find_newer(asker.daemon, asker.incarnation),
        )

    def build_push(self, receiver: str) -> PeerUpdate:
        """Return the news of the store that a daemon is taken to lack."""
        known = self.peer_revisions.get(receiver, {})
        news = tuple(item for item in self.build_updates(known) if item[-1])
        return PeerUpdate(self.members.own.daemon, self.list_revisions(), news)

    def take_push(self, push: PeerUpdate) -> PeerAck:
        """Take news and return what is known now."""
        self.peer_revisions[push.daemon] = dict(push.revisions)
        if self.apply_updates(push.news, None):
            self.source.on_store_update()
        return PeerAck(self.list_revisions())

    def take_receipt(self, daemon: str, receipt: PeerAck) -> None:
        """Note what the receiver of news knows."""
        self.peer_revisions[daemon] = dict(receipt.revisions)

    def handle_response(self, answer: PeerResponse, asked_at: float) -> None:
        """Take the answer to a question.

        :param asked_at: boot time in seconds just before the question was sent
        """
        state = unpack_state(answer.state)
        self.members.outrank(answer.outranked_by)
        self.apply_state(state, direct=not answer.hub)
        self.take_relayed(answer.relayed)
        self.take_signs(answer.alive)
        self.peer_revisions[state.daemon] = dict(answer.revisions)
        if answer.sums and state.daemon in self.topology.partners[:1]:
            sums = FleetSummary(*unpack_rows(answer.sums)[0])
            self.source.apply_fleet_summary(state.daemon, state.incarnation, sums)
        if self.apply_updates(answer.news, asked_at):
            self.source.on_store_update()

    def take_relayed(self, packed: bytes) -> None:
        """Take the states that a hub passed on."""
        for row in unpack_rows(packed):
            self.apply_state(DaemonState(*row), direct=False)

    def take_signs(self, packed: bytes) -> None:
        """Take the life signs that a hub passed on."""
        now = self.now()
        for row in unpack_rows(packed):
            sign = LivenessRecord(*row)
            self.members.take_sign(sign, now)
            if sign.lease_fencing:
                self.source.record_leader_seen(sign.age_ms / 1000)

    def apply_updates(self, rows: tuple, asked_at: float | None) -> bool:
        """Take news of the store and return whether it changed anything."""
        changed = False
        for row in rows:
            news = MirrorUpdate(*row)
            mirror = self.mirrors.get(news.kind)
            if mirror is not None and mirror.apply_update(news, asked_at):
                changed = True
        return changed

    def list_laggards(self) -> list[str]:
        """Return the daemons to be told at once: those met lately that lack what is known."""
        now = self.now()
        met = {name for name, at in self.client_at.items() if now - at < CLIENT_SECONDS}
        met.update(self.topology.partners)
        known = dict(self.list_revisions())
        return [
            name
            for name in met
            if any(
                self.peer_revisions.get(name, {}).get(kind, 0) < revision
                and self.mirrors[kind].changes
                for kind, revision in known.items()
            )
        ]


def unpack_state(packed: bytes) -> DaemonState:
    """Unpack one state.

    :raises FrameError: if it is malformed
    """
    rows = unpack_rows(packed)
    if len(rows) != 1:
        raise FrameError(f"one state must be given, not {len(rows)}")
    return DaemonState(*rows[0])


def is_newer(state: DaemonState, known: DaemonState) -> bool:
    """Say whether a state was said later than another of the same daemon."""
    return (state.incarnation, state.counter) > (known.incarnation, known.counter)
