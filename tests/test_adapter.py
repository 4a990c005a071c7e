"""Decoding of the platform's settings, stored documents and header fields."""

import copy

from tanagertrail.errors import InvalidInputError, SettingsError
from tanagertrail.gateway.model import RouteKind
from tanagertrail.platform.header_fields import (
    MAX_SHARED_PARTS,
    build_response_headers,
    build_upstream_headers,
    decode_caller_fields,
    decode_upstream_fields,
)
from tanagertrail.platform.records import decode_configuration, decode_upstream
from tanagertrail.platform.settings import decode_settings
from tanagertrail.platform.store import StoredObject
from tests.gateway_utils import build_config, build_route
from tests.utils import raises

SETTINGS = {
    "node_name": "entry-1",
    "ip": "10.1.0.1",
    "zone": "north",
    "internal_ports": [7600, 7615],
    "listen": {"front": "10.1.0.1:80", "ready": "10.1.0.1:81"},
    "platform": {"address": "10.9.0.1:90"},
    "bounds": {"grace_s": 8, "revoke_ms": 5000},
    "something_new": {"x": 1},
}
REGISTRATION = {
    "service": "desk",
    "address": "10.2.0.1:80",
    "zone": "north",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "sequence": 3,
}


def copy_with(document, **changes):
    """Return a deep copy of a document with some fields replaced."""
    return copy.deepcopy(document) | changes


def test_settings_are_decoded_and_unknown_fields_ignored():
    settings = decode_settings(SETTINGS)
    assert settings.name == "entry-1"
    assert settings.bounds.grace == 8
    assert settings.bounds.revoke == 5


def test_every_wrong_settings_field_is_reported():
    malformed = copy_with(SETTINGS, ip=7, internal_ports=[1], listen={"front": "nowhere"})
    with raises(SettingsError) as caught:
        decode_settings(malformed)
    fields = {violation.field for violation in caught[0].violations}
    assert fields == {"ip", "internal_ports", "listen.front", "listen.ready"}


def test_longest_prefix_selects_the_route():
    routes = [build_route("a", "safe", prefix="/a/"), build_route("ab", "unsafe", prefix="/a/b/")]
    config = decode_configuration(build_config(routes=routes))
    assert config.find_route("desk.example", "/a/b/c").kind is RouteKind.UNSAFE
    assert config.find_route("desk.example", "/a/c").kind is RouteKind.SAFE
    assert config.find_route("desk.example", "/b/") is None
    assert config.find_route("other.example", "/a/b/") is None


def test_route_with_weighted_backends():
    backends = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    routes = [build_route("a", "safe", backends=backends, service="")]
    route = decode_configuration(build_config(routes=routes)).routes["desk.example"][0]
    assert [(target.service, target.weight) for target in route.targets] == [("x", 90), ("y", 10)]


def test_only_safe_requests_and_resumable_streams_are_idempotent():
    routes = decode_configuration(build_config()).routes["desk.example"]
    idempotent = {route.name for route in routes if route.idempotent}
    assert idempotent == {"look", "talk"}


def test_error_of_wrong_configuration_names_the_field():
    with raises(InvalidInputError) as caught:
        decode_configuration({"version": "x", "routes": 5})
    assert "version" in str(caught[0])


def test_registration_is_decoded_and_malformed_ones_are_refused():
    upstream = decode_upstream(StoredObject("u", 1, 1, REGISTRATION, None))
    assert (upstream.id, upstream.slots, upstream.draining) == ("u", 8, False)
    for malformed in (
        "text",
        None,
        copy_with(REGISTRATION, capacity="8"),
        copy_with(REGISTRATION, state="resting"),
        copy_with(REGISTRATION, address="host.example"),
        {key: value for key, value in REGISTRATION.items() if key != "service"},
    ):
        with raises(InvalidInputError):
            decode_upstream(StoredObject("u", 1, 1, malformed, None))


def test_caller_fields_and_malformed_values():
    fields = decode_caller_fields(
        [
            (b"tanagertrail-request-id", b"r1"),
            (b"tanagertrail-deadline-ms", b"1500"),
            (b"tanagertrail-token-count", b"100,20"),
            (b"tanagertrail-prompt-prefix", b"aa:60,bb:40,broken"),
            (b"api-key", b"k"),
        ]
    )
    assert fields.timeout == 1.5
    assert fields.prompt.input_tokens == 100
    assert [part.id for part in fields.prompt.parts] == ["aa", "bb"]
    assert fields.shared_parts == ("aa", "bb")
    malformed = decode_caller_fields([(b"tanagertrail-deadline-ms", b"-5")])
    assert malformed.timeout is None
    assert malformed.prompt is None


def test_parts_of_prompts_are_told_apart_from_the_last_whatever_their_form():
    """A caller must not hide a part behind its spelling, its token count or a second field."""
    field = b"tanagertrail-prompt-prefix"
    for values, expected in (
        ([b"aa:60,bb:40,cc:9"], ("aa", "bb")),
        ([b" AA:1 ,, Bb ,cc:x:y,dd:2"], ("aa", "bb", "cc")),
        ([b"aa:60", b"bb:40,cc:9"], ("aa", "bb")),
        ([b"aa:1,aa:2,bb:3"], ("aa",)),
        ([b"aa:60"], ()),
        ([b",:5,,"], ()),
        ([], ()),
    ):
        fields = decode_caller_fields([(field, value) for value in values])
        assert fields.shared_parts == expected, values
    many = b",".join(b"%x:1" % number for number in range(5000))
    fields = decode_caller_fields([(field, many), (b"tanagertrail-model", b"m")])
    assert len(fields.shared_parts) == MAX_SHARED_PARTS
    assert fields.model == "m"


def test_upstream_headers_drop_hop_by_hop_fields_and_name_the_upstream():
    headers = [
        (b"host", b"desk.example"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"x-end", b"2"),
        (b"api-key", b"k"),
        (b"transfer-encoding", b"chunked"),
    ]
    built = dict(
        build_upstream_headers(
            headers,
            upstream="u1",
            customer="guild",
            seconds_left=1.25,
            priority=2,
            last_event_id=None,
            body_length=4,
        )
    )
    assert built[b"tanagertrail-expect-instance"] == b"u1"
    assert built[b"tanagertrail-deadline-ms"] == b"1250"
    assert built[b"tanagertrail-tenant"] == b"guild"
    assert built[b"content-length"] == b"4"
    assert b"x-end" in built
    assert not {b"x-hop", b"api-key", b"transfer-encoding", b"connection"} & set(built)


def test_upstream_response_fields():
    fields = decode_upstream_fields(
        [
            (b"tanagertrail-server-load", b"3,1,8"),
            (b"keep-alive", b"timeout=5, max=100"),
            (b"connection", b"close"),
            (b"tanagertrail-not-run", b"1"),
            (b"tanagertrail-cold-ms", b"1500"),
        ]
    )
    assert (fields.load.running, fields.load.waiting, fields.load.slots) == (3, 1, 8)
    assert fields.keep_for == 5
    assert fields.closes_connection
    assert fields.not_run
    assert not fields.signed
    assert fields.cold_for == 1.5


def test_response_headers_keep_the_signature():
    built = dict(
        build_response_headers(
            [(b"tanagertrail-server-stamp", b"s"), (b"content-length", b"3"), (b"x", b"y")]
        )
    )
    assert built == {b"tanagertrail-server-stamp": b"s", b"x": b"y"}
