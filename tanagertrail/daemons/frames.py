"""Frame codec: a length prefix, then a msgpack array of Lamport stamp, message kind and fields."""

__all__ = [
    "MAX_FRAME_BYTES",
    "PROTOCOL_VERSION",
    "decode_frame",
    "encode_frame",
    "peer_messages",
    "read_frame",
]

import asyncio
import struct

import msgpack

from tanagertrail.daemons import peer_messages
from tanagertrail.daemons.messages import MESSAGES, Message
from tanagertrail.daemons.row_checks import drop_later_fields, find_checker
from tanagertrail.decoding import is_integer
from tanagertrail.errors import FrameError

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 2_000_000
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)
LENGTH_PREFIX = struct.Struct(">I")
KIND_BY_TYPE: dict[type, str] = {entry: name for name, entry in MESSAGES.entries.items()}


def encode_frame(message: Message, stamp: int) -> bytes:
    """Encode a message with the sender's Lamport stamp.

    :raises FrameError: if the frame would be too large, or a value cannot be encoded
    """
    try:
        body = msgpack.packb([stamp, KIND_BY_TYPE[type(message)], list(message)])
    except (ValueError, TypeError, OverflowError) as error:
        raise FrameError(f"a message cannot be encoded: {error!r}") from error
    if len(body) > MAX_FRAME_BYTES:
        raise FrameError(f"a frame must be at most {MAX_FRAME_BYTES} bytes, has {len(body)}")
    return LENGTH_PREFIX.pack(len(body)) + body


def decode_frame(body: bytes) -> tuple[int, Message]:
    """Decode the body of a frame into its Lamport stamp and message.

    :raises FrameError: if it is malformed or of an unknown kind
    """
    try:
        document = msgpack.unpackb(body, use_list=False, strict_map_key=True)
        stamp, kind, fields = document
        message_type = MESSAGES.get(kind)
        message = message_type._make(drop_later_fields(message_type, fields))
    except DECODE_ERRORS as error:
        raise FrameError(f"malformed frame: {type(error).__name__}") from error
    if not is_integer(stamp):
        raise FrameError("the stamp of a frame must be a number")
    check_fields(message)
    return stamp, message


def check_fields(message: Message) -> None:
    """Check that the fields of a message have their declared types.

    :raises FrameError: if a field has another type
    """
    for name, value in zip(message._fields, message, strict=True):
        if not find_checker(message.__annotations__[name])(value):
            raise FrameError(f"field {name} of {type(message).__name__} is malformed")


async def read_frame(reader: asyncio.StreamReader) -> tuple[int, Message]:
    """Read one frame and return its Lamport stamp and message.

    :raises FrameError: if it is malformed or too large
    :raises asyncio.IncompleteReadError: if the connection ends within or before the frame
    """
    header = await reader.readexactly(LENGTH_PREFIX.size)
    (length,) = LENGTH_PREFIX.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise FrameError(f"a frame must be at most {MAX_FRAME_BYTES} bytes, announces {length}")
    return decode_frame(await reader.readexactly(length))
