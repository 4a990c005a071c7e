"""A caller's request in progress, and the results of the attempts at upstreams."""

__all__ = ["AttemptResult", "Exchange", "UpstreamAttempt", "compute_timeout"]

import asyncio
import enum
from typing import NamedTuple

from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.model import Customer, Route
from tanagertrail.gateway.sse import EventSplitter
from tanagertrail.gateway.upstream_stream import Representation, ResponseHead
from tanagertrail.outcomes import Step
from tanagertrail.platform.header_fields import CallerFields
from tanagertrail.policy.reading import Reading
from tanagertrail.policy.stop_admission import StopDecision


def compute_timeout(route: Route, fields: CallerFields) -> float:
    """Return the seconds within which a request must be answered."""
    return route.timeout if fields.timeout is None else min(fields.timeout, route.timeout)


class AttemptResult(enum.StrEnum):
    """How an attempt at one upstream ended.

    ``NOT_SENT`` and ``REFUSED`` prove that the request did not run there. ``MISDIRECTED`` is the
    refusal of a different upstream that has taken over the address. After ``BROKEN``,
    ``TIMED_OUT`` and ``DOUBTFUL``, a refusal that may belong to another request, it may have run.
    ``FAILED`` is a complete response of the upstream that reports an error.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    MISDIRECTED = "misdirected"
    DOUBTFUL = "doubtful"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "timed out"


class UpstreamAttempt(NamedTuple):
    """The result of sending a request to one upstream.

    :ivar step: step at which the attempt ended
    :ivar head: status and headers of a complete response that was not delivered, if any
    :ivar body: body of that response
    :ivar completed: whether a success was delivered whole, with an end that its framing shows
    :ivar carrier: daemon that made the attempt for this one, empty if this daemon made it itself
    """

    result: AttemptResult
    step: Step
    upstream: str
    reason: str = ""
    head: ResponseHead | None = None
    body: bytes = b""
    completed: bool = False
    carrier: str = ""

    @property
    def proves_not_run(self) -> bool:
        """Whether this attempt cannot have run the request."""
        return self.result in (
            AttemptResult.NOT_SENT,
            AttemptResult.REFUSED,
            AttemptResult.MISDIRECTED,
        )


class Exchange:
    """A caller's request and the state of its processing.

    :ivar arrived_at: event-loop time of arrival in seconds
    :ivar deadline: event-loop time in seconds by which the response must be complete
    :ivar service: the service chosen among those of the route
    :ivar upstream: id of the upstream of the last attempt, empty before the first one
    :ivar attempts: finished attempts, oldest first
    :ivar fingerprint: hash that is the same for every resend of the request
    :ivar part_keys: hashes of the prompt's parts that other requests may have too
    :ivar sent_at: event-loop time in seconds at which the last attempt began
    :ivar splitter: parser of a streamed response, kept over the attempts so that it can resume
    :ivar begun: representation of the stream that the caller is being sent, None before or if the
        origin does not state it
    :ivar free_refusals: upstreams' refusals that used up none of the route's attempts
    :ivar wait_began_at: event-loop time in seconds at which it began to wait for a place, else None
    :ivar resend_claimed: whether the retry budget has a place for the next attempt
    :ivar first_byte_at: event-loop time in seconds of the first byte sent to the caller
    :ivar continues: whether the origin has sent its caller events of this stream
    :ivar origin: daemon that this one carries the request for, empty for an own request
    :ivar carrier: daemon that was last asked to carry the request, empty if none was
    :ivar refusal: refusal of the carriers that were asked, None if none has refused for good
    :ivar reading: what the upstream of the last attempt has to read of the prompt, None if unknown
    :ivar stop_decision: why a planned stop allowed the last attempt, None before it
    """

    def __init__(
        self,
        request: CallerRequest,
        stream: CallerStream,
        fields: CallerFields,
        route: Route,
        customer: Customer | None,
        fingerprint: str,
        part_keys: tuple[str, ...] = (),
        waited: float = 0.0,
    ) -> None:
        """Create the state of a request.

        :param waited: seconds for which it has waited in this daemon already
        """
        now = asyncio.get_running_loop().time() - waited
        self.request = request
        self.stream = stream
        self.fields = fields
        self.route = route
        self.customer = customer
        self.arrived_at = now
        self.deadline = now + compute_timeout(route, fields)
        self.service = ""
        self.upstream = ""
        self.attempts: list[UpstreamAttempt] = []
        self.fingerprint = fingerprint
        self.part_keys = part_keys
        self.splitter = EventSplitter(fields.last_event_id)
        self.begun: Representation | None = None
        self.free_refusals = 0
        self.wait_began_at: float | None = None
        self.resend_claimed = False
        self.first_byte_at: float | None = None
        self.continues = False
        self.origin = ""
        self.carrier = ""
        self.refusal: Refusal | None = None
        self.stop_decision: StopDecision | None = None
        self.reading: Reading | None = None
        self.sent_at = now + waited

    @property
    def priority(self) -> int:
        """The priority of the request, 0 first; the customer's overrides the route's."""
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def is_continuation(self) -> bool:
        """Whether the caller has events of this stream, or is being sent them."""
        return self.continues or self.begun is not None

    @property
    def time_left(self) -> float:
        """Seconds until the deadline, negative after it."""
        return self.deadline - asyncio.get_running_loop().time()

    @property
    def sent_count(self) -> int:
        """The number of upstreams that received the request."""
        return sum(
            attempt.result not in (AttemptResult.NOT_SENT, AttemptResult.MISDIRECTED)
            for attempt in self.attempts
        )

    @property
    def known_not_run(self) -> bool:
        """Whether no attempt can have run the request."""
        return all(attempt.proves_not_run for attempt in self.attempts)

    def find_last_failure(self) -> UpstreamAttempt | None:
        """Return the last attempt in which an upstream responded with an error of its own."""
        failures = (
            attempt for attempt in reversed(self.attempts) if attempt.result is AttemptResult.FAILED
        )
        return next(failures, None)
