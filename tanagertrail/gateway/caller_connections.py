"""The open connections of callers to one server, and the limit on their number."""

__all__ = ["CallerConnections"]

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from tanagertrail.gateway.body_budget import RequestRefusedError
from tanagertrail.gateway.caller_close import LINGER_SECONDS, RequestState
from tanagertrail.gateway.caller_guard import CallerGuard
from tanagertrail.gateway.channel import Channel
from tanagertrail.policy.caller_budget import (
    ConnectionFacts,
    Stage,
    choose_closing,
    is_too_slow,
    rank_idle,
)

if TYPE_CHECKING:
    from tanagertrail.gateway.http1 import CallerStream

CLOSING_SLACK = 64  # connections beyond the limit, while those that make room close


class CallerConnections:
    """Bound the open connections, and let some make room for new ones.

    :ivar get_limit: returns the largest number of connections, 0 for no limit
    :ivar guard: limits on what all callers hold together
    :ivar streams: stream of each connection until it is lost, None before it is served
    :ivar closing_since: event-loop time in seconds since which a connection is to close
    :ivar leaving: connections that make room
    :ivar evicted: connections so far that were closed to make room
    """

    def __init__(self, get_limit: Callable[[], int], guard: CallerGuard) -> None:
        self.get_limit = get_limit
        self.guard = guard
        self.streams: dict[Channel, CallerStream | None] = {}
        self.closing_since: dict[Channel, float] = {}
        self.leaving: set[Channel] = set()
        self.evicted = 0

    @property
    def is_full(self) -> bool:
        """Whether there are as many connections as the limit says."""
        return 0 < self.get_limit() <= len(self.streams)

    def count_room(self) -> int | None:
        """Count the connections that may be added at once, None for no limit."""
        limit = self.get_limit()
        return max(0, limit + CLOSING_SLACK - len(self.streams)) if limit else None

    def admit(self, channel: Channel) -> bool:
        """Count a new connection; false if there is no room for it."""
        limit = self.get_limit()
        if limit and len(self.streams) - len(self.leaving) >= limit:
            self.make_room(limit)
        if limit and len(self.streams) >= limit + CLOSING_SLACK:
            self.reset_leaving()
        staying = len(self.streams) - len(self.leaving)
        if limit and (staying >= limit or len(self.streams) >= limit + CLOSING_SLACK):
            return False
        self.streams[channel] = None
        channel.on_lost = lambda: self.forget(channel)
        return True

    def note_serving(self, stream: "CallerStream") -> None:
        """Record the stream of a connection."""
        if stream.channel in self.streams:
            self.streams[stream.channel] = stream

    def note_closing(self, channel: Channel) -> None:
        """Record that no more requests are read from a connection."""
        if channel in self.streams:
            self.closing_since[channel] = asyncio.get_running_loop().time()

    def forget(self, channel: Channel) -> None:
        """Record that a connection is lost."""
        self.streams.pop(channel, None)
        self.closing_since.pop(channel, None)
        self.leaving.discard(channel)
        self.guard.unread.forget(channel)

    def make_room(self, limit: int) -> None:
        """Close connections whose callers lose least."""
        channels = [channel for channel in self.streams if channel not in self.leaving]
        facts = [self.describe(channel) for channel in channels]
        for place in choose_closing(facts, limit):
            self.leaving.add(channels[place])
            self.evicted += 1
            self.close(channels[place])

    def reset_leaving(self) -> None:
        """Reset the connections that make room and have not closed yet, as far as none is busy.

        Bytes may have arrived on an idle one, or its caller does not read.
        """
        for channel in list(self.leaving):
            if self.describe(channel).stage < Stage.BUSY:
                self.forget(channel)
                channel.reset()

    def describe(self, channel: Channel) -> ConnectionFacts:
        """Describe what a connection is in."""
        now = asyncio.get_running_loop().time()
        closing_since = self.closing_since.get(channel)
        if closing_since is not None:
            is_late = now - closing_since > LINGER_SECONDS
            return ConnectionFacts(Stage.UNREAD if is_late else Stage.BUSY, closing_since)
        stream = self.streams[channel]
        if stream is None:
            return ConnectionFacts(Stage.BUSY, now)
        state = stream.request_state
        if state is RequestState.IDLE:
            since = stream.idle_wait.keep_alive.idle_since
            if channel.transport.get_write_buffer_size():
                return ConnectionFacts(Stage.UNREAD, since)
            return ConnectionFacts(rank_idle(now - since), since)
        if state is RequestState.PARTLY_READ and stream.claim is None:
            return ConnectionFacts(Stage.HEAD, stream.began_at)
        claim, min_rate = stream.claim, self.guard.bodies.get_budget().min_body_rate
        if state is RequestState.PARTLY_READ and is_too_slow(claim.held, claim.age, min_rate):
            return ConnectionFacts(Stage.SLOW_BODY, claim.began_at)
        return ConnectionFacts(Stage.BUSY, now)

    def close(self, channel: Channel) -> None:
        """Close a connection; one that is being read is told that its request has not run."""
        stream = self.streams[channel]
        is_closing = channel in self.closing_since
        if is_closing or channel.transport.get_write_buffer_size():
            channel.reset()
        elif stream.request_state is RequestState.PARTLY_READ:
            reason = f"{len(self.streams)} connections are open, and the request is not complete"
            stream.refuse(RequestRefusedError(408, reason))
        else:
            stream.idle_wait.end()
