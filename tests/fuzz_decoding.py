"""Fuzzer of what the store and other daemons send: odd bytes and odd values among sound ones.

CI runs a fixed sample (tests/test_fuzzed_decoding.py). By hand, for some minutes:

    python -m tests.fuzz_decoding --seconds 300 --seed 7
"""

import argparse
import asyncio
import copy
import itertools
import json
import math
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st

from tanagertrail.daemons.frames import LENGTH_PREFIX, decode_frame, encode_frame
from tanagertrail.daemons.peer_messages import (
    DaemonState,
    FleetSummary,
    LivenessRecord,
    MirrorUpdate,
    PeerAck,
    PeerRequest,
    PeerResponse,
    PeerUpdate,
    pack_json,
    pack_rows,
)
from tanagertrail.daemons.releases import find_form_by_fields
from tanagertrail.decoding import (
    find_violation,
    is_address,
    is_endpoint,
    is_name,
    load_leniently,
)
from tanagertrail.errors import FrameError, PlatformError
from tanagertrail.gateway.members import MEMBERS_KIND
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.gateway.peer_rows import encode_state
from tanagertrail.gateway.quarantine import QUARANTINE_KIND
from tanagertrail.platform.store import Listing
from tanagertrail.platform.stored_objects import decode_changes, decode_listing_page
from tanagertrail.policy.hubs import plan_topology
from tanagertrail.standins.documents import build_entry
from tanagertrail.testing import run_in_virtual_time
from tests.gateway_utils import build_config, build_settings
from tests.older_daemons import STATE_COUNTS

LEVELS = 4
NEWEST_COUNT = len(DaemonState._fields)
SPECIAL_VALUES = (
    *(-1, 0, 65_536, 99_999, 2**53, 2**63, 2**64, 2**70, 10**400, -(2**70)),
    *(float("nan"), float("inf"), -0.0, 1e300, True, False, None, [], {}, "", " ", "\ud800"),
    *("x" * 70_000, "a\r\nb", "\0", "127.0.0.1:0", "999.1.1.1:80", "127.0.0.1:99999", "9" * 500),
)
ODD_BYTES = (
    *(b"[" * 3_000 + b"]" * 3_000, b'{"a":' * 2_000 + b"1" + b"}" * 2_000, b"9" * 6_000),
    *(b"NaN", b"-Infinity", b"1e999", b'"\xff\xfe"', b'"\\ud800"', b'"\xed\xa0\x80"', b"tru", b""),
)
SOUND_CONTENTS = {
    "servers": build_entry(80, "north"),
    "evacuations": {},
    "rollouts": {"service": "sound", "target": "v2", "duration_s": 30},
    "config": build_config(3),
    MEMBERS_KIND: {
        "daemon": "sound",
        "incarnation": 5,
        "address": "127.0.0.1:9",
        "front": "127.0.0.1:10",
        "failure_domain": "north",
        "strength": 3,
    },
    QUARANTINE_KIND: {"daemon": "sound", "at": 1.0},
}
NAMES = {"config": "main"}
PORTS = dict.fromkeys(("front", "ready", "directory", "internal", "store", "cloud"), 9)


def nest(depth: int) -> Any:
    """Return arrays nested to a depth."""
    value: Any = 1
    for _ in range(depth):
        value = [value]
    return value


odd_values = st.one_of(
    st.sampled_from(SPECIAL_VALUES),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.builds(nest, st.integers(1, 300)),
    st.lists(st.one_of(st.integers(), st.text(max_size=4)), max_size=4),
    st.dictionaries(st.text(max_size=4), st.integers(), max_size=3),
)


class Mutation(NamedTuple):
    """A change of one place in a document.

    :ivar place: chooses the place, modulo their number
    :ivar is_removal: whether the place is removed instead of replaced
    """

    place: int
    value: Any
    is_removal: bool

    def apply(self, document: Any) -> Any:
        """Return a copy of a document with the change."""
        changed = {"root": copy.deepcopy(document)}
        places = list(iter_places(changed))
        container, key = places[self.place % len(places)]
        if self.is_removal and container is not changed:
            del container[key]
        else:
            container[key] = self.value
        return changed["root"]


mutations = st.builds(Mutation, st.integers(0, 10_000), odd_values, st.booleans())


def iter_places(container: Any):
    """Yield all containers and keys in a document."""
    keys = list(container) if isinstance(container, dict) else range(len(container))
    for key in keys:
        yield container, key
        if isinstance(container[key], dict | list):
            yield from iter_places(container[key])


def to_lists(value: Any) -> Any:
    """Return a row with lists for tuples, which a mutation can change."""
    return [to_lists(item) for item in value] if isinstance(value, tuple) else value


def to_tuples(value: Any) -> Any:
    """Return a row with tuples for lists, as frames are decoded."""
    return tuple(to_tuples(item) for item in value) if isinstance(value, list) else value


def build_item(name: str, revision: int, content: Any, report: Any = None) -> dict[str, Any]:
    """Return an object as the store sends it."""
    return {"meta": {"name": name, "rev": revision}, "spec": content, "status": report}


def build_node() -> GatewayNode:
    """Return a daemon that has opened no port and started no task."""
    node = GatewayNode(build_settings(PORTS))
    node.follower.build_watches(node.settings.bounds)
    return node


def run_watched(work: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine in virtual time; an exception of a callback or task fails it."""
    failures: list[dict[str, Any]] = []

    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: failures.append(context))
        await work

    run_in_virtual_time(run())
    assert not failures, failures


def follows_sound(node: GatewayNode, kind: str) -> bool:
    """Return whether a daemon follows the sound object of a kind."""
    view = node.cluster_view
    known = {
        "servers": view.upstreams.entries,
        "evacuations": view.evacuated,
        "rollouts": view.rollouts,
        MEMBERS_KIND: node.members.states,
        QUARANTINE_KIND: node.follower.quarantine_handler.names,
    }
    return view.config is not None if kind == "config" else "sound" in known[kind]


def check_everything_is_usable(node: GatewayNode) -> None:
    """Check that a daemon can use what it knows, and tell others."""
    for entry in node.cluster_view.upstreams.entries.values():
        assert is_address(entry.record.address)
        assert is_name(entry.record.id)
        assert entry.record.slots * 2.0 > entry.running
        assert math.isfinite(entry.cold_until)
    for state in node.members.states.values():
        assert is_endpoint(state.member.address)
        assert is_endpoint(state.member.front)
    for mirror in node.mirrors.values():
        for item in mirror.objects.values():
            assert find_violation([item.content, item.report]) is None
    state = node.node_state.describe_state()
    known = dict.fromkeys(node.mirrors, 0)
    updates = node.state_sync.build_updates(known)
    request = PeerRequest(pack_rows([state]), True, False, node.state_sync.list_revisions())
    encode_frame(request, 0)
    encode_frame(PeerUpdate("d", node.state_sync.list_revisions(), updates), 0)
    plan_topology("d", list(node.members.states), node.members.list_strengths())
    node.list_fronts("")


def check_odd_bytes(kind: str, odd: list[bytes], position: int) -> None:
    """Check a page in which the bytes of some contents are spoiled."""
    sound = json.dumps(build_item(NAMES.get(kind, "sound"), 1, SOUND_CONTENTS[kind])).encode()
    items = [
        json.dumps(build_item(f"odd-{n}", 2 + n, "HERE")).encode().replace(b'"HERE"', content)
        for n, content in enumerate(odd)
    ]
    items.insert(position % (len(items) + 1), sound)
    data = b'{"items":[' + b",".join(items) + b'],"more":false,"store_revision":99}'

    async def follow() -> None:
        node = build_node()
        page = decode_listing_page(load_leniently(data, LEVELS), 0, lambda refusal: None)
        node.mirrors[kind].apply_listing(Listing(page.objects, page.revision), 1.0)
        assert follows_sound(node, kind), data[:200]
        check_everything_is_usable(node)

    run_watched(follow())


def check_odd_objects(kind: str, changes: list[Mutation], deleted: bool) -> None:
    """Check a listing, a watch and an update for another daemon with odd objects among sound."""
    sound = build_item(NAMES.get(kind, "sound"), 1, SOUND_CONTENTS[kind], {"state": "running"})
    # An object of another name, since one of the same name may rightly replace the sound one.
    odd = [
        change.apply(build_item("odd", 2 + n, SOUND_CONTENTS[kind]))
        for n, change in enumerate(changes)
    ]
    odd = [item for item in odd if not names_sound(item)]
    listing = json.dumps({"items": [*odd, sound, *odd], "store_revision": 50}).encode()
    newer = [
        change.apply(build_item("odd", 51 + n, SOUND_CONTENTS[kind]))
        for n, change in enumerate(changes)
    ]
    newer = [item for item in newer if not names_sound(item)]
    events = [{"object": item, "deleted": deleted} for item in newer]
    watch = json.dumps({"events": events, "store_revision": 60}).encode()

    async def follow() -> None:
        node, other = build_node(), build_node()
        mirror = node.mirrors[kind]
        page = decode_listing_page(load_leniently(listing, LEVELS), 0, lambda refusal: None)
        mirror.apply_listing(Listing(page.objects, page.revision), 1.0)
        other.mirrors[kind].apply_update(mirror.build_update(0), 1.0)
        try:
            body = load_leniently(watch, LEVELS)
            mirror.apply_watch(decode_changes(body, 0, 50, lambda refusal: None), 2.0)
        except PlatformError:
            pass
        update = mirror.build_update(other.mirrors[kind].revision)
        other.mirrors[kind].apply_update(update, 2.0)
        for daemon in (node, other):
            assert follows_sound(daemon, kind), listing[:500]
            check_everything_is_usable(daemon)
        assert other.mirrors[kind].objects == mirror.objects
        await asyncio.sleep(10.0)

    run_watched(follow())


def names_sound(item: Any) -> bool:
    """Return whether a mutated object bears a name of a sound one, in its metadata or content."""
    text = json.dumps(item)
    return '"name": "sound"' in text or '"name": "main"' in text


def check_odd_rows(kind: str, changes: list[Mutation], base: int) -> None:
    """Check an update of another daemon with odd rows among sound ones."""
    name = NAMES.get(kind, "sound")
    # The rows of an update changed after the revision of the mirror that gets it, which is 1.
    sound = [name, 2, 2, SOUND_CONTENTS[kind], None, False, 0]
    odd = [change.apply(["odd", 2, 2, SOUND_CONTENTS[kind], None, False, 0]) for change in changes]
    odd = [row for row in odd if not names_sound({"meta": to_table(row)})]

    async def follow() -> None:
        node = build_node()
        mirror = node.mirrors[kind]
        mirror.apply_listing(Listing([], 1), 1.0)
        mirror.apply_update(MirrorUpdate(kind, base, 5, 0, pack_json([*odd, sound])), 1.0)
        assert follows_sound(node, kind), odd
        check_everything_is_usable(node)

    run_watched(follow())


def to_table(row: Any) -> Any:
    """Return a row as the table that a store would send, as far as it is one."""
    return {"name": row[0], "rest": row[1:]} if isinstance(row, list) and row else row


def check_odd_answer(body: Any, change: Mutation) -> None:
    """Check that an answer of any form is decoded or refused with the declared error."""
    sound = {
        "items": [build_item("a", 1, {})],
        "events": [{"object": build_item("b", 2, {}), "deleted": False}],
        "more": True,
        "store_revision": 9,
    }
    for answer in (body, change.apply(sound)):
        decoded = load_leniently(json.dumps(answer).encode(), LEVELS)
        for decode in (
            lambda value: decode_listing_page(value, 0, lambda refusal: None),
            lambda value: decode_changes(value, 0, 2, lambda refusal: None),
        ):
            try:
                decode(decoded)
            except PlatformError:
                continue


def check_odd_frame(body: bytes) -> None:
    """Check that any bytes decode to a message or raise the declared error."""
    try:
        decode_frame(body)
    except FrameError:
        return


def check_odd_messages(changes: list[Mutation], in_state: bool, count: int) -> None:
    """Check messages with odd fields, and with odd fields of the states in them.

    :param count: fields of the states, those of an older, this or a newer release
    """

    async def exchange() -> None:
        node = build_node()
        state = node.node_state.describe_state()._replace(
            daemon="other",
            in_flight=(("up", 1),),
            quota=(("guild", 1.0, 2.0),),
            usage=((7, (("guild", 1),)),),
            trials=(("desk", 1, (1, 2, 3, 4)),),
            lease_fencing=2,
            lease_renewal=(1, 5),
            upstream_losses=((1, "up", "v", "d", "s", (("f", ("p",), 5, 5),), 0),),
            limits=(("up", 1.0, 2.0, 0.0, 0.0),),
            cleared_parts=(("p", 1),),
            completed=(("desk", 5),),
            leaving=(("up", 1.0, 0.5),),
            paces=(("up", 1000, 1500, 8, 1),),
        )
        updates = node.state_sync.build_updates({})
        for change in changes:
            told = encode_with(state, count)
            row = change.apply(to_lists(told)) if in_state else told
            if not isinstance(row, list | tuple):
                continue
            packed = pack_odd_rows([to_tuples(row)])
            liveness = pack_rows([LivenessRecord("other", 5, True, 2, 5)])
            summary = pack_rows([FleetSummary(1, (("up", 1),), (("guild", 1.0, 2.0),))])
            revisions = (("servers", 1),)
            messages = (
                PeerRequest(packed, False, True, revisions),
                PeerUpdate("other", revisions, (*updates, ("servers", 0, 5, 0, b""))),
                PeerResponse(packed, True, revisions, packed, liveness, updates, summary, 0),
                PeerAck(revisions),
            )
            for message in messages:
                deliver(node, message if in_state else mutate_message(message, change))
        check_everything_is_usable(node)
        await asyncio.sleep(10.0)

    run_watched(exchange())


def encode_with(state: DaemonState, count: int) -> tuple:
    """Return the row of a state with a number of fields."""
    row = encode_state(state, find_form_by_fields(count))
    return (*row, *range(count - len(row)))


def pack_odd_rows(rows: list) -> bytes:
    """Pack rows, or return broken bytes if a value cannot be packed."""
    try:
        return pack_rows(rows)
    except (ValueError, TypeError, OverflowError):
        return b"broken"


def mutate_message(message: Any, change: Mutation) -> Any:
    """Return a message with a change in one of its fields."""
    fields = change.apply(to_lists(tuple(message)))
    if not isinstance(fields, list) or len(fields) != len(message):
        return message
    return type(message)._make(to_tuples(fields))


def deliver(node: GatewayNode, message: Any) -> None:
    """Deliver a message to a daemon as from a connection."""
    try:
        _, received = decode_frame(encode_frame(message, 0)[LENGTH_PREFIX.size :])
        if isinstance(received, PeerResponse):
            node.state_sync.handle_response(received, 1.0)
        elif isinstance(received, PeerAck):
            node.state_sync.handle_ack("other", received)
        else:
            encode_frame(node.peer_server.handle_message(received), 0)
    except FrameError:
        return


kinds = st.sampled_from(sorted(SOUND_CONTENTS))
PROPERTIES: dict[Callable[..., None], dict[str, st.SearchStrategy]] = {
    check_odd_bytes: {
        "kind": kinds,
        "odd": st.lists(st.sampled_from(ODD_BYTES), min_size=1, max_size=4),
        "position": st.integers(0, 4),
    },
    check_odd_objects: {
        "kind": kinds,
        "changes": st.lists(mutations, min_size=1, max_size=4),
        "deleted": st.booleans(),
    },
    check_odd_rows: {
        "kind": kinds,
        "changes": st.lists(mutations, min_size=1, max_size=4),
        "base": st.integers(0, 1),
    },
    check_odd_answer: {"body": odd_values, "change": mutations},
    check_odd_frame: {"body": st.binary(max_size=200)},
    check_odd_messages: {
        "changes": st.lists(mutations, min_size=1, max_size=4),
        "in_state": st.booleans(),
        "count": st.sampled_from((*STATE_COUNTS, NEWEST_COUNT, NEWEST_COUNT + 3)),
    },
}


def fuzz(check: Callable[..., None], examples: int, number: int | None = None) -> None:
    """Run a check on examples: always the same ones, or those of a seed.

    :param number: seed of the examples
    """
    test = given(**PROPERTIES[check])(check)
    test = settings(
        max_examples=examples,
        derandomize=number is None,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )(test)
    (test if number is None else seed(number)(test))()


def main() -> None:
    """Run all checks in turn with new seeds until the time is over."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=random.randrange(10**6))
    parser.add_argument("--examples", type=int, default=200, help="of each check for each seed")
    arguments = parser.parse_args()
    until = time.monotonic() + arguments.seconds
    rounds = 0
    for number in itertools.count(arguments.seed):
        for check in PROPERTIES:
            fuzz(check, arguments.examples, number)
        rounds += 1
        if time.monotonic() >= until:
            break
    total = rounds * arguments.examples * len(PROPERTIES)
    print(f"{total} examples from seed {arguments.seed} to {number}, all as they should be")


if __name__ == "__main__":
    main()
