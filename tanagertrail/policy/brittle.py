"""Room at a brittle upstream, which falls over if it has to reject too many requests."""

__all__ = ["BrittleRoom", "count_holders", "plan_slots", "widen_room"]

import math
from collections.abc import Sequence

from tanagertrail.policy.hubs import MAX_FULL_MESH_DAEMONS
from tanagertrail.policy.shared_rate import FleetView

FIRST_PAUSE_SECONDS = 1.0  # the time in which rejections are counted against an upstream
MAX_PAUSE_SECONDS = 8.0
HELD_SLOTS = 4  # of an upstream, by each of its holders in a large fleet
RECOVERY_SECONDS = 4.0  # in which the room grows to the usual after the upstream was brittle


def count_holders(slots: int, daemons: int) -> int:
    """Count the daemons among which an upstream's slots are divided.

    In a large fleet few hold a part of several slots, since a part of one slot is idle for as long
    as its daemon has no request. The others have their requests carried by holders.
    """
    if daemons <= MAX_FULL_MESH_DAEMONS:
        return daemons
    return max(math.ceil(slots / HELD_SLOTS), 1)


def plan_slots(holders: Sequence[str], slots: int, fleet: FleetView) -> int:
    """Divide an upstream's slots evenly among its holders and return this daemon's part.

    Those that are left over go to the first holders. Daemons that are out of touch may divide the
    same slots among themselves, so that parts shrink with their share.
    """
    if fleet.own not in holders:
        return 0
    usable = max(math.floor(slots * fleet.live_share), 1)
    part, left = divmod(usable, len(holders))
    return part + (holders.index(fleet.own) < left)


class BrittleRoom:
    """This daemon's room at one incarnation of an upstream.

    :ivar part: slots that this daemon may use
    :ivar ceiling: requests in flight that were not rejected lately; it halves at a rejection
    :ivar pause: seconds for which nothing is sent after the last rejection
    :ivar paused_until: time in seconds
    """

    def __init__(self) -> None:
        self.part = 0
        self.ceiling = math.inf
        self.pause = 0.0
        self.paused_until = -math.inf

    def apply_part(self, part: int, settled: bool) -> None:
        """Put a part in force; a larger one waits until all daemons know the fleet.

        :param settled: whether all daemons know of the last change of the fleet
        """
        if part < self.part or settled:
            self.part = part

    def allows_request(self, in_flight: int, now: float) -> bool:
        """Return whether a request may be sent beside those in flight from this daemon."""
        return now >= self.paused_until and in_flight < min(self.part, self.ceiling)

    def note_rejected(self, in_flight: int, now: float) -> None:
        """Send nothing for a time that doubles, and less afterwards.

        Rejections while nothing is sent answer requests that were under way, and count once.

        :param in_flight: other requests from this daemon
        """
        if now < self.paused_until:
            return
        self.pause = min(max(2 * self.pause, FIRST_PAUSE_SECONDS), MAX_PAUSE_SECONDS)
        self.paused_until = now + self.pause
        self.ceiling = max(min(self.ceiling, in_flight) // 2, 1)

    def note_answered(self) -> None:
        """Grow by one request for each round of answers."""
        self.ceiling += 1.0 / self.ceiling
        if self.ceiling >= self.part:
            self.pause = 0.0


def widen_room(part: int, usual: float, ended_for: float) -> float:
    """Return the requests allowed in flight some seconds after an upstream was brittle.

    :param usual: requests that all daemons together may have in flight at it
    :param ended_for: seconds since it was brittle
    """
    if ended_for >= RECOVERY_SECONDS:
        return math.inf
    return max(part, 1) + (usual - part) * max(ended_for, 0.0) / RECOVERY_SECONDS
