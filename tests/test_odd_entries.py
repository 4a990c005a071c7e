"""Entries that another writer left in the store, and what daemons make of them."""

import json
import tomllib
from pathlib import Path
from tempfile import TemporaryDirectory

from tanagertrail.decoding import MAX_DEPTH, find_violation, is_address, load_json, load_leniently
from tanagertrail.errors import (
    DecodeError,
    InvalidInputError,
    PlatformError,
    SettingsError,
    UpstreamProtocolError,
)
from tanagertrail.gateway.members import MEMBERS_KIND
from tanagertrail.gateway.quarantine import QUARANTINE_KIND, read_start
from tanagertrail.platform.records import decode_upstream
from tanagertrail.platform.rollout_records import decode_rollout
from tanagertrail.platform.settings import decode_settings, read_settings_file
from tanagertrail.platform.store import HistoryLostError, StoredObject
from tanagertrail.platform.stored_objects import decode_changes, decode_listing_page, decode_object
from tanagertrail.standins.documents import DaemonPorts, build_entry, build_node_file
from tests.gateway_utils import World, build_config, open_world, run_in_real_time
from tests.utils import raises

REQUESTS = 40
ODD_CONTENTS = {
    "nested": b"[" * 20_000 + b"]" * 20_000,
    "digits": b'{"capacity":' + b"9" * 6_000 + b"}",
    "infinite": b'{"capacity":1e999,"born":-Infinity,"cold_left_ms":NaN}',
    "encoding": b'{"zone":"\xff\xfe"}',
    "surrogate": b'{"zone":"\\ud800"}',
}


ODD_METADATA = (
    None,
    [],
    {},
    {"name": "up", "rev": "5"},
    {"name": "up", "rev": True},
    {"name": "up", "rev": -1},
    {"name": "up", "rev": 10**30},
    {"name": "up", "rev": 5, "created_rev": float("inf")},
    {"name": "", "rev": 5},
    {"name": "u" * 5000, "rev": 5},
    {"name": "\ud800", "rev": 5},
    {"name": ["up"], "rev": 5},
)


def build_item(name, revision, content):
    """Return an object as the store sends it."""
    return {"meta": {"name": name, "rev": revision}, "spec": content, "status": None}


def nest(depth):
    """Return a value nested to a depth."""
    value = "x"
    for _ in range(depth):
        value = [value]
    return value


async def count_answers(world):
    """Return how many of some requests were answered with success."""
    answered = 0
    for _ in range(REQUESTS):
        try:
            answered += (await world.fetch("/look/1")).status == 200
        except (ConnectionError, TimeoutError, UpstreamProtocolError):
            continue
    return answered


async def check_entry(content):
    """Check that an entry is passed over while daemons serve and follow the others."""
    async with open_world() as world:
        if isinstance(content, bytes):
            world.store.put_raw("servers", "up-odd", content)
        else:
            world.store.put("servers", "up-odd", content)
        world.register("up-a", version="v2")
        entries = world.node.cluster_view.upstreams.entries
        await world.wait_until(lambda: entries["up-a"].record.version == "v2")
        answered = await count_answers(world)
        assert answered == REQUESTS, answered
        assert set(entries) == {"up-a", "up-b"}
        world.store.remove("servers", "up-a")
        await world.wait_for_upstreams(1)
        answered = await count_answers(world)
        assert answered == REQUESTS, answered


@run_in_real_time
async def test_upstream_with_a_port_out_of_range_gets_no_requests():
    await check_entry(build_entry(99_999, "north"))


@run_in_real_time
async def test_upstream_whose_id_no_header_field_takes_gets_no_requests():
    async with open_world() as world:
        for name in ("up\r\nodd", " up", "", "u" * 300):
            world.store.put("servers", name, build_entry(world.ports["up-a"], "north"))
        for upstream in world.upstreams:
            world.store.remove("servers", upstream.id)
        await world.wait_for_upstreams(0)
        assert (await world.fetch("/look/1")).status == 503


@run_in_real_time
async def test_sound_entry_after_an_odd_one_is_taken():
    async with open_world() as world:
        world.register("up-a", address="127.0.0.1:99999")
        await world.wait_for_upstreams(1)
        world.register("up-a")
        await world.wait_for_upstreams(2)


def test_values_that_no_connection_takes_are_refused():
    for address in (
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:99999",
        "127.0.0.1:٣٣",
        "127.0.0.1",
        "999.1.1.1:80",
        "1.2.3:80",
        "0.0.0.0:80",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "127.0.0.1:80\n",
        "",
    ):
        assert not is_address(address), address
    assert is_address("10.0.0.9:65535")


def test_registration_with_odd_values_is_refused():
    infinite = float("inf")
    odd = {
        "capacity": (0, -1, True, 10**400, 1.5, infinite, "8"),
        "cold_left_ms": (-1, infinite, float("nan"), True, 10**400),
        "born": (-1, True, 10**15, infinite, "1"),
        "leaves_ms": (-1, infinite, float("nan"), 1e300),
        "service": ("", "s" * 300, "\ud800", 5, None, ["desk"]),
        "state": ("gone", 1, None),
        "zone": (5, "z" * 300, None),
    }
    for field, values in odd.items():
        for value in values:
            with raises(InvalidInputError):
                decode_upstream(
                    StoredObject("up", 1, 1, build_entry(80, "north", **{field: value}), None)
                )
    for content in (None, [], "entry", 5, {}):
        with raises(InvalidInputError):
            decode_upstream(StoredObject("up", 1, 1, content, None))


def test_rollout_order_with_odd_values_is_refused():
    order = {"service": "desk", "target": "v2", "duration_s": 30}
    assert decode_rollout(StoredObject("desk", 1, 1, order, ["odd"])).report.state == ""
    for field, value in (
        ("service", ""),
        ("service", "other"),
        ("target", None),
        ("duration_s", -1),
        ("duration_s", float("inf")),
        ("duration_s", float("nan")),
        ("duration_s", 10**400),
    ):
        with raises(InvalidInputError):
            decode_rollout(StoredObject("desk", 1, 1, order | {field: value}, None))


@run_in_real_time
async def test_entry_nested_very_deep_does_not_end_the_watch():
    await check_entry(ODD_CONTENTS["nested"])


@run_in_real_time
async def test_number_of_many_digits_does_not_fail_the_page():
    await check_entry(ODD_CONTENTS["digits"])


@run_in_real_time
async def test_odd_entries_of_every_kind_do_not_keep_a_daemon_from_starting():
    world = World()
    kinds = ("servers", "evacuations", "rollouts", "config", MEMBERS_KIND, QUARANTINE_KIND)
    for kind in kinds:
        for label, content in ODD_CONTENTS.items():
            world.store.put_raw(kind, f"odd-{label}", content)
    try:
        await world.start(build_config())
        assert set(world.node.cluster_view.upstreams.entries) == {"up-a", "up-b"}
        world.store.put("evacuations", "north", {})
        await world.wait_until(lambda: "north" in world.node.cluster_view.evacuated)
        counts = world.node.follower.refusals.counts
        assert all(counts[kind] >= len(ODD_CONTENTS) for kind in kinds), counts
    finally:
        await world.close()


@run_in_real_time
async def test_config_that_cannot_be_read_leaves_the_one_in_force():
    async with open_world() as world:
        world.store.put_raw("config", "main", ODD_CONTENTS["nested"])
        refusals = world.node.follower.refusals
        await world.wait_until(lambda: refusals.counts["config"] > 0)
        assert (await world.fetch("/look/1")).status == 200
        world.store.put("config", "main", build_config(2))
        await world.wait_until(lambda: world.node.cluster_view.config.version == 2)


def test_object_without_a_sound_name_or_revision_is_refused_alone():
    for meta in ODD_METADATA:
        refused = []
        items = [build_item("up-a", 3, {}), {"meta": meta, "spec": {}}, build_item("up-b", 4, {})]
        page = decode_listing_page({"items": items, "store_revision": 9}, 0, refused.append)
        assert [item.name for item in page.objects] == ["up-a", "up-b"], meta
        assert len(refused) == 1


def test_change_that_names_no_object_asks_for_a_listing():
    sound = {"object": build_item("up-a", 3, {}), "deleted": False}
    for event in (None, 5, {}, {"object": 5}, {"object": {"meta": {"rev": 5}}}):
        with raises(HistoryLostError):
            decode_changes({"events": [sound, event]}, 0, 2, lambda refusal: None)


def test_pages_of_another_form_raise_the_declared_error():
    for body in (None, [], "page", {"items": 5}, {"items": {"a": 1}}, {"store_revision": None}):
        with raises(PlatformError):
            decode_listing_page(body, 0, lambda refusal: None)
    for body in (None, [], {"events": 5}, {"store_revision": float("inf")}):
        with raises(PlatformError):
            decode_changes(body, 0, 2, lambda refusal: None)
    with raises(PlatformError):
        body = {"items": [{"meta": {}}], "more": True, "store_revision": 9}
        decode_listing_page(body, 0, lambda refusal: None)


def test_content_beyond_a_bound_is_left_out():
    assert find_violation(nest(MAX_DEPTH)) is None
    odd = (nest(MAX_DEPTH + 1), nest(900), float("nan"), 10**30, "\ud800", "x" * 70_000)
    for content in odd:
        refused = []
        stored = decode_object(build_item("up", 5, {"zone": content}), 0, refused.append)
        assert stored.content is None
        assert [(item.name, item.revision) for item in refused] == [("up", 5)]


def test_spoiled_members_of_a_page_do_not_spoil_the_others():
    texts = ['a,]}{["\\', "", "\u00e9", "\\" * 3]
    sound = [
        build_item(f"up-{n}", n, {"zone": text, "x": [[], {}]}) for n, text in enumerate(texts)
    ]
    for content in ODD_CONTENTS.values():
        for position in range(len(sound) + 1):
            encoded = [json.dumps(item).encode() for item in sound]
            marked = json.dumps(build_item("odd", 9, "HERE")).encode()
            encoded.insert(position, marked.replace(b'"HERE"', content))
            data = b'{"store_revision":9, "items": [' + b" , ".join(encoded) + b'],"more":false}'
            page = decode_listing_page(load_leniently(data, 4), 0, lambda refusal: None)
            names = [item.name for item in page.objects if item.content is not None]
            assert names == [item["meta"]["name"] for item in sound]
            assert {item.name for item in page.objects} == {*names, "odd"}


def test_bytes_without_an_end_take_linear_time():
    for data in (b'"' + b'\\"' * 400_000, b"[" * 500_000, b'{"a":' * 100_000, b'["a' * 200_000):
        with raises(DecodeError):
            load_json(data)
        assert find_violation(load_leniently(data, 4))


def test_start_of_a_quarantine_is_a_time():
    assert read_start({"at": 1.5}) == 1.5
    for content in (None, [], {}, {"at": True}, {"at": "1"}, {"at": float("nan")}, {"at": 10**400}):
        assert read_start(content) is None


ODD_SETTINGS = (
    ("limits.max_fds", "limits = {max_fds = inf}"),
    ("limits.memory_mb", "limits = {memory_mb = nan}"),
    ("heartbeat_ms", f"heartbeat_ms = {10**400}"),
    ("heartbeat_ms", "heartbeat_ms = true"),
    ("listen.ready", 'listen = {ready = "127.0.0.1:\u00b2"}'),
    ("listen.ready", f'listen = {{ready = "127.0.0.1:{"9" * 5000}"}}'),
    ("internal_ports", "internal_ports = [0, 99999]"),
    ("bounds.grace_s", "bounds = {grace_s = nan}"),
    ("settings", f"x = {'[' * 2000}{']' * 2000}"),
    ("settings", f"x = {'9' * 6000}"),
)


def test_odd_settings_raise_the_declared_error():
    with TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        for field, text in ODD_SETTINGS:
            path.write_text(text)
            with raises(SettingsError) as caught:
                read_settings_file(str(path))
            assert field in {violation.field for violation in caught[0].violations}, text
        document = tomllib.loads(
            build_node_file("entry", "north", DaemonPorts(1, 2, 3, 4), 5, 6, [])
        )
        document["cloud_api"]["duties"] = ["usage", [1], {}]
        assert decode_settings(document).duties == {"usage"}
