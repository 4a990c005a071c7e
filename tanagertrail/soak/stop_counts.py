"""What planned stops did to callers' requests, counted by the rule on lost requests."""

__all__ = ["Planned", "StopCall", "StopRow", "count_rows", "is_lost"]

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from tanagertrail.standins.documents import BOUNDS

LOSS_SLACK_SECONDS = 0.2  # ``loss_slack_ms``: what has not run is lost only later than this
EARLY_SECONDS = 3.0  # after SIGTERM, in which callers may not know of the stop yet
AFTER_GRACE_SECONDS = 1.0  # for which a stop counts beyond its grace period
LAST_SHARE = 5 / 6  # of the grace period, from which work that was sent early may be cut
CLOSING_SECONDS = 0.6  # of the grace period, in which nothing need be served
TIMER_SECONDS = 0.05  # by which a deadline may be met early
REFUSALS = frozenset({408, 421, 429, 503})
FAILED_AT_END = 504


class StopCall(NamedTuple):
    """A request and what its caller saw, times by the event loop in seconds.

    :ivar front: port of the daemon's front
    :ivar work: seconds for which an upstream works on it
    :ivar deadline: seconds after which the caller wants no answer
    :ivar sent_at: when its last byte was written
    :ivar head_at: when the head of the answer came, 0 for none
    :ivar status: status of the answer, 0 for none
    :ivar whole: whether the answer was complete
    :ivar announced: whether the answer announced the close of the connection
    :ivar reset: whether the connection ended with a reset
    :ivar mode: how its caller uses connections
    """

    request_id: str
    kind: str
    front: int
    work: float
    deadline: float
    sent_at: float
    head_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    announced: bool = False
    reset: bool = False
    mode: str = ""

    @property
    def cut(self) -> bool:
        """Whether it ended without a complete answer, before its caller gave it up."""
        given_up = self.ended_at >= self.sent_at + self.deadline - TIMER_SECONDS
        return (not self.status or not self.whole) and not given_up


class Planned(NamedTuple):
    """Planned work at a daemon, times by the event loop in seconds.

    :ivar kind: ``stop``, ``reload`` or ``config``
    :ivar front: port of the daemon's front, 0 for all daemons
    :ivar at: when the signal or the configuration was sent
    :ivar grace: grace period of a stop, else 0
    :ivar ended_at: when the process had ended, or the configuration was acknowledged
    :ivar ended_itself: whether the process was not killed at the end of its grace period
    """

    kind: str
    front: int
    at: float
    grace: float = 0.0
    ended_at: float = 0.0
    ended_itself: bool = True

    def concerns(self, call: StopCall) -> bool:
        """Say whether a call was under way at this daemon within the bounds of the rule."""
        if self.front not in (0, call.front) or call.ended_at <= self.at:
            return False
        if self.kind == "stop":
            return call.ended_at <= self.at + self.grace + AFTER_GRACE_SECONDS
        if self.kind == "reload":
            return call.sent_at <= self.at + BOUNDS.config_apply
        return call.ended_at <= self.ended_at + BOUNDS.config_apply + AFTER_GRACE_SECONDS

    def met(self, call: StopCall) -> bool:
        """Say whether the process that was told to stop took a call, not one started after it."""
        return self.concerns(call) and not 0.0 < self.ended_at < call.sent_at

    def excuses(self, call: StopCall) -> bool:
        """Say whether a call was sent early in the stop and cut in the last sixth of its grace."""
        return self.kind == "stop" and not self.is_late(call) and self.is_cut_last(call)

    def is_late(self, call: StopCall) -> bool:
        """Say whether a call was sent when callers had time to learn of the stop."""
        return call.sent_at > self.at + EARLY_SECONDS

    def is_cut_last(self, call: StopCall) -> bool:
        """Say whether a call ended in the last sixth of the grace period, or later."""
        return call.ended_at >= self.at + self.grace * LAST_SHARE

    def could_serve(self, call: StopCall) -> bool:
        """Say whether the work of a call would have ended well within the grace period."""
        ends = call.sent_at + call.work + TIMER_SECONDS
        return ends <= self.at + self.grace - CLOSING_SECONDS


class StopRow(NamedTuple):
    """Counts of the requests of one kind that met a stop.

    :ivar late: sent later than 3 s after SIGTERM
    :ivar refused_in_time: refused though their work would have ended within the grace period
    :ivar refused_and_run: refused as not run, and run
    :ivar cut_early: cut, sent no later than 3 s after SIGTERM
    :ivar cut_late: cut, sent later than that
    :ivar cut_last: of both, cut in the last sixth of the grace period
    :ivar crossed: closed connections whose last request was not run
    :ivar failed: answered 504 before their deadline though they ran
    :ivar unannounced: answered after SIGTERM without an announcement of the close
    :ivar reset: connections that were reset under a request
    :ivar lost: breaches of the rule on lost requests
    """

    kind: str
    work: float
    calls: int
    late: int
    served: int
    refused: int
    refused_in_time: int
    refused_and_run: int
    cut_early: int
    cut_late: int
    cut_last: int
    crossed: int
    failed: int
    unannounced: int
    reset: int
    lost: int


def is_lost(call: StopCall, planned: Planned, ran: bool) -> bool:
    """Say whether a call counts as lost around planned work.

    :param ran: whether an upstream began to run it
    """
    if not call.cut or not planned.concerns(call) or planned.excuses(call):
        return False
    return ran or call.ended_at > call.sent_at + LOSS_SLACK_SECONDS


def count_rows(
    calls: Iterable[StopCall], stops: Sequence[Planned], runs: Mapping[str, float]
) -> list[StopRow]:
    """Count what met a stop, by kind and length of work.

    :param runs: event-loop time in seconds at which each request began to run
    """
    met: dict[tuple[str, float], list[tuple[StopCall, Planned]]] = {}
    for call in calls:
        pairs = met.setdefault((call.kind, call.work), [])
        pairs += [(call, stop) for stop in stops if stop.met(call)][:1]
    return [count_row(kind, work, met[kind, work], runs) for kind, work in sorted(met)]


def count_row(
    kind: str, work: float, met: list[tuple[StopCall, Planned]], runs: Mapping[str, float]
) -> StopRow:
    """Count the calls of one kind that met a stop."""
    cut = [(call, stop) for call, stop in met if call.cut and is_passed_on(call, runs)]
    late = sum(stop.is_late(call) for call, stop in cut)
    refused = [(call, stop) for call, stop in met if call.status in REFUSALS]
    return StopRow(
        kind,
        work,
        len(met),
        sum(stop.is_late(call) for call, stop in met),
        sum(call.status == 200 and call.whole for call, _ in met),
        len(refused),
        sum(stop.could_serve(call) for call, stop in refused),
        sum(call.request_id in runs for call, _ in refused),
        len(cut) - late,
        late,
        sum(stop.is_cut_last(call) for call, stop in cut),
        sum(call.cut and not is_passed_on(call, runs) for call, _ in met),
        sum(is_failed(call, runs) for call, _ in met),
        sum(call.head_at > stop.at and not call.announced for call, stop in met),
        sum(call.reset for call, _ in met),
        sum(is_lost(call, stop, call.request_id in runs) for call, stop in met),
    )


def is_passed_on(call: StopCall, runs: Mapping[str, float]) -> bool:
    """Say whether a call ran or was held for longer than a crossing close takes."""
    return call.request_id in runs or call.ended_at > call.sent_at + LOSS_SLACK_SECONDS


def is_failed(call: StopCall, runs: Mapping[str, float]) -> bool:
    """Say whether a call ran and was given up before its deadline."""
    in_time = call.ended_at < call.sent_at + call.deadline - TIMER_SECONDS
    return call.status == FAILED_AT_END and in_time and call.request_id in runs
