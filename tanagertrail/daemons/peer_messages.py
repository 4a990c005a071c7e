"""What gateway daemons tell each other: their own state, news of the store, sums of others."""

__all__ = [
    "DaemonState",
    "FleetSummary",
    "LivenessRecord",
    "MirrorUpdate",
    "PeerAck",
    "PeerRequest",
    "PeerResponse",
    "PeerUpdate",
    "pack_json",
    "pack_rows",
    "unpack_json",
    "unpack_rows",
]

import json
import zlib
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgpack

from tanagertrail.daemons.messages import MESSAGES
from tanagertrail.errors import FrameError

ZLIB_LEVEL = 1  # rows of states shrink to a third; higher levels cost more time than they save
MAX_UNPACKED_BYTES = 4_000_000


def pack_rows(rows: Iterable[tuple]) -> bytes:
    """Pack rows of states, no bytes for none."""
    row_list = [tuple(row) for row in rows]
    return zlib.compress(msgpack.packb(row_list), ZLIB_LEVEL) if row_list else b""


def unpack_rows(data: bytes) -> tuple:
    """Unpack rows.

    :raises FrameError: if they are malformed or too long
    """
    if not data:
        return ()
    try:
        return msgpack.unpackb(decompress(data), use_list=False)
    except (zlib.error, ValueError, msgpack.UnpackException) as error:
        raise FrameError(f"malformed rows: {type(error).__name__}") from error


def decompress(data: bytes) -> bytes:
    """Decompress bytes.

    :raises zlib.error: if they are malformed
    :raises FrameError: if they are too long
    """
    decoder = zlib.decompressobj()
    plain = decoder.decompress(data, MAX_UNPACKED_BYTES)
    if decoder.unconsumed_tail:
        raise FrameError(f"rows must be at most {MAX_UNPACKED_BYTES} bytes")
    return plain


def pack_json(document: Any) -> bytes:
    """Return a document as compressed JSON."""
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode(), ZLIB_LEVEL)


def unpack_json(data: bytes) -> Any:
    """Read a document from compressed JSON.

    :raises FrameError: if it is malformed or too long
    """
    try:
        return json.loads(decompress(data))
    except (zlib.error, ValueError) as error:
        raise FrameError(f"malformed document: {type(error).__name__}") from error


class LivenessRecord(NamedTuple):
    """That a daemon lived, for receivers that need no more of its state."""

    daemon: str
    incarnation: int
    serving: bool
    lease_fencing: int
    age_ms: int


class DaemonState(NamedTuple):
    """The state of one daemon as it said itself.

    :ivar incarnation: Unix time in milliseconds of its start
    :ivar counter: number of this state in its incarnation
    :ivar address: its address for traffic between daemons
    :ivar front: its address for callers
    :ivar strength: how well its instance bears the work of a hub
    :ivar serving: whether it takes callers' requests
    :ivar lease_fencing: fencing number of the lease that it holds and renews, 0 for none
    :ivar lease_renewal: number of the last renewal and milliseconds since it was sent, if it leads
    :ivar store_reachable: whether the store answers its watches
    :ivar in_flight: (upstream, requests of this daemon that are there)
    :ivar quota: (customer, units used since the start, units per second now)
    :ivar usage: (window, ((customer, requests begun), ...))
    :ivar trials: (service, order, counts of new, bad new, old, bad old answers)
    :ivar prompt_tokens: (service, tokens of prompts that were sent to it since the start)
    :ivar age_ms: time since it was said
    :ivar upstream_losses: upstreams that it lately found to have ended, with the requests
        unanswered there
    """

    daemon: str
    incarnation: int
    counter: int
    address: str
    front: str
    failure_domain: str
    strength: int
    serving: bool = False
    lease_fencing: int = 0
    lease_renewal: tuple = ()
    store_reachable: bool = False
    in_flight: tuple = ()
    quota: tuple = ()
    usage: tuple = ()
    trials: tuple = ()
    prompt_tokens: tuple = ()
    age_ms: int = 0
    upstream_losses: tuple = ()


class MirrorUpdate(NamedTuple):
    """Objects of one kind of the store, as far as the receiver lacks them.

    :ivar base_revision: revision that the changes follow, 0 where all objects are given
    :ivar revision: revision up to which the objects are known
    :ivar sync_age_ms: time since the store was asked for them, -1 for never
    :ivar objects: compressed JSON of the objects, each with how it left, empty for no change
    """

    kind: str
    base_revision: int
    revision: int
    sync_age_ms: int
    objects: bytes


class FleetSummary(NamedTuple):
    """What all other daemons do together, for a receiver that hears few of them.

    :ivar daemon_count: daemons that are counted
    :ivar in_flight: (upstream, requests)
    :ivar quota: (customer, units used since the sender's start, units per second now)
    """

    daemon_count: int
    in_flight: tuple
    quota: tuple


@MESSAGES.register("peer_question")
class PeerRequest(NamedTuple):
    """A daemon's state and what it knows of the store.

    :ivar state: packed :class:`DaemonState`
    :ivar from_hub: whether the sender gathers the states of others
    :ivar to_primary_hub: whether the receiver is to pass the state on and to answer with sums
    :ivar revisions: (kind, revision that it knows)
    """

    state: bytes
    from_hub: bool
    to_primary_hub: bool
    revisions: tuple


@MESSAGES.register("peer_answer")
class PeerResponse(NamedTuple):
    """The answer to a question.

    :ivar state: packed :class:`DaemonState`
    :ivar revisions: (kind, revision that the sender knows)
    :ivar relayed: packed states of other daemons if the receiver is a hub
    :ivar liveness: packed life signs if the receiver is no hub
    :ivar fleet_summary: packed :class:`FleetSummary` without the receiver, empty for none
    :ivar newer_incarnation: incarnation of the receiver that the sender takes as newer, 0 for none
    """

    state: bytes
    from_hub: bool
    revisions: tuple
    relayed: bytes
    liveness: bytes
    updates: tuple
    fleet_summary: bytes
    newer_incarnation: int


@MESSAGES.register("peer_news")
class PeerUpdate(NamedTuple):
    """News of the store that the receiver is taken to lack, without the sender's state."""

    daemon: str
    revisions: tuple
    updates: tuple


@MESSAGES.register("peer_receipt")
class PeerAck(NamedTuple):
    """The revisions that the receiver of news knows now."""

    revisions: tuple
