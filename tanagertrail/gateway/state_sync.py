"""Synchronization of daemon states and store updates between the daemons of a fleet."""

__all__ = ["STATE_MAX_AGE_SECONDS", "StateSync", "SyncDelegate"]

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable

from tanagertrail.daemons.peer_messages import (
    DaemonState,
    FleetSummary,
    PeerAck,
    PeerRequest,
    PeerResponse,
    PeerUpdate,
    pack_rows,
    unpack_rows,
)
from tanagertrail.daemons.releases import (
    COMPLETED_RELEASE,
    OLDEST_RELEASE,
    OWN_FORM,
    ReleaseForm,
    find_form,
)
from tanagertrail.errors import FrameError, ReleaseTooOldError
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.gateway.peer_rows import (
    decode_liveness,
    decode_state,
    decode_update,
    encode_state,
    unpack_one,
    unpack_state,
)
from tanagertrail.gateway.received_states import (
    STATE_MAX_AGE_SECONDS,
    FleetTotals,
    ReceivedState,
    complete_state,
    is_newer,
    pack_liveness,
    pack_relayed_states,
)
from tanagertrail.platform.store import get_era
from tanagertrail.policy.hubs import Topology

CLIENT_TIMEOUT_SECONDS = 2.0  # after its last request, a daemon stays a client of this hub
REACHABILITY_MAX_AGE_SECONDS = 2.0  # older states do not show that the store answers
MAX_ERROR_LENGTH = 200  # characters
MAX_TOO_OLD = 1000  # daemons that are remembered
BARE_STATE_FIELDS = 7  # that daemons of all releases read without defaults


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


class StateSync:
    """Keep the states of other daemons, and build and handle peer messages.

    :ivar topology: role of this daemon and its partners
    :ivar states: last state received from each other daemon
    :ivar peer_revisions: store revisions by kind that each daemon is known to have
    :ivar last_request_at: event-loop time in seconds of the last request of each daemon that gets
        store updates from here
    :ivar refused_rows: rows of other daemons that were passed over
    :ivar refused_frames: frames of other daemons that could not be read
    :ivar too_old: daemons whose states have a form that is too old to be read
    :ivar withheld_updates: store updates that were not told, or not applied, because the other
        daemon's release does not order revisions over the eras of the store
    :ivar quota_used: units by customer that all other daemons reported in total; never decreases
    :ivar on_heard: called with each message of another daemon
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
        self.refused_frames = 0
        self.too_old: set[str] = set()
        self.withheld_updates = 0
        self.on_heard: Callable[[], None] = lambda: None

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def apply_state(self, state: DaemonState, direct: bool) -> None:
        """Apply a state unless a newer one of the same daemon is known.

        :param direct: whether the daemon itself sent it, rather than a hub that relayed it
        """
        if state.daemon == self.members.own.daemon:
            return
        known = self.states.get(state.daemon)
        state = complete_state(state, known.state if known else None)
        reported_at = self.now() - state.age_ms / 1000
        self.members.merge_member(
            Member.from_state(state),
            reported_at,
            state.serving,
            state.reaches_upstreams,
            state.release,
        )
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

    def hears_all_losses(self) -> bool:
        """Return whether all daemons tell this one which requests were lost and completed."""
        alive = self.members.list_alive(self.now())
        return self.topology.is_hub and all(item.release >= COMPLETED_RELEASE for item in alive)

    def forget(self, daemon: str) -> None:
        """Drop everything known about a daemon that is gone."""
        known = self.states.pop(daemon, None)
        if known is not None:
            self.totals.remove(known)
        self.peer_revisions.pop(daemon, None)
        self.last_request_at.pop(daemon, None)

    def pack_relayed_states(self, excluded: str, form: ReleaseForm = OWN_FORM) -> bytes:
        """Return the packed states that this hub received directly, for another hub.

        :param excluded: daemon that gets the states and so does not need its own
        :param form: form that it reads
        """
        return pack_relayed_states(self.states, excluded, form, self.now())

    def pack_liveness(self, excluded: str, form: ReleaseForm = OWN_FORM) -> bytes:
        """Return packed liveness records of all other daemons, for a daemon that is not a hub."""
        return pack_liveness(self.states, excluded, form, self.now())

    def build_fleet_summary(self, receiver: str, own: DaemonState) -> FleetSummary:
        """Return the totals over all daemons except the receiver.

        :param own: the state of this daemon, which the totals include
        """
        self.totals.remove_outdated(self.states.values(), self.now())
        return self.totals.summarize(own, self.states.get(receiver), self.quota_used)

    def list_revisions(self) -> tuple:
        """Return the revision of each mirror."""
        return tuple((kind, mirror.revision) for kind, mirror in self.mirrors.items())

    def build_updates(self, known: dict[str, int], form: ReleaseForm = OWN_FORM) -> tuple:
        """Return the store updates that a daemon lacks.

        :param known: revision by kind that the daemon has
        :param form: form that it reads
        """
        updates = [
            mirror.build_update(known.get(kind, 0))
            for kind, mirror in self.mirrors.items()
            if self.shares_revisions(mirror, form)
        ]
        return tuple(tuple(update) for update in updates if update is not None)

    def shares_revisions(self, mirror: KindMirror, form: ReleaseForm) -> bool:
        """Return whether a revision means the same to daemons of a release; count it if not."""
        if form.orders_eras or not get_era(mirror.revision):
            return True
        self.withheld_updates += 1
        return False

    def build_request(self, receiver: str, form: ReleaseForm | None = OWN_FORM) -> PeerRequest:
        """Build the state exchange request to a daemon.

        :param form: form that it reads, None if not known
        """
        if form is None:
            state = self.build_bare_state()
        else:
            state = encode_state(self.delegate.describe_state(), form)
        return PeerRequest(
            pack_rows([state]),
            self.topology.is_hub,
            receiver in self.topology.partners[:1],
            self.list_revisions(),
        )

    def build_bare_state(self) -> tuple:
        """Build the row of a state that daemons of all releases read and that tells no more.

        It bears the incarnation before this one, so that what it lacks is not taken as told.
        """
        earlier = self.members.own._replace(incarnation=max(self.members.own.incarnation - 1, 0))
        return tuple(earlier.build_state(0))[:BARE_STATE_FIELDS]

    def handle_request(self, request: PeerRequest) -> PeerResponse:
        """Apply a request and build its response.

        A state sent to the daemon's second hub is not relayed from there, since its first hub
        relays it.
        """
        self.on_heard()
        sender = self.read_state(request.state)
        form = find_form(sender.release)
        if request.to_primary_hub or request.from_hub:
            self.last_request_at[sender.daemon] = self.now()
        self.apply_state(sender, direct=request.to_primary_hub and not request.from_hub)
        self.peer_revisions[sender.daemon] = dict(request.revisions)
        wants_summary = request.to_primary_hub and not request.from_hub
        own = self.delegate.describe_state()
        return PeerResponse(
            pack_rows([encode_state(own, form)]),
            self.topology.is_hub,
            self.list_revisions(),
            self.pack_relayed_states(sender.daemon, form) if request.from_hub else b"",
            b"" if request.from_hub else self.pack_liveness(sender.daemon, form),
            self.build_updates(dict(request.revisions), form),
            pack_rows([self.build_fleet_summary(sender.daemon, own)]) if wants_summary else b"",
            self.members.find_newer_incarnation(sender.daemon, sender.incarnation),
        )

    def read_state(self, packed: bytes) -> DaemonState:
        """Unpack the state in a request or response, and note a release that is too old.

        :raises FrameError: if it is malformed
        """
        try:
            state = unpack_state(packed)
        except ReleaseTooOldError as error:
            if error.daemon not in self.too_old and len(self.too_old) < MAX_TOO_OLD:
                self.too_old.add(error.daemon)
                self.members.log.write("release_too_old", member=error.daemon, error=str(error))
            raise
        self.too_old.discard(state.daemon)
        return state

    def find_peer_form(self, daemon: str) -> ReleaseForm:
        """Find the form that a daemon reads, the oldest one if it is not known."""
        known = self.members.states.get(daemon)
        return find_form(known.release if known is not None else OLDEST_RELEASE)

    def build_greeting(self) -> PeerUpdate:
        """Build a push without updates, which daemons of all releases acknowledge."""
        return PeerUpdate(self.members.own.daemon, self.list_revisions(), ())

    def build_store_update(self, receiver: str) -> PeerUpdate:
        """Build a push of the store updates that a daemon is assumed to lack."""
        known = self.peer_revisions.get(receiver, {})
        form = self.find_peer_form(receiver)
        updates = tuple(update for update in self.build_updates(known, form) if update[-1])
        return PeerUpdate(self.members.own.daemon, self.list_revisions(), updates)

    def handle_store_update(self, update: PeerUpdate) -> PeerAck:
        """Apply pushed store updates and acknowledge the resulting revisions."""
        self.on_heard()
        self.peer_revisions[update.daemon] = dict(update.revisions)
        if self.apply_updates(update.updates, None, self.find_peer_form(update.daemon)):
            self.delegate.on_store_update()
        return PeerAck(self.list_revisions())

    def handle_ack(self, daemon: str, ack: PeerAck) -> None:
        """Record the revisions that a daemon acknowledged."""
        self.on_heard()
        self.peer_revisions[daemon] = dict(ack.revisions)

    def handle_response(self, response: PeerResponse, sent_at: float) -> int:
        """Apply the response to a request, and return the release in whose form it was told.

        :param sent_at: boot time in seconds just before the request was sent
        """
        self.on_heard()
        state = self.read_state(response.state)
        self.members.raise_incarnation(response.newer_incarnation)
        self.apply_state(state, direct=not response.from_hub)
        self.apply_relayed_states(response.relayed)
        self.apply_liveness(response.liveness)
        self.peer_revisions[state.daemon] = dict(response.revisions)
        if response.fleet_summary and state.daemon in self.topology.partners[:1]:
            summary = unpack_one(FleetSummary, response.fleet_summary)
            self.delegate.apply_fleet_summary(state.daemon, state.incarnation, summary)
        if self.apply_updates(response.updates, sent_at, find_form(state.release)):
            self.delegate.on_store_update()
        return state.release

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
                record, field_count = decode_liveness(row)
            except FrameError as error:
                self.refuse_row(error)
                continue
            self.members.apply_liveness_record(record, now, field_count)
            if record.lease_fencing:
                self.delegate.record_leader_seen(record.age_ms / 1000)

    def apply_updates(self, rows: tuple, sent_at: float | None, form: ReleaseForm) -> bool:
        """Apply store updates to the mirrors and return whether anything changed.

        :param sent_at: boot time in seconds just before the request for them was sent, None for
            updates that were pushed
        :param form: form of the daemon that sent them
        """
        changed = False
        for row in rows:
            try:
                update = decode_update(row)
                mirror = self.mirrors.get(update.kind)
                if mirror is None or not self.shares_revisions(mirror, form):
                    continue
                if mirror.apply_update(update, sent_at):
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
