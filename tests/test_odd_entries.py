"""Entries that another writer left in the store, and what daemons make of them."""

from tanagertrail.decoding import is_address
from tanagertrail.errors import InvalidInputError, UpstreamProtocolError
from tanagertrail.platform.records import decode_rollout, decode_upstream
from tanagertrail.platform.store import StoredObject
from tanagertrail.standins.documents import build_entry
from tests.gateway_utils import open_world, run_in_real_time
from tests.utils import raises

REQUESTS = 40


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
    assert decode_rollout(StoredObject("desk", 1, 1, order, ["odd"])).state == ""
    for field, value in (
        ("service", ""),
        ("target", None),
        ("duration_s", -1),
        ("duration_s", float("inf")),
        ("duration_s", float("nan")),
        ("duration_s", 10**400),
    ):
        with raises(InvalidInputError):
            decode_rollout(StoredObject("desk", 1, 1, order | {field: value}, None))
