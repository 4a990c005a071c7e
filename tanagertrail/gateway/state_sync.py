"""Synchronization of daemon states and store updates between the daemons of a fleet."""

__all__ = ["StateSync", "SyncDelegate"]

import asyncio
from collections import Counter
from collections.abc import Iterable

from tanagertrail.daemons.peer_messages import (
    DaemonState,
    FleetSummary,
    LivenessRecord,
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
from tanagertrail.gateway.peer_rows import (
    decode_liveness,
    decode_state,
    decode_update,
    unpack_one,
    unpack_state,
)
from tanagertrail.policy.hubs import Topology

CLIENT_TIMEOUT_SECONDS = 2.0  # after its last request, a daemon stays a client of this hub
REACHABILITY_MAX_AGE_SECONDS = 2.0  # older states do not show that the store answers
STATE_MAX_AGE_SECONDS = 4.5  # older states are neither relayed nor counted
MAX_ERROR_LENGTH = 200  # characters


class SyncDelegate:
    """Interface of the daemon whose state is synchronized."""

    def describe_state(self) -> DaemonState:
        """Return this daemon's current state."""
        raise NotImplementedError

    def apply_state(self, state: DaemonState) -> None:
        """Apply another daemon's state."""
        raise NotImplementedError

    def record_leader_seen(self, age: float) -> None:
        """Record that the lease holder was alive some seconds ago.

        :param age: seconds since it was known to be alive
        """
        raise NotImplementedError

    def apply_fleet_summary(self, hub: str, incarnation: int, summary: FleetSummary) -> None:
        """Apply the totals over all other daemons that a hub computed.

        :param incarnation: incarnation of the hub
        """
        raise NotImplementedError

    def on_store_update(self) -> None:
        """Handle a change of a mirror that other daemons may lack."""
        raise NotImplementedError


class ReceivedState:
    """A state received from another daemon.

    :ivar reported_at: event-loop time in seconds at which the daemon reported the state
    :ivar direct: whether the daemon itself sent the state, rather than a hub that relayed it
    :ivar in_totals: whether the state is included in the :class:`FleetTotals`
    """

    def __init__(self, state: DaemonState, reported_at: float, direct: bool) -> None:
        self.state = state
        self.reported_at = reported_at
        self.direct = direct
        self.in_totals = False


class FleetTotals:
    """Totals of requests in flight and of quota rates over many daemons.

    Updated incrementally as states arrive and expire: computing the totals from scratch for each
    request would cost a hub time quadratic in the size of the fleet.
    """

    def __init__(self) -> None:
        self.daemon_count = 0
        self.in_flight: Counter[str] = Counter()
        self.rates: Counter[str] = Counter()

    def add(self, known: ReceivedState) -> None:
        """Add a state to the totals."""
        known.in_totals = True
        self.accumulate(known.state, 1)

    def remove(self, known: ReceivedState) -> None:
        """Remove a state from the totals if it is included."""
        if known.in_totals:
            known.in_totals = False
            self.accumulate(known.state, -1)

    def accumulate(self, state: DaemonState, factor: int) -> None:
        """Add a state to the totals, or subtract it.

        :param factor: 1 to add, -1 to subtract
        """
        self.daemon_count += factor
        for upstream_id, count in state.in_flight:
            self.in_flight[upstream_id] += factor * count
            if not self.in_flight[upstream_id]:
                del self.in_flight[upstream_id]
        for customer, _, rate in state.quota:
            self.rates[customer] += factor * rate


class StateSync:
    """Keep the states of other daemons, and build and handle peer messages.

    :ivar topology: role of this daemon and its partners
    :ivar states: last state received from each other daemon
    :ivar peer_revisions: store revisions by kind that each daemon is known to have
    :ivar last_request_at: event-loop time in seconds of the last request of each daemon that gets
        store updates from here
    :ivar refused_rows: rows of other daemons that were passed over
    :ivar quota_used: units by customer that all other daemons reported in total; never decreases
    """

    def __init__(
        self, delegate: SyncDelegate, members: MemberTable, mirrors: dict[str, KindMirror]
    ) -> None:
        self.delegate = delegate
        self.members = members
        self.mirrors = mirrors
        self.topology = Topology((), (), True, True, False, 0)
        self.states: dict[str, ReceivedState] = {}
        self.peer_revisions: dict[str, dict[str, int]] = {}
        self.last_request_at: dict[str, float] = {}
        self.quota_used: Counter[str] = Counter()
        self.totals = FleetTotals()
        self.refused_rows = 0

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def apply_state(self, state: DaemonState, direct: bool) -> None:
        """Apply a state unless a newer one of the same daemon is known.

        :param direct: whether the daemon itself sent it, rather than a hub that relayed it
        """
        if state.daemon == self.members.own.daemon:
            return
        reported_at = self.now() - state.age_ms / 1000
        self.members.merge_member(
            Member.from_state(state), reported_at, state.serving, state.reaches_upstreams
        )
        known = self.states.get(state.daemon)
        if known is not None and not is_newer(state, known.state):
            known.direct = known.direct or direct
            return
        self.add_quota_usage(state, known.state if known else None)
        if known is not None:
            self.totals.remove(known)
        fresh = self.states[state.daemon] = ReceivedState(state, reported_at, direct)
        self.totals.add(fresh)
        self.delegate.apply_state(state)

    def add_quota_usage(self, state: DaemonState, previous: DaemonState | None) -> None:
        """Add the units that a daemon used since its previous state."""
        previous_usage = {}
        if previous is not None and previous.incarnation == state.incarnation:
            previous_usage = {customer: used for customer, used, _ in previous.quota}
        for customer, used, _ in state.quota:
            self.quota_used[customer] += max(used - previous_usage.get(customer, 0.0), 0.0)

    def is_store_reachable_by(self, daemons: Iterable[str]) -> bool:
        """Return whether the store answers the watches of any of the given daemons."""
        now = self.now()
        known = [self.states[name] for name in daemons if name in self.states]
        return any(
            item.state.store_reachable and now - item.reported_at <= REACHABILITY_MAX_AGE_SECONDS
            for item in known
        )

    def forget(self, daemon: str) -> None:
        """Drop everything known about a daemon that is gone."""
        known = self.states.pop(daemon, None)
        if known is not None:
            self.totals.remove(known)
        self.peer_revisions.pop(daemon, None)
        self.last_request_at.pop(daemon, None)

    def pack_relayed_states(self, excluded: str) -> bytes:
        """Return the packed states that this hub received directly, for another hub.

        States relayed by other hubs are left out, so that no state circulates between hubs.
        What upstreams state is left out too, because this daemon's own state holds all that it
        knows of that.

        :param excluded: daemon that gets the states and so does not need its own
        """
        now = self.now()
        return pack_rows(
            known.state._replace(
                age_ms=int((now - known.reported_at) * 1000), limits=(), brittle=()
            )
            for name, known in self.states.items()
            if known.direct
            and name != excluded
            and now - known.reported_at <= STATE_MAX_AGE_SECONDS
        )

    def pack_liveness(self, excluded: str) -> bytes:
        """Return packed liveness records of all other daemons, for a daemon that is not a hub."""
        now = self.now()
        return pack_rows(
            LivenessRecord(
                name,
                known.state.incarnation,
                known.state.serving,
                known.state.lease_fencing,
                int((now - known.reported_at) * 1000),
                known.state.reaches_upstreams,
            )
            for name, known in self.states.items()
            if name != excluded and now - known.reported_at <= STATE_MAX_AGE_SECONDS
        )

    def build_fleet_summary(self, receiver: str, own: DaemonState) -> FleetSummary:
        """Return the totals over all daemons except the receiver.

        :param own: the state of this daemon, which the totals include
        """
        now = self.now()
        for known in self.states.values():
            if known.in_totals and now - known.reported_at > STATE_MAX_AGE_SECONDS:
                self.totals.remove(known)
        in_flight = self.totals.in_flight + Counter(dict(own.in_flight))
        rates = self.totals.rates + Counter({customer: rate for customer, _, rate in own.quota})
        used = self.quota_used + Counter({customer: total for customer, total, _ in own.quota})
        daemons = self.totals.daemon_count + 1
        receiver_known = self.states.get(receiver)
        if receiver_known is not None:
            used.subtract({customer: total for customer, total, _ in receiver_known.state.quota})
        if receiver_known is not None and receiver_known.in_totals:
            daemons -= 1
            in_flight -= Counter(dict(receiver_known.state.in_flight))
            rates.subtract({customer: rate for customer, _, rate in receiver_known.state.quota})
        quota = tuple(
            (customer, total, max(rates[customer], 0.0)) for customer, total in used.items()
        )
        return FleetSummary(daemons, tuple(in_flight.items()), quota)

    def list_revisions(self) -> tuple:
        """Return the revision of each mirror."""
        return tuple((kind, mirror.revision) for kind, mirror in self.mirrors.items())

    def build_updates(self, known: dict[str, int]) -> tuple:
        """Return the store updates that a daemon lacks.

        :param known: revision by kind that the daemon has
        """
        updates = (mirror.build_update(known.get(kind, 0)) for kind, mirror in self.mirrors.items())
        return tuple(tuple(update) for update in updates if update is not None)

    def build_request(self, receiver: str) -> PeerRequest:
        """Build the state exchange request to a daemon."""
        return PeerRequest(
            pack_rows([self.delegate.describe_state()]),
            self.topology.is_hub,
            receiver in self.topology.partners[:1],
            self.list_revisions(),
        )

    def handle_request(self, request: PeerRequest) -> PeerResponse:
        """Apply a request and build its response.

        A state sent to the daemon's second hub is not relayed from there, since its first hub
        relays it.
        """
        sender = unpack_state(request.state)
        if request.to_primary_hub or request.from_hub:
            self.last_request_at[sender.daemon] = self.now()
        self.apply_state(sender, direct=request.to_primary_hub and not request.from_hub)
        self.peer_revisions[sender.daemon] = dict(request.revisions)
        wants_summary = request.to_primary_hub and not request.from_hub
        own = self.delegate.describe_state()
        return PeerResponse(
            pack_rows([own]),
            self.topology.is_hub,
            self.list_revisions(),
            self.pack_relayed_states(sender.daemon) if request.from_hub else b"",
            b"" if request.from_hub else self.pack_liveness(sender.daemon),
            self.build_updates(dict(request.revisions)),
            pack_rows([self.build_fleet_summary(sender.daemon, own)]) if wants_summary else b"",
            self.members.find_newer_incarnation(sender.daemon, sender.incarnation),
        )

    def build_store_update(self, receiver: str) -> PeerUpdate:
        """Build a push of the store updates that a daemon is assumed to lack."""
        known = self.peer_revisions.get(receiver, {})
        updates = tuple(update for update in self.build_updates(known) if update[-1])
        return PeerUpdate(self.members.own.daemon, self.list_revisions(), updates)

    def handle_store_update(self, update: PeerUpdate) -> PeerAck:
        """Apply pushed store updates and acknowledge the resulting revisions."""
        self.peer_revisions[update.daemon] = dict(update.revisions)
        if self.apply_updates(update.updates, None):
            self.delegate.on_store_update()
        return PeerAck(self.list_revisions())

    def handle_ack(self, daemon: str, ack: PeerAck) -> None:
        """Record the revisions that a daemon acknowledged."""
        self.peer_revisions[daemon] = dict(ack.revisions)

    def handle_response(self, response: PeerResponse, sent_at: float) -> None:
        """Apply the response to a request.

        :param sent_at: boot time in seconds just before the request was sent
        """
        state = unpack_state(response.state)
        self.members.raise_incarnation(response.newer_incarnation)
        self.apply_state(state, direct=not response.from_hub)
        self.apply_relayed_states(response.relayed)
        self.apply_liveness(response.liveness)
        self.peer_revisions[state.daemon] = dict(response.revisions)
        if response.fleet_summary and state.daemon in self.topology.partners[:1]:
            summary = unpack_one(FleetSummary, response.fleet_summary)
            self.delegate.apply_fleet_summary(state.daemon, state.incarnation, summary)
        if self.apply_updates(response.updates, sent_at):
            self.delegate.on_store_update()

    def apply_relayed_states(self, packed: bytes) -> None:
        """Apply the states that a hub relayed."""
        for row in unpack_rows(packed):
            try:
                state = decode_state(row)
            except FrameError as error:
                self.refuse_row(error)
            else:
                self.apply_state(state, direct=False)

    def apply_liveness(self, packed: bytes) -> None:
        """Apply the liveness records that a hub sent."""
        now = self.now()
        for row in unpack_rows(packed):
            try:
                record = decode_liveness(row)
            except FrameError as error:
                self.refuse_row(error)
                continue
            self.members.apply_liveness_record(record, now)
            if record.lease_fencing:
                self.delegate.record_leader_seen(record.age_ms / 1000)

    def apply_updates(self, rows: tuple, sent_at: float | None) -> bool:
        """Apply store updates to the mirrors and return whether anything changed.

        :param sent_at: boot time in seconds just before the request for them was sent, None for
            updates that were pushed
        """
        changed = False
        for row in rows:
            try:
                update = decode_update(row)
                mirror = self.mirrors.get(update.kind)
                if mirror is not None and mirror.apply_update(update, sent_at):
                    changed = True
            except FrameError as error:
                self.refuse_row(error)
        return changed

    def refuse_row(self, error: FrameError) -> None:
        """Log and count a row of another daemon that is passed over."""
        self.refused_rows += 1
        self.members.log.write_routine("peer_row_refused", error=str(error)[:MAX_ERROR_LENGTH])

    def list_outdated_peers(self) -> list[str]:
        """Return the partners and recent clients that lack changes known here."""
        now = self.now()
        peers = {
            name for name, at in self.last_request_at.items() if now - at < CLIENT_TIMEOUT_SECONDS
        }
        peers.update(self.topology.partners)
        known = dict(self.list_revisions())
        return [
            name
            for name in peers
            if any(
                self.peer_revisions.get(name, {}).get(kind, 0) < revision
                and self.mirrors[kind].changes
                for kind, revision in known.items()
            )
        ]


def is_newer(state: DaemonState, known: DaemonState) -> bool:
    """Return whether a state is newer than another one of the same daemon."""
    return (state.incarnation, state.counter) > (known.incarnation, known.counter)
