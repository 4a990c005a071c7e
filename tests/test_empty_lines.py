"""Empty lines before requests, which some callers send after a body."""

from nose2.tools import params

from tests.caller_utils import REQUEST, turn_loop, with_callers

EMPTY_LINE = b"\r\n"


@params(False, True)
@with_callers
async def test_empty_line_after_a_body_refuses_the_next_request(world, is_separate):
    transport = world.connect()
    head = b"POST /0 HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 2\r\n\r\nab"
    transport.send(head + (EMPTY_LINE if not is_separate else b""))
    transport.deliver()
    await turn_loop()
    if is_separate:
        transport.send(EMPTY_LINE)
        transport.deliver()
        await turn_loop()
    assert transport.closed_at is None
    assert transport.sent.count(b"HTTP/1.1 ") == 1, "an answer without a request"
    await world.request(transport, 1)
    assert world.handled == ["/0", "/1"]
    assert transport.sent.count(b"HTTP/1.1 200") == 2


@with_callers
async def test_connection_with_an_empty_line_is_kept_as_idle(world):
    transport = world.connect()
    transport.send(EMPTY_LINE)
    transport.deliver()
    await turn_loop()
    assert transport.closed_at is None and not transport.sent
    transport.send(EMPTY_LINE + REQUEST % 1)
    transport.deliver()
    await turn_loop()
    assert transport.sent.startswith(b"HTTP/1.1 400"), "empty lines must not hold a connection"
