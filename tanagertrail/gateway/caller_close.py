"""Closing of callers' connections, and the reasons for it."""

__all__ = [
    "LINGERING_REASONS",
    "LINGER_SECONDS",
    "CloseReason",
    "RequestState",
    "end_sending",
    "flush",
    "linger",
]

import asyncio
import contextlib
import enum

from tanagertrail.gateway.channel import Channel

LINGER_SECONDS = 0.5  # for the caller to read the last response and close


class CloseReason(enum.StrEnum):
    """Why a caller's connection was closed.

    ``ANNOUNCED`` follows a ``Connection: close`` of either side. ``EVICTED`` closes an idle
    connection in favour of a new one, and ``OVER_LIMIT`` a new one, since there are too many.
    ``BROKEN_OFF`` cuts a response that cannot be completed, so that it does not look complete.
    ``STOPPED`` closes an idle connection, ``UNREAD`` one whose caller has not read its last
    response, and ``CUT`` one with an unanswered request, all three because the daemon ends.
    """

    CALLER_CLOSED = "caller closed"
    CALLER_BROKE = "connection broke"
    IDLE = "idle"
    ANNOUNCED = "announced"
    REFUSED = "request refused"
    EVICTED = "made room"
    OVER_LIMIT = "too many connections"
    BROKEN_OFF = "response broken off"
    DEFECT = "defect"
    STOPPED = "stopped"
    UNREAD = "response unread at the stop"
    CUT = "cut by the stop"


class RequestState(enum.StrEnum):
    """Progress of a caller's connection within a request."""

    IDLE = "idle"
    PARTLY_READ = "partly read"
    UNANSWERED = "unanswered"
    RESPONSE_BEGUN = "response begun"


LINGERING_REASONS = frozenset(
    {
        CloseReason.ANNOUNCED,
        CloseReason.REFUSED,
        CloseReason.DEFECT,
        CloseReason.UNREAD,
        CloseReason.CUT,
    }
)


async def flush(channel: Channel) -> None:
    """Wait until the kernel has all bytes that were written.

    :raises ConnectionError: if the connection is lost
    """
    channel.transport.set_write_buffer_limits(high=0)
    try:
        await channel.drain()
    finally:
        channel.transport.set_write_buffer_limits()


def end_sending(channel: Channel) -> None:
    """Half-close a connection at once; closing it takes effect in the next turn of the loop."""
    if not channel.transport.is_closing():
        with contextlib.suppress(OSError):  # the caller has reset the connection
            channel.transport.write_eof()


async def linger(channel: Channel) -> None:
    """Half-close a connection, and discard what arrives until the caller closes it.

    Closing with unread bytes would reset the connection and destroy a response in flight.
    """
    try:
        await flush(channel)
        end_sending(channel)
        async with asyncio.timeout(LINGER_SECONDS):
            while not channel.peer_closed:
                await channel.receive()
    except (ConnectionError, TimeoutError):
        return
