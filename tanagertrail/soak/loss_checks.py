"""The promises on requests that upstreams ran and callers got no answer to."""

__all__: list[str] = []

from collections.abc import Iterator

from tanagertrail.soak.callers import Call
from tanagertrail.soak.checks import CHECKS, count_runs
from tanagertrail.soak.evidence import STABILITY_SECONDS, Evidence
from tanagertrail.soak.stop_checks import LAST_SHARE, find_stop, is_cut, was_calm
from tanagertrail.standins.documents import BOUNDS


@CHECKS.register("nothing lost")
def check_lost(evidence: Evidence) -> Iterator[str]:
    """Find calls that were cut before their deadline, in calm times.

    A call that did not run may have crossed the close of its connection by a daemon that stops.
    Calls that ran and ended in a stop are the matter of another check.
    """
    counts = count_runs(evidence)
    for call in evidence.calls:
        took = call.ended_at - call.sent_at
        if not is_cut(call) or took > LAST_SHARE * call.deadline:
            continue
        ran = counts[call.request_id] > 0
        excused = find_stop(evidence, call) is not None if ran else was_stopping(evidence, call)
        if not excused and was_calm(evidence, call):
            yield f"{call.request_id} ({call.route}) was cut after {took:.2f} s"


def was_stopping(evidence: Evidence, call: Call) -> bool:
    """Say whether the daemon of a call was asked to stop not long before the call's end."""
    return any(
        port == call.port and at <= call.ended_at <= at + BOUNDS.grace + STABILITY_SECONDS
        for port, at in evidence.terms
    )
