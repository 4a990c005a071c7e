"""One daemon's part in the fleet's membership.

Daemons register among the shared objects, watch their neighbours by heartbeats and flood changes of
a daemon's state. A few of them read the cloud's instance list, which tells lost instances from
unreachable ones.
"""

__all__ = ["DaemonRecord", "MembershipManager"]

import asyncio
import itertools
import uuid
from collections.abc import Callable
from typing import NamedTuple

import msgpack

from tanagertrail.core.context import NodeContext
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.messages import Heartbeat, MemberNews, ObjectRow
from tanagertrail.errors import ConflictError, PlatformError, StoreOutcomeUnknownError
from tanagertrail.objectapi.instances import BaseInstanceList, InstanceState
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.membership import (
    AddressAnswer,
    Member,
    Membership,
    MemberState,
    NeighbourRing,
    StateChange,
    pick_addresses,
)

ROSTER_PREFIX = "roster/"
REGISTER_ATTEMPTS = 10
REGISTER_RETRY_SECONDS = 0.5
UNLISTED_GRACE_SECONDS = 120.0  # the list lags, so a new daemon may not be in it yet
INSTANCE_LIST_READERS = 3


class DaemonRecord(NamedTuple):
    """A daemon's registration among the shared objects; its revision is the incarnation.

    :ivar nonce: identifies one start of the daemon
    """

    daemon: str
    nonce: str
    peer_address: str
    caller_address: str
    operator_address: str
    failure_domain: str


class MembershipManager:
    """Track the daemons of the fleet and announce this one to them.

    :ivar records: registrations, by daemon
    :ivar listed_daemons: daemons whose instances this daemon has seen in the instance list
    :ivar registered_at: event-loop times in seconds at which registrations were seen, by daemon
    :ivar counter: number of this daemon's last heartbeat or state change
    :ivar gone_listeners: called with the identity of an incarnation that will not act again
    :ivar registration_listeners: called with the identity and incarnation of a new registration
    :ivar get_ticket_number: returns the number of the configuration in force
    """

    def __init__(
        self, context: NodeContext, shared: SharedObjects, instances: BaseInstanceList
    ) -> None:
        self.context = context
        self.shared = shared
        self.instances = instances
        self.membership = Membership(context.daemon)
        self.neighbour_ring = NeighbourRing()
        self.neighbour_ring.add(context.daemon)
        self.records: dict[str, DaemonRecord] = {}
        self.listed_daemons: set[str] = set()
        self.registered_at: dict[str, float] = {}
        self.counter = 0
        self.address_query_numbers = itertools.count()
        self.leaving = False
        self.gone_listeners: list[Callable[[str], None]] = []
        self.registration_listeners: list[Callable[[str, int], None]] = []
        self.get_ticket_number = lambda: 0
        shared.list_members = lambda: [member.daemon for member in self.membership.list_live()]
        shared.subscribe(ROSTER_PREFIX, self.apply_row)
        context.register_handler(Heartbeat, self.receive_heartbeat)
        context.register_handler(MemberNews, self.receive_news)

    async def register(self, record: DaemonRecord) -> None:
        """Register this daemon under a new incarnation.

        The nonce shows whether a write that got no answer has taken effect.

        :raises PlatformError: if the store cannot be reached
        """
        key = ROSTER_PREFIX + record.daemon
        new_record = record._replace(nonce=uuid.uuid4().hex)
        value = msgpack.packb(list(new_record))
        for attempt in itertools.count(1):
            stored_row = await self.shared.read(key)
            if stored_row is not None and stored_row.value == value:
                self.context.incarnation = stored_row.revision
                return
            try:
                row = await self.shared.write(key, value, stored_row.version if stored_row else 0)
                self.context.incarnation = row.revision
                return
            except (ConflictError, StoreOutcomeUnknownError):
                if attempt >= REGISTER_ATTEMPTS:
                    raise
                await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def unregister(self) -> None:
        """Remove this daemon's registration before it exits."""
        row = self.shared.get(ROSTER_PREFIX + self.context.daemon)
        if row is None:
            return
        try:
            await self.shared.remove(ROSTER_PREFIX + self.context.daemon, row.version)
        except PlatformError:
            self.context.recorder.count("roster_removal_failures")

    def apply_row(self, row: ObjectRow) -> None:
        """Add a daemon from its registration, or remove it if the registration was deleted."""
        daemon = row.key.rpartition("/")[2]
        if row.deleted:
            self.remove_member(daemon)
            return
        record = decode_daemon_record(row)
        now = self.context.now()
        previous = self.membership.members.get(daemon)
        old_holder = previous.holder if previous else ""
        member = Member(
            daemon,
            row.revision,
            record.peer_address,
            record.caller_address,
            record.failure_domain,
        )
        if not self.membership.add(member, now):
            return
        self.records[daemon] = record
        self.registered_at[daemon] = now
        if daemon != self.context.daemon:
            self.context.transport.set_address(daemon, record.peer_address)
        if old_holder:
            self.notify_gone(old_holder)
        for listener in self.registration_listeners:
            listener(member.holder, row.revision)
        self.context.recorder.record("daemon_registered", detail=member.holder)
        self.update_ring(member)

    def remove_member(self, daemon: str) -> None:
        """Remove a daemon from the membership and tell the listeners that it is gone."""
        member = self.membership.remove(daemon)
        if member is None:
            return
        self.records.pop(daemon, None)
        self.context.transport.disconnect(daemon)
        self.context.recorder.record("daemon_gone", detail=member.holder)
        self.notify_gone(member.holder)
        self.update_ring(member)

    def notify_gone(self, holder: str) -> None:
        """Call the listeners for an incarnation that will not act again."""
        for listener in self.gone_listeners:
            listener(holder)

    def update_ring(self, member: Member) -> None:
        """Add a member to the neighbour ring or remove it, as its state requires."""
        reachable = member.state in (MemberState.LIVE, MemberState.LEAVING)
        if reachable or member.daemon == self.context.daemon:
            self.neighbour_ring.add(member.daemon)
        else:
            self.neighbour_ring.remove(member.daemon)
        self.context.neighbours = self.neighbour_ring.find_neighbours(self.context.daemon)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to the neighbours and suspect those that have been silent."""
        self.counter += 1
        own = self.membership.members.get(self.context.daemon)
        if own is not None:
            own.counter = self.counter
            own.heard_at = self.context.now()
        heartbeat = Heartbeat(
            self.context.daemon,
            self.context.incarnation,
            self.counter,
            self.shared.digest,
            self.get_ticket_number(),
        )
        self.context.send_to_neighbours(heartbeat)
        self.send_to_suspected(heartbeat)
        now = self.context.now()
        for change in self.membership.suspect_silent(self.context.neighbours, now):
            self.spread(change)

    def send_to_suspected(self, heartbeat: Heartbeat) -> None:
        """Send the heartbeat to one suspected member in turn.

        After a network partition both sides suspect each other and are no longer neighbours, so
        this is how they notice its end.
        """
        suspected = [
            member.daemon
            for member in self.membership.members.values()
            if member.state is MemberState.SUSPECTED
        ]
        if suspected:
            self.context.send(suspected[self.counter % len(suspected)], heartbeat)

    def receive_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Process the heartbeat of another daemon."""
        now = self.context.now()
        change = self.membership.note_heartbeat(
            heartbeat.daemon, heartbeat.incarnation, heartbeat.counter, now
        )
        if change is not None:
            self.spread(change)
        self.shared.compare_digest(sender, heartbeat.digest)

    def receive_news(self, sender: str, news: MemberNews) -> None:
        """Apply a flooded state change; refute it if it concerns this daemon."""
        change = StateChange(news.daemon, news.incarnation, news.counter, MemberState(news.state))
        if change.daemon == self.context.daemon:
            self.refute(change)
            return
        if self.membership.apply(change, self.context.now()):
            self.context.recorder.record(f"daemon_{change.state}", detail=change.daemon)
            self.update_ring(self.membership.members[change.daemon])

    def refute(self, change: StateChange) -> None:
        """Refute a suspicion of this daemon by flooding that it is live, with a larger counter."""
        if change.incarnation != self.context.incarnation:
            return
        if change.state is MemberState.SUSPECTED and not self.leaving:
            self.counter = max(self.counter, change.counter) + 1
            state = MemberState.LIVE
            self.flood_change(StateChange(change.daemon, change.incarnation, self.counter, state))

    def spread(self, change: StateChange) -> None:
        """Record a state change that this daemon detected and flood it."""
        self.context.recorder.record(f"daemon_{change.state}", detail=change.daemon)
        self.update_ring(self.membership.members[change.daemon])
        self.flood_change(change)

    def flood_change(self, change: StateChange) -> None:
        """Flood a state change to all daemons."""
        self.context.flood(
            MemberNews(change.daemon, change.incarnation, change.counter, str(change.state))
        )

    def announce_leaving(self) -> None:
        """Flood that this daemon is leaving, so that callers are no longer given its address."""
        if self.leaving:
            return
        self.leaving = True
        self.counter += 1
        change = StateChange(
            self.context.daemon, self.context.incarnation, self.counter, MemberState.LEAVING
        )
        own = self.membership.members.get(self.context.daemon)
        if own is not None:
            own.state = MemberState.LEAVING
            own.counter = self.counter
        self.context.recorder.record("daemon_leaving", detail=self.context.daemon)
        self.flood_change(change)

    async def read_instances(self) -> None:
        """Mark leaving daemons and remove gone ones by the instance list, if this one reads it."""
        if not self.is_list_reader():
            return
        listed_instances = {instance.name: instance for instance in await self.instances.read()}
        for name, instance in listed_instances.items():
            self.listed_daemons.add(name)
            if instance.state is InstanceState.LEAVING:
                self.mark_leaving(name)
        now = self.context.now()
        for daemon in list(self.membership.members):
            if daemon not in listed_instances and self.is_gone(daemon, now):
                await self.unregister_gone(daemon)

    def is_list_reader(self) -> bool:
        """Say whether this daemon is one of those that read the instance list for the fleet."""
        live = [member.daemon for member in self.membership.list_live()]
        return self.context.daemon in rank_by_hash("instances", live)[:INSTANCE_LIST_READERS]

    def mark_leaving(self, daemon: str) -> None:
        """Mark a live daemon as leaving, so that callers are no longer given its address."""
        member = self.membership.members.get(daemon)
        if member is None or member.state is not MemberState.LIVE:
            return
        member.state = MemberState.LEAVING
        self.spread(StateChange(daemon, member.incarnation, member.counter, MemberState.LEAVING))

    def is_gone(self, daemon: str, now: float) -> bool:
        """Say whether a daemon that is not in the instance list is gone.

        One that this daemon has never seen in the list is gone if it is suspected and its
        registration is old.
        """
        if daemon == self.context.daemon:
            return False
        if daemon in self.listed_daemons:
            return True
        member = self.membership.members[daemon]
        suspected = member.state is MemberState.SUSPECTED
        return suspected and now - self.registered_at.get(daemon, now) > UNLISTED_GRACE_SECONDS

    async def unregister_gone(self, daemon: str) -> None:
        """Remove a daemon that is gone, and its registration."""
        row = self.shared.get(ROSTER_PREFIX + daemon)
        self.remove_member(daemon)
        self.listed_daemons.discard(daemon)
        if row is None:
            return
        try:
            await self.shared.remove(ROSTER_PREFIX + daemon, row.version)
        except PlatformError:
            self.context.recorder.count("roster_removal_failures")

    def select_addresses(self) -> AddressAnswer:
        """Return the addresses that a caller may use, in rotation over the live daemons."""
        return pick_addresses(self.membership.list_live(), next(self.address_query_numbers))


def decode_daemon_record(row: ObjectRow) -> DaemonRecord:
    """Decode a daemon's stored registration."""
    return DaemonRecord._make(msgpack.unpackb(row.value))
