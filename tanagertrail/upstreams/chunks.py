"""Decoder of HTTP/1.1 chunked transfer coding for sockets that the event loop reads."""

__all__ = ["ChunkDecoder"]

from tanagertrail.errors import UpstreamProtocolError

MAX_SIZE_LINE_BYTES = 64
MAX_CHUNK_BYTES = 1_000_000  # a chunk is kept until it is whole; events have some hundred bytes
LAST_CHUNK = b"0\r\n\r\n"


class ChunkDecoder:
    """Decode chunks as their bytes come; trailers are not supported.

    :ivar ended: whether the last chunk has come
    """

    def __init__(self) -> None:
        self.pending = b""
        self.ended = False

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return the body bytes of all whole chunks.

        :raises UpstreamProtocolError: if the coding is broken
        """
        if self.pending:
            data = self.pending + data
        parts: list[bytes] = []
        position = 0
        while position < len(data) and not self.ended:
            following = self.read_chunk(data, position, parts)
            if following == position:
                break
            position = following
        self.pending = data[position:]
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def find_single(self, data: bytes) -> int:
        """Return where the body starts in data that is exactly one whole chunk, 0 otherwise."""
        line_end = data.find(b"\r\n", 1, MAX_SIZE_LINE_BYTES)
        if line_end < 0 or self.pending or self.ended or not data.endswith(b"\r\n"):
            return 0
        start = line_end + 2
        size = len(data) - start - 2
        return start if size > 0 and b"%x" % size == data[:line_end] else 0

    def read_chunk(self, data: bytes, position: int, parts: list[bytes]) -> int:
        """Read one chunk and return the position after it, or the same if it is not whole."""
        line_end = data.find(b"\r\n", position, position + MAX_SIZE_LINE_BYTES)
        if line_end < 0:
            if len(data) - position >= MAX_SIZE_LINE_BYTES:
                raise UpstreamProtocolError("a chunk has no size line")
            return position
        size = read_size(data[position:line_end])
        start = line_end + 2
        if len(data) < start + size + 2:
            return position
        if size == 0:
            self.ended = True
        else:
            parts.append(data[start : start + size])
        return start + size + 2


def read_size(line: bytes) -> int:
    """Read the size in a chunk's first line.

    :raises UpstreamProtocolError: if it is not a hexadecimal number
    """
    try:
        size = int(line.partition(b";")[0], 16)
    except ValueError as error:
        raise UpstreamProtocolError(f"chunk size {line[:16]!r} is not a number") from error
    if size < 0:
        raise UpstreamProtocolError(f"chunk size {line[:16]!r} is negative")
    if size > MAX_CHUNK_BYTES:
        raise UpstreamProtocolError(f"a chunk exceeds {MAX_CHUNK_BYTES} bytes")
    return size
