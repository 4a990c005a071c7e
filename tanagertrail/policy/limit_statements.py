"""What upstreams say of the request rate that they accept, and which statement is the newest."""

__all__ = ["LimitStatement", "merge_statements"]

from typing import NamedTuple


class LimitStatement(NamedTuple):
    """The limit in one answer of an upstream.

    The upstream decided on it at some time between the sending of the request and the arrival of
    the answer. Both are times of one clock in seconds.

    :ivar born: start time of the upstream's incarnation, as in its registration
    :ivar rate: requests per second that it accepts from all daemons together, None for no limit
    :ivar sent_at: time at which the request was sent
    :ivar heard_at: time at which the answer arrived
    """

    born: float
    rate: float | None
    sent_at: float
    heard_at: float


def merge_statements(known: LimitStatement | None, new: LimitStatement) -> LimitStatement:
    """Return the statement that is in force after a new one has become known.

    Answers overtake each other, and daemons hear of each other's answers late. A statement
    replaces another if its request was sent after the other's answer had arrived. If neither is
    known to be the newer one, the lower limit holds until an answer to a later request arrives.
    """
    if known is None or new.born > known.born:
        return new
    if new.born < known.born or new.heard_at < known.sent_at:
        return known
    if new.sent_at > known.heard_at:
        return new
    if new.rate == known.rate:
        return max(known, new, key=lambda statement: statement.heard_at)
    limited = [item for item in (known, new) if item.rate is not None]
    return min(limited, key=lambda statement: statement.rate)
