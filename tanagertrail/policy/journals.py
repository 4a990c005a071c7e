"""Journals of durable jobs: records and segments, their encoding, and replay."""

__all__ = [
    "JobRecord",
    "JobState",
    "JournalEntry",
    "Segment",
    "decode_segment",
    "encode_segment",
    "replay_segments",
]

import enum
from collections.abc import Iterable
from typing import NamedTuple

import msgpack


class JobState(enum.StrEnum):
    """State of a job."""

    ACCEPTED = "accepted"
    PROGRESS = "progress"
    DONE = "done"
    FAILED = "failed"


class JobRecord(NamedTuple):
    """A durable job.

    :ivar seconds_left: seconds until its deadline when the record was written
    :ivar delivered: number of tokens saved so far
    :ivar text: text of these tokens, or the body of the answer
    """

    job_id: str
    customer: str
    service: str
    path: str
    body: bytes
    priority: int
    seconds_left: float
    idempotency_key: str = ""
    state: JobState = JobState.ACCEPTED
    delivered: int = 0
    text: str = ""
    status: int = 0
    reason: str = ""


class JournalEntry(NamedTuple):
    """A change of one job: its complete new record, or only the progress since the last entry.

    :ivar record: complete new record, None if only the other fields change
    :ivar text: text to append to that of the record
    """

    job_id: str
    state: JobState
    record: JobRecord | None = None
    seconds_left: float = 0.0
    delivered: int = 0
    text: str = ""
    status: int = 0
    reason: str = ""


class Segment(NamedTuple):
    """Entries that were written together.

    :ivar sealed_by: daemon that takes over the journal, empty unless this segment closes it
    """

    nonce: str
    entries: tuple[JournalEntry, ...]
    sealed_by: str = ""


def encode_segment(segment: Segment) -> bytes:
    """Encode a segment."""
    rows = [
        [
            entry.job_id,
            str(entry.state),
            encode_record(entry.record) if entry.record else None,
            *entry[3:],
        ]
        for entry in segment.entries
    ]
    return msgpack.packb([segment.nonce, rows, segment.sealed_by])


def encode_record(record: JobRecord) -> list:
    """Encode a job's record."""
    return [*record[:8], str(record.state), *record[9:]]


def decode_record(fields: list) -> JobRecord:
    """Decode a job's record."""
    return JobRecord(*fields[:8], JobState(fields[8]), *fields[9:])


def decode_segment(value: bytes) -> Segment:
    """Decode a segment."""
    nonce, rows, sealed_by = msgpack.unpackb(value)
    entries = tuple(
        JournalEntry(row[0], JobState(row[1]), decode_record(row[2]) if row[2] else None, *row[3:])
        for row in rows
    )
    return Segment(nonce, entries, sealed_by)


def replay_segments(segments: Iterable[Segment]) -> dict[str, JobRecord]:
    """Return the record of each job after applying all segments in order."""
    jobs: dict[str, JobRecord] = {}
    for segment in segments:
        for entry in segment.entries:
            if entry.record is not None:
                jobs[entry.job_id] = entry.record
            elif entry.job_id in jobs:
                jobs[entry.job_id] = apply_entry(jobs[entry.job_id], entry)
    return jobs


def apply_entry(record: JobRecord, entry: JournalEntry) -> JobRecord:
    """Return a job's record after a change."""
    return record._replace(
        state=entry.state,
        seconds_left=entry.seconds_left,
        delivered=entry.delivered,
        text=record.text + entry.text,
        status=entry.status,
        reason=entry.reason,
    )
