"""The promises on planned stops, and figures on how callers fared in them."""

__all__ = ["STOP_REFUSAL", "StopFigures", "count_stops", "find_stop", "was_calm"]

from collections import defaultdict
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from tanagertrail.soak.callers import Call
from tanagertrail.soak.checks import CHECKS
from tanagertrail.soak.evidence import STABILITY_SECONDS, Evidence, RunSeen
from tanagertrail.soak.plan import was_disturbed
from tanagertrail.soak.workload import STREAM_ROUTES
from tanagertrail.standins.documents import BOUNDS

TAIL_SECONDS = 1.0  # after the grace period, for which a stop still answers for its requests
EXCUSED_SECONDS = 3.0  # from the request to stop, in which a long request may still be sent
LAST_PART_SECONDS = BOUNDS.grace * 5 / 6  # after which it may be cut while its upstream works
LOSS_SLACK_SECONDS = 0.2  # in which a request may cross the close of its connection
LAST_SHARE = 0.9  # of a caller's time, after which a call may have ended by its deadline
CUT_STATUSES = frozenset({502, 504})  # of a daemon's own answers to requests that it cut
DOUBTFUL_STATUS = 502  # of a daemon's answer after a refusal that may be another request's
STOP_REFUSAL = b"the gateway is stopping"
# Disruption of the store alone, which excuses no loss of requests other than streams.
STORE_DISRUPTIONS = frozenset(
    {
        "store busy",
        "store silent",
        "store slow",
        "store loses answers",
        "store forgets",
        "store restored",
        "store away beside a stop",
    }
)


class StopFigures(NamedTuple):
    """How requests fared that were sent to a daemon that was stopping.

    :ivar killed: stops that the supervisor ended by a kill
    :ivar cut: requests that were passed on and got no whole answer, or a failure in its place
    :ivar refused: requests that were refused because of the stop
    :ivar refused_in_time: refused requests that an upstream would have done in time
    """

    stops: int
    killed: int
    sent: int
    served: int
    cut: int
    refused: int
    refused_in_time: int


def find_stop(evidence: Evidence, call: Call) -> float | None:
    """Find when the daemon of a call was asked to stop, if the call ended in that stop."""
    tail = BOUNDS.grace + TAIL_SECONDS
    times = (at for port, at in evidence.terms if port == call.port)
    return max((at for at in times if at <= call.ended_at <= at + tail), default=None)


def was_calm(evidence: Evidence, call: Call) -> bool:
    """Say whether nothing touched a call that excuses its loss."""
    since = call.sent_at - STABILITY_SECONDS - evidence.started
    excused = frozenset() if call.route in STREAM_ROUTES else STORE_DISRUPTIONS
    plan = [fault for fault in evidence.plan if fault.kind not in excused]
    return not was_disturbed(plan, since, call.ended_at - evidence.started)


def group_runs(evidence: Evidence) -> dict[str, list[RunSeen]]:
    """Group what upstreams ran by request."""
    runs = defaultdict(list)
    for run in evidence.runs:
        runs[run.request_id].append(run)
    return runs


def is_excused(
    call: Call, stop: float, runs: list[RunSeen], unfinished: Mapping[str, float]
) -> bool:
    """Say whether a stop may cut a call: by its deadline, or early and long enough.

    :param unfinished: when connections closed under requests that an upstream still ran
    """
    if call.ended_at - call.sent_at > LAST_SHARE * call.deadline:
        return True
    last_part = stop + LAST_PART_SECONDS
    in_time = call.sent_at <= stop + EXCUSED_SECONDS and call.ended_at >= last_part
    if in_time and unfinished.get(call.request_id, 0.0) >= last_part:
        return True
    return in_time and any(run.at + call.work > last_part for run in runs)


def is_cut(call: Call) -> bool:
    """Say whether a call ended without a whole answer, and not by its caller's will."""
    return not call.left and (call.status == 0 or not call.whole)


def has_failure_for_answer(call: Call) -> bool:
    """Say whether a daemon answered with a failure of its own."""
    return call.whole and call.status in CUT_STATUSES and not call.stamp


def is_doubtful(evidence: Evidence, call: Call) -> bool:
    """Say whether a failure comes from a refusal that proves nothing, rather than the stop."""
    return call.status == DOUBTFUL_STATUS and call.request_id in evidence.doubtful


@CHECKS.register("nothing cut by a planned stop")
def check_stops(evidence: Evidence) -> Iterator[str]:
    """Find calls that a stopping daemon had read and cut, or failed though they ran."""
    runs = group_runs(evidence)
    arrived = {arrival.request_id for arrival in evidence.arrivals} | set(runs)
    for call in evidence.calls:
        stop = find_stop(evidence, call)
        if stop is None or is_excused(call, stop, runs[call.request_id], evidence.unfinished):
            continue
        passed_on = call.request_id in arrived
        late = call.ended_at - call.sent_at > LOSS_SLACK_SECONDS
        cut = is_cut(call) and (passed_on or late)
        failed = passed_on and has_failure_for_answer(call) and not is_doubtful(evidence, call)
        if (cut or failed) and was_calm(evidence, call):
            ended = "cut" if cut else f"answered {call.status}"
            passed = "passed on" if passed_on else "not passed on"
            yield (
                f"{call.request_id} ({call.route}, {call.work:.2f} s of work) was sent "
                f"{call.sent_at - stop:.2f} s after SIGTERM, {passed} and {ended} "
                f"{call.ended_at - stop:.2f} s after it"
            )


@CHECKS.register("stops within the grace period")
def check_overruns(evidence: Evidence) -> Iterator[str]:
    """Find daemons that had to be killed at the end of their grace period, in calm times."""
    for port, at in evidence.overruns:
        if evidence.was_calm(at - BOUNDS.grace, at):
            yield f"{port} had not ended {BOUNDS.grace:.0f} s after it was asked to stop"


def count_stops(evidence: Evidence) -> StopFigures:
    """Count how requests fared that were sent to a daemon that was stopping."""
    runs = group_runs(evidence)
    sent = served = cut = refused = refused_in_time = 0
    for port, at in evidence.terms:
        starts = (start for front, start in evidence.starts if front == port and start > at)
        until = min([at + BOUNDS.grace, *starts])
        for call in evidence.calls:
            if call.port != port or call.left or not at <= call.sent_at <= until:
                continue
            sent += 1
            served += call.status == 200 and call.whole
            lost = is_cut(call) or has_failure_for_answer(call)
            excused = call.ended_at - call.sent_at > LAST_SHARE * call.deadline
            cut += lost and call.request_id in runs and not excused
            if call.answer == STOP_REFUSAL:
                refused += 1
                refused_in_time += call.sent_at + call.work < at + LAST_PART_SECONDS
    killed = len(evidence.overruns)
    return StopFigures(len(evidence.terms), killed, sent, served, cut, refused, refused_in_time)
