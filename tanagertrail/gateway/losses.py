"""Crashes of upstreams and names of quarantines, as daemons tell each other and store them."""

__all__ = [
    "LostRow",
    "UpstreamLoss",
    "describe_lost",
    "extend_losses",
    "name_part_quarantine",
    "parse_part_quarantine",
    "shorten_losses",
]

from collections.abc import Iterable
from typing import NamedTuple

from tanagertrail.gateway.crash_detector import UnansweredAttempt
from tanagertrail.policy.crash_evidence import PartSet

PARTS_PREFIX = "parts-"  # begins the name of a quarantine of prompt parts
PART_SEPARATOR = "-"


class LostRow(NamedTuple):
    """A request that a crashed upstream left unanswered, as daemons tell each other.

    :ivar parts: keys of its prompt's parts; empty if the daemon itself gave the request up
    :ivar sent_ms: milliseconds from its sending to the detection of the crash
    :ivar failed_ms: milliseconds from its failure to the detection of the crash
    """

    fingerprint: str
    parts: tuple[str, ...]
    sent_ms: int
    failed_ms: int


class UpstreamLoss(NamedTuple):
    """The crash of an upstream, as one daemon reports it to the others.

    :ivar number: sequence number within the incarnation of the reporting daemon
    :ivar upstream: id and start time of the upstream, which identify its incarnation
    :ivar service: service of the upstream, empty if a release that tells no parts reported it
    :ivar requests: requests of the reporting daemon that the upstream left unanswered
    :ivar age_ms: milliseconds since the crash was detected
    """

    number: int
    upstream: str
    version: str
    failure_domain: str
    service: str
    requests: tuple[LostRow, ...]
    age_ms: int = 0

    @property
    def fingerprints(self) -> tuple[str, ...]:
        """The fingerprints of the requests."""
        return tuple(row.fingerprint for row in self.requests)

    @classmethod
    def from_row(cls, row: tuple) -> "UpstreamLoss":
        """Decode a loss that another daemon reported.

        :raises TypeError: if it has other fields
        """
        loss = cls(*row)
        return loss._replace(requests=tuple(LostRow(*item) for item in loss.requests))


def name_part_quarantine(parts: Iterable[str]) -> str:
    """Return the name of the quarantine of requests that have all of some parts."""
    return PARTS_PREFIX + PART_SEPARATOR.join(sorted(parts))


def parse_part_quarantine(name: str) -> PartSet | None:
    """Return the parts in the name of a quarantine, None if it is of a whole request."""
    if not name.startswith(PARTS_PREFIX):
        return None
    return frozenset(part for part in name[len(PARTS_PREFIX) :].split(PART_SEPARATOR) if part)


def describe_lost(attempt: UnansweredAttempt, now: float) -> LostRow:
    """Return what other daemons are told of a request that a crashed upstream left unanswered."""
    return LostRow(
        attempt.fingerprint,
        attempt.part_keys if attempt.broken else (),
        int((now - attempt.sent_at) * 1000),
        int((now - attempt.failed_at) * 1000),
    )


def extend_losses(rows: Iterable[tuple]) -> tuple:
    """Extend rows of losses of releases that report the fingerprints of requests only."""
    return tuple(
        (*row[:4], "", tuple((fingerprint, (), 0, 0) for fingerprint in row[4]), row[5])
        for row in rows
    )


def shorten_losses(rows: Iterable[tuple]) -> tuple:
    """Shorten rows of losses to the fingerprints of requests, for releases that read no more."""
    losses = (UpstreamLoss.from_row(row) for row in rows)
    return tuple((*loss[:4], loss.fingerprints, loss.age_ms) for loss in losses)
