"""Contact with the other daemons, which tells an own cut from an outage of the store."""

__all__ = ["PeerContact"]

import math

from tanagertrail.gateway.clock import BootClock

SILENCE_SECONDS = 2.0  # without a message of any other daemon; they exchange more often
RECENT_SECONDS = 3.0  # after such a silence, in which its consequences are met


class PeerContact:
    """When other daemons were heard.

    :ivar heard_at: boot time in seconds of the last message, None before the first one
    :ivar silence_ended_at: boot time in seconds at which the last long silence ended
    """

    def __init__(self, boot_time: BootClock) -> None:
        self.boot_time = boot_time
        self.heard_at: float | None = None
        self.silence_ended_at = -math.inf

    def note_heard(self) -> None:
        """Record a message of another daemon."""
        now = self.boot_time()
        if self.heard_at is not None and now - self.heard_at > SILENCE_SECONDS:
            self.silence_ended_at = now
        self.heard_at = now

    def was_cut_off(self) -> bool:
        """Return whether all others are silent or were just silent for long, if there are any."""
        if self.heard_at is None:
            return False
        now = self.boot_time()
        is_silent = now - self.heard_at > SILENCE_SECONDS
        return is_silent or now - self.silence_ended_at < RECENT_SECONDS
