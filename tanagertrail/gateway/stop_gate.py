"""Admission, log and counts of the requests that a stopping daemon has."""

__all__ = ["StopGate"]

import asyncio
import random
from collections import Counter
from typing import Any

from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import (
    AttemptResult,
    Exchange,
    UpstreamAttempt,
    compute_timeout,
)
from tanagertrail.gateway.model import Route
from tanagertrail.platform.header_fields import CallerFields
from tanagertrail.policy.durations import DurationTable, find_size_class
from tanagertrail.policy.retry_after import plan_move
from tanagertrail.policy.stop_admission import (
    RequestOutlook,
    StopDecision,
    StopSchedule,
    decide,
)

CUT_OUTCOME = "cut by the stop"
# Requests that time out last at least as long, and would be cut in a stop.
MEASURED_OUTCOMES = frozenset({"answered", "timed out", AttemptResult.DELIVERED})


class StopGate:
    """Admission, log and counts of requests during a planned stop.

    :ivar durations: what requests have lasted, own ones and those of other daemons
    :ivar running: requests that are in progress, own ones and those of other daemons
    :ivar schedule: the times of the stop, None before it
    :ivar outcomes: requests that have ended since the stop began, by outcome
    """

    def __init__(self, log: EventLog, rng: random.Random) -> None:
        self.log = log
        self.rng = rng
        self.durations = DurationTable()
        self.running: set[Exchange] = set()
        self.schedule: StopSchedule | None = None
        self.outcomes: Counter[str] = Counter()

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    def begin(self, schedule: StopSchedule) -> None:
        """Begin the stop."""
        self.schedule = schedule

    def check_arrival(self, route: Route, fields: CallerFields) -> Refusal | None:
        """Return the refusal of a request that is not shown to end before the stop, else None."""
        if self.schedule is None:
            return None
        decision = self.decide_on(route, fields, compute_timeout(route, fields), self.now())
        if decision.accepted:
            return None
        self.outcomes["refused by the stop"] += 1
        return self.build_refusal(decision, {"route": route.name})

    def check_attempt(self, exchange: Exchange) -> Refusal | None:
        """Return a refusal if the next attempt is not shown to end before the stop, else None."""
        if self.schedule is None:
            return None
        decision = self.decide(exchange)
        if decision.accepted:
            exchange.stop_decision = decision
            return None
        self.log.write(
            "stop_attempt_refused",
            request=exchange.fields.request_id,
            route=exchange.route.name,
            begun=exchange.stream.response_started,
            arrived_s=round(exchange.arrived_at - self.schedule.started_at, 3),
            tries=len(exchange.attempts),
            **self.describe(decision),
        )
        self.outcomes["attempt refused by the stop"] += 1
        return self.build_refusal(decision, {"route": exchange.route.name})

    def allows_attempt(self, exchange: Exchange) -> bool:
        """Return whether another attempt may begin while one lasts."""
        return self.schedule is None or self.decide(exchange).accepted

    def build_refusal(self, decision: StopDecision, log_fields: dict[str, Any]) -> Refusal:
        """Build the refusal of a request that has not run."""
        fields = log_fields | self.describe(decision)
        return Refusal(503, "the gateway is stopping", plan_move(self.rng.random()), fields)

    def decide(self, exchange: Exchange) -> StopDecision:
        """Decide on the next attempt at a request."""
        return self.decide_on(
            exchange.route, exchange.fields, exchange.time_left, exchange.arrived_at
        )

    def decide_on(
        self, route: Route, fields: CallerFields, time_left: float, arrived_at: float
    ) -> StopDecision:
        """Decide on a request.

        :param time_left: seconds until it has to be answered
        :param arrived_at: event-loop time in seconds
        """
        size = read_answer_size(fields)
        estimate = self.durations.estimate(route.name, size, self.now())
        if estimate is not None:
            longest = max(estimate.longest, self.measure_running(route, size))
            estimate = estimate._replace(longest=longest)
        outlook = RequestOutlook(time_left, estimate, arrived_at)
        return decide(self.schedule, outlook, self.now())

    def measure_running(self, route: Route, size: float) -> float:
        """Return the seconds that a request of a route has lasted at most so far.

        While upstreams grow slower, these show it before the lengths of those that have ended.

        :param size: stated size of the answer in tokens; smaller ones are left out
        """
        now = self.now()
        smallest = find_size_class(size)
        lengths = (
            now - exchange.arrived_at
            for exchange in self.running
            if exchange.route.name == route.name
            and find_size_class(read_answer_size(exchange.fields)) >= smallest
        )
        return max(lengths, default=0.0)

    def note_ended(self, exchange: Exchange, outcome: str, seconds: float) -> None:
        """Record the outcome of a request, and its length if others may last as long.

        :param seconds: time since it arrived
        """
        if outcome in MEASURED_OUTCOMES:
            size = read_answer_size(exchange.fields)
            self.durations.add(exchange.route.name, size, seconds, self.now())
        if self.schedule is not None:
            self.outcomes[outcome] += 1

    def name_cancelled(self, exchange: Exchange, outcome: str) -> str:
        """Name the outcome of a cancelled request, and log it if the stop cut it.

        :param outcome: the outcome if the caller has gone
        """
        if self.schedule is None or exchange.stream.channel.peer_closed:
            return outcome
        self.log.write(
            "stop_cut",
            request=exchange.fields.request_id,
            route=exchange.route.name,
            begun=exchange.stream.response_started,
            arrived_s=round(exchange.arrived_at - self.schedule.started_at, 3),
            tries=len(exchange.attempts),
            last_upstream=exchange.upstream,
            **self.describe(exchange.stop_decision or self.decide(exchange)),
        )
        return CUT_OUTCOME

    def note_carried(self, exchange: Exchange, attempt: UpstreamAttempt) -> None:
        """Log a request that another daemon carried while this one stops."""
        if self.schedule is None:
            return
        self.log.write_routine(
            "stop_carried",
            request=exchange.fields.request_id,
            route=exchange.route.name,
            carrier=attempt.carrier,
            result=attempt.result,
            **self.describe(exchange.stop_decision or self.decide(exchange)),
        )

    def describe(self, decision: StopDecision) -> dict[str, Any]:
        """Return the log fields of a decision: times in seconds, and what they rest on."""
        return {
            "since_s": round(self.now() - self.schedule.started_at, 3),
            "left_s": round(self.schedule.answers_end_at - self.now(), 3),
            "expected_s": round(decision.seconds, 3),
            "basis": decision.basis,
        }

    def report(self, cut: int) -> None:
        """Log the counts of the stop.

        :param cut: callers' connections that were cut
        """
        self.log.write(
            "stopped",
            in_flight=cut,
            seconds=round(self.now() - self.schedule.started_at, 3),
            outcomes=dict(self.outcomes),
        )


def read_answer_size(fields: CallerFields) -> int:
    """Return the stated size of an answer in tokens, 0 if none is stated."""
    if fields.prompt is None:
        return 0
    return fields.prompt.expected_output_tokens or fields.prompt.max_output_tokens
