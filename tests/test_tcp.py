"""Tests of the TCP transport between daemons, over real sockets."""

import asyncio
import tempfile
from pathlib import Path

from nose2.tools import params

from tanagertrail.daemons.frames import LENGTH_PREFIX, MAX_FRAME_BYTES, encode_frame
from tanagertrail.daemons.messages import Heartbeat, Hello
from tanagertrail.daemons.tcp import TcpPeerTransport, TcpSettings
from tanagertrail.tls import KeyFiles, build_peer_contexts
from tests.utils import write_certificate


def build_transport(name, directory=None):
    """Build a transport on a free port, with TLS if there is a directory for its certificate."""
    server = client = None
    if directory is not None:
        certificate, key = Path(directory, "c.pem"), Path(directory, "k.pem")
        if not certificate.exists():
            write_certificate(certificate, key, "daemons", 1_000_000)
        files = KeyFiles(str(certificate), str(key), str(certificate))
        server_context, client = build_peer_contexts(files)
        server = server_context.context
    return TcpPeerTransport(name, TcpSettings("127.0.0.1", 0, 1, server, client))


async def exchange_messages(directory):
    """Send three messages from one transport to another and return what arrives."""
    received = []
    sender, receiver = build_transport("a", directory), build_transport("b", directory)
    sender.set_handler(lambda *arguments: None)
    receiver.set_handler(lambda *arguments: received.append(arguments))
    await sender.start()
    await receiver.start()
    sender.set_address("b", f"127.0.0.1:{receiver.port}")
    for counter in range(3):
        sender.send("b", Heartbeat("a", 1, counter, 7, 0), 40 + counter)
    async with asyncio.timeout(5):
        while len(received) < 3:
            await asyncio.sleep(0.01)
    await sender.stop()
    await receiver.stop()
    return received


@params(False, True)
def test_messages_arrive_in_order(tls):
    with tempfile.TemporaryDirectory() as directory:
        received = asyncio.run(exchange_messages(directory if tls else None))
    assert [message.counter for _, message, _ in received] == [0, 1, 2]
    assert [stamp for _, _, stamp in received] == [40, 41, 42]
    assert {sender for sender, _, _ in received} == {"a"}


def test_invalid_frame_closes_only_its_own_connection():
    async def scenario():
        received = []
        transport = build_transport("b")
        transport.set_handler(lambda *arguments: received.append(arguments))
        await transport.start()
        hello = encode_frame(Hello(1, "a", 1), 0)
        invalid_data = [
            b"\xff\xff\xff\xff",
            LENGTH_PREFIX.pack(MAX_FRAME_BYTES + 1),
            encode_frame(Hello(99, "a", 1), 0),
            hello + LENGTH_PREFIX.pack(3) + b"abc",
            encode_frame(Heartbeat("a", 1, 1, 1, 1), 0),
        ]
        for data in invalid_data:
            reader, writer = await asyncio.open_connection("127.0.0.1", transport.port)
            writer.write(data)
            async with asyncio.timeout(5):
                assert await reader.read() == b""
            writer.close()
        _, writer = await asyncio.open_connection("127.0.0.1", transport.port)
        writer.write(hello + encode_frame(Heartbeat("a", 1, 1, 1, 1), 5))
        async with asyncio.timeout(5):
            while not received:
                await asyncio.sleep(0.01)
        assert transport.failure_counts["frame_errors"] == len(invalid_data)
        writer.close()
        await transport.stop()

    asyncio.run(scenario())
