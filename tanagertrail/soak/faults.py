"""What injects each kind of fault, from outside the daemons."""

__all__: list[str] = []

import asyncio
import random

from tanagertrail.soak.checks import DEADLY, DEADLY_PART
from tanagertrail.soak.plan import Fault, register_fault
from tanagertrail.soak.processes import DaemonProcess
from tanagertrail.soak.proxy import LinkState, LoopbackProxy
from tanagertrail.soak.upstream_link import UpstreamLink
from tanagertrail.soak.world import DOWN_SECONDS, SoakUpstream, SoakWorld
from tanagertrail.standins.documents import (
    COLD_RATE,
    DOMAINS,
    build_cold,
    build_draining,
)
from tanagertrail.standins.misbehaviour import FAULTS as MISBEHAVIOURS
from tanagertrail.standins.store import StoreMode

SLOW_STORE_SECONDS = 0.8
AWAY_SECONDS = (0.0, 0.3, 1.0)  # for which a store is away before it comes back older
REWRITE_SECONDS = 0.8  # until operator and upstreams have written again
LOST_ANSWERS = 4
MISBEHAVING_REQUESTS = 6
SLOW_WORK_SECONDS = 0.4
COLD_SECONDS = 3.0
NAMED_RATES = ("0.3", "1.4", "6")  # requests per second that upstreams in need accept
UNFRAMED = ("unframed", "unframed_half")  # the links pass a reset on as an end
HARMLESS_TO_ONCE = ("refuse", "fail", "reset", "half_event", "extra", "late_other", "short")


def pick_daemon(world: SoakWorld, fault: Fault) -> DaemonProcess:
    """Return the daemon that a fault strikes."""
    return world.daemons[fault.target % len(world.daemons)]


def pick_upstream(world: SoakWorld, fault: Fault) -> tuple[int, SoakUpstream]:
    """Return the upstream that a fault strikes; the first one is always left alone."""
    number = 1 + fault.target % (len(world.upstreams) - 1)
    return number, world.upstreams[number]


def pick_link(links: list[LoopbackProxy], fault: Fault) -> LoopbackProxy:
    """Return the daemon's link that a fault strikes."""
    return links[fault.target % len(links)]


async def hold(link: LoopbackProxy | UpstreamLink, state: LinkState, seconds: float) -> None:
    """Keep a link in a state for some time."""
    link.set_state(state)
    await asyncio.sleep(seconds)
    link.set_state(LinkState.PASS)


@register_fault("kill", 0.2, 2.0)
async def kill(world: SoakWorld, fault: Fault) -> None:
    """Kill a daemon and start it again."""
    daemon = pick_daemon(world, fault)
    await daemon.kill()
    await daemon.restart(fault.seconds)


@register_fault("kill all", 0.5, 1.5)
async def kill_all(world: SoakWorld, fault: Fault) -> None:
    """Kill all daemons at one moment and start them again."""
    await asyncio.gather(*(daemon.kill() for daemon in world.daemons))
    await asyncio.gather(*(daemon.restart(fault.seconds) for daemon in world.daemons))


@register_fault("pause", 0.5, 6.0)
async def pause(world: SoakWorld, fault: Fault) -> None:
    """Stop a daemon without ending it, and let it go on."""
    daemon = pick_daemon(world, fault)
    since = world.now()
    daemon.pause()
    await asyncio.sleep(fault.seconds)
    daemon.resume()
    world.pauses.append((daemon.ports.front, since, world.now()))


@register_fault("store cut", 1.0, 7.0)
async def cut_store(world: SoakWorld, fault: Fault) -> None:
    """Silence a daemon's connections to the store."""
    await hold(pick_link(world.store_links, fault), LinkState.SILENT, fault.seconds)


@register_fault("store one way", 1.0, 5.0)
async def cut_store_one_way(world: SoakWorld, fault: Fault) -> None:
    """Let a daemon's calls reach the store, and no answer come back."""
    await hold(pick_link(world.store_links, fault), LinkState.FORWARD_ONLY, fault.seconds)


@register_fault("store reset", 0.2, 2.0)
async def reset_store(world: SoakWorld, fault: Fault) -> None:
    """Reset a daemon's connections to the store."""
    await hold(pick_link(world.store_links, fault), LinkState.RESET, fault.seconds)


async def set_store_mode(world: SoakWorld, mode: StoreMode, seconds: float) -> None:
    """Keep the store in a mode for some time."""
    world.store.mode = mode
    await asyncio.sleep(seconds)
    world.store.mode = StoreMode.UP


@register_fault("store busy", 1.0, 6.0)
async def make_store_busy(world: SoakWorld, fault: Fault) -> None:
    """Have the store turn all calls away."""
    await set_store_mode(world, StoreMode.BUSY, fault.seconds)


@register_fault("store silent", 1.0, 5.0)
async def silence_store(world: SoakWorld, fault: Fault) -> None:
    """Have the store answer nothing."""
    await set_store_mode(world, StoreMode.SILENT, fault.seconds)


@register_fault("store slow", 1.0, 4.0)
async def slow_store(world: SoakWorld, fault: Fault) -> None:
    """Delay all answers of the store."""
    world.store.delay = SLOW_STORE_SECONDS
    await asyncio.sleep(fault.seconds)
    world.store.delay = 0.0


@register_fault("store loses answers", 0.5, 3.0)
async def lose_answers(world: SoakWorld, fault: Fault) -> None:
    """Have writes done and not answered."""
    world.store.lost_writes += LOST_ANSWERS
    await asyncio.sleep(fault.seconds)
    world.store.lost_writes = 0


@register_fault("store forgets", 0.1, 0.2)
async def forget_history(world: SoakWorld, fault: Fault) -> None:
    """Have the store forget its history."""
    world.store.forget_history()


@register_fault("store restored", 2.0, 8.0, chance=0.4)
async def restore_store(world: SoakWorld, fault: Fault) -> None:
    """Have the store come back from a copy some seconds old, after a moment away."""
    older = world.store.take_copy()
    away = AWAY_SECONDS[fault.target % len(AWAY_SECONDS)]
    await asyncio.sleep(fault.seconds - away - REWRITE_SECONDS)
    world.store.mode = StoreMode.SILENT
    await asyncio.sleep(away)
    world.store.restore(older)
    world.store.mode = StoreMode.UP
    await asyncio.sleep(REWRITE_SECONDS)
    world.write_again()


@register_fault("upstream silent", 0.5, 4.0)
async def silence_upstream(world: SoakWorld, fault: Fault) -> None:
    """Silence an upstream's connections."""
    number, _ = pick_upstream(world, fault)
    await hold(world.upstream_links[number], LinkState.SILENT, fault.seconds)


@register_fault("upstream resets", 0.2, 2.0)
async def reset_upstream(world: SoakWorld, fault: Fault) -> None:
    """Reset an upstream's connections."""
    number, _ = pick_upstream(world, fault)
    await hold(world.upstream_links[number], LinkState.RESET, fault.seconds)


@register_fault("upstream slow", 0.5, 3.0)
async def slow_upstream(world: SoakWorld, fault: Fault) -> None:
    """Make an upstream slow."""
    _, upstream = pick_upstream(world, fault)
    work, upstream.work = upstream.work, SLOW_WORK_SECONDS
    await asyncio.sleep(fault.seconds)
    upstream.work = min(work, upstream.work)


@register_fault("upstream misbehaves", 0.5, 3.0)
async def misbehave(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream answer some requests wrongly."""
    _, upstream = pick_upstream(world, fault)
    name = HARMLESS_TO_ONCE[fault.target % len(HARMLESS_TO_ONCE)]
    assert name in MISBEHAVIOURS
    upstream.faults.extend([name] * MISBEHAVING_REQUESTS)
    await asyncio.sleep(fault.seconds)
    upstream.faults.clear()


@register_fault("request ends upstreams", 6.0, 9.0, chance=0.5)
async def send_deadly_request(world: SoakWorld, fault: Fault) -> None:
    """Have a request end each upstream that runs it, and its caller send it again and again."""
    body = DEADLY + str(fault.target).encode()
    for upstream in world.upstreams:
        upstream.deadly = body
    await world.crowd.send_again(random.Random(fault.target), body, fault.seconds - DOWN_SECONDS)
    await asyncio.sleep(DOWN_SECONDS)


@register_fault("prompt part ends upstreams", 6.0, 9.0, chance=0.5)
async def send_deadly_part(world: SoakWorld, fault: Fault) -> None:
    """Have a part of prompts end each upstream that answers on it, and send such prompts."""
    part = f"dead{fault.target}"
    for upstream in world.upstreams:
        upstream.deadly_part = part
        upstream.deadly_after = fault.target % 2
    body = DEADLY_PART + str(fault.target).encode()
    rng = random.Random(fault.target)
    await world.crowd.send_with_part(rng, body, part, fault.seconds - DOWN_SECONDS)
    await asyncio.sleep(DOWN_SECONDS)


@register_fault("answers without framing", 2.0, 4.0, chance=0.4)
async def answer_without_framing(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream end some answers by closing, whole or within an event."""
    _, upstream = pick_upstream(world, fault)
    upstream.faults.extend([UNFRAMED[fault.target % len(UNFRAMED)]] * MISBEHAVING_REQUESTS)
    await asyncio.sleep(fault.seconds)
    upstream.faults.clear()


@register_fault("upstream leaves", 3.0, 6.0, planned=True)
async def let_upstream_leave(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream drain, and come back under its name."""
    number, upstream = pick_upstream(world, fault)
    world.register(number, build_draining)
    place = world.note_removal("upstream", upstream.id)
    await asyncio.sleep(fault.seconds)
    world.note_return(place)
    world.register(number)


@register_fault("upstream cold", 3.0, 4.0, planned=True)
async def make_upstream_cold(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream start again, cold, unless it is down or ends meanwhile."""
    number, upstream = pick_upstream(world, fault)
    if upstream.ended:
        return
    assert COLD_RATE > 0
    starts = upstream.starts
    world.register(number, build_cold, COLD_SECONDS)
    # What was on its way when the store took the report is not counted.
    await asyncio.sleep(1.0)
    if upstream.starts != starts or upstream.ended:
        return
    upstream.cold_until = world.now() + COLD_SECONDS - 1.0
    await asyncio.sleep(fault.seconds - 1.0)
    if upstream.starts == starts and not upstream.ended:
        world.register(number)


async def name_rates(upstreams: list[SoakUpstream], fault: Fault) -> None:
    """Have upstreams that are not in need name a request rate for some time."""
    upstreams = [upstream for upstream in upstreams if upstream.named_rate is None]
    for upstream in upstreams:
        upstream.named_rate = NAMED_RATES[fault.target % len(NAMED_RATES)]
    await asyncio.sleep(fault.seconds)
    for upstream in upstreams:
        upstream.end_need()


@register_fault("upstream in need", 4.5, 9.0, planned=True, chance=0.6)
async def put_upstream_in_need(world: SoakWorld, fault: Fault) -> None:
    """Have an upstream name a request rate."""
    await name_rates([pick_upstream(world, fault)[1]], fault)


@register_fault("all upstreams in need", 4.5, 7.0, planned=True, chance=0.2)
async def put_all_upstreams_in_need(world: SoakWorld, fault: Fault) -> None:
    """Have all upstreams name a request rate."""
    await name_rates(world.upstreams, fault)


@register_fault("caller link slow", 0.5, 3.0)
async def slow_callers(world: SoakWorld, fault: Fault) -> None:
    """Delay what callers and a daemon send each other."""
    await hold(pick_link(world.caller_links, fault), LinkState.DELAY, fault.seconds)


@register_fault("caller link resets", 0.1, 0.5)
async def reset_callers(world: SoakWorld, fault: Fault) -> None:
    """Reset callers' connections to a daemon."""
    await hold(pick_link(world.caller_links, fault), LinkState.RESET, fault.seconds)


@register_fault("new version", 0.1, 0.2, planned=True)
async def add_route(world: SoakWorld, fault: Fault) -> None:
    """Store a configuration with one more route."""
    world.extra_routes.append(f"new{len(world.extra_routes)}")
    world.put_config()


@register_fault("key removed", 6.0, 9.0, planned=True)
async def remove_key(world: SoakWorld, fault: Fault) -> None:
    """Take a customer's key away, and give it back."""
    if "key-leaver" not in world.keys:
        return
    world.keys.discard("key-leaver")
    world.put_config()
    place = world.note_removal("key", "leaver")
    await asyncio.sleep(fault.seconds)
    world.note_return(place)
    world.keys.add("key-leaver")
    world.put_config()


@register_fault("domain emptied", 5.5, 8.0, planned=True)
async def empty_domain(world: SoakWorld, fault: Fault) -> None:
    """Order that a failure domain gets no work, and take it back."""
    domain = DOMAINS[fault.target % len(DOMAINS)]
    if not world.empty_domain(domain):
        return
    place = world.note_removal("domain", domain)
    await asyncio.sleep(fault.seconds)
    world.note_return(place)
    world.refill_domain(domain)
