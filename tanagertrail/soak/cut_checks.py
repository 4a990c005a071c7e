"""The promise that daemons cut off from all upstreams serve about as well as the others."""

__all__: list[str] = []

from collections.abc import Iterator

from tanagertrail.soak.callers import Call
from tanagertrail.soak.checks import CHECKS
from tanagertrail.soak.evidence import STABILITY_SECONDS, CutSeen, Evidence
from tanagertrail.soak.plan import was_disturbed
from tanagertrail.standins.documents import BOUNDS

CUT_FAULTS = "upstreams cut"  # begins the kinds of faults that cut daemons off
SERVED_RATIO = 2 / 3  # of the others' share that is served at the daemons that are cut off
FAILED_CALLS = 10  # that may fail there
FAILED_SHARE = 1 / 50  # of all calls there that may fail in addition


@CHECKS.register("served while cut")
def check_cuts(evidence: Evidence) -> Iterator[str]:
    """Find cuts during which callers of the daemons cut off are served far worse than others."""
    for cut in evidence.cuts:
        calls = [call for call in evidence.calls if is_counted(evidence, cut, call)]
        inside = [is_served(call) for call in calls if call.port in cut.ports]
        outside = [is_served(call) for call in calls if not was_cut(evidence, call)]
        failed = len(inside) - sum(inside)
        if not outside or failed <= FAILED_CALLS + FAILED_SHARE * len(inside):
            continue
        if sum(inside) / len(inside) < SERVED_RATIO * sum(outside) / len(outside):
            yield (
                f"{sorted(cut.ports)} served {sum(inside)} of {len(inside)} calls, "
                f"the others {sum(outside)} of {len(outside)}"
            )


def is_served(call: Call) -> bool:
    """Say whether a call got a whole success."""
    return call.status == 200 and call.whole


def is_counted(evidence: Evidence, cut: CutSeen, call: Call) -> bool:
    """Say whether a call without a quota was sent during a cut, and calm apart from cuts.

    While all other daemons are cut off or stop, nobody can carry requests for this one.
    """
    if call.left or call.customer.rate or not cut.since + STABILITY_SECONDS <= call.sent_at:
        return False
    if call.sent_at >= cut.until or was_stopping(evidence, call):
        return False
    if not has_carrier(evidence, call):
        return False
    others = [fault for fault in evidence.plan if not fault.kind.startswith(CUT_FAULTS)]
    since = call.sent_at - STABILITY_SECONDS - evidence.started
    return not was_disturbed(others, since, call.ended_at - evidence.started)


def has_carrier(evidence: Evidence, call: Call) -> bool:
    """Say whether a daemon was there that was neither cut off nor stopping."""
    ports = {port for port, _ in evidence.starts} | {other.port for other in evidence.calls}
    return any(
        not is_cut_off(evidence, port, call) and not is_stopping(evidence, port, call)
        for port in ports
    )


def is_cut_off(evidence: Evidence, port: int, call: Call) -> bool:
    """Say whether a daemon was cut off while a call lasted."""
    return any(
        port in cut.ports and cut.since <= call.ended_at and call.sent_at <= cut.until
        for cut in evidence.cuts
    )


def is_stopping(evidence: Evidence, port: int, call: Call) -> bool:
    """Say whether a daemon was asked to stop and not back for some seconds when a call ended."""
    for front, at in evidence.terms:
        starts = (start for other, start in evidence.starts if other == port and start > at)
        back = min(starts, default=at + BOUNDS.grace) + STABILITY_SECONDS
        if front == port and at <= call.ended_at and call.sent_at <= back:
            return True
    return False


def was_cut(evidence: Evidence, call: Call) -> bool:
    """Say whether the daemon of a call was cut off then or shortly before."""
    return any(
        call.port in cut.ports and cut.since <= call.ended_at <= cut.until + STABILITY_SECONDS
        for cut in evidence.cuts
    )


def was_stopping(evidence: Evidence, call: Call) -> bool:
    """Say whether the daemon of a call was asked to stop not long before."""
    return any(
        port == call.port and at <= call.ended_at <= at + BOUNDS.grace + STABILITY_SECONDS
        for port, at in evidence.terms
    )
