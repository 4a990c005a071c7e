"""The bytes of callers' bodies that are in progress, in one budget for all servers of a daemon."""

__all__ = ["EVENTS_PER_TURN", "BodyBudget", "BodyClaim", "RequestRefusedError"]

import asyncio
from collections import Counter
from collections.abc import Callable

from tanagertrail.errors import TanagertrailError
from tanagertrail.gateway.byte_blocks import ByteBlocks
from tanagertrail.policy.caller_budget import (
    NO_BUDGET,
    BodyProgress,
    CallerBudget,
    choose_yielding,
    compute_retry_after,
    estimate_length,
)

EVENTS_PER_TURN = 64  # of the parser; very small chunks cost some 10 us each


class RequestRefusedError(TanagertrailError):
    """A request has not run and is refused; its connection is closed afterwards.

    It is malformed, too large or too slow, or yields to others.

    :ivar status: status of the response
    :ivar retry_after: seconds after which the caller may send the request again, None to name none
    """

    def __init__(self, status: int, reason: str, retry_after: float | None = None) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class BodyClaim:
    """The part of the budget that one request holds, from its head to the end of its response.

    :ivar address: address of the caller
    :ivar announced: length that the request states, None for a chunked body
    :ivar longest: largest length of a body
    :ivar on_yield: called when the body yields
    :ivar data: what was received, empty once the body is complete or has yielded
    :ivar is_complete: whether the body was received, so that it cannot yield
    """

    def __init__(
        self,
        address: str,
        announced: int | None,
        longest: int,
        on_yield: Callable[[RequestRefusedError], None],
    ) -> None:
        self.address = address
        self.announced = announced
        self.longest = longest
        self.on_yield = on_yield
        self.began_at = asyncio.get_running_loop().time()
        self.data = ByteBlocks()
        self.is_complete = False

    @property
    def held(self) -> int:
        """Bytes that count, those of a complete body included."""
        return self.data.length

    @property
    def age(self) -> float:
        """Seconds since the head of the request was complete."""
        return asyncio.get_running_loop().time() - self.began_at

    @property
    def progress(self) -> BodyProgress:
        """How far the body has come."""
        expected = estimate_length(self.announced, self.held, self.longest)
        return BodyProgress(self.address, self.held, expected, self.age)

    def take_body(self) -> bytes:
        """Return the complete body."""
        self.is_complete = True
        return self.data.take()


class BodyBudget:
    """Bound the bytes of all bodies in progress.

    :ivar get_budget: returns the limits that are currently in force
    :ivar claims: claims of requests that hold bytes or may do so
    :ivar held: bytes of all claims
    :ivar yielded: bodies that yielded, by status of their response
    :ivar turns: held by the one body that goes on parsing in the current turn of the event loop
    """

    def __init__(self, get_budget: Callable[[], CallerBudget] = lambda: NO_BUDGET) -> None:
        self.get_budget = get_budget
        self.claims: set[BodyClaim] = set()
        self.held = 0
        self.yielded: Counter[int] = Counter()
        self.turns = asyncio.Lock()

    def open(self, claim: BodyClaim) -> BodyClaim:
        """Begin to count a body."""
        self.claims.add(claim)
        return claim

    def add(self, claim: BodyClaim, data: bytes) -> None:
        """Add bytes to a body, and let bodies yield if all exceed the limit.

        One body of the largest length never exceeds it.
        """
        if claim not in self.claims:
            return
        claim.data.add(data)
        self.held += len(data)
        limit = self.get_budget().body_bytes
        excess = self.held - max(limit, claim.longest)
        if limit and excess > 0:
            self.free(excess)

    def release(self, claim: BodyClaim) -> None:
        """Count a body no more."""
        if claim in self.claims:
            self.claims.discard(claim)
            self.held -= claim.held
            claim.data = ByteBlocks()

    def free(self, excess: int) -> None:
        """Let bodies yield that are still being received.

        :param excess: bytes to free
        """
        by_address: Counter[str] = Counter()
        for claim in self.claims:
            by_address[claim.address] += claim.held
        receiving = [claim for claim in self.claims if not claim.is_complete]
        bodies = [claim.progress for claim in receiving]
        for item in choose_yielding(bodies, excess, by_address, self.get_budget()):
            self.end(receiving[item.index], item.too_slow)

    def end(self, claim: BodyClaim, too_slow: bool) -> None:
        """Let a body yield."""
        seen = f"{claim.held} bytes in {claim.age:.1f} s, {self.held} bytes of all requests"
        self.release(claim)
        if too_slow:
            error = RequestRefusedError(408, f"the body arrives too slowly: {seen}")
        else:
            retry_after = compute_retry_after(self.yielded[503])
            error = RequestRefusedError(
                503, f"too many bodies are in progress: {seen}", retry_after
            )
        self.yielded[error.status] += 1
        claim.on_yield(error)

    async def take_turn(self) -> None:
        """Let the event loop turn, and let only one of the bodies that ask go on in each turn."""
        async with self.turns:
            await asyncio.sleep(0)
