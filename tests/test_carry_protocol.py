"""Fields of carried requests and of their results, well-formed and not."""

import json

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.carry_protocol import (
    BEGUN_ADAPTER,
    BEGUN_FIELD,
    MAX_EARLIER_ATTEMPTS,
    MAX_FIELD_BYTES,
    MAX_REASON_LENGTH,
    REQUEST_ADAPTER,
    REQUEST_FIELD,
    RESULT_FIELD,
    CarriedRequest,
    CarriedResult,
    CarryOutcome,
    EarlierAttempt,
    build_result_headers,
    decode_begun,
    decode_request,
    decode_result,
    strip_carry_fields,
)
from tanagertrail.gateway.exchange import AttemptResult
from tanagertrail.gateway.model import RouteKind
from tanagertrail.gateway.upstream_stream import Representation, ResponseHead
from tanagertrail.outcomes import Step
from tanagertrail.platform.header_fields import build_carried_headers
from tests.utils import raises

texts = st.text(max_size=60)
seconds = st.floats(0, 1000)
attempts = st.builds(EarlierAttempt, texts, st.sampled_from(AttemptResult))
requests = st.builds(
    CarriedRequest,
    version=st.just(1),
    origin=texts,
    service=texts,
    customer=st.none() | texts,
    priority=st.integers(0, 9),
    route=texts,
    kind=st.sampled_from(RouteKind),
    timeout=seconds,
    latency_objective=seconds,
    attempts=st.integers(1, 9),
    sticky=st.booleans(),
    resumable=st.booleans(),
    event_gap_objective=seconds,
    continues=st.booleans(),
    earlier=st.lists(attempts, max_size=MAX_EARLIER_ATTEMPTS).map(tuple),
)
results = st.builds(
    CarriedResult,
    texts,
    st.sampled_from([*AttemptResult, *CarryOutcome]),
    st.sampled_from(Step),
    texts,
    texts,
    st.none() | seconds,
)
junk = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | texts, st.lists, max_leaves=20
)


@given(requests)
def test_carried_request_is_decoded_as_it_was_encoded(carried):
    value = REQUEST_ADAPTER.dump_json(carried, ensure_ascii=True)
    assert b"\n" not in value
    assert b"\r" not in value
    if len(value) <= MAX_FIELD_BYTES:
        assert decode_request([(REQUEST_FIELD, value)]) == carried


@given(results)
def test_result_is_decoded_as_it_was_encoded(result):
    ((name, value),) = build_result_headers([(RESULT_FIELD, b"forged")], result)
    assert name == RESULT_FIELD
    assert decode_result([(name, value)]) == result


@given(st.integers(100, 599), st.binary(max_size=60), st.binary(max_size=60))
def test_representation_of_a_begun_stream_is_decoded_as_it_was_encoded(status, kind, encoding):
    headers = [(b"content-type", kind), (b"content-encoding", encoding)]
    begun = ResponseHead(status, headers).representation
    value = BEGUN_ADAPTER.dump_json(begun, ensure_ascii=True)
    assert decode_begun([(BEGUN_FIELD, value)]) == begun


def test_stream_that_has_not_begun_has_no_representation():
    assert decode_begun([(REQUEST_FIELD, b"[]")]) is None


def test_carrier_of_an_earlier_release_passes_a_field_of_the_hop_to_an_upstream():
    value = BEGUN_ADAPTER.dump_json(Representation(200, "text/event-stream", ""))
    received = [(b"host", b"desk.example"), (BEGUN_FIELD, value), (b"connection", BEGUN_FIELD)]
    limits = {"seconds_left": 1.0, "last_event_id": "3", "body_length": None}
    passed = dict(build_carried_headers(received, **limits))
    assert passed.keys() == {b"host", b"tanagertrail-deadline-ms", b"last-event-id"}
    assert strip_carry_fields(received[1:2]) == []


def test_long_reason_of_a_failure_is_shortened():
    result = CarriedResult("r1", AttemptResult.BROKEN, reason="x" * 5000)
    decoded = decode_result(build_result_headers([], result))
    assert len(decoded.reason) == MAX_REASON_LENGTH


@given(st.binary(max_size=200) | junk.map(json.dumps).map(str.encode))
def test_malformed_field_is_refused_and_raises_nothing_else(value):
    fields = (REQUEST_FIELD, decode_request), (RESULT_FIELD, decode_result)
    for name, decode in (*fields, (BEGUN_FIELD, decode_begun)):
        try:
            decode([(name, value)])
        except InvalidInputError:
            continue


def test_missing_doubled_deep_and_long_fields_are_refused():
    good = b'["r1","delivered"]'
    for headers in (
        [],
        [(RESULT_FIELD, good), (RESULT_FIELD, good)],
        [(RESULT_FIELD, b"[" * 5000)],
        [(RESULT_FIELD, good + b" " * MAX_FIELD_BYTES)],
        [(RESULT_FIELD, b'["r1","unheard of"]')],
        [(RESULT_FIELD, b'["r1","declined","dispatch","","",1e999]')],
    ):
        with raises(InvalidInputError):
            decode_result(headers)
