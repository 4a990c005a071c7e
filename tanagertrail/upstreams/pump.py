"""One readiness queue for all upstream sockets, watched by the event loop as a single file."""

__all__ = ["SocketPump"]

import asyncio
import select
import socket
from collections.abc import Callable

MAX_EVENTS = 1024


class SocketPump:
    """Call readers of sockets that have data, many in one turn of the event loop.

    The event loop watches one epoll file instead of each socket, which saves it a handle, a
    context and a queue entry per token.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.epoll = select.epoll()
        self.readers: dict[int, Callable[[], None]] = {}
        loop.add_reader(self.epoll.fileno(), self.run_ready)

    def add(self, sock: socket.socket, reader: Callable[[], None]) -> None:
        """Call a reader whenever a socket has data."""
        number = sock.fileno()
        self.readers[number] = reader
        self.epoll.register(number, select.EPOLLIN)

    def remove(self, sock: socket.socket) -> None:
        """Stop calling the reader of a socket."""
        number = sock.fileno()
        if self.readers.pop(number, None) is not None:
            self.epoll.unregister(number)

    def run_ready(self) -> None:
        """Call the readers of all sockets that have data."""
        readers = self.readers
        for number, _ in self.epoll.poll(0, MAX_EVENTS):
            reader = readers.get(number)
            if reader is not None:
                reader()
