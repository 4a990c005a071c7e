"""What upstreams say in their answers of being brittle."""

__all__ = ["note_brittle"]

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamFields


def note_brittle(entry: UpstreamEntry, fields: UpstreamFields, log: EventLog) -> None:
    """Apply what an upstream's answer says of being brittle; a malformed value changes nothing."""
    stated = fields.rejection_limit
    if stated is not None and stated.count is None:
        log.write_routine("brittle_refused", upstream=entry.record.id, value=stated.value)
        return
    limit = None if stated is None else stated.count
    if (limit is None) != (entry.rejection_limit is None):
        event = "brittle_ended" if limit is None else "brittle_learned"
        log.write(event, upstream=entry.record.id, born=entry.record.born, rejection_limit=limit)
    entry.rejection_limit = limit
