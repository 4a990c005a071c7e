"""Loads and read rates of upstreams in running daemons on loopback."""

import asyncio

from tanagertrail.platform.header_fields import SERVER_LOAD, UpstreamLoad
from tanagertrail.policy.pace import PaceEstimate
from tests.gateway_utils import open_fleet, open_world, run_in_real_time

PROMPT = {
    "tanagertrail_token_count": "6000,10",
    "tanagertrail_prompt_prefix": "common:500,own:5500",
}


def state_load(upstream, value):
    """Let an upstream state another load."""
    sign = upstream.sign
    upstream.sign = lambda request: [
        (name, value if name == SERVER_LOAD else field) for name, field in sign(request)
    ]


@run_in_real_time
async def test_answers_teach_load_and_read_rate_and_leave_no_unread_prompt():
    async with open_world() as world:
        for upstream in world.upstreams:
            state_load(upstream, b"2,1,8,250")
        for number in range(6):
            prompt = PROMPT | {"tanagertrail_prompt_prefix": f"common:500,own{number}:5500"}
            reply = await world.fetch(f"/talk/{number}/events", b"prompt", **prompt)
            assert reply.status == 200
        entries = world.node.cluster_view.upstreams.entries.values()
        used = [entry for entry in entries if entry.sent_count]
        assert used and world.node.paces.sample_count == 6
        for entry in used:
            assert entry.load.stated == UpstreamLoad(2, 1, 8, 250)
            assert entry.read_rate > 0
        assert all(entry.unread_tokens == 0 for entry in entries)


@run_in_real_time
async def test_failed_and_refused_prompts_are_not_counted_as_unread_for_good():
    """A prompt that was counted for ever would keep others from its upstream."""
    async with open_world() as world:
        for upstream in world.upstreams:
            upstream.faults.extend(["refuse", "reset"] * 2)
        for number in range(4):
            await world.fetch(f"/once/{number}/events", b"prompt", **PROMPT)
        entries = world.node.cluster_view.upstreams.entries.values()
        assert sum(entry.sent_count for entry in entries) >= 4
        assert all(entry.unread_tokens == 0 for entry in entries)


@run_in_real_time
async def test_odd_loads_leave_requests_answered_and_are_counted():
    async with open_world() as world:
        for value in (b"1", b"1,2,3,4,5", b"-1,0,8", b"1,0,8,0", b"x", b"9" * 400):
            for upstream in world.upstreams:
                upstream.sign = type(upstream).sign.__get__(upstream)
                state_load(upstream, value)
            assert (await world.fetch("/look/1")).status == 200
        assert world.node.statements.refused_count == 6


@run_in_real_time
async def test_daemon_learns_the_read_rates_that_another_one_has_learned():
    async with open_fleet("entry-2") as fleet:
        first, second = fleet.nodes
        for number, entry in enumerate(first.cluster_view.upstreams.entries.values()):
            known = PaceEstimate(
                entry.record.born, 1e5 * (1 + number), 8.0, first.paces.boot_time()
            )
            first.paces.estimates[entry.record.id] = known
            first.paces.note_news(entry.record.id, first.paces.own_news)
        async with asyncio.timeout(5.0):
            while len(second.paces.estimates) < len(first.paces.estimates):
                await asyncio.sleep(0.02)
        for name, entry in second.cluster_view.upstreams.entries.items():
            known, told = first.paces.estimates[name], second.paces.estimates[name]
            assert told.rate == known.rate and told.at <= known.at + 0.05
            assert entry.pace != 1.0
