"""Leases on duty shards with fencing numbers, stored in the object API."""

__all__ = [
    "DUTY_SHARDS",
    "LEASE_SECONDS",
    "LeaseRecord",
    "LeaseWatch",
    "may_act",
    "pick_shard",
]

from typing import NamedTuple

import xxhash

DUTY_SHARDS = 16
LEASE_SECONDS = 6.0
CLOCK_MARGIN = 1.1


class LeaseRecord(NamedTuple):
    """The stored record of a lease.

    :ivar fencing: fencing number, which increases with each new claim
    :ivar renewal: number of renewals since the claim
    :ivar released: whether the holder released the lease
    """

    holder: str
    fencing: int
    renewal: int
    released: bool = False


def pick_shard(key: str, shards: int = DUTY_SHARDS) -> int:
    """Return the shard to which a key belongs."""
    return xxhash.xxh64_intdigest(key.encode()) % shards


class LeaseWatch:
    """One daemon's observations of a lease, timed by its own clock.

    Records contain no times. A lease may be claimed only after this daemon has seen the same
    renewal for longer than the lease's duration.

    :ivar version: store version of the record
    :ivar seen_at: event-loop time in seconds since which this version has been seen
    """

    def __init__(self, duration: float = LEASE_SECONDS) -> None:
        self.duration = duration
        self.record: LeaseRecord | None = None
        self.version = 0
        self.seen_at = 0.0

    def observe(self, record: LeaseRecord | None, version: int, now: float) -> None:
        """Record the result of reading the lease."""
        if version != self.version or record != self.record:
            self.record = record
            self.version = version
            self.seen_at = now

    def note_unreadable(self, now: float) -> None:
        """Restart the wait after a failed read, since a renewal may have been missed."""
        self.seen_at = now

    def may_claim(self, now: float) -> bool:
        """Return whether the lease has certainly expired or was released."""
        if self.record is None or self.record.released:
            return True
        return now - self.seen_at > self.duration * CLOCK_MARGIN

    def build_claim(self, holder: str) -> LeaseRecord:
        """Return the record with which a holder claims the lease."""
        fencing = self.record.fencing + 1 if self.record else 1
        return LeaseRecord(holder, fencing, 0)


def may_act(
    renewed_at: float, now: float, duration: float = 0.0, lease: float = LEASE_SECONDS
) -> bool:
    """Return whether the holder may start an action of some duration.

    :param renewed_at: event-loop time in seconds just before the last successful renewal was sent
    :param duration: seconds that the action takes at most
    :param lease: seconds that the lease lasts after a renewal
    """
    return now + duration < renewed_at + lease
