"""Merging of the events of several daemons into one causal order."""

__all__ = ["format_event", "merge_events", "parse_events"]

import time
from collections.abc import Iterable, Mapping, Sequence

from tanagertrail.timeline.events import Event


def merge_events(event_logs: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge logs so that causes come before effects; an event in several logs appears once.

    :param event_logs: the events of each daemon
    """
    events = {(event.daemon, event.stamp): event for event_log in event_logs for event in event_log}
    return sorted(events.values(), key=lambda event: (event.stamp, event.daemon))


def parse_events(rows: Iterable[Mapping[str, object]]) -> list[Event]:
    """Build events from decoded JSON objects."""
    return [Event(**row) for row in rows]


def format_event(event: Event) -> str:
    """Format an event as one line of text."""
    time_of_day = time.strftime("%H:%M:%S", time.gmtime(event.shown_at))
    milliseconds = int(event.shown_at % 1 * 1000)
    labels: Sequence[tuple[str, object]] = (
        ("ticket", event.ticket),
        ("request", event.request),
        ("upstream", event.upstream),
        ("step", event.step),
    )
    label_text = " ".join(f"{name}={value}" for name, value in labels if value)
    parts = (
        f"{time_of_day}.{milliseconds:03d}",
        f"{event.stamp:>6}",
        f"{event.daemon:<10}",
        event.kind,
        label_text,
    )
    return " ".join(part for part in (*parts, event.detail) if part)
