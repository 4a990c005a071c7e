"""Transfer of a caller's socket from a CherryPy worker thread to the event loop."""

__all__ = ["HandoverGateway", "SocketSink", "get_request_socket", "mark_response_sent"]

import asyncio
import socket
import ssl

import cherrypy
from cheroot import wsgi

from tanagertrail.sinks import BaseSink

REQUEST_KEY = "tanagertrail.request"
RESPONSE_SENT_ATTRIBUTE = "tanagertrail_handed_over"
MAX_BUFFERED_BYTES = 256 * 1024
STREAM_RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"Content-Type: text/event-stream\r\n"
    b"Cache-Control: no-cache\r\n"
    b"Transfer-Encoding: chunked\r\n"
)
WOULD_BLOCK_ERRORS = (BlockingIOError, ssl.SSLWantWriteError, ssl.SSLWantReadError)


class HandoverGateway(wsgi.Gateway_10):
    """WSGI gateway that writes nothing if the event loop has sent the response.

    It also puts the cheroot request in the WSGI environment, so that handlers can reach its socket.
    """

    def get_environ(self):
        """Return the WSGI environment, including the cheroot request."""
        environ = super().get_environ()
        environ[REQUEST_KEY] = self.req
        return environ

    def start_response(self, status, headers, exc_info=None):
        """Set status and headers unless the event loop has sent the response."""
        if getattr(self.req, RESPONSE_SENT_ATTRIBUTE, False):
            return self.write
        return super().start_response(status, headers, exc_info)

    def write(self, chunk: bytes) -> None:
        """Write a chunk unless the event loop has sent the response."""
        if not getattr(self.req, RESPONSE_SENT_ATTRIBUTE, False):
            super().write(chunk)


def get_request_socket() -> socket.socket:
    """Return the socket of the request that this thread handles."""
    request = cherrypy.serving.request.wsgi_environ[REQUEST_KEY]
    return request.conn.socket


def mark_response_sent(keep_alive: bool) -> None:
    """Tell the server that the event loop has sent the complete response."""
    request = cherrypy.serving.request.wsgi_environ[REQUEST_KEY]
    setattr(request, RESPONSE_SENT_ATTRIBUTE, True)
    request.sent_headers = True
    request.chunked_write = False
    request.close_connection = not keep_alive


class SocketSink(BaseSink):
    """Write a chunked HTTP response to a socket from the event loop.

    :ivar headers: further header lines of the response, each ending in CRLF
    :ivar started: whether the response head was written
    :ivar drained: completed when the buffer is empty or the caller is gone
    :ivar old_timeout: timeout of the socket before the event loop used it
    """

    def __init__(
        self, sock: socket.socket, loop: asyncio.AbstractEventLoop, headers: bytes = b""
    ) -> None:
        self.sock = sock
        self.loop = loop
        self.headers = headers
        self.buffer = bytearray()
        self.closed = False
        self.started = False
        self.drained: asyncio.Future | None = None
        self.old_timeout = sock.gettimeout()

    def start(self) -> None:
        """Make the socket non-blocking and write the response head."""
        self.started = True
        self.sock.setblocking(False)
        if self.sock.family in (socket.AF_INET, socket.AF_INET6):
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.send(STREAM_RESPONSE_HEAD + self.headers + b"\r\n")

    def write(self, data: bytes) -> None:
        """Write bytes as one HTTP chunk."""
        if not self.started:
            self.start()
        self.send(b"%x\r\n%b\r\n" % (len(data), data))

    def write_chunk(self, chunk: bytes, start: int) -> None:
        """Write one complete HTTP chunk unchanged."""
        if not self.started:
            self.start()
        self.send(chunk)

    def send(self, data: bytes) -> None:
        """Send bytes now, and buffer what the socket does not accept."""
        if self.closed:
            return
        if self.buffer:
            self.buffer += data
            return
        try:
            sent = self.sock.send(data)
        except WOULD_BLOCK_ERRORS:
            sent = 0
        except OSError:
            self.abort()
            return
        if sent < len(data):
            self.buffer += data[sent:]
            self.loop.add_writer(self.sock.fileno(), self.flush)

    def flush(self) -> None:
        """Send buffered bytes; called when the socket is writable."""
        try:
            sent = self.sock.send(self.buffer)
        except WOULD_BLOCK_ERRORS:
            return
        except OSError:
            self.abort()
            return
        del self.buffer[:sent]
        if not self.buffer:
            self.loop.remove_writer(self.sock.fileno())
            self.wake()

    def abort(self) -> None:
        """Discard the buffer and mark the sink as closed, as the caller is gone."""
        if self.buffer:
            self.loop.remove_writer(self.sock.fileno())
        self.closed = True
        self.buffer.clear()
        self.wake()

    def wake(self) -> None:
        """Wake up the task that waits in :meth:`drain`."""
        if self.drained is not None and not self.drained.done():
            self.drained.set_result(None)

    @property
    def full(self) -> bool:
        """Whether more than ``MAX_BUFFERED_BYTES`` are buffered."""
        return len(self.buffer) > MAX_BUFFERED_BYTES

    async def drain(self) -> None:
        """Wait until the buffer is empty or the caller is gone."""
        if self.buffer and not self.closed:
            self.drained = self.loop.create_future()
            await self.drained

    async def finish(self) -> None:
        """Write the last chunk and return the socket to its worker thread."""
        self.send(b"0\r\n\r\n")
        await self.drain()
        self.release()

    def release(self) -> None:
        """Make the socket blocking again, for its worker thread."""
        if not self.started:
            return
        try:
            self.sock.settimeout(self.old_timeout)
        except OSError:
            self.closed = True
