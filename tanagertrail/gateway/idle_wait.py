"""The wait for the next request on a caller's connection."""

__all__ = ["IdleWait"]

import asyncio
from collections.abc import Callable

from tanagertrail.gateway.caller_close import flush
from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.model import Limits
from tanagertrail.gateway.timed_reads import receive_before
from tanagertrail.policy.keep_alive import KeepAlive


class IdleWait:
    """Wait for requests on one connection for as long as it may be idle.

    :ivar get_limits: returns the limits that are currently in force
    :ivar keep_alive: how long the connection is kept
    :ivar timer: ends the current wait, None while there is none
    """

    def __init__(self, channel: Channel, get_limits: Callable[[], Limits]) -> None:
        self.channel = channel
        self.get_limits = get_limits
        self.keep_alive = KeepAlive()
        self.timer: asyncio.Timeout | None = None

    async def receive(self) -> bytes:
        """Receive the first bytes of a request, empty if the caller closed the connection.

        :raises ConnectionError: if the connection broke
        :raises TimeoutError: if the connection may be closed, and nothing has arrived on it
        """
        limit = self.get_limits().idle_timeout
        self.keep_alive.begin_wait(limit, asyncio.get_running_loop().time())
        while True:
            deadline = self.keep_alive.compute_deadline(limit)
            self.timer = asyncio.timeout_at(deadline)
            try:
                return await receive_before(self.channel, self.timer)
            except TimeoutError:
                limit = self.get_limits().idle_timeout
                if self.channel.transport.get_write_buffer_size():
                    await flush(self.channel)
                elif self.keep_alive.compute_deadline(limit) <= deadline:
                    raise
            finally:
                self.timer = None

    def end(self) -> None:
        """Let this wait and later ones end as soon as nothing has arrived."""
        self.keep_alive.ended = True
        if self.timer is not None and not self.timer.expired():
            self.timer.reschedule(asyncio.get_running_loop().time())

    def state_timeout(self) -> int | None:
        """Choose the timeout in seconds to state in a response, None for none."""
        return self.keep_alive.state_timeout(self.get_limits().idle_timeout)
