"""The promises that a run must keep, from what callers, upstreams and the cloud API saw."""

__all__ = ["CHECKS", "find_broken"]

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator

from tanagertrail.registry import Registry
from tanagertrail.soak.evidence import STABILITY_SECONDS, Evidence, Need
from tanagertrail.soak.workload import ONCE_ROUTES, STREAM_ROUTES
from tanagertrail.standins.documents import BOUNDS, COLD_RATE, COLD_SLACK, CUSTOMERS, PLAIN_UNITS
from tanagertrail.standins.misbehaviour import EVENTS

PROMISES = frozenset({408, 421, 429, 503})  # statuses that say: has not run and never will
REGRESS_SECONDS = 0.25
DEADLY = b"deadly "  # begins the bodies of requests that end the upstreams that run them
DEADLY_PART = b"crashing part "  # begins the bodies of requests with a part that ends upstreams
MOST_CRASHES = 5  # of upstreams after which such a part is to be known
PART_REFUSAL = b"upstreams crash on a part of this prompt"
MOST_LOST = 3  # upstreams after which such a request is to be known
MOST_RETRIES = 3  # that may reach an upstream later than the stability bound after that
RATE_WINDOW_SECONDS = 4.0  # in which an upstream in need counts requests
RATE_FACTOR = 1.5  # of the rate that it named, which the window may hold
RATE_EXTRA = 5  # requests that the window may hold in addition
TOLD_SECONDS = 0.5  # from the first answer with a rate until a daemon is bound by it
SERVED_SHARE = 0.25  # of the calls that are sent in the last calm seconds of a run


Check = Callable[[Evidence], Iterator[str]]
CHECKS: Registry[Check] = Registry("soak check")


def find_broken(evidence: Evidence) -> list[str]:
    """Return what was broken, with the name of the check."""
    return [f"{name}: {text}" for name in CHECKS for text in CHECKS.get(name)(evidence)]


def count_runs(evidence: Evidence) -> Counter[str]:
    """Count how often each request began to run."""
    return Counter(run.request_id for run in evidence.runs)


@CHECKS.register("at most once")
def check_once(evidence: Evidence) -> Iterator[str]:
    """Find requests that may run once and ran more often."""
    counts = count_runs(evidence)
    for call in evidence.calls:
        if call.route in ONCE_ROUTES and counts[call.request_id] > 1:
            yield f"{call.request_id} ran {counts[call.request_id]} times"


@CHECKS.register("true refusals")
def check_refusals(evidence: Evidence) -> Iterator[str]:
    """Find requests that ran though their caller was told that they had not."""
    counts = count_runs(evidence)
    for call in evidence.calls:
        if call.route in ONCE_ROUTES and call.status in PROMISES and counts[call.request_id]:
            yield f"{call.request_id} was answered {call.status} and ran"


@CHECKS.register("whole own answers")
def check_answers(evidence: Evidence) -> Iterator[str]:
    """Find successes that are cut, mixed up or of another request."""
    for call in evidence.calls:
        if not (call.whole and call.status == 200):
            continue
        upstream, _, own = call.stamp.partition(".")
        if own != call.request_id:
            yield f"{call.request_id} got the answer of {call.stamp!r}"
        elif call.route in STREAM_ROUTES and call.answer != build_events():
            yield f"{call.request_id} got other events: {call.answer[:80]!r}"
        elif call.route not in STREAM_ROUTES and call.answer != f"answer of {upstream}".encode():
            yield f"{call.request_id} got {call.answer[:80]!r} from {upstream}"


def build_events() -> bytes:
    """Return the whole stream of events."""
    numbers = range(1, EVENTS + 1)
    return b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in numbers)


@CHECKS.register("asked for")
def check_asked(evidence: Evidence) -> Iterator[str]:
    """Find runs that nobody asked for or that were changed on the way."""
    calls = {call.request_id: call for call in evidence.calls}
    for run in evidence.runs:
        call = calls.get(run.request_id)
        if call is None:
            continue  # its caller was stopped in the middle at the end of the run
        if run.customer != call.customer.name or run.body != call.body:
            yield f"{run.request_id} ran for {run.customer!r} with {run.body[:40]!r}"
        elif not run.path.startswith(f"/{call.route}/"):
            yield f"{run.request_id} ran on {run.path}"


@CHECKS.register("removed keys")
def check_keys(evidence: Evidence) -> Iterator[str]:
    """Find runs with a key that was taken away long before; no disturbance excuses them.

    A request that waited at a paused daemon until the key was given back is allowed to run.
    """
    sent = {call.request_id: call.sent_at for call in evidence.calls}
    for run in evidence.runs:
        for removal in evidence.removals:
            late = removal.at + BOUNDS.revoke
            if removal.kind == "key" and removal.what == run.customer:
                at = sent.get(run.request_id, 0.0)
                if late < at and run.at < removal.until:
                    yield f"{run.request_id} ran {at - removal.at:.2f} s after its key was removed"


@CHECKS.register("nothing after leave")
def check_left(evidence: Evidence) -> Iterator[str]:
    """Find runs at upstreams that left and in failure domains that were emptied."""
    limits = {"upstream": BOUNDS.drain, "domain": BOUNDS.evacuate}
    for run in evidence.runs:
        for removal in evidence.removals:
            limit = limits.get(removal.kind)
            if limit is None or removal.what not in (run.upstream, run.domain):
                continue
            late = removal.at + limit < run.at < removal.until
            if late and evidence.was_calm(removal.at, run.at):
                yield f"{run.request_id} ran {run.at - removal.at:.2f} s after {removal.what} left"


@CHECKS.register("quotas")
def check_quotas(evidence: Evidence) -> Iterator[str]:
    """Find windows in which a customer used more than its quota allows."""
    window = BOUNDS.quota_window
    for customer in CUSTOMERS:
        if not customer.rate:
            continue
        times = sorted(run.at for run in evidence.runs if run.customer == customer.name)
        plain = customer.rate * window + customer.rate
        most = (plain * (1 + BOUNDS.quota_tolerance) + BOUNDS.quota_slack) / PLAIN_UNITS
        first = 0
        for last, at in enumerate(times):
            while times[first] <= at - window:
                first += 1
            if last - first + 1 > most:
                yield f"{customer.name} ran {last - first + 1} requests of {most:.0f} in a window"
                return


@CHECKS.register("requests that end upstreams")
def check_deadly(evidence: Evidence) -> Iterator[str]:
    """Find requests that went on being sent after enough upstreams had ended under them."""
    times = defaultdict(list)
    for run in evidence.runs:
        if run.body.startswith(DEADLY):
            times[run.body].append(run.at)
    for body, ends in times.items():
        ends.sort()
        known = ends[:MOST_LOST][-1] + STABILITY_SECONDS
        late = sum(at > known for at in ends)
        if late > MOST_RETRIES:
            yield f"{body!r} ended {len(ends)} upstreams, {late} of them after it had to be known"


@CHECKS.register("prompt parts that end upstreams")
def check_deadly_parts(evidence: Evidence) -> Iterator[str]:
    """Find parts of prompts that went on being sent after enough upstreams had ended on them.

    A daemon is excused after its start or pause, and by a fault of the store.
    """
    ports = {call.request_id: call.port for call in evidence.calls}
    crashes = defaultdict(list)
    for part, at in evidence.part_crashes:
        crashes[part].append(at)
    for part, times in crashes.items():
        times.sort()
        if len(times) < MOST_CRASHES:
            continue
        known = times[MOST_CRASHES - 1] + STABILITY_SECONDS
        late = 0
        for run in evidence.runs:
            since = run.at - STABILITY_SECONDS
            excused = evidence.was_restarted_or_paused(
                ports.get(run.request_id, 0), since, run.at
            ) or evidence.was_store_disturbed(since, run.at)
            late += run.body.startswith(DEADLY_PART) and run.at > known and not excused
        if late > MOST_RETRIES:
            yield f"{part} ended {len(times)} upstreams, {late} requests came after it was known"


@CHECKS.register("sound prompts refused")
def check_sound_prompts(evidence: Evidence) -> Iterator[str]:
    """Find sound requests that were refused for a part of their prompts."""
    for call in evidence.calls:
        if call.answer == PART_REFUSAL and not call.body.startswith(DEADLY_PART):
            yield f"{call.request_id} was refused for a part of its prompt"


@CHECKS.register("cold upstreams")
def check_cold(evidence: Evidence) -> Iterator[str]:
    """Find seconds in which a cold upstream got more than it bears."""
    most = COLD_RATE * BOUNDS.cold_factor + COLD_SLACK
    times = defaultdict(list)
    for run in evidence.runs:
        if run.cold:
            times[run.upstream].append(run.at)
    for upstream, runs in times.items():
        for at in runs:
            inside = sum(at <= other < at + 1.0 for other in runs)
            if inside > most:
                yield f"{upstream} got {inside} requests of {most:.0f} in a second while cold"
                break


@CHECKS.register("rates that upstreams name")
def check_named_rates(evidence: Evidence) -> Iterator[str]:
    """Find windows in which an upstream in need got more than it had told the daemons."""
    for need in evidence.needs:
        times = list_bound_arrivals(evidence, need)
        most = RATE_FACTOR * need.rate * RATE_WINDOW_SECONDS + RATE_EXTRA
        for at in times:
            inside = sum(at <= other < at + RATE_WINDOW_SECONDS for other in times)
            if inside > most:
                yield f"{need.upstream} named {need.rate} and got {inside} requests of {most:.0f}"
                break


def list_bound_arrivals(evidence: Evidence, need: Need) -> list[float]:
    """Return the arrivals from daemons that had passed on an answer with the rate.

    A restart or a pause excuses the daemon for some time.
    """
    ports = {call.request_id: call.port for call in evidence.calls}
    told = defaultdict(list)
    for call in evidence.calls:
        if call.named_rate and call.stamp.partition(".")[0] == need.upstream:
            told[call.port].append(call.ended_at)
    times = []
    for arrival in evidence.arrivals:
        in_force = need.at + STABILITY_SECONDS <= arrival.at <= need.until
        port = ports.get(arrival.request_id)
        if arrival.upstream != need.upstream or not in_force or port is None:
            continue
        is_told = any(need.at <= at <= arrival.at - TOLD_SECONDS for at in told[port])
        since = arrival.at - STABILITY_SECONDS
        if is_told and not evidence.was_restarted_or_paused(port, since, arrival.at):
            times.append(arrival.at)
    return times


@CHECKS.register("no version goes back")
def check_versions(evidence: Evidence) -> Iterator[str]:
    """Find daemons that served a new route and then denied it, in one life of the process."""
    served: dict[tuple[int, str], float] = {}
    for call in sorted(evidence.calls, key=lambda item: item.ended_at):
        key = (call.port, call.route)
        known = served.get(key)
        reborn = known is not None and any(
            port == call.port and known < at <= call.ended_at for port, at in evidence.starts
        )
        if reborn:
            del served[key]
        elif known is not None and call.status == 404 and call.sent_at > known + REGRESS_SECONDS:
            yield f"{call.request_id}: {call.port} denied {call.route} after it had served it"
        if call.status == 200:
            served.setdefault(key, call.ended_at)


@CHECKS.register("one count for a window")
def check_usage(evidence: Evidence) -> Iterator[str]:
    """Find windows that were reported with different counts, and tokens that went back."""
    reported: dict[int, dict[str, int]] = {}
    highest = 0
    for window, counts, fencing in evidence.usage:
        if reported.setdefault(window, counts) != counts:
            yield f"window {window} was reported as {reported[window]} and {counts}"
        if fencing < highest:
            yield f"fencing went back from {highest} to {fencing}"
        highest = max(highest, fencing)


@CHECKS.register("recovery")
def check_recovery(evidence: Evidence) -> Iterator[str]:
    """Find runs whose last calm seconds are not served."""
    last = max((fault.until for fault in evidence.plan), default=0.0) + evidence.started
    since = last + STABILITY_SECONDS
    calls = [
        call for call in evidence.calls if since < call.sent_at and call.customer.name == "guild"
    ]
    served = sum(call.status == 200 and call.whole for call in calls)
    if len(calls) >= 20 and served < SERVED_SHARE * len(calls):
        yield f"{served} of {len(calls)} calls were served after the last fault"
