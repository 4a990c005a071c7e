"""Requests that this daemon has another one carry to an upstream."""

__all__ = ["CarryClient"]

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection

from tanagertrail.gateway.admission import Refusal
from tanagertrail.gateway.answer_relay import relay_attempt
from tanagertrail.gateway.carrier_transport import HOP_MARGIN_SECONDS, CarrierTransport
from tanagertrail.gateway.carry_protocol import CarriedResult, CarryOutcome
from tanagertrail.gateway.exchange import Exchange, UpstreamAttempt
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.pools import CONNECT_SECONDS, ConnectionPools
from tanagertrail.gateway.suspects import SuspectTracker
from tanagertrail.gateway.upstream_sender import (
    EXECUTED_RESULTS,
    UNSAFE_REUSE_SECONDS,
    UpstreamSender,
)
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.policy.carrier_choice import CarrierCandidate, CarrierChooser
from tanagertrail.policy.retry_after import estimate_retry_after

MAX_CARRIERS = 3  # that one attempt asks
REFRESH_SECONDS = 0.1  # a look at all members of a large fleet costs as much as a request


class CarryClient:
    """Send requests to other daemons that carry them to upstreams.

    A hop that breaks after the request was sent proves nothing about the request, and nothing
    about an upstream.

    :ivar carriers: daemons that can carry requests, by name, as of ``refreshed_at``
    :ivar may_begin: returns whether an attempt at a request may begin
    :ivar in_flight: requests that other daemons carry for this one
    :ivar results: carried attempts that have ended, by result
    """

    def __init__(
        self,
        members: MemberTable,
        sender: UpstreamSender,
        suspects: SuspectTracker,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.sender = sender
        self.suspects = suspects
        self.rng = rng
        self.pools = ConnectionPools()
        self.chooser = CarrierChooser(rng)
        self.carriers: dict[str, Member] = {}
        self.candidates: list[CarrierCandidate] = []
        self.refreshed_at = float("-inf")
        self.may_begin: Callable[[Exchange], bool] = lambda exchange: True
        self.in_flight = 0
        self.results: Counter[str] = Counter()

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def send_attempt(
        self, exchange: Exchange, among: Collection[str] | None = None
    ) -> UpstreamAttempt | Refusal:
        """Have one carrier make an attempt and relay the response if it is a success.

        A carrier that has not sent the request on is followed by another one.

        :param among: the only daemons to ask, None for all
        :raises CallerGoneError: if the caller has closed its connection
        """
        refusal = Refusal(
            503, "no daemon can carry the request", self.estimate_retry_after(), {"carriers": 0}
        )
        asked: list[str] = []
        while len(asked) < MAX_CARRIERS and exchange.time_left > HOP_MARGIN_SECONDS:
            if not self.may_begin(exchange):
                break
            carrier = self.choose_carrier(exchange, asked, among)
            if carrier is None:
                break
            asked.append(carrier.daemon)
            ended = await self.ask_carrier(exchange, carrier)
            if isinstance(ended, UpstreamAttempt):
                self.results[ended.result.value] += 1
                return ended
            self.results[ended.outcome.value] += 1
            refusal = self.build_refusal(ended, asked)
            if ended.outcome is CarryOutcome.DECLINED:
                break
            self.note_refused(carrier, ended)
        return refusal

    def note_refused(self, carrier: Member, result: CarriedResult) -> None:
        """Leave a carrier out for a while if it would refuse other requests too."""
        if result.outcome is CarryOutcome.CUT_OFF:
            self.chooser.note_unreachable(carrier.daemon, self.now())
        elif result.outcome is CarryOutcome.NOT_CARRIED:
            self.chooser.note_refused(carrier.daemon, self.now())

    def choose_carrier(
        self, exchange: Exchange, asked: list[str], among: Collection[str] | None = None
    ) -> Member | None:
        """Choose the daemon that carries a request, None if there is none.

        :param asked: daemons that have refused it
        :param among: the only daemons to choose from, None for all
        """
        now = self.now()
        self.refresh_carriers(now)
        broken = {attempt.carrier for attempt in exchange.attempts if not attempt.proves_not_run}
        candidates = self.candidates
        if among is not None:
            candidates = [item for item in candidates if item.daemon in among]
        return self.carriers.get(self.chooser.choose(candidates, asked, broken, now) or "")

    def has_carrier(self, exchange: Exchange) -> bool:
        """Return whether a daemon may be asked to carry a request now."""
        return self.choose_carrier(exchange, []) is not None

    def refresh_carriers(self, now: float) -> None:
        """Look up which daemons can carry requests, unless that was done just now."""
        if now - self.refreshed_at < REFRESH_SECONDS:
            return
        self.refreshed_at = now
        self.carriers = {member.daemon: member for member in self.members.list_carriers(now)}
        own_domain = self.members.own.failure_domain
        self.candidates = [
            CarrierCandidate(name, member.failure_domain == own_domain)
            for name, member in self.carriers.items()
        ]

    def build_refusal(self, result: CarriedResult, asked: list[str]) -> Refusal:
        """Return the refusal of a request that a carrier did not send on."""
        retry_after = result.retry_after
        if retry_after is None:
            retry_after = self.estimate_retry_after()
        return Refusal(503, result.reason, retry_after, {"carriers": len(asked), "asked": asked})

    def estimate_retry_after(self) -> float:
        """Return the ``Retry-After`` value in seconds of a request without a carrier."""
        return estimate_retry_after(None, 0.0, self.rng.random())

    async def ask_carrier(
        self, exchange: Exchange, carrier: Member
    ) -> UpstreamAttempt | CarriedResult:
        """Send a request to a carrier; a result without an attempt proves that it did not run."""
        exchange.carrier = carrier.daemon
        exchange.sent_at = self.now()
        self.in_flight += 1
        self.chooser.note_sent(carrier.daemon)
        stream = None
        try:
            stream = await self.connect(exchange, carrier)
            transport = CarrierTransport(exchange, stream, carrier, self.members)
            attempt = await relay_attempt(transport, self.sender.most_bytes)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            if stream is not None:
                raise
            self.chooser.note_unreachable(carrier.daemon, self.now())
            reason = f"the carrier cannot be reached: {error!r}"[:100]
            return CarriedResult("", CarryOutcome.NOT_CARRIED, reason=reason)
        finally:
            self.in_flight -= 1
            self.chooser.note_ended(carrier.daemon)
            if stream is not None:
                self.pools.release(carrier.carrier, stream)
        if transport.refusal is not None:
            return transport.refusal
        if attempt.result in EXECUTED_RESULTS:
            self.suspects.note_answered(exchange.fingerprint)
        exchange.upstream = attempt.upstream or exchange.upstream
        return attempt._replace(carrier=carrier.daemon)

    async def connect(self, exchange: Exchange, carrier: Member) -> UpstreamStream:
        """Return a pooled connection to a carrier, or open one.

        :raises OSError: if it cannot be opened
        :raises TimeoutError: if that takes too long
        """
        has_id = bool(exchange.fields.request_id)  # without one no answer is attributable
        pooled = self.pools.acquire(carrier.carrier) if has_id else None
        if pooled is not None:
            if exchange.route.idempotent or self.now() - pooled.idle_since < UNSAFE_REUSE_SECONDS:
                return pooled
            pooled.abort()
        timeout = min(CONNECT_SECONDS, max(exchange.time_left, 0.01))
        return await self.pools.open(carrier.carrier, timeout)

    def close(self) -> None:
        """Close all idle connections."""
        self.pools.close()
