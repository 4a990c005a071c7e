"""Duties done by one daemon at a time, under leases with fencing numbers."""

__all__ = ["DutyLeaseManager", "HeldLease"]

from collections.abc import Callable
from dataclasses import dataclass

import msgpack

from tanagertrail.core.context import NodeContext
from tanagertrail.core.members import MembershipManager
from tanagertrail.errors import ConflictError, PlatformError, StoreUnknownError
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.policy.leases import (
    DUTY_SHARDS,
    LeaseRecord,
    LeaseWatch,
    may_act,
    pick_shard,
)

LEASES_PREFIX = "leases/"


@dataclass
class HeldLease:
    """A lease that this daemon holds.

    :ivar renewed_at: event-loop time just before the last successful renewal was sent
    """

    record: LeaseRecord
    version: int
    renewed_at: float


class DutyLeaseManager:
    """Hold the leases of the duty shards for which this daemon comes first."""

    def __init__(self, context: NodeContext, members: MembershipManager) -> None:
        self.context = context
        self.members = members
        self.held_leases: dict[int, HeldLease] = {}
        self.watches: dict[int, LeaseWatch] = {}
        self.stopping = False
        self.on_lost: Callable[[int], None] = lambda shard: None

    def get_fencing(self, duty: str, duration: float = 0.0) -> int:
        """Return the fencing number under which a duty may be done now, 0 if it may not.

        :param duration: seconds that the action takes at most
        """
        lease = self.held_leases.get(pick_shard(duty))
        if lease is None or not may_act(lease.renewed_at, self.context.now(), duration):
            return 0
        return lease.record.fencing

    async def step(self) -> None:
        """Renew what is held, and claim what this daemon comes first for."""
        live = [member.daemon for member in self.members.membership.list_live()]
        for shard in range(DUTY_SHARDS):
            try:
                if shard in self.held_leases:
                    await self.renew(shard)
                elif self.is_first(shard, live):
                    await self.try_claim(shard)
            except PlatformError:
                self.context.recorder.count("lease_call_failures")

    def find_first(self, duty: str) -> str:
        """Return the daemon that comes first for a duty, which usually holds it."""
        live = [member.daemon for member in self.members.membership.list_live()]
        ranked = rank_by_hash(f"duty/{pick_shard(duty)}", live)
        return ranked[0] if ranked else ""

    def is_first(self, shard: int, live: list[str]) -> bool:
        """Say whether this daemon comes first for a shard among the live ones."""
        if self.stopping or self.context.daemon not in live:
            return False
        return rank_by_hash(f"duty/{shard}", live)[0] == self.context.daemon

    async def renew(self, shard: int) -> None:
        """Renew a held lease; a lease that ran out or was taken is given up."""
        lease = self.held_leases[shard]
        asked_at = self.context.now()
        if not may_act(lease.renewed_at, asked_at):
            self.drop(shard, "ran out")
            return
        record = lease.record._replace(renewal=lease.record.renewal + 1)
        try:
            stored = await self.write(shard, record, lease.version)
        except ConflictError:
            self.drop(shard, "was taken")
            return
        except StoreUnknownError:
            await self.read_back(shard, record, asked_at)
            return
        self.held_leases[shard] = HeldLease(record, stored, asked_at)

    async def read_back(self, shard: int, record: LeaseRecord, asked_at: float) -> None:
        """Learn whether a write whose answer was lost took effect."""
        stored = await self.context.store.get(f"{LEASES_PREFIX}{shard:02d}")
        if stored is not None and decode_lease(stored.value) == record:
            self.held_leases[shard] = HeldLease(record, stored.version, asked_at)

    async def try_claim(self, shard: int) -> None:
        """Claim a lease that was free or has run out."""
        watch = self.watches.setdefault(shard, LeaseWatch())
        asked_at = self.context.now()
        try:
            stored = await self.context.store.get(f"{LEASES_PREFIX}{shard:02d}")
        except PlatformError:
            watch.note_unreadable(asked_at)
            raise
        if stored is None:
            watch.observe(None, 0, asked_at)
        else:
            watch.observe(decode_lease(stored.value), stored.version, self.context.now())
        if not watch.may_claim(self.context.now()):
            return
        record = watch.build_claim(self.context.holder)
        claimed_at = self.context.now()
        try:
            version = await self.write(shard, record, watch.version)
        except ConflictError:
            return
        except StoreUnknownError:
            await self.read_back(shard, record, claimed_at)
            return
        self.held_leases[shard] = HeldLease(record, version, claimed_at)
        self.context.recorder.record("lease_claimed", detail=f"{shard} fencing={record.fencing}")

    async def write(self, shard: int, record: LeaseRecord, expected: int) -> int:
        """Write a lease's record and return its version."""
        value = msgpack.packb(list(record))
        key = f"{LEASES_PREFIX}{shard:02d}"
        return (await self.context.store.put(key, value, expected)).version

    def drop(self, shard: int, why: str) -> None:
        """Give up a lease that is no longer held."""
        del self.held_leases[shard]
        self.context.recorder.record("lease_lost", detail=f"{shard} {why}")
        self.on_lost(shard)

    async def release_all(self) -> None:
        """Release all leases, before this daemon exits."""
        self.stopping = True
        for shard, lease in list(self.held_leases.items()):
            del self.held_leases[shard]
            try:
                await self.write(shard, lease.record._replace(released=True), lease.version)
            except PlatformError:
                self.context.recorder.count("lease_release_failures")


def decode_lease(value: bytes) -> LeaseRecord:
    """Decode a lease's record."""
    return LeaseRecord._make(msgpack.unpackb(value))
