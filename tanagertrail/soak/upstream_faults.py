"""Faults of upstreams that no daemon may make worse: silence, odd entries, wrong answers."""

__all__: list[str] = []

import asyncio
from typing import Any

from tanagertrail.platform.records import UPSTREAMS
from tanagertrail.soak.faults import MISBEHAVING_REQUESTS, hold, pick_upstream
from tanagertrail.soak.plan import Fault, register_fault
from tanagertrail.soak.proxy import LinkState
from tanagertrail.soak.world import SoakUpstream, SoakWorld
from tanagertrail.standins.documents import build_entry
from tanagertrail.standins.misbehaviour import EVENTS
from tanagertrail.standins.ports import HOST

NESTED, LONG_NUMBER = "@nested", "@long number"
RAW_VALUES = {NESTED: b"[" * 50_000 + b"]" * 50_000, LONG_NUMBER: b"9" * 6000}
ODD_FIELDS: tuple[dict[str, Any], ...] = (
    {"note": NESTED},
    {"capacity": LONG_NUMBER},
    {"address": f"{HOST}:99999"},
    {"capacity": float("nan")},
    {"capacity": float("inf")},
    {"cold_left_ms": "many"},
    {"zone": None},
)
ONCE_PATH = "/once/"
STREAM_CHECKS = 400
STREAM_CHECK_SECONDS = 0.005
REFUSALS = ("refusal_again", "named_refusal_again")
RESUME_FAULTS = ("fail", "missing", "text", "empty", "half_head")


async def await_stream(world: SoakWorld, upstream: SoakUpstream) -> None:
    """Wait until an upstream is within a stream that may not be resumed, or for some time."""
    seen = len(world.runs)
    for _ in range(STREAM_CHECKS):
        new = (run for run in world.runs[seen:] if run.upstream == upstream.id)
        if any(run.path.startswith(ONCE_PATH) for run in new):
            break
        await asyncio.sleep(STREAM_CHECK_SECONDS)
    await asyncio.sleep(EVENTS * upstream.work / 2)


@register_fault("upstream pauses", 0.8, 2.0, planned=True, chance=0.5)
async def pause_upstream(world: SoakWorld, fault: Fault) -> None:
    """Have a sound upstream say nothing for a moment, within a stream, and go on."""
    number, upstream = pick_upstream(world, fault)
    await await_stream(world, upstream)
    await hold(world.upstream_links[number], LinkState.SILENT, fault.seconds)


@register_fault("odd entries", 2.0, 5.0, planned=True, chance=0.5)
async def store_odd_entries(world: SoakWorld, fault: Fault) -> None:
    """Store entries that can't be read beside those of the upstreams, one after the other."""
    world.store.raw_values |= RAW_VALUES
    first = fault.target % len(ODD_FIELDS)
    for number, fields in enumerate(ODD_FIELDS[first:] + ODD_FIELDS[:first]):
        world.store.put(UPSTREAMS, f"odd-{number}", build_entry(number + 1, "north", **fields))
        await asyncio.sleep(fault.seconds / len(ODD_FIELDS))
    for number in range(len(ODD_FIELDS)):
        world.store.remove(UPSTREAMS, f"odd-{number}")


@register_fault("odd entry of an upstream", 1.0, 3.0, planned=True, chance=0.4)
async def spoil_entry(world: SoakWorld, fault: Fault) -> None:
    """Spoil the entry of a known upstream, and have it written well again."""
    number, upstream = pick_upstream(world, fault)
    world.store.raw_values |= RAW_VALUES
    fields = ODD_FIELDS[fault.target % len(ODD_FIELDS)]
    world.store.put(UPSTREAMS, upstream.id, world.entries[upstream.id] | fields)
    await asyncio.sleep(fault.seconds)
    world.register(number)


@register_fault("refusal written again", 2.0, 4.0, planned=True, chance=0.5)
async def write_refusal_again(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream write an earlier refusal once more on kept connections."""
    _, upstream = pick_upstream(world, fault)
    upstream.faults.extend([REFUSALS[fault.target % len(REFUSALS)]] * MISBEHAVING_REQUESTS)
    await asyncio.sleep(fault.seconds)
    upstream.faults.clear()


@register_fault("error after a broken stream", 2.0, 4.0, chance=0.5)
async def answer_resumed_with_error(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream break off streams, and the others answer those who resume with errors."""
    _, upstream = pick_upstream(world, fault)
    upstream.faults.extend(["half_event"] * MISBEHAVING_REQUESTS)
    for other in world.upstreams:
        other.resume_fault = RESUME_FAULTS[fault.target % len(RESUME_FAULTS)]
    await asyncio.sleep(fault.seconds)
    upstream.faults.clear()
    for other in world.upstreams:
        other.resume_fault = ""
