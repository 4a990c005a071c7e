"""Requests that end each upstream that runs them, through several gateway daemons."""

import asyncio

from tests.gateway_utils import open_fleet, real_time

POISON = b"lume under glass"
RESENDS = 9
MOST_LOST = 3


def arm(fleet):
    """Make one body deadly to all upstreams."""
    for upstream in fleet.upstreams:
        upstream.deadly = POISON


def count_ended(fleet):
    """Count the upstreams that have ended."""
    return sum(upstream.ended for upstream in fleet.upstreams)


async def send_again(fleet, path, times=RESENDS):
    """Send the deadly request again and again, each time to the next daemon."""
    replies = []
    for number in range(times):
        front = number % len(fleet.fronts)
        try:
            replies.append(await fleet.ask(path, POISON, front))
        except ConnectionError:
            replies.append(None)
        await asyncio.sleep(0.1)
    return replies


@real_time
async def test_request_under_which_upstreams_ended_is_not_sent_on():
    """BUDGET on kumo-dial: a resend went to one upstream after the other, and all of them ended."""
    async with open_fleet("entry-2", "entry-3", upstreams=8) as fleet:
        arm(fleet)
        replies = await send_again(fleet, "/talk/a/events")
        assert count_ended(fleet) <= MOST_LOST
        assert replies[-1].status == 503
        assert float(replies[-1].headers[b"retry-after"]) > 0
