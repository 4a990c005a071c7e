"""From the id of a request to what decided its outcome, by recorded logs of gateways."""

__all__ = ["Explanation", "LogLine", "explain_request", "format_line", "merge_logs", "read_log"]

import json
import math
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

BEFORE_SECONDS = 10.0  # span before a request in which a cause is looked for
AFTER_SECONDS = 1.0
MAX_DURATION_MS = 3_600_000  # no request takes longer
DEPENDENCY_EVENTS = frozenset(
    {
        "store_lost",
        "store_regained",
        "store_restored",
        "config_kept",
        "history_lost",
        "config_in_force",
        "config_refused",
        "lease_lost",
        "leaving",
        "started",
        "domain",
        "domains_out",
        "part_suspected",
        "parts_quarantined",
        "quarantine_lifted",
        "quarantine_refuted",
        "limit_learned",
        "limit_changed",
        "limit_ended",
        "upstream_stated",
        "statement_refused",
    }
)
SHOWN_FIRST = ("t", "daemon", "event")


class LogLine(NamedTuple):
    """One line of a gateway's log.

    :ivar at: time of day in seconds
    """

    at: float
    daemon: str
    event: str
    fields: dict[str, Any]


class Explanation(NamedTuple):
    """What the logs say of a request.

    :ivar own: lines that name the request
    :ivar upstreams: lines on the upstreams that it was sent to, around that time
    :ivar dependencies: lines on what its daemon relied on, around that time
    """

    own: list[LogLine]
    upstreams: list[LogLine]
    dependencies: list[LogLine]


def parse_line(text: str) -> LogLine | None:
    """Parse a line, which a collector may have prefixed; None if it is of another kind."""
    start = text.find('{"t":')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = float(fields["t"])
        line = LogLine(at, str(fields["daemon"]), str(fields["event"]), fields)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None
    return line if math.isfinite(at) else None


def read_log(path: str) -> Iterator[LogLine]:
    """Yield the lines of a log file.

    :raises OSError: if it cannot be read
    """
    with Path(path).open(encoding="utf-8", errors="replace") as file:
        for text in file:
            line = parse_line(text)
            if line is not None:
                yield line


def merge_logs(paths: Iterable[str]) -> list[LogLine]:
    """Return the lines of several logs in the order of their time."""
    lines = [line for path in paths for line in read_log(path)]
    lines.sort(key=lambda line: line.at)
    return lines


def explain_request(request_id: str, lines: list[LogLine]) -> Explanation:
    """Gather what bears on a request."""
    own = [line for line in lines if line.fields.get("request") == request_id]
    if not own:
        return Explanation([], [], [])
    daemons = {line.daemon for line in own}
    tried = {upstream for line in own for upstream in iter_tried(line)}
    start = own[0].at - read_duration(own[0]) - BEFORE_SECONDS
    end = own[-1].at + AFTER_SECONDS
    near = [line for line in lines if start <= line.at <= end and line.daemon in daemons]
    return Explanation(
        own,
        [line for line in near if str(line.fields.get("upstream")) in tried],
        [line for line in near if line.event in DEPENDENCY_EVENTS],
    )


def iter_tried(line: LogLine) -> Iterator[str]:
    """Yield the upstreams that a line says a request was sent to."""
    attempts = line.fields.get("tries")
    for attempt in attempts if isinstance(attempts, list) else []:
        if isinstance(attempt, list) and attempt:
            yield str(attempt[0])


def read_duration(line: LogLine) -> float:
    """Return the seconds that a line says a request took, 0 if it does not say."""
    duration = line.fields.get("ms")
    if not isinstance(duration, int | float) or not 0 <= duration < MAX_DURATION_MS:
        return 0.0
    return duration / 1000


def format_line(line: LogLine) -> str:
    """Return a line for people."""
    rest = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in SHOWN_FIRST
    )
    return f"{line.at:.3f} {line.daemon} {line.event} {rest}"
