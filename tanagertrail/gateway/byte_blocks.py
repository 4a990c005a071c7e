"""Collection of a body of unknown length."""

__all__ = ["ByteBlocks"]

# One array per body fragments the heap as it grows: 64 bodies of 20 MB together took up to 53 MB,
# in blocks of like size 28 MB.
BLOCK_BYTES = 65_536


class ByteBlocks:
    """Collect bytes in blocks of like size, rather than an object for each chunk.

    :ivar blocks: what was added; all but the last have ``BLOCK_BYTES`` or somewhat more
    :ivar length: number of bytes
    """

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.length = 0

    def add(self, data: bytes) -> None:
        """Add bytes."""
        if not self.blocks or len(self.blocks[-1]) >= BLOCK_BYTES:
            self.blocks.append(bytearray())
        self.blocks[-1] += data
        self.length += len(data)

    def take(self) -> bytes:
        """Return all bytes and hold them no more."""
        body = b"".join(self.blocks)
        self.blocks = []
        return body
