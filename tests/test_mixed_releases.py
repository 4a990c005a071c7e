"""Daemons of older and newer releases beside this one."""

import asyncio
from contextlib import asynccontextmanager

import msgpack

from tanagertrail.daemons.frames import decode_frame
from tanagertrail.daemons.peer_messages import DaemonState, PeerRequest, PeerResponse, pack_rows
from tanagertrail.daemons.releases import OLDEST_RELEASE, find_form
from tanagertrail.errors import FrameError
from tanagertrail.gateway.members import MEMBERS_KIND
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.gateway.peer_rows import decode_liveness, decode_state, encode_state
from tanagertrail.platform.store import Listing, join_revision
from tests.gateway_utils import NoOpHandler, open_world, run_in_real_time
from tests.older_daemons import (
    FIRST_COUNT_WITH_LINKS,
    FIRST_COUNT_WITH_PARTS,
    LOSS,
    LOSS_WITH_PARTS,
    STATE_COUNTS,
    STATE_FIELDS,
    OlderDaemon,
    build_row,
    pack,
    unpack,
)
from tests.test_state_sync import Daemon
from tests.utils import raises, with_virtual_time

CURRENT_LOSS = (1, "up 1", "v", "north", "desk", (("fingerprint", ("part",), 5, 5),), 5)
NEWEST_COUNT = len(DaemonState._fields)


@asynccontextmanager
async def open_mixed_world(count, **fields):
    """Start a world with a daemon of an older release that is registered in the store."""
    older = OlderDaemon(count, **fields)
    await older.start()
    try:
        async with open_world() as world:
            world.store.put(MEMBERS_KIND, "older", older.build_registration())
            yield world, older
    finally:
        older.close()


def read_registration(world):
    """Return the stored registration of the world's daemon."""
    return world.store.objects[MEMBERS_KIND]["entry-1"]["spec"]


def test_forms_of_older_states_are_prefixes_of_the_present_one():
    assert DaemonState._fields[: len(STATE_FIELDS)] == STATE_FIELDS


def test_older_state_is_read_with_defaults():
    for count in STATE_COUNTS:
        state = decode_state(build_row(count, quota=(("guild", 5.0, 1.0),)))
        assert state.quota == (("guild", 5.0, 1.0),)
        assert state.reaches_upstreams and state.carrier == "" and state.brittle == ()
        loss = state.upstream_losses[0]
        assert loss[:4] == LOSS[:4] and loss[5][0][0] == "fingerprint"
        told = (("fingerprint", ("part",), 5, 5),)
        assert (loss[5] == told) == (count >= FIRST_COUNT_WITH_PARTS)


def test_state_of_a_build_between_two_releases_is_read_as_the_older_one():
    """Builds on branches appended their fields in another order than the release."""
    limits = (("up", 1.0, 2.0, 0.0, 0.0),)
    for count, last in ((23, "127.0.0.1:11"), (25, limits), (20, ()), (21, ())):
        losses = LOSS_WITH_PARTS if count >= FIRST_COUNT_WITH_PARTS else LOSS
        row = (*build_row(count, upstream_losses=(losses,))[:-1], last)
        assert decode_state(row).carrier == ""


def test_odd_losses_of_an_older_state_are_refused():
    for odd in (5, (5,), ((1,),), (LOSS_WITH_PARTS,), ((*LOSS[:4], "name", 5),)):
        with raises(FrameError):
            decode_state(build_row(19, upstream_losses=odd))


@run_in_real_time
async def test_older_daemon_can_read_the_answer_to_its_state():
    for count in STATE_COUNTS:
        async with open_world() as world:
            world.node.suspects.encode_losses = lambda: (CURRENT_LOSS,)
            older = OlderDaemon(count)
            state, *_ = await older.ask(world.ports["internal"])
            older.read_row(*unpack(state))
            assert len(older.states[0]) == count
            assert older.states[0]["upstream_losses"][0][0] == 1


@run_in_real_time
async def test_older_daemon_can_read_the_states_that_it_is_sent():
    for count in STATE_COUNTS:
        async with open_mixed_world(count) as (world, older):
            world.node.suspects.encode_losses = lambda: (CURRENT_LOSS,)
            await world.wait_until(lambda: len(older.states) > 2)
            assert older.refused == []
            assert set(older.states[-1]) == set(STATE_FIELDS[:count])
            assert older.states[-1]["incarnation"] == world.node.incarnation
            assert world.node.state_sync.states["older"].state.counter > 1
            assert world.node.state_sync.refused_frames == 0


@run_in_real_time
async def test_older_daemon_meets_the_carrier_with_the_first_state_of_an_incarnation():
    """It keeps what it first learnt of an incarnation, and never uses a carrier it lacked."""
    async with open_mixed_world(26) as (world, older):
        await world.wait_until(lambda: len(older.states) > 2)
        told = [item for item in older.states if item["incarnation"] == world.node.incarnation]
        assert all(item["carrier"] == world.node.own.carrier for item in told)


@run_in_real_time
async def test_registration_is_one_that_the_oldest_daemon_can_read():
    async with open_mixed_world(22) as (world, older):
        await world.wait_until(lambda: "carrier" not in read_registration(world))
        older.close()
        world.store.remove(MEMBERS_KIND, "older")

        def names_carrier_once_it_is_gone():
            state = world.node.members.states.get("older")
            if state is not None:
                state.last_seen_at -= 60.0
            return "carrier" in read_registration(world)

        await world.wait_until(names_carrier_once_it_is_gone)


@run_in_real_time
async def test_daemons_of_this_release_tell_each_other_their_whole_states():
    async with open_world() as world:
        told = []
        handle = world.node.state_sync.handle_request
        world.node.state_sync.handle_request = lambda request: (
            told.extend(unpack(request.state)) or handle(request)
        )
        client = world.node.peer_client
        client.members.own = client.members.own._replace(address="127.0.0.1:9")
        client.start_exchange("seed", f"127.0.0.1:{world.ports['internal']}")
        await world.wait_until(lambda: told)
        assert [len(row) for row in told] == [NEWEST_COUNT]


@with_virtual_time
async def test_hub_tells_an_older_daemon_of_others_in_its_form():
    daemon = Daemon("d0")
    daemon.state_sync.apply_state(Daemon("d1").describe_state(), True)
    for count in STATE_COUNTS:
        state = pack([build_row(count)])
        to_hub = daemon.state_sync.handle_request(PeerRequest(state, True, True, ()))
        assert {len(row) for row in unpack(to_hub.relayed)} == {count}
        to_other = daemon.state_sync.handle_request(PeerRequest(state, False, True, ()))
        fields = 6 if count >= FIRST_COUNT_WITH_LINKS else 5
        assert {len(row) for row in unpack(to_other.liveness)} == {fields}


def describe_cut_daemon():
    """Return the state of a daemon of this release that is cut off and was told directly."""
    changes = {"reaches_upstreams": False, "completed": (("desk", 9),), "carrier": "127.0.0.1:7"}
    return DaemonState(*build_row(26, daemon="d1", **changes))


@with_virtual_time
async def test_state_that_an_older_hub_passes_on_takes_nothing_back():
    daemon = Daemon("d0")
    sync = daemon.state_sync
    sync.apply_state(describe_cut_daemon(), True)
    shortened = tuple(describe_cut_daemon()._replace(counter=2))[:22]
    sync.apply_relayed_states(pack_rows([shortened]))
    known = sync.states["d1"].state
    assert known.counter == 2
    assert (known.reaches_upstreams, known.carrier) == (False, "127.0.0.1:7")
    assert not daemon.members.states["d1"].reaches_upstreams


@with_virtual_time
async def test_liveness_from_an_older_hub_does_not_say_that_upstreams_are_reached():
    daemon = Daemon("d0")
    daemon.state_sync.apply_state(describe_cut_daemon(), True)
    await asyncio.sleep(0.5)
    daemon.state_sync.apply_liveness(pack_rows([("d1", 5, True, 0, 0)]))
    state = daemon.members.states["d1"]
    assert state.last_seen_at == asyncio.get_running_loop().time()
    assert not state.reaches_upstreams
    await asyncio.sleep(0.5)
    daemon.state_sync.apply_liveness(pack_rows([("d1", 5, True, 0, 0, True)]))
    assert daemon.members.states["d1"].reaches_upstreams


@with_virtual_time
async def test_daemon_that_is_no_hub_learns_when_all_read_registrations_with_a_carrier():
    daemon = Daemon("d0")
    daemon.members.registered = daemon.members.own.encode()
    member = daemon.members.states["d1"].member._replace(incarnation=2)
    daemon.members.merge_member(member, 0.0, False, release=OLDEST_RELEASE)
    assert daemon.members.is_registration_outdated
    daemon.state_sync.apply_liveness(pack_rows([("d1", 2, True, 0, 0, True)]))
    assert daemon.members.is_registration_outdated
    hub = Daemon("d2")
    hub.state_sync.apply_state(DaemonState(*build_row(26, daemon="d1", incarnation=2)), True)
    daemon.state_sync.apply_liveness(hub.state_sync.pack_liveness("d0"))
    assert not daemon.members.is_registration_outdated
    assert {len(row) for row in unpack(hub.state_sync.pack_liveness("d0"))} == {7}
    with raises(FrameError):
        decode_liveness(("d1", 5, True, 0, 0, False, 0))


@run_in_real_time
async def test_requests_that_an_older_hub_did_not_count_are_not_counted_twice():
    async with open_world() as world:
        counted = []
        suspects = world.node.suspects
        suspects.attributor.count_completed = lambda service, count, now: counted.append(count)
        whole = DaemonState(*build_row(26, completed=(("desk", 9),), upstream_losses=()))
        for counter, count in ((1, 26), (2, 19), (3, 26), (4, 18), (5, 26)):
            row = tuple(whole._replace(counter=counter))[:count]
            world.node.state_sync.apply_relayed_states(pack_rows([row]))
        world.node.state_sync.apply_state(
            whole._replace(counter=6, completed=(("desk", 11),)), True
        )
        assert counted == [2]


@run_in_real_time
async def test_first_state_without_counts_does_not_make_all_requests_new():
    async with open_world() as world:
        counted = []
        suspects = world.node.suspects
        suspects.attributor.count_completed = lambda service, count, now: counted.append(count)
        for counter, count in ((1, 19), (2, 26)):
            row = build_row(count, counter=counter, completed=(("desk", 9),), upstream_losses=())
            world.node.state_sync.apply_relayed_states(pack_rows([row]))
        assert counted == []


@run_in_real_time
async def test_loss_that_an_older_daemon_reports_is_no_evidence_on_parts_of_prompts():
    async with open_world() as world:
        suspects = world.node.suspects
        world.node.state_sync.apply_relayed_states(pack_rows([build_row(19)]))
        assert "fingerprint" in suspects.poison_tracker.crashes
        assert not suspects.attributor.crashes


@run_in_real_time
async def test_sound_part_is_not_condemned_while_an_older_daemon_tells_no_completed_requests():
    """One new daemon among five older ones refused the part that all prompts share."""
    for count in STATE_COUNTS:
        async with open_mixed_world(count) as (world, older):
            await world.wait_until(lambda: older.states)
            tells_completed = count >= FIRST_COUNT_WITH_PARTS
            assert world.node.suspects.hears_all_losses() == tells_completed
            older.close()
            world.node.members.mark_unreachable("older", world.node.loop.time())
            assert world.node.suspects.hears_all_losses()


def test_fields_that_a_newer_release_appends_are_ignored():
    newer = (*build_row(26), 8, (), {"section": 1}, "more")
    state = decode_state(newer)
    assert (state.release, state.counter) == (8, 1)
    record, field_count = decode_liveness(("d1", 5, True, 0, 0, False, 7, "more"))
    assert (record.reaches_upstreams, record.release, field_count) == (False, 7, 8)
    body = msgpack.packb([7, "peer_question", [pack([newer]), False, True, [], "more"]])
    assert decode_frame(body)[1] == PeerRequest(pack([newer]), False, True, ())
    for row in ((*newer, *range(100)), (*newer[:26], 0), (*newer[:26], "7"), (*newer[:26], True)):
        with raises(FrameError):
            decode_state(row)


@with_virtual_time
async def test_newer_daemon_is_answered_in_the_newest_known_form():
    sync = Daemon("d0").state_sync
    newer = (*build_row(26), 8, (), {"section": 1})
    response = sync.handle_request(PeerRequest(pack([newer]), True, True, ()))
    assert [len(row) for row in unpack(response.state)] == [NEWEST_COUNT]
    assert sync.members.states["older"].release == 8


def test_daemon_of_the_release_before_paces_is_told_all_but_them():
    """A state of release 6 ends with the release; one that it passes on tells no paces."""
    paces = (("up", 1000, 1500, 8, 1),)
    row = encode_state(DaemonState(*build_row(26), paces=paces), find_form(6))
    assert len(row) == 27
    assert decode_state(row).paces == ()
    assert decode_state((*build_row(26), 6)).release == 6
    assert decode_state((*build_row(26), 7, paces)).paces == paces
    for odd in ((("up", 1000, 1.5, 8, 1),), (("up", 1000, 1500),), 5):
        with raises(FrameError):
            decode_state((*build_row(26), 7, odd))


@run_in_real_time
async def test_daemon_of_a_release_that_is_too_old_is_named_and_callers_are_served():
    async with open_world() as world:
        older = OlderDaemon(17)
        for _ in range(2):
            with raises(asyncio.IncompleteReadError):
                await older.ask(world.ports["internal"])
        assert world.node.state_sync.too_old == {"older"}
        assert world.node.state_sync.refused_frames == 2
        assert (await world.fetch("/look/1")).status == 200
        await OlderDaemon(18).ask(world.ports["internal"])
        assert world.node.state_sync.too_old == set()


@with_virtual_time
async def test_revisions_of_a_later_era_are_not_told_to_daemons_that_do_not_order_them():
    """They would wait for that revision in the store, and follow it no more."""
    sync = Daemon("d0").state_sync
    mirror = KindMirror("servers", NoOpHandler(), asyncio.get_running_loop().time)
    sync.mirrors["servers"] = mirror
    revision = join_revision(1, 5)
    mirror.apply_listing(Listing([], revision), 1.0)
    for count in STATE_COUNTS:
        state = pack([build_row(count)])
        response = sync.handle_request(PeerRequest(state, True, True, (("servers", 9),)))
        assert bool(response.updates) == (count >= FIRST_COUNT_WITH_PARTS)
        synced_at = mirror.synced_at
        updates = (("servers", 9, 9, 0, b""),)
        answer = PeerResponse(state, True, (), b"", b"", updates, b"", 0)
        sync.handle_response(answer, 50.0 + count)
        assert (mirror.synced_at > synced_at) == (count >= FIRST_COUNT_WITH_PARTS)
    assert sync.withheld_updates == 4
