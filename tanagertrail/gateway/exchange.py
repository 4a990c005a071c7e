"""One request of a caller on its way, and what each try at an upstream came to."""

__all__ = ["Exchange", "UpstreamAttempt", "AttemptResult"]

import asyncio
import enum
from typing import NamedTuple

from tanagertrail.gateway.http1 import CallerRequest, CallerStream, ResponseHead
from tanagertrail.gateway.model import Customer, Route
from tanagertrail.gateway.sse import EventSplitter
from tanagertrail.outcomes import Step
from tanagertrail.platform.fields import CallerFields


class AttemptResult(enum.StrEnum):
    """How a try at one upstream ended.

    ``NOT_SENT`` and ``REFUSED`` prove that the request has not run there. ``MISDIRECTED`` is the
    refusal of another upstream that now has the address. After ``BROKEN`` it may have run.
    ``FAILED`` is a whole answer of the upstream that reports a failure.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed out"


class UpstreamAttempt(NamedTuple):
    """A try at one upstream.

    :ivar step: where it ended
    :ivar head: head of a whole answer that was not delivered, with its body
    """

    result: AttemptResult
    step: Step
    upstream: str
    reason: str = ""
    head: ResponseHead | None = None
    body: bytes = b""

    @property
    def proves_not_run(self) -> bool:
        """Say whether the request has certainly not run in this try."""
        return self.result in (
            AttemptResult.NOT_SENT,
            AttemptResult.REFUSED,
            AttemptResult.MISDIRECTED,
        )


class Exchange:
    """A caller's request with all that was decided on it.

    :ivar arrived: event-loop time in seconds
    :ivar deadline: event-loop time in seconds by which the answer must end
    :ivar service: service that was chosen among the route's
    :ivar upstream: upstream that it was sent to last, empty for none
    :ivar attempts: tries so far
    :ivar fingerprint: what stays the same when its caller sends it again under a new id
    :ivar sent_at: event-loop time in seconds at which the last try began
    :ivar splitter: events of a streamed answer that have been passed on
    """

    def __init__(
        self,
        request: CallerRequest,
        stream: CallerStream,
        fields: CallerFields,
        route: Route,
        customer: Customer | None,
        fingerprint: str,
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.request = request
        self.stream = stream
        self.fields = fields
        self.route = route
        self.customer = customer
        self.arrived_at = now
        timeout = fields.deadline if fields.deadline is not None else route.timeout
        self.deadline = now + min(timeout, route.timeout)
        self.service = ""
        self.upstream = ""
        self.attempts: list[UpstreamAttempt] = []
        self.fingerprint = fingerprint
        self.splitter = EventSplitter(fields.last_event)
        self.first_byte_at: float | None = None
        self.sent_at = now

    @property
    def priority(self) -> int:
        """Return the rank of the request; a customer's goes before its route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def time_left(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def sent_count(self) -> int:
        """Return the upstreams that the request was sent to."""
        return sum(
            attempt.result not in (AttemptResult.NOT_SENT, AttemptResult.MISDIRECTED)
            for attempt in self.attempts
        )

    @property
    def known_not_run(self) -> bool:
        """Say whether no try can have run."""
        return all(attempt.proves_not_run for attempt in self.attempts)

    def find_last_failure(self) -> UpstreamAttempt | None:
        """Return the last try in which an upstream answered with a failure of its own."""
        failures = (
            attempt for attempt in reversed(self.attempts) if attempt.result is AttemptResult.FAILED
        )
        return next(failures, None)
