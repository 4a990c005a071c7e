"""Types of the messages that daemons exchange.

Messages are sent as arrays, so the order of their fields is part of the wire format.
"""

__all__ = [
    "MESSAGES",
    "Allotments",
    "ColdNotice",
    "CrashNotice",
    "DigestAnswer",
    "DigestRequest",
    "EvidenceReport",
    "EvidenceRow",
    "Flood",
    "Heartbeat",
    "Hello",
    "JobAnswer",
    "JobQuery",
    "MemberNews",
    "Message",
    "ObjectRow",
    "Objects",
    "ObjectsRequest",
    "Ping",
    "Pong",
    "QuarantineNotice",
    "ReclaimNotice",
    "SlotReports",
    "VersionAlarm",
]

from typing import NamedTuple

from tanagertrail.registry import Registry

Message = tuple
MESSAGES: Registry[type] = Registry("message")

RevisionTable = tuple[tuple[str, int], ...]


@MESSAGES.register("hello")
class Hello(NamedTuple):
    """The first message on a connection; names the sender and its protocol version."""

    protocol: int
    daemon: str
    incarnation: int


@MESSAGES.register("heartbeat")
class Heartbeat(NamedTuple):
    """A periodic liveness message with a digest of the shared objects that the sender holds.

    :ivar counter: number of the sender's last heartbeat or state change
    :ivar digest: combined hash of all keys and revisions
    :ivar ticket: number of the last ticket that the sender applied
    """

    daemon: str
    incarnation: int
    counter: int
    digest: int
    ticket: int


@MESSAGES.register("object_row")
class ObjectRow(NamedTuple):
    """One shared object as read from the object API."""

    key: str
    value: bytes
    version: int
    revision: int
    deleted: bool


@MESSAGES.register("objects")
class Objects(NamedTuple):
    """Shared objects that changed or that the receiver lacks."""

    rows: tuple[ObjectRow, ...]


@MESSAGES.register("digest_request")
class DigestRequest(NamedTuple):
    """Request for the revisions of all shared objects."""

    daemon: str


@MESSAGES.register("digest_answer")
class DigestAnswer(NamedTuple):
    """The key and revision of each shared object that the sender holds."""

    daemon: str
    revisions: RevisionTable


@MESSAGES.register("objects_request")
class ObjectsRequest(NamedTuple):
    """Request for shared objects by key."""

    daemon: str
    keys: tuple[str, ...]


@MESSAGES.register("ping")
class Ping(NamedTuple):
    """Request to a neighbour: send all shared objects if the digests differ, then a pong.

    :ivar number: number by which the pong is matched to its ping
    :ivar digest: combined hash of all keys and revisions that the sender holds
    """

    daemon: str
    number: int
    digest: int


@MESSAGES.register("pong")
class Pong(NamedTuple):
    """The reply to a ping, sent after the shared objects if the digests differed."""

    daemon: str
    number: int


@MESSAGES.register("member_news")
class MemberNews(NamedTuple):
    """A change of the membership state of one daemon."""

    daemon: str
    incarnation: int
    counter: int
    state: str


@MESSAGES.register("slot_reports")
class SlotReports(NamedTuple):
    """Slot usage and demand that a slot holder reports to the owner of the slot ledgers."""

    rows: tuple[tuple, ...]


@MESSAGES.register("allotments")
class Allotments(NamedTuple):
    """Slots that the owner of the slot ledgers grants to one slot holder."""

    rows: tuple[tuple, ...]


@MESSAGES.register("cold_notice")
class ColdNotice(NamedTuple):
    """An upstream has entered a cold start.

    :ivar cold_starts: number of cold starts of the upstream so far
    """

    upstream: str
    cold_starts: int


@MESSAGES.register("crash_notice")
class CrashNotice(NamedTuple):
    """An upstream was lost while requests were in flight at it.

    :ivar fingerprints: fingerprints of those requests
    """

    upstream: str
    version: str
    failure_domain: str
    fingerprints: tuple[str, ...]


@MESSAGES.register("quarantine_notice")
class QuarantineNotice(NamedTuple):
    """A request was found to crash upstreams."""

    fingerprint: str


@MESSAGES.register("reclaim_notice")
class ReclaimNotice(NamedTuple):
    """The platform is reclaiming the instances of some upstreams."""

    upstreams: tuple[str, ...]


class EvidenceRow(NamedTuple):
    """Request results of a new version that one daemon counted in a rollout stage.

    :ivar bad: samples that count against the version
    """

    service: str
    ticket: int
    stage: int
    samples: int
    bad: int


@MESSAGES.register("evidence_report")
class EvidenceReport(NamedTuple):
    """Evidence rows that a daemon sends to the daemon that holds the rollout duty."""

    daemon: str
    rows: tuple[tuple, ...]


@MESSAGES.register("version_alarm")
class VersionAlarm(NamedTuple):
    """A daemon has found that a new version performs worse on one route."""

    service: str
    ticket: int
    version: str
    reason: str


@MESSAGES.register("job_query")
class JobQuery(NamedTuple):
    """Request for the state of a job."""

    daemon: str
    number: int
    job_id: str


@MESSAGES.register("job_answer")
class JobAnswer(NamedTuple):
    """The state of a job as a daemon knows it; ``state`` is empty if it knows none."""

    number: int
    job_id: str
    state: str
    status: int
    text: str
    reason: str


@MESSAGES.register("flood")
class Flood(NamedTuple):
    """A message for all daemons, which each of them forwards once.

    :ivar number: sequence number assigned by the origin, by which duplicates are dropped
    :ivar kind: registered name of the message that is carried
    :ivar fields: fields of that message
    """

    origin: str
    number: int
    kind: str
    fields: tuple
