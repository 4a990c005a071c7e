"""Typed messages between daemons."""

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
    """The first message on a connection."""

    protocol: int
    daemon: str
    incarnation: int


@MESSAGES.register("heartbeat")
class Heartbeat(NamedTuple):
    """A sign of life with a digest of the shared objects known."""

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
    """Shared objects that are news to the sender."""

    rows: tuple[ObjectRow, ...]


@MESSAGES.register("digest_request")
class DigestRequest(NamedTuple):
    """Ask for the versions of all shared objects."""

    daemon: str


@MESSAGES.register("digest_answer")
class DigestAnswer(NamedTuple):
    """The versions of all shared objects known."""

    daemon: str
    revisions: RevisionTable


@MESSAGES.register("objects_request")
class ObjectsRequest(NamedTuple):
    """Ask for shared objects by key."""

    daemon: str
    keys: tuple[str, ...]


@MESSAGES.register("ping")
class Ping(NamedTuple):
    """Ask a neighbour to send what is missing here and to answer."""

    daemon: str
    number: int
    digest: int


@MESSAGES.register("pong")
class Pong(NamedTuple):
    """The answer to a ping, sent after what was missing."""

    daemon: str
    number: int


@MESSAGES.register("member_news")
class MemberNews(NamedTuple):
    """A change of a member's state."""

    daemon: str
    incarnation: int
    counter: int
    state: str


@MESSAGES.register("slot_reports")
class SlotReports(NamedTuple):
    """Reports of one holder to one keeper."""

    rows: tuple[tuple, ...]


@MESSAGES.register("allotments")
class Allotments(NamedTuple):
    """Allotments of one keeper to one holder."""

    rows: tuple[tuple, ...]


@MESSAGES.register("cold_notice")
class ColdNotice(NamedTuple):
    """An upstream has turned cold."""

    upstream: str
    cold_starts: int


@MESSAGES.register("crash_notice")
class CrashNotice(NamedTuple):
    """An upstream was lost while it ran some requests."""

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
    """Instances of upstreams are being reclaimed."""

    upstreams: tuple[str, ...]


class EvidenceRow(NamedTuple):
    """What one daemon saw of a new version since its last report."""

    service: str
    ticket: int
    stage: int
    samples: int
    bad: int


@MESSAGES.register("evidence_report")
class EvidenceReport(NamedTuple):
    """Evidence of one daemon to the holder of a rollout duty."""

    daemon: str
    rows: tuple[tuple, ...]


@MESSAGES.register("version_alarm")
class VersionAlarm(NamedTuple):
    """A daemon has found a version bad on one route."""

    service: str
    ticket: int
    version: str
    reason: str


@MESSAGES.register("job_query")
class JobQuery(NamedTuple):
    """Ask for a job."""

    daemon: str
    number: int
    job_id: str


@MESSAGES.register("job_answer")
class JobAnswer(NamedTuple):
    """What a daemon knows of a job, with an empty state for nothing."""

    number: int
    job_id: str
    state: str
    status: int
    text: str
    reason: str


@MESSAGES.register("flood")
class Flood(NamedTuple):
    """A message that every daemon shall get, passed on once by each.

    :ivar number: the origin's number of this flood
    """

    origin: str
    number: int
    kind: str
    fields: tuple
