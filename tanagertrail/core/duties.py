"""Duties: background tasks that one daemon of the fleet does at a time.

Duties are hashed to shards. A daemon does a duty while it holds the lease of its shard, a record in
the object store; the lease's fencing token rises with each holder.
"""

__all__ = ["DutyLeaseManager", "HeldLease"]

from collections.abc import Callable
from dataclasses import dataclass

import msgpack

from tanagertrail.core.context import NodeContext
from tanagertrail.core.members import MembershipManager
from tanagertrail.errors import ConflictError, PlatformError, StoreOutcomeUnknownError
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.leases import DUTY_SHARDS, LeaseRecord, LeaseWatch, may_act, pick_shard

LEASES_PREFIX = "leases/"


@dataclass
class HeldLease:
    """A lease that this daemon holds.

    :ivar version: version of the stored record
    :ivar renewed_at: event-loop time in seconds just before the last successful renewal was sent
    """

    record: LeaseRecord
    version: int
    renewed_at: float


class DutyLeaseManager:
    """Hold the leases of the duty shards for which this daemon ranks first by hash.

    :ivar held_leases: the leases held, by shard
    :ivar lease_watches: what was read of leases that this daemon tried to claim, by shard
    :ivar on_lease_lost: called with the shard of a lease that was lost
    """

    def __init__(self, context: NodeContext, members: MembershipManager) -> None:
        self.context = context
        self.members = members
        self.held_leases: dict[int, HeldLease] = {}
        self.lease_watches: dict[int, LeaseWatch] = {}
        self.stopping = False
        self.on_lease_lost: Callable[[int], None] = lambda shard: None

    def get_fencing_token(self, duty: str, duration: float = 0.0) -> int:
        """Return the fencing token for a duty, 0 if this daemon may not do it now.

        :param duration: seconds that the action takes at most
        """
        lease = self.held_leases.get(pick_shard(duty))
        if lease is None or not may_act(lease.renewed_at, self.context.now(), duration):
            return 0
        return lease.record.fencing

    async def step(self) -> None:
        """Renew the held leases and claim those of the shards that this daemon ranks first for."""
        live = [member.daemon for member in self.members.membership.list_live()]
        for shard in range(DUTY_SHARDS):
            try:
                if shard in self.held_leases:
                    await self.renew(shard)
                elif self.is_preferred(shard, live):
                    await self.try_claim(shard)
            except PlatformError:
                self.context.recorder.count("lease_call_failures")

    def find_preferred_daemon(self, duty: str) -> str:
        """Return the daemon that ranks first for a duty and usually holds its lease."""
        live = [member.daemon for member in self.members.membership.list_live()]
        ranked_daemons = rank_by_hash(f"duty/{pick_shard(duty)}", live)
        return ranked_daemons[0] if ranked_daemons else ""

    def is_preferred(self, shard: int, live: list[str]) -> bool:
        """Say whether this daemon ranks first for a shard among the live daemons."""
        if self.stopping or self.context.daemon not in live:
            return False
        return rank_by_hash(f"duty/{shard}", live)[0] == self.context.daemon

    async def renew(self, shard: int) -> None:
        """Renew a held lease; drop it if it has expired or another daemon has claimed it."""
        lease = self.held_leases[shard]
        requested_at = self.context.now()
        if not may_act(lease.renewed_at, requested_at):
            self.drop_lease(shard, "ran out")
            return
        record = lease.record._replace(renewal=lease.record.renewal + 1)
        try:
            new_version = await self.write_lease(shard, record, lease.version)
        except ConflictError:
            self.drop_lease(shard, "was taken")
            return
        except StoreOutcomeUnknownError:
            await self.read_back(shard, record, requested_at)
            return
        self.held_leases[shard] = HeldLease(record, new_version, requested_at)

    async def read_back(self, shard: int, record: LeaseRecord, requested_at: float) -> None:
        """Keep or enter a lease whose write got no answer, if the write took effect."""
        stored = await self.context.store.get(f"{LEASES_PREFIX}{shard:02d}")
        if stored is not None and decode_lease(stored.value) == record:
            self.held_leases[shard] = HeldLease(record, stored.version, requested_at)

    async def try_claim(self, shard: int) -> None:
        """Claim a lease if it is free or has expired."""
        watch = self.lease_watches.setdefault(shard, LeaseWatch())
        requested_at = self.context.now()
        try:
            stored = await self.context.store.get(f"{LEASES_PREFIX}{shard:02d}")
        except PlatformError:
            watch.note_unreadable(requested_at)
            raise
        if stored is None:
            watch.observe(None, 0, requested_at)
        else:
            watch.observe(decode_lease(stored.value), stored.version, self.context.now())
        if not watch.may_claim(self.context.now()):
            return
        record = watch.build_claim(self.context.holder)
        claimed_at = self.context.now()
        try:
            new_version = await self.write_lease(shard, record, watch.version)
        except ConflictError:
            return
        except StoreOutcomeUnknownError:
            await self.read_back(shard, record, claimed_at)
            return
        self.held_leases[shard] = HeldLease(record, new_version, claimed_at)
        self.context.recorder.record("lease_claimed", detail=f"{shard} fencing={record.fencing}")

    async def write_lease(self, shard: int, record: LeaseRecord, expected: int) -> int:
        """Store a lease's record and return its version."""
        value = msgpack.packb(list(record))
        key = f"{LEASES_PREFIX}{shard:02d}"
        return (await self.context.store.put(key, value, expected)).version

    def drop_lease(self, shard: int, reason: str) -> None:
        """Remove a lease that is no longer held."""
        del self.held_leases[shard]
        self.context.recorder.record("lease_lost", detail=f"{shard} {reason}")
        self.on_lease_lost(shard)

    async def release_all(self) -> None:
        """Release all leases before this daemon exits, so that others can claim them at once."""
        self.stopping = True
        for shard, lease in list(self.held_leases.items()):
            del self.held_leases[shard]
            try:
                await self.write_lease(shard, lease.record._replace(released=True), lease.version)
            except PlatformError:
                self.context.recorder.count("lease_release_failures")


def decode_lease(value: bytes) -> LeaseRecord:
    """Decode a stored lease record."""
    return LeaseRecord._make(msgpack.unpackb(value))
