"""The promises on requests that upstreams ran and callers got no answer to."""

__all__: list[str] = []

from collections.abc import Iterator

from tanagertrail.soak.callers import Call
from tanagertrail.soak.checks import CHECKS, count_runs
from tanagertrail.soak.evidence import STABILITY_SECONDS, Evidence
from tanagertrail.standins.documents import BOUNDS

LAST_SHARE = 0.9  # of a caller's time, after which a call may have ended by its deadline


def is_cut(call: Call) -> bool:
    """Say whether a call ended without a whole answer, and not by its caller's will."""
    return not call.left and (call.status == 0 or not call.whole)


@CHECKS.register("nothing lost")
def check_lost(evidence: Evidence) -> Iterator[str]:
    """Find calls that were cut before their deadline, in calm times.

    A call that did not run may have crossed the close of its connection by a daemon that stops.
    """
    counts = count_runs(evidence)
    for call in evidence.calls:
        took = call.ended_at - call.sent_at
        if not is_cut(call) or took > LAST_SHARE * call.deadline:
            continue
        may_have_crossed = not counts[call.request_id] and was_stopping(evidence, call)
        if not may_have_crossed and evidence.was_calm(call.sent_at, call.ended_at):
            yield f"{call.request_id} ({call.route}) was cut after {took:.2f} s"


def was_stopping(evidence: Evidence, call: Call) -> bool:
    """Say whether the daemon of a call was asked to stop not long before the call's end."""
    return any(
        port == call.port and at <= call.ended_at <= at + BOUNDS.grace + STABILITY_SECONDS
        for port, at in evidence.terms
    )


@CHECKS.register("nothing cut by a planned stop")
def check_stops(evidence: Evidence) -> Iterator[str]:
    """Find calls that a stopping daemon had read and did not answer, in calm times."""
    for port, at in evidence.terms:
        for call in evidence.calls:
            concerned = call.port == port and at <= call.sent_at <= at + STABILITY_SECONDS
            cut = call.status == 0 or not call.whole
            in_time = call.ended_at - call.sent_at < 1.0
            if concerned and cut and not call.left and in_time:
                ran = any(run.request_id == call.request_id for run in evidence.runs)
                if ran and evidence.was_calm(at, call.ended_at):
                    yield f"{call.request_id} ran at a stopping daemon and was cut"
