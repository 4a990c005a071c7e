"""What a gateway believes, read from its metrics address."""

__all__ = ["BeliefReport", "UpstreamBelief", "format_report", "parse_metrics", "read_report"]

import math
import re
from collections.abc import Iterator
from typing import NamedTuple

import urllib3

from tanagertrail.operators.client import OperatorError

METRICS_PATH = "/metrics"
READ_SECONDS = 5.0
STATE_METRIC = "tanagertrail_state"
SAMPLE = re.compile(r"^(?P<metric>\w+)\{(?P<labels>.*)\} (?P<value>\S+)")
LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')


class UpstreamBelief(NamedTuple):
    """What a gateway believes of one upstream.

    :ivar in_flight: requests of this daemon that are there
    :ivar running: requests of all daemons that are believed to be there
    :ivar faults: running share of requests that failed there, between 0 and 1
    :ivar sent: requests that this daemon sent there
    :ivar named_rate: requests per second that it accepts from all daemons, None for no limit
    :ivar own_rate: this daemon's part of that rate
    :ivar is_leaving: whether it has stated that it leaves
    :ivar wait: seconds for which it wants no request from this daemon
    """

    upstream: str
    service: str
    in_flight: float
    running: float
    faults: float
    sent: float = 0.0
    named_rate: float | None = None
    own_rate: float = 0.0
    is_leaving: bool = False
    wait: float = 0.0


class BeliefReport(NamedTuple):
    """What a gateway believes.

    :ivar values: values without labels, by name
    :ivar domains_out: failure domains that get no work
    :ivar failed_tasks: tasks that failed unexpectedly, with how often
    :ivar releases: live members by release, as (release, members) pairs in rising order
    """

    values: dict[str, float]
    domains_out: tuple[str, ...]
    upstreams: tuple[UpstreamBelief, ...]
    failed_tasks: tuple[str, ...] = ()
    releases: tuple[tuple[int, int], ...] = ()


def iter_states(text: str) -> Iterator[tuple[dict[str, str], float]]:
    """Yield the labels and the value of each state in a metrics page."""
    for line in text.splitlines():
        match = SAMPLE.match(line)
        if match is not None and match["metric"] == STATE_METRIC:
            value = parse_value(match["value"])
            if value is not None:
                yield dict(LABEL.findall(match["labels"])), value


def parse_value(text: str) -> float | None:
    """Parse the value of a sample, None if it is no finite number."""
    try:
        value = float(text)
    except ValueError:
        return None
    return value if math.isfinite(value) else None


def parse_metrics(text: str) -> BeliefReport:
    """Parse a metrics page.

    :raises OperatorError: if it holds no state of a gateway
    """
    values: dict[str, float] = {}
    domains: list[str] = []
    tasks: list[str] = []
    releases: dict[int, int] = {}
    upstreams: dict[tuple[str, str], dict[str, float]] = {}
    for labels, value in iter_states(text):
        name = labels.get("name", "")
        if labels.get("upstream"):
            key = labels["upstream"], labels.get("service", "")
            upstreams.setdefault(key, {})[name] = value
        elif name == "task_failures":
            tasks.append(f"{labels.get('task', '')} ({value:.0f})")
        elif name == "members_of_release":
            if labels.get("member_release", "").isdecimal():
                releases[int(labels["member_release"])] = int(value)
        elif name == "domain_out":
            domains.append(labels.get("failure_domain", ""))
        else:
            values[name] = value
    if not values:
        raise OperatorError(0, ["the page holds no state of a gateway"])
    rows = tuple(
        UpstreamBelief(
            upstream,
            service,
            found.get("upstream_in_flight", 0.0),
            found.get("upstream_running", 0.0),
            found.get("upstream_faults", 0.0),
            found.get("upstream_sent", 0.0),
            found.get("upstream_limit"),
            found.get("upstream_limit_own", 0.0),
            bool(found.get("upstream_leaving", 0.0)),
            found.get("upstream_wait_s", 0.0),
        )
        for (upstream, service), found in sorted(upstreams.items())
    )
    members = tuple(sorted(releases.items()))
    return BeliefReport(values, tuple(sorted(domains)), rows, tuple(sorted(tasks)), members)


def read_report(address: str) -> BeliefReport:
    """Read what the gateway with a metrics address believes.

    :param address: ``host:port``
    :raises OperatorError: if it is not reached or answers otherwise
    """
    with urllib3.PoolManager(retries=False, timeout=READ_SECONDS) as http:
        try:
            reply = http.request("GET", f"http://{address}{METRICS_PATH}")
        except urllib3.exceptions.HTTPError as error:
            raise OperatorError(0, [f"{address} is not reached: {error}"]) from error
    if reply.status != 200:
        raise OperatorError(reply.status, [f"{address} answered {reply.status}"])
    return parse_metrics(reply.data.decode(errors="replace"))


def format_report(report: BeliefReport) -> Iterator[str]:
    """Yield the lines that show what a gateway believes."""
    values = report.values
    ready = "ready" if values.get("ready") else "not ready"
    yield f"{ready}, {values.get('in_flight', 0):.0f} requests in flight"
    version, age = values.get("config_version", 0), values.get("config_age_s", 0)
    yield f"configuration {version:.0f}, known to be the newest {age:.2f} s ago"
    yield f"{values.get('members_alive', 0):.0f} daemons live"
    if "release" in values:
        yield from format_releases(report)
    fencing = values.get("fencing", 0)
    yield f"holds the duties with number {fencing:.0f}" if fencing else "holds no duties"
    out = ", ".join(report.domains_out)
    yield f"failure domains that get no work: {out or 'none'}"
    suspected = values.get("requests_suspected", 0)
    quarantined = values.get("requests_quarantined", 0)
    yield f"{suspected:.0f} requests suspected to end upstreams, {quarantined:.0f} quarantined"
    suspected = values.get("prompt_parts_suspected", 0)
    quarantined = values.get("prompt_parts_quarantined", 0)
    yield (
        f"{suspected:.0f} parts of prompts suspected to crash upstreams, "
        f"{quarantined:.0f} quarantined"
    )
    if report.failed_tasks:
        yield f"tasks that failed since the start: {', '.join(report.failed_tasks)}"
    failing = values.get("tasks_failing", 0)
    if failing:
        yield f"{failing:.0f} tasks keep failing"
    refused = values.get("entries_refused", 0)
    if refused:
        yield f"{refused:.0f} stored objects could not be read and were passed over"
    for row in report.upstreams:
        yield (
            f"upstream {row.upstream} of {row.service}: {row.in_flight:.0f} here, "
            f"{row.running:.0f} in all, {row.faults:.0%} failed, {row.sent:.0f} sent from here"
        )
        if row.is_leaving:
            yield f"upstream {row.upstream} has stated that it leaves"
        if row.wait:
            yield f"upstream {row.upstream} wants no request from here for {row.wait:.2f} s"
        if row.named_rate is not None:
            yield (
                f"upstream {row.upstream} accepts {row.named_rate:g} requests a second from all "
                f"daemons, {row.own_rate:.3g} of them from here"
            )


def format_releases(report: BeliefReport) -> Iterator[str]:
    """Yield the lines that show which releases run, and whether one refuses the other."""
    own = int(report.values["release"])
    others = ", ".join(f"{count} of release {release}" for release, count in report.releases)
    yield f"runs release {own}; other live daemons: {others or 'none'}"
    refused = report.values.get("peer_frames_refused", 0)
    too_old = report.values.get("members_too_old", 0)
    if refused or too_old:
        yield (
            f"{refused:.0f} messages of other daemons could not be read, "
            f"{too_old:.0f} daemons are of a release that is too old"
        )
