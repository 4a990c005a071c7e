"""Reads from a connection with a timeout that loses no bytes."""

__all__ = ["has_unread_bytes", "receive_before"]

import array
import asyncio
import fcntl
import termios

from tanagertrail.gateway.channel import Channel


def has_unread_bytes(channel: Channel) -> bool:
    """Return whether bytes have arrived, be it in the channel or in the kernel's buffer."""
    if channel.buffer or channel.disconnected.is_set():
        return bool(channel.buffer)
    unread = array.array("i", [0])
    fcntl.ioctl(channel.transport.get_extra_info("socket").fileno(), termios.FIONREAD, unread)
    return unread[0] > 0


async def receive_before(channel: Channel, timer: asyncio.Timeout) -> bytes:
    """Receive bytes, empty at the end of the stream.

    The event loop may run the timer late, and the reader after it. Bytes that have arrived by
    then are received in spite of the timer.

    :param timer: a timer that is not started yet
    :raises ConnectionError: if the connection broke
    :raises TimeoutError: if nothing has arrived
    """
    try:
        async with timer:
            return await channel.receive()
    except TimeoutError:
        if not has_unread_bytes(channel):
            raise
    return await channel.receive()
