"""Membership of one daemon: registration, heartbeats, the instance list, addresses."""

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
from tanagertrail.errors import ConflictError, PlatformError, StoreUnknownError
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
UNLISTED_GRACE_SECONDS = 120.0
INSTANCE_LIST_READERS = 3


class DaemonRecord(NamedTuple):
    """A daemon's entry among the shared objects; its revision is the incarnation.

    :ivar nonce: identifies one start of the daemon
    """

    daemon: str
    nonce: str
    peer_address: str
    caller_address: str
    operator_address: str
    failure_domain: str


class MembershipManager:
    """Know the other daemons and be known by them."""

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
            except (ConflictError, StoreUnknownError):
                if attempt >= REGISTER_ATTEMPTS:
                    raise
                await asyncio.sleep(REGISTER_RETRY_SECONDS)

    async def unregister(self) -> None:
        """Remove this daemon's registration, before it exits."""
        row = self.shared.get(ROSTER_PREFIX + self.context.daemon)
        if row is None:
            return
        try:
            await self.shared.remove(ROSTER_PREFIX + self.context.daemon, row.version)
        except PlatformError:
            self.context.recorder.count("roster_removal_failures")

    def apply_row(self, row: ObjectRow) -> None:
        """Take a daemon's registration, or its removal."""
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
        """Forget a daemon whose instance is gone."""
        member = self.membership.remove(daemon)
        if member is None:
            return
        self.records.pop(daemon, None)
        self.context.transport.forget(daemon)
        self.context.recorder.record("daemon_gone", detail=member.holder)
        self.notify_gone(member.holder)
        self.update_ring(member)

    def notify_gone(self, holder: str) -> None:
        """Tell the listeners that an incarnation will never act again."""
        for listener in self.gone_listeners:
            listener(holder)

    def update_ring(self, member: Member) -> None:
        """Put a member on the ring of neighbours, or take it off, after its state changed."""
        reachable = member.state in (MemberState.LIVE, MemberState.LEAVING)
        if reachable or member.daemon == self.context.daemon:
            self.neighbour_ring.add(member.daemon)
        else:
            self.neighbour_ring.remove(member.daemon)
        self.context.neighbours = self.neighbour_ring.find_neighbours(self.context.daemon)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to the neighbours and look for silent ones."""
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
        for change in self.membership.find_silent(self.context.neighbours, now):
            self.spread(change)

    def send_to_suspected(self, heartbeat: Heartbeat) -> None:
        """Send the heartbeat to one suspected member in turn, so that a healed cut is noticed."""
        suspected = [
            member.daemon
            for member in self.membership.members.values()
            if member.state is MemberState.SUSPECTED
        ]
        if suspected:
            self.context.send(suspected[self.counter % len(suspected)], heartbeat)

    def receive_heartbeat(self, sender: str, heartbeat: Heartbeat) -> None:
        """Take a neighbour's heartbeat."""
        now = self.context.now()
        change = self.membership.note_heartbeat(
            heartbeat.daemon, heartbeat.incarnation, heartbeat.counter, now
        )
        if change is not None:
            self.spread(change)
        self.shared.compare_digest(sender, heartbeat.digest)

    def receive_news(self, sender: str, news: MemberNews) -> None:
        """Take flooded news of a member; refute a suspicion of this one."""
        change = StateChange(news.daemon, news.incarnation, news.counter, MemberState(news.state))
        if change.daemon == self.context.daemon:
            self.refute(change)
            return
        if self.membership.apply(change, self.context.now()):
            self.context.recorder.record(f"daemon_{change.state}", detail=change.daemon)
            self.update_ring(self.membership.members[change.daemon])

    def refute(self, change: StateChange) -> None:
        """Answer a suspicion of this daemon with a larger number."""
        if change.incarnation != self.context.incarnation:
            return
        if change.state is MemberState.SUSPECTED and not self.leaving:
            self.counter = max(self.counter, change.counter) + 1
            state = MemberState.LIVE
            self.flood_change(StateChange(change.daemon, change.incarnation, self.counter, state))

    def spread(self, change: StateChange) -> None:
        """Record a change of state found here and flood it."""
        self.context.recorder.record(f"daemon_{change.state}", detail=change.daemon)
        self.update_ring(self.membership.members[change.daemon])
        self.flood_change(change)

    def flood_change(self, change: StateChange) -> None:
        """Flood a change of state."""
        self.context.flood(
            MemberNews(change.daemon, change.incarnation, change.counter, str(change.state))
        )

    def announce_leaving(self) -> None:
        """Tell every daemon that this one leaves, so that no answer names it."""
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
        """Read the instance list and note what is leaving or gone; a few daemons do."""
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
        """Say whether this daemon reads the instance list for all."""
        live = [member.daemon for member in self.membership.list_live()]
        return self.context.daemon in rank_by_hash("instances", live)[:INSTANCE_LIST_READERS]

    def mark_leaving(self, daemon: str) -> None:
        """Take a leaving instance out of the answers of all daemons."""
        member = self.membership.members.get(daemon)
        if member is None or member.state is not MemberState.LIVE:
            return
        member.state = MemberState.LEAVING
        self.spread(StateChange(daemon, member.incarnation, member.counter, MemberState.LEAVING))

    def is_gone(self, daemon: str, now: float) -> bool:
        """Say whether a daemon that is not in the list is gone rather than not yet listed."""
        if daemon == self.context.daemon:
            return False
        if daemon in self.listed_daemons:
            return True
        member = self.membership.members[daemon]
        suspected = member.state is MemberState.SUSPECTED
        return suspected and now - self.registered_at.get(daemon, now) > UNLISTED_GRACE_SECONDS

    async def unregister_gone(self, daemon: str) -> None:
        """Remove the registration of a gone daemon."""
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
        """Answer the question which addresses a caller may use."""
        return pick_addresses(self.membership.list_live(), next(self.address_query_numbers))


def decode_daemon_record(row: ObjectRow) -> DaemonRecord:
    """Decode a daemon's registration."""
    return DaemonRecord._make(msgpack.unpackb(row.value))
