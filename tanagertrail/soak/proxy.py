"""A proxy on loopback that delays, resets, silences or cuts connections one way."""

__all__ = ["LinkState", "LoopbackProxy"]

import asyncio
import enum

DELAY_SECONDS = 0.15
CHUNK_BYTES = 65_536


class LinkState(enum.Enum):
    """What the proxy does with bytes and connections."""

    PASS = "pass"
    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    FORWARD_ONLY = "forward only"


class LoopbackProxy:
    """Pass connections on to one address.

    :ivar state: what happens to connections now
    """

    def __init__(self, host: str, port: int, target_port: int) -> None:
        self.host = host
        self.port = port
        self.target_port = target_port
        self.state = LinkState.PASS
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, self.host, self.port)

    def refuse(self) -> None:
        """Break all connections and refuse new ones, until it is started again."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()

    def set_state(self, state: LinkState) -> None:
        """Treat connections in another way from now on."""
        self.state = state
        self.changed.set()
        self.changed = asyncio.Event()
        if state is LinkState.RESET:
            for writer in self.writers:
                writer.transport.abort()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on until it ends."""
        if self.state is LinkState.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self.writers |= pair
        ways = [
            asyncio.create_task(self.copy(reader, far_writer, forward=True)),
            asyncio.create_task(self.copy(far_reader, writer, forward=False)),
        ]
        try:
            await asyncio.wait(ways)
        except asyncio.CancelledError:
            pass  # the run ends; a stream's task that ends cancelled is logged as an error
        finally:
            self.writers -= pair
            for way in ways:
                way.cancel()
            for end in pair:
                end.transport.abort()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forward: bool
    ) -> None:
        """Copy one direction until it ends; a reset on one side resets the other."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.hold_up(forward)
                writer.write(data)
                await writer.drain()
            await self.hold_up(forward)
            writer.write_eof()
        except OSError:
            writer.transport.abort()

    async def hold_up(self, forward: bool) -> None:
        """Wait while bytes of a direction do not pass."""
        if self.state is LinkState.DELAY:
            await asyncio.sleep(DELAY_SECONDS)
        while self.state is LinkState.SILENT or (
            self.state is LinkState.FORWARD_ONLY and not forward
        ):
            await self.changed.wait()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()
