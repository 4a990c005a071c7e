"""The fault soak: its plans, its proxy, its checks, and a short run."""

import asyncio
import random
import tempfile
from pathlib import Path
from types import SimpleNamespace

from tanagertrail.platform.records import UPSTREAMS
from tanagertrail.soak.checks import CHECKS, PART_REFUSAL, build_events, find_broken
from tanagertrail.soak.cut_checks import has_carrier
from tanagertrail.soak.cut_faults import pick_daemons
from tanagertrail.soak.evidence import Arrival, CutSeen, Need, Removal
from tanagertrail.soak.plan import FAULTS, Fault, draw_plan
from tanagertrail.soak.processes import DaemonProcess
from tanagertrail.soak.program import run_seed
from tanagertrail.soak.proxy import LinkState, LoopbackProxy
from tanagertrail.soak.upstream_link import HANGING, Cut, UpstreamLink
from tanagertrail.soak.world import SoakWorld
from tanagertrail.standins.documents import DaemonPorts
from tanagertrail.standins.ports import HOST, find_port
from tanagertrail.standins.store import StandInStore
from tests.gateway_utils import run_in_real_time
from tests.soak_utils import (
    GUILD,
    NARROW,
    build_call,
    build_evidence,
    build_run,
    name_broken,
)
from tests.utils import with_virtual_time

# Seeds that failed once, each with its cause.
REGRESSION_SEEDS = (
    125,  # the soak's own callers ended when a daemon announced that it closes a connection
    2025,  # all upstreams were in need, and got what nobody had limited
    1022,  # the soak counted an upstream as cold that had crashed and come back
    50000,  # a check took 502 after an upstream's doubtful refusal for what a stop had cut
    215,  # a check counted a request that a paused daemon took up after its key was given back
)


def test_a_calm_run_breaks_nothing():
    calls = [build_call(n, route) for n, route in enumerate(["book", "look", "talk"])]
    runs = [build_run(n, route) for n, route in enumerate(["book", "look", "talk"])]
    assert find_broken(build_evidence(calls, runs)) == []


def test_each_check_finds_what_it_is_for():
    once = build_evidence([build_call(1)], [build_run(1), build_run(1)])
    refused = build_evidence([build_call(1, status=503)], [build_run(1)])
    mixed = build_evidence([build_call(1, stamp="up-1.r2")], [build_run(1)])
    cut = build_evidence(
        [build_call(1, "talk", answer=build_events()[:20])], [build_run(1, "talk")]
    )
    changed = build_evidence([build_call(1)], [build_run(1, body=b"other")])
    revoked = build_evidence(
        [build_call(1, sent_at=20.0)],
        [build_run(1, at=20.1)],
        removals=[Removal("key", GUILD.name, 10.0, 30.0)],
    )
    left = build_evidence(
        [build_call(1, sent_at=20.0)],
        [build_run(1, at=20.1)],
        removals=[Removal("upstream", "up-1", 15.0, 30.0)],
    )
    many = [build_call(n, customer=NARROW) for n in range(400)]
    quota = build_evidence(many, [build_run(n, customer=NARROW) for n in range(400)])
    cold = build_evidence(
        [build_call(n) for n in range(40)], [build_run(n, cold=True) for n in range(40)]
    )
    back = build_evidence(
        [build_call(1, "new0"), build_call(2, "new0", status=404, sent_at=12.0, stamp="")],
        [build_run(1, "new0")],
    )
    stopped = build_evidence(
        [build_call(1, status=0, whole=False)], [build_run(1)], terms=[(1000, 9.9)]
    )
    lost = build_evidence([build_call(1, status=0, whole=False)], [build_run(1)])
    usage = build_evidence([], [], usage=[(7, {"guild": 1}, 1), (7, {"guild": 2}, 2)])
    deadly = build_evidence([], [build_run(n, at=10.0 + n, body=b"deadly 1") for n in range(12)])
    deadly_part = build_evidence(
        [],
        [build_run(n, at=10.0 + n, body=b"crashing part 1 %d" % n) for n in range(12)],
        part_crashes=[("dead1", 10.0 + n) for n in range(12)],
    )
    refused_part = build_evidence([build_call(1, status=503, answer=PART_REFUSAL)], [])
    named = build_evidence(
        [build_call(n, sent_at=n * 0.1, named_rate=True) for n in range(200)],
        [build_run(n, at=n * 0.1) for n in range(200)],
        arrivals=[Arrival(f"r{n}", "up-1", n * 0.1) for n in range(200)],
        needs=[Need("up-1", 1.4, 1.0, 20.0)],
    )
    dead = build_evidence([build_call(n, status=503, sent_at=20.0) for n in range(30)], [])
    unserved = [build_call(n, status=503 if n % 2 else 200, port=n % 2) for n in range(60)]
    cut_off = build_evidence(unserved, [], cuts=[CutSeen(frozenset({1}), 5.0, 12.0)])
    found = {
        "at most once": once,
        "true refusals": refused,
        "whole own answers": mixed,
        "asked for": changed,
        "removed keys": revoked,
        "nothing after leave": left,
        "quotas": quota,
        "cold upstreams": cold,
        "requests that end upstreams": deadly,
        "prompt parts that end upstreams": deadly_part,
        "sound prompts refused": refused_part,
        "no version goes back": back,
        "nothing cut by a planned stop": stopped,
        "nothing lost": lost,
        "stops within the grace period": build_evidence([], [], overruns=[(1000, 20.0)]),
        "one count for a window": usage,
        "rates that upstreams name": named,
        "recovery": dead,
        "served while cut": cut_off,
    }
    assert set(found) == set(CHECKS)
    for name, evidence in found.items():
        assert name in name_broken(evidence), name
    assert "whole own answers" in name_broken(cut)


def test_pauses_and_odd_entries_of_upstreams_excuse_no_lost_request():
    cut = [build_call(1, "talk", whole=False, sent_at=17.0)]
    ran = [build_run(1, "talk", at=17.05)]
    kinds = ("upstream pauses", "odd entries", "odd entry of an upstream", "refusal written again")
    plan = [Fault(16.0, kind, 0, 2.0) for kind in kinds]
    assert name_broken(build_evidence(cut, ran, plan=plan)) == {"nothing lost"}
    excused = [*plan, Fault(15.0, "upstream resets", 0, 0.5)]
    assert name_broken(build_evidence(cut, ran, plan=excused)) == set()
    too_late = [call._replace(ended_at=call.sent_at + 3.0) for call in cut]
    assert name_broken(build_evidence(too_late, ran)) == set()
    stopped = build_evidence(cut, [], plan=plan, terms=[(1000, 16.0)])
    assert name_broken(stopped) == set()
    assert name_broken(stopped._replace(terms=[])) == {"nothing lost"}


@with_virtual_time
async def test_raw_values_are_missing_from_the_answers_of_the_store():
    store = StandInStore()
    store.raw_values = {"@nested": b"[[]]", "@long": b"9" * 6000}
    text = store.encode({"a": "@nested", "b": ["@long", "@nested too"]})
    assert text == b'{"a": [[]], "b": [' + b"9" * 6000 + b', "@nested too"]}'


def test_disturbance_excuses_late_work_at_an_upstream_that_left_but_no_removed_key():
    plan = [Fault(16.0, "pause", 0, 2.0)]
    calls, runs = [build_call(1, sent_at=21.0)], [build_run(1, at=21.1)]
    left = [Removal("upstream", "up-1", 15.0, 30.0)]
    assert name_broken(build_evidence(calls, runs, plan=plan, removals=left)) == set()
    key = [Removal("key", GUILD.name, 10.0, 30.0)]
    broken = name_broken(build_evidence(calls, runs, plan=plan, removals=key))
    assert broken == {"removed keys"}


def test_request_that_ran_after_its_key_was_given_back_is_allowed():
    """Seed 215: a daemon was paused while the key was away, and woke with it back in force."""
    removed = [Removal("key", GUILD.name, 10.0, 18.0)]
    waited = build_evidence(
        [build_call(1, sent_at=16.0)], [build_run(1, at=19.0)], removals=removed
    )
    assert name_broken(waited) == set()
    early = build_evidence([build_call(1, sent_at=16.0)], [build_run(1, at=17.9)], removals=removed)
    assert name_broken(early) == {"removed keys"}


def test_daemon_that_was_not_told_a_rate_or_was_restarted_is_excused():
    calls = [build_call(n, sent_at=n * 0.1, named_rate=True) for n in range(100)]
    need = {
        "arrivals": [Arrival(f"r{n}", "up-1", n * 0.1) for n in range(100)],
        "needs": [Need("up-1", 1.4, 1.0, 10.0)],
    }
    runs = [build_run(n, at=n * 0.1) for n in range(100)]
    assert name_broken(build_evidence(calls, runs, **need)) == {"rates that upstreams name"}
    untold = [call._replace(named_rate=False) for call in calls]
    assert name_broken(build_evidence(untold, runs, **need)) == set()
    paused = build_evidence(calls, runs, pauses=[(1000, 1.0, 8.0)], **need)
    assert name_broken(paused) == set()
    restarted = build_evidence(calls, runs, starts=[(1000, 4.0), (1000, 8.0)], **need)
    assert name_broken(restarted) == set()


def test_plan_of_a_seed_is_always_the_same_and_covers_all_kinds():
    assert draw_plan(7, 60.0) == draw_plan(7, 60.0)
    drawn = {fault.kind for seed in range(40) for fault in draw_plan(seed, 60.0)}
    assert drawn == set(FAULTS)


@run_in_real_time
async def test_proxy_passes_delays_silences_and_resets():
    port, target = find_port(), find_port()

    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    server = await asyncio.start_server(echo, HOST, target)
    proxy = LoopbackProxy(HOST, port, target)
    await proxy.start()
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(b"one")
    assert await reader.read(10) == b"one"
    proxy.set_state(LinkState.FORWARD_ONLY)
    writer.write(b"two")
    try:
        async with asyncio.timeout(0.2):
            await reader.read(10)
            raise AssertionError("bytes passed a cut direction")
    except TimeoutError:
        pass
    proxy.set_state(LinkState.PASS)
    assert await reader.read(10) == b"two"
    proxy.set_state(LinkState.RESET)
    try:
        assert await reader.read(10) == b""
    except ConnectionError:
        pass
    writer.close()
    proxy.close()
    server.close()


def test_short_runs_of_fixed_seeds_keep_all_promises():
    async def run():
        cut = run_seed(7, 5.0, 3, 4, 12, ["upstreams cut, hang"])
        return await asyncio.gather(run_seed(11, 8.0, 3, 4, 6), cut)

    for result in asyncio.run(run()):
        assert result.broken == [], result.seed
        assert result.served > 100


def test_cut_that_hangs_refuses_or_resets_strikes_one_daemon_and_ends():
    async def reach(port):
        try:
            async with asyncio.timeout(0.2):
                reader, writer = await asyncio.open_connection(HOST, port)
                writer.transport.abort()
        except TimeoutError:
            return "hangs"
        except ConnectionRefusedError:
            return "refused"
        return "reached"

    async def run():
        server = await asyncio.start_server(lambda reader, writer: None, HOST, find_port())
        link = UpstreamLink(2, server.sockets[0].getsockname()[1])
        await link.start()
        for cut in Cut:
            link.cut(1, cut)
            assert await reach(link.links[0].port) == "reached", cut
            expected = "hangs" if cut in HANGING else "refused"
            assert await reach(link.links[1].port) == expected, cut
            await link.heal(1)
            assert await reach(link.links[1].port) == "reached", cut
        link.close()
        server.close()

    asyncio.run(run())


def test_faults_that_overlap_never_cut_off_one_daemon_twice_or_all():
    """Seeds 903 and 906: another fault took up a daemon whose links were back for a moment."""
    for seed in range(50):
        world = SimpleNamespace(daemons=range(4), cut_off=set())
        rng = random.Random(seed)
        picked = [number for _ in range(4) for number in pick_daemons(world, rng)]
        assert len(picked) == len(set(picked)) < 4


def test_callers_with_a_quota_or_of_a_stopping_daemon_are_not_held_against_a_cut():
    calls = [build_call(n, status=503 if n % 2 else 200, port=n % 2) for n in range(60)]
    cuts = [CutSeen(frozenset({1}), 5.0, 12.0)]
    assert name_broken(build_evidence(calls, [], cuts=cuts)) == {"served while cut"}
    limited = [call._replace(customer=NARROW) for call in calls]
    assert name_broken(build_evidence(limited, [], cuts=cuts)) == set()
    assert name_broken(build_evidence(calls, [], cuts=cuts, terms=[(1, 9.0)])) == set()
    killed = [Fault(6.0, "kill", 0, 2.0)]
    assert name_broken(build_evidence(calls, [], cuts=cuts, plan=killed)) == set()
    cut_too = [Fault(6.0, "upstreams cut, hang", 0, 2.0)]
    broken = name_broken(build_evidence(calls, [], cuts=cuts, plan=cut_too))
    assert broken == {"served while cut"}


def test_callers_of_a_daemon_that_nobody_is_left_to_carry_for_are_held_against_a_cut():
    """Seed 7017: the only daemon that reached the upstreams stopped half a second later."""
    unserved = [build_call(n, status=503, port=1, sent_at=10.0) for n in range(60)]
    served = [build_call(n, sent_at=9.0, port=0) for n in range(60, 80)]
    cuts = [CutSeen(frozenset({1}), 5.0, 14.0)]
    evidence = build_evidence([*unserved, *served], [], cuts=cuts)
    assert name_broken(evidence) == {"served while cut"}
    stopping = evidence._replace(terms=[(0, 9.5)])
    assert name_broken(stopping) == set()
    assert name_broken(stopping._replace(starts=[(0, 9.6)])) == set()
    other = evidence._replace(starts=[(0, 1.0), (2, 1.0)], terms=[(0, 9.5)])
    assert name_broken(other) == {"served while cut"}
    assert not has_carrier(stopping, unserved[0])
    assert has_carrier(stopping._replace(starts=[(0, 6.0)], terms=[(0, 5.0)]), unserved[0])


@run_in_real_time
async def test_upstream_that_crashes_while_it_is_cold_is_counted_as_cold_when_it_is_back():
    """Seed 1022: a crash and a cold start struck one upstream at once."""
    with tempfile.TemporaryDirectory() as folder:
        world = SoakWorld(1, 1, 2, Path(folder))
        await world.add_upstream("up-0", "north")
        await world.add_upstream("up-1", "south")
        fault = Fault(0.0, "upstream cold", 0, 3.0)
        injected = asyncio.create_task(FAULTS.get(fault.kind).inject(world, fault))
        await asyncio.sleep(0.2)
        world.upstreams[1].crash()
        await injected
        assert world.upstreams[1].cold_until == 0.0
        await asyncio.gather(*world.revivals)
        assert "cold_left_ms" not in str(world.store.objects[UPSTREAMS]["up-1"])
        await world.close()


def test_seeds_that_failed_once_keep_all_promises():
    async def run():
        plays = (run_seed(seed, 12.0, 3, 4, 6) for seed in REGRESSION_SEEDS)
        return await asyncio.gather(*plays)

    for result in asyncio.run(run()):
        assert result.broken == [], result.seed


def test_stream_that_a_carrier_ended_without_events_looks_complete():
    """Seed 9001: a carrier told a resumption that got no events as delivered."""
    result = asyncio.run(run_seed(9001))
    assert result.broken == []


class SlowStart(DaemonProcess):
    """A daemon whose start takes a moment, and which starts nothing."""

    count = 0

    async def start(self):
        self.count += 1
        await asyncio.sleep(0.01)
        self.process = SimpleNamespace(returncode=None)


def test_two_stops_that_overlap_start_a_daemon_once():
    """Seed 445: both started it, one of the two found its ports taken, the other was left alive."""

    async def work(folder):
        daemon = SlowStart("entry-1", DaemonPorts(1, 2, 3, 4), "", Path(folder))
        await asyncio.gather(daemon.restart(0.0), daemon.restart(0.0))
        daemon.log.close()
        return daemon.count

    with tempfile.TemporaryDirectory() as folder:
        assert asyncio.run(work(folder)) == 1
