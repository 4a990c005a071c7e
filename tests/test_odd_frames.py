"""What other daemons and registrations of daemons say, with values that are not as declared."""

import asyncio
import zlib

import msgpack

from tanagertrail.daemons.frames import decode_frame, encode_frame
from tanagertrail.daemons.peer_messages import (
    DaemonState,
    MirrorUpdate,
    PeerRequest,
    PeerUpdate,
    pack_json,
    pack_rows,
)
from tanagertrail.errors import FrameError
from tanagertrail.gateway.leadership import decode_lease
from tanagertrail.gateway.members import MEMBERS_KIND, decode_member
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.gateway.peer_rows import decode_state, unpack_state
from tests.gateway_utils import NoOpHandler, open_world, run_in_real_time
from tests.test_state_sync import Daemon
from tests.utils import raises, with_virtual_time

SOUND_MEMBER = {
    "daemon": "other",
    "incarnation": 5,
    "address": "127.0.0.1:9",
    "front": "127.0.0.1:10",
    "failure_domain": "north",
    "strength": 3,
}
SOUND_STATE = DaemonState("other", 5, 1, "127.0.0.1:9", "127.0.0.1:10", "north", 3)
ODD_MEMBER_VALUES = {
    "daemon": ("", 5, None, ["d"], "d" * 300, "d\n"),
    "incarnation": ("x", None, True, -1, 2**63, 1.5, float("inf")),
    "address": (5, None, "", "host", "host:0", "host:99999", "999.1.1.1:80", ":80", "a b:80"),
    "front": ("127.0.0.1:65536", ["127.0.0.1:1"]),
    "strength": ("a", None, True, -1, 10**12),
}
ODD_STATE_VALUES = {
    "counter": (-1, "x", True),
    "serving": (1, "yes", None),
    "lease_fencing": (-1, 2**62, "1", 4),
    "lease_renewal": (5, (1,), ("a", "b")),
    "in_flight": (5, (5,), (("up",),), (("up", "x"),), (("up", True),), ((["up"], 1),)),
    "quota": ((("guild", 1.0),), (("guild", float("nan"), 1.0),), (("guild", "x", 1.0),)),
    "usage": (((1, 5),), (("x", ()),), ((1, (("guild",),)),)),
    "trials": ((("desk", 1, (1, 2, 3)),), (("desk", 1, 5),)),
    "prompt_tokens": ((("desk", float("inf")),), ((5, 5),)),
    "age_ms": (-1, 10**18, "x"),
    "upstream_losses": ((1,), ((1, "up", "v", "d", "s", (("f",),), 0),)),
    "limits": ((("up", 1.0, float("nan"), 0.0, 0.0),), (("up", 1.0),)),
    "cleared_parts": ((("part", "x"),),),
    "completed": ((("desk", None),),),
}


def iter_odd_members():
    """Yield registrations with one odd value each."""
    for field, values in ODD_MEMBER_VALUES.items():
        for value in values:
            yield SOUND_MEMBER | {field: value}


@run_in_real_time
async def test_odd_registrations_of_daemons_do_not_stop_the_exchange():
    async with open_world() as world:
        for number, content in enumerate(iter_odd_members()):
            world.store.put(MEMBERS_KIND, f"odd-{number}", content)
        world.store.put(MEMBERS_KIND, "other", SOUND_MEMBER)
        await world.wait_until(lambda: "other" in world.node.members.states)
        period = world.node.peer_client.period
        await world.wait_until(lambda: world.node.peer_client.period > period + 1)
        assert set(world.node.members.states) == {"other"}


def test_registration_with_odd_values_is_no_member():
    assert decode_member(SOUND_MEMBER | {"later_field": 1}).strength == 3
    for content in (None, 5, [], {}, *iter_odd_members()):
        with raises(FrameError):
            decode_member(content)


def test_state_with_odd_values_is_refused():
    assert decode_state(tuple(SOUND_STATE)) == SOUND_STATE
    for field, values in ODD_STATE_VALUES.items():
        for value in values:
            with raises(FrameError):
                decode_state(tuple(SOUND_STATE._replace(**{field: value})))


@with_virtual_time
async def test_huge_count_of_one_daemon_keeps_a_hub_from_telling_the_totals():
    sync = Daemon("d0").state_sync
    request = PeerRequest(pack_rows([SOUND_STATE]), False, True, ())
    for count in (2**64 - 1, 2**63, -1):
        for name in ("d2", "d3"):
            odd = SOUND_STATE._replace(daemon=name, in_flight=(("up", count),))
            sync.apply_relayed_states(pack_rows([odd]))
        assert not sync.totals.in_flight
        assert encode_frame(sync.handle_request(request), 0)
    assert sync.refused_rows == 6


@with_virtual_time
async def test_odd_row_among_relayed_states_is_passed_over():
    daemon = Daemon("d0")
    odd = SOUND_STATE._replace(daemon="d2", strength="a")
    rows = [SOUND_STATE, odd, (1, 2), SOUND_STATE._replace(daemon="d3")]
    daemon.state_sync.apply_relayed_states(pack_rows(rows))
    assert set(daemon.state_sync.states) == {"other", "d3"}
    assert daemon.state_sync.refused_rows == 2


@with_virtual_time
async def test_request_with_odd_fields_raises_the_declared_error():
    sync = Daemon("d0").state_sync
    for state in (b"", b"broken", pack_rows([(1,)]), pack_rows([SOUND_STATE] * 2)):
        with raises(FrameError):
            sync.handle_request(PeerRequest(state, False, True, ()))
    for revisions in ((5,), (("servers",),), ((["x"], 1),), (("servers", "1"),)):
        request = PeerRequest(pack_rows([SOUND_STATE]), False, True, revisions)
        with raises(FrameError):
            decode_frame(encode_frame(request, 0)[4:])


@with_virtual_time
async def test_odd_store_update_is_passed_over():
    daemon = Daemon("d0")
    mirror = KindMirror("servers", NoOpHandler(), asyncio.get_running_loop().time)
    daemon.state_sync.mirrors["servers"] = mirror
    refused = []
    mirror.on_refused = refused.append
    sound = ["up-a", 5, 1, {"zone": "north"}, None, False, 0]
    rows = [sound, 5, sound[:3], ["", *sound[1:]], [*sound[:-1], 7], ["up", "5", *sound[2:]]]
    updates = (
        5,
        ("servers", -1, 5, 0, b""),
        ("servers", 0, 2**62, 0, b""),
        MirrorUpdate("servers", 0, 9, 0, b"broken"),
        MirrorUpdate("servers", 0, 9, 0, pack_json({"a": 1})),
        MirrorUpdate("servers", 0, 9, 0, pack_json(rows)),
    )
    daemon.state_sync.handle_store_update(PeerUpdate("other", (), updates))
    assert list(mirror.objects) == ["up-a"]
    assert len(refused) == len(rows) - 1
    assert daemon.state_sync.refused_rows == len(updates) - 1


@with_virtual_time
async def test_odd_bytes_of_one_row_do_not_spoil_an_update():
    mirror = KindMirror("servers", NoOpHandler(), asyncio.get_running_loop().time)
    for revision, content in enumerate((b"[" * 500 + b"]" * 500, b"9" * 6_000, b"NaN"), start=5):
        rows = b'[["up-a",1,1,{"zone":"north"},null,false,0],["odd",2,2,%b,null,false,0]]' % content
        update = MirrorUpdate("servers", 0, revision, 0, zlib.compress(rows))
        assert mirror.apply_update(update, 1.0)
        assert mirror.objects["up-a"].content == {"zone": "north"}
        assert mirror.objects["odd"].content is None
        mirror.objects.clear()


def test_frame_with_odd_bytes_raises_the_declared_error():
    deep = b"\x91" * 5_000 + b"\xc0"
    for body in (
        b"",
        deep,
        b"\xdd\xff\xff\xff\xff",
        msgpack.packb([0, {}, []]),
        b"\xc7\x01\xff\x00",
    ):
        with raises(FrameError):
            decode_frame(body)
        with raises(FrameError):
            unpack_state(body)
    with raises(FrameError):
        encode_frame(PeerUpdate("d", (("servers", 2**70),), ()), 0)


def test_odd_lease_is_taken_as_none():
    sound = {"holder": "d@1", "fencing": 2, "renewal": 3, "released": False}
    assert decode_lease(sound) is not None
    for field, value in (
        ("fencing", float("inf")),
        ("fencing", True),
        ("fencing", 2**62),
        ("renewal", "3"),
        ("holder", None),
    ):
        assert decode_lease(sound | {field: value}) is None
    assert decode_lease([]) is None
