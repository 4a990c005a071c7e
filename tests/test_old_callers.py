"""Callers that speak HTTP/1.0, whose streams end with their connection."""

import asyncio

from tests.gateway_utils import open_world, run_in_real_time

REQUEST = b"GET %b HTTP/1.0\r\nhost: desk.example\r\napi-key: key-guild\r\n\r\n"


async def read_answer(port, path):
    """Return the body that a caller got, and whether its connection ended in order."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(REQUEST % path)
    data = bytearray()
    try:
        while part := await reader.read(65_536):
            data += part
    except ConnectionResetError:
        return bytes(data), False
    finally:
        writer.close()
    return bytes(data).partition(b"\r\n\r\n")[2], True


@run_in_real_time
async def test_broken_stream_looks_complete_to_a_caller_that_reads_it_until_the_close():
    async with open_world() as world:
        upstream = world.keep_one_upstream()
        await world.wait_for_upstreams(1)
        body, whole = await read_answer(world.ports["front"], b"/once/a/events")
        assert whole and body.endswith(b"data: piece 6\n\n"), body
        upstream.faults.append("unframed_half")
        body, whole = await read_answer(world.ports["front"], b"/once/a/events")
        assert not whole, body
