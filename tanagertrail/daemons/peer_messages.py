"""Messages between gateway daemons: daemon states, store updates and fleet summaries."""

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
from tanagertrail.daemons.releases import RELEASE
from tanagertrail.decoding import Unreadable, load_leniently
from tanagertrail.errors import FrameError

ZLIB_LEVEL = 1  # shrinks packed states to a third; higher levels cost more time than they save
MAX_UNPACKED_BYTES = 4_000_000
ROW_LEVELS = 2  # an array of rows and a row, whose values are told apart
UNPACK_ERRORS = (
    zlib.error,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    msgpack.UnpackException,
)
CountRows = tuple[tuple[str, int], ...]
QuotaRows = tuple[tuple[str, float, float], ...]
UsageRows = tuple[tuple[int, CountRows], ...]
TrialRows = tuple[tuple[str, int, tuple[int, int, int, int]], ...]
LostRows = tuple[tuple[str, tuple[str, ...], int, int], ...]
LossRows = tuple[tuple[int, str, str, str, str, LostRows, int], ...]
FingerprintLossRows = tuple[tuple[int, str, str, str, tuple[str, ...], int], ...]
LimitRows = tuple[tuple[str, float, float, float, float], ...]
LeavingRows = tuple[tuple[str, float, float], ...]
PaceRows = tuple[tuple[str, int, int, int, int], ...]


def pack_rows(rows: Iterable[tuple]) -> bytes:
    """Return rows as compressed msgpack, or no bytes if there are none."""
    row_list = [tuple(row) for row in rows]
    return zlib.compress(msgpack.packb(row_list), ZLIB_LEVEL) if row_list else b""


def unpack_rows(data: bytes) -> tuple:
    """Decode rows packed by :func:`pack_rows`.

    :raises FrameError: if they are malformed or too long
    """
    if not data:
        return ()
    try:
        rows = msgpack.unpackb(decompress(data), use_list=False)
    except UNPACK_ERRORS as error:
        raise FrameError(f"malformed rows: {type(error).__name__}") from error
    if not isinstance(rows, tuple):
        raise FrameError("rows must be an array")
    return rows


def decompress(data: bytes) -> bytes:
    """Decompress zlib data up to :data:`MAX_UNPACKED_BYTES`.

    :raises zlib.error: if they are malformed
    :raises FrameError: if they are too long
    """
    decoder = zlib.decompressobj()
    plain = decoder.decompress(data, MAX_UNPACKED_BYTES)
    if decoder.unconsumed_tail:
        raise FrameError(f"rows must be at most {MAX_UNPACKED_BYTES} bytes")
    return plain


def pack_json(document: Any) -> bytes:
    """Encode a document as compressed JSON."""
    return zlib.compress(json.dumps(document, separators=(",", ":")).encode(), ZLIB_LEVEL)


def unpack_json(data: bytes) -> Any:
    """Decode rows packed by :func:`pack_json`; odd values in them become ``Unreadable``.

    :raises FrameError: if they are malformed as a whole or too long
    """
    try:
        document = load_leniently(decompress(data), ROW_LEVELS)
    except zlib.error as error:
        raise FrameError(f"malformed document: {type(error).__name__}") from error
    if isinstance(document, Unreadable):
        raise FrameError(f"malformed document: {document.reason}")
    return document


class LivenessRecord(NamedTuple):
    """Proof that a daemon was alive, for receivers that need no more of its state.

    :ivar serving: whether the daemon accepts callers' requests
    :ivar lease_fencing: fencing number of the lease that it holds and renews, 0 for none
    :ivar age_ms: age of the state that this record was taken from, when it was sent
    :ivar reaches_upstreams: whether the daemon reaches the upstreams, as far as it knows
    :ivar release: release in whose form the daemon told its state
    """

    daemon: str
    incarnation: int
    serving: bool
    lease_fencing: int
    age_ms: int
    reaches_upstreams: bool = True
    release: int = RELEASE


class DaemonState(NamedTuple):
    """The state of one daemon, as reported by that daemon.

    :ivar incarnation: start time of the process as Unix time in milliseconds; raised if a peer
        knows a higher one
    :ivar counter: sequence number of this state within the incarnation
    :ivar address: address for traffic between daemons
    :ivar front: address for callers
    :ivar strength: capacity of the instance for the work of a hub
    :ivar serving: whether the daemon accepts callers' requests
    :ivar lease_fencing: fencing number of the lease that it holds and renews, 0 for none
    :ivar lease_renewal: number of the last lease renewal and milliseconds since it was sent,
        empty if the daemon does not hold the lease
    :ivar store_reachable: whether the store answers the daemon's watches
    :ivar in_flight: (upstream, requests of this daemon in flight there) pairs
    :ivar quota: (customer, units used since the start, current units per second) triples
    :ivar usage: (window, ((customer, requests begun), ...)) pairs
    :ivar trials: (service, rollout order, counts of new, bad new, old and bad old answers) triples
    :ivar prompt_tokens: (service, prompt tokens sent to it since the start) pairs
    :ivar age_ms: milliseconds since the daemon reported this state
    :ivar upstream_losses: upstreams recently found to have ended, with the requests that were
        unanswered there
    :ivar limits: (upstream, start, requests per second or -1 for no limit, seconds since the
        request was sent, seconds since the answer was heard) rows of what upstreams say they accept
    :ivar cleared_parts: (part of prompts, milliseconds since a request with it completed here)
        pairs of parts that were suspected to crash upstreams
    :ivar suspected_parts: (part of prompts, milliseconds since a request with it was lost) pairs,
        from a hub to daemons that do not hear of all losses
    :ivar completed: (service, requests that completed since the start) pairs
    :ivar reaches_upstreams: whether the daemon reaches the upstreams, as far as it knows
    :ivar carrier: address for requests that it carries for other daemons, empty if it carries none
    :ivar leaving: (upstream, start, seconds since it was first heard) rows of upstreams that state
        that they leave
    :ivar brittle: rows like those of ``limits``, of the rejections in a second that upstreams say
        they survive
    :ivar release: release in whose form the state was told; fields that this form lacks have their
        defaults
    :ivar paces: (upstream, mark of its start, read rate in 100 tokens per second, weight in eighths
        of a sample, tenths of a second since the newest sample) rows of what was learned of
        upstreams
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
    lease_renewal: tuple[int, ...] = ()
    store_reachable: bool = False
    in_flight: CountRows = ()
    quota: QuotaRows = ()
    usage: UsageRows = ()
    trials: TrialRows = ()
    prompt_tokens: tuple[tuple[str, float], ...] = ()
    age_ms: int = 0
    upstream_losses: LossRows = ()
    limits: LimitRows = ()
    cleared_parts: CountRows = ()
    suspected_parts: CountRows = ()
    completed: CountRows = ()
    reaches_upstreams: bool = True
    carrier: str = ""
    leaving: LeavingRows = ()
    brittle: LimitRows = ()
    release: int = RELEASE
    paces: PaceRows = ()


class MirrorUpdate(NamedTuple):
    """The objects of one kind that the receiver's mirror lacks.

    :ivar base_revision: revision that the changes apply to, 0 if ``objects`` is a full listing
    :ivar revision: revision that the update leads to
    :ivar sync_age_ms: milliseconds since the sender's mirror was known to be current, -1 if never
    :ivar objects: compressed JSON of the objects, each followed by its
        :class:`~tanagertrail.gateway.mirror.ObjectStatus`; empty for no change
    """

    kind: str
    base_revision: int
    revision: int
    sync_age_ms: int
    objects: bytes


class FleetSummary(NamedTuple):
    """Totals over all other daemons, for a receiver that gets the states of only a few of them.

    :ivar daemon_count: number of daemons in the totals
    :ivar in_flight: (upstream, requests in flight there) pairs
    :ivar quota: (customer, units used since the sender's start, current units per second) triples
    """

    daemon_count: int
    in_flight: CountRows
    quota: QuotaRows


@MESSAGES.register("peer_question")
class PeerRequest(NamedTuple):
    """A daemon's state and the store revisions that it knows.

    :ivar state: packed :class:`DaemonState`
    :ivar from_hub: whether the sender is a hub
    :ivar to_primary_hub: whether the receiver is the sender's first hub, which relays the state
        and responds with a fleet summary
    :ivar revisions: (kind, revision known to the sender) pairs
    """

    state: bytes
    from_hub: bool
    to_primary_hub: bool
    revisions: CountRows


@MESSAGES.register("peer_answer")
class PeerResponse(NamedTuple):
    """The response to a :class:`PeerRequest`.

    :ivar state: packed :class:`DaemonState`
    :ivar from_hub: whether the sender is a hub
    :ivar revisions: (kind, revision known to the sender) pairs
    :ivar relayed: packed states of other daemons if the receiver is a hub
    :ivar liveness: packed :class:`LivenessRecord` rows if the receiver is not a hub
    :ivar updates: :class:`MirrorUpdate` rows for the kinds that the sender has listed
    :ivar fleet_summary: packed :class:`FleetSummary` that leaves out the receiver, empty for none
    :ivar newer_incarnation: incarnation of the receiver known to the sender if it is newer than
        the one in the request, else 0
    """

    state: bytes
    from_hub: bool
    revisions: CountRows
    relayed: bytes
    liveness: bytes
    updates: tuple
    fleet_summary: bytes
    newer_incarnation: int


@MESSAGES.register("peer_news")
class PeerUpdate(NamedTuple):
    """Store updates that the receiver is assumed to lack, pushed without the sender's state."""

    daemon: str
    revisions: CountRows
    updates: tuple


@MESSAGES.register("peer_receipt")
class PeerAck(NamedTuple):
    """The store revisions that the receiver of a :class:`PeerUpdate` has afterwards."""

    revisions: CountRows
