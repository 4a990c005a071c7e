"""Responses that callers have not read, in one budget for all servers of a daemon."""

__all__ = ["UnreadResponses"]

from collections.abc import Callable

from tanagertrail.gateway.channel import Channel
from tanagertrail.policy.caller_budget import NO_BUDGET, CallerBudget


class UnreadResponses:
    """Bound the bytes of responses that the kernel has not taken for their callers.

    :ivar get_budget: returns the limits that are currently in force
    :ivar sizes: bytes by connection when it was last written to
    :ivar total: sum of the sizes
    :ivar aborted: connections that were closed because of the limit
    """

    def __init__(self, get_budget: Callable[[], CallerBudget] = lambda: NO_BUDGET) -> None:
        self.get_budget = get_budget
        self.sizes: dict[Channel, int] = {}
        self.total = 0
        self.aborted = 0

    def note(self, channel: Channel) -> None:
        """Record what a connection holds, and close others or this one if it is too much."""
        self.measure(channel)
        limit = self.get_budget().unread_bytes
        if limit and self.total > limit:
            self.free(limit)

    def measure(self, channel: Channel) -> None:
        """Update the size of one connection."""
        size = channel.transport.get_write_buffer_size()
        self.total += size - self.sizes.pop(channel, 0)
        if size:
            self.sizes[channel] = size

    def forget(self, channel: Channel) -> None:
        """Record that a connection is lost."""
        self.total -= self.sizes.pop(channel, 0)

    def free(self, limit: int) -> None:
        """Close the connections that hold most, until all are within the limit.

        Their responses look cut short, which promises nothing about their requests.

        :param limit: bytes
        """
        for channel in list(self.sizes):
            self.measure(channel)
        if self.total <= limit:
            return
        for channel in sorted(self.sizes, key=self.sizes.__getitem__, reverse=True):
            if self.total <= limit:
                break
            self.forget(channel)
            self.aborted += 1
            channel.reset()
