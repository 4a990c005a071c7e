"""Fields of carried requests and of their results, well-formed and not."""

import json

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.carry_protocol import (
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
    decode_request,
    decode_result,
)
from tanagertrail.gateway.exchange import AttemptResult
from tanagertrail.gateway.model import RouteKind
from tanagertrail.outcomes import Step
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


def test_long_reason_of_a_failure_is_shortened():
    result = CarriedResult("r1", AttemptResult.BROKEN, reason="x" * 5000)
    decoded = decode_result(build_result_headers([], result))
    assert len(decoded.reason) == MAX_REASON_LENGTH


@given(st.binary(max_size=200) | junk.map(json.dumps).map(str.encode))
def test_malformed_field_is_refused_and_raises_nothing_else(value):
    for decode, name in ((decode_request, REQUEST_FIELD), (decode_result, RESULT_FIELD)):
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
