"""Tests of the codec for frames between daemons."""

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.daemons.frames import LENGTH_PREFIX, decode_frame, encode_frame
from tanagertrail.daemons.messages import Heartbeat, ObjectRow, Objects
from tanagertrail.errors import FrameError
from tests.utils import raises


@given(st.integers(0, 2**40), st.integers(0, 2**63 - 1), st.text(max_size=20))
def test_round_trip(stamp, digest, daemon):
    message = Heartbeat(daemon, 1, 2, digest, 3)
    frame = encode_frame(message, stamp)
    assert decode_frame(frame[LENGTH_PREFIX.size :]) == (stamp, message)


def test_nested_rows_round_trip():
    message = Objects((ObjectRow("k", b"v", 1, 2, False),))
    _, decoded = decode_frame(encode_frame(message, 1)[LENGTH_PREFIX.size :])
    assert ObjectRow._make(decoded.rows[0]) == message.rows[0]


@given(st.binary(max_size=300))
def test_arbitrary_bytes_decode_or_raise_frame_error(body):
    try:
        decode_frame(body)
    except FrameError:
        return


def test_wrong_field_type_is_rejected():
    frame = encode_frame(Heartbeat("a", 1, 2, 3, 4)._replace(counter="x"), 1)
    with raises(FrameError):
        decode_frame(frame[LENGTH_PREFIX.size :])
