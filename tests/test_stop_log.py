"""Tests that the log of a planned stop names what became of each request, and why."""

import asyncio

from tests.gateway_utils import (
    cut_off_from_upstreams,
    open_fleet,
    open_world,
    run_in_real_time,
)


def set_grace(node, seconds):
    """Change the grace period of a daemon."""
    bounds = node.settings.bounds._replace(grace=seconds)
    node.settings = node.settings._replace(bounds=bounds)


def keep_lines(node):
    """Return a list to which each line that a daemon logs is added."""
    lines = []
    node.log.write = lambda event, **fields: lines.append({"event": event, **fields})
    return lines


def find_lines(lines, event):
    """Return the lines of an event."""
    return [line for line in lines if line["event"] == event]


@run_in_real_time
async def test_cut_request_is_not_logged_as_one_whose_caller_has_gone():
    async with open_world() as world:
        set_grace(world.node, 0.9)
        lines = keep_lines(world.node)
        world.keep_one_upstream().faults.append("silent")
        await world.wait_for_upstreams(1)
        pending_reply = asyncio.create_task(world.fetch("/book/1", b"thing"))
        await world.wait_until(lambda: world.upstreams[0].runs)
        await world.node.stop()
        await pending_reply
        [cut] = find_lines(lines, "stop_cut")
        assert (cut["request"], cut["begun"], cut["basis"]) == ("r1", False, "unknown")
        assert cut["arrived_s"] < 0 <= cut["since_s"] and cut["expected_s"] > cut["left_s"]
        assert find_lines(lines, "request")[-1]["outcome"] == "cut by the stop"
        [stopped] = find_lines(lines, "stopped")
        assert (stopped["in_flight"], stopped["outcomes"]) == (1, {"cut by the stop": 1})


@run_in_real_time
async def test_counts_of_a_stop_name_what_was_served():
    async with open_world() as world:
        lines = keep_lines(world.node)
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0)
        assert (await world.fetch("/look/1")).status == 200
        await stopping
        [stopped] = find_lines(lines, "stopped")
        assert (stopped["in_flight"], stopped["outcomes"]) == (0, {"answered": 1})


@run_in_real_time
async def test_request_carried_during_a_stop_is_logged():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        lines = keep_lines(fleet.node)
        stopping = asyncio.create_task(fleet.node.stop())
        await asyncio.sleep(0)
        assert (await fleet.fetch("/book/1", b"order")).status == 200
        [carried] = find_lines(lines, "stop_carried")
        assert (carried["carrier"], carried["result"]) == ("entry-2", "delivered")
        await stopping
