"""Tests that callers' connections close without losing a request."""

import asyncio
import functools
from collections.abc import Awaitable, Callable

from tanagertrail.gateway.caller_close import CloseReason
from tanagertrail.testing import run_in_virtual_time
from tests.caller_utils import IDLE_SECONDS, CallerWorld, turn_loop


def with_callers(test: Callable[[CallerWorld], Awaitable[None]]) -> Callable[[], None]:
    """Pass a server on in-memory connections to a test, and run it in virtual time."""

    async def run_in_world() -> None:
        world = CallerWorld()
        try:
            await test(world)
        finally:
            world.close()

    @functools.wraps(test)
    def run() -> None:
        run_in_virtual_time(run_in_world())

    del run.__wrapped__  # else the test seems to take a parameter
    return run


@with_callers
async def test_closed_connections_are_counted_by_reason(world):
    idle, left, cut = world.connect(), world.connect(), world.connect()
    for transport in (idle, left):
        await world.request(transport)
    world.work = IDLE_SECONDS * 2
    await world.request(cut)
    left.end()
    left.deliver()
    await asyncio.sleep(IDLE_SECONDS + 0.1)
    world.server.close()
    await turn_loop()
    assert world.server.closes == {
        CloseReason.IDLE: 1,
        CloseReason.CALLER_CLOSED: 1,
        CloseReason.STOPPED: 1,
    }
    assert world.lines == [{"event": "caller_closed", "reason": "stopped", "state": "unanswered"}]
