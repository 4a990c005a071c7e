"""Contract of a client of upstreams."""

__all__ = [
    "MAX_ANSWER_BYTES",
    "Attempt",
    "BaseUpstreamAnswer",
    "BaseUpstreamClient",
    "LoadReport",
    "Order",
    "OrderResult",
    "PlainAnswer",
    "RelayEnd",
]

from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from tanagertrail.errors import UpstreamProtocolError
from tanagertrail.model import Upstream
from tanagertrail.sinks import BaseSink

MAX_ANSWER_BYTES = 16_000_000  # of a plain answer, which is read as a whole


class Attempt(NamedTuple):
    """One try of a request at one upstream.

    :ivar attempt_id: identifies the try on every event of its answer
    :ivar timeout: seconds within which the whole answer must come
    :ivar resume_from: number of tokens that the caller already has
    :ivar resume_text: the text of those tokens
    """

    attempt_id: str
    service: str
    version: str
    upstream: Upstream
    method: str
    path: str
    body: bytes
    content_type: str = "application/json"
    priority: int = 1
    timeout: float = 60.0
    resume_from: int = 0
    resume_text: str = ""
    idempotency_key: str = ""


@dataclass(frozen=True)
class RelayEnd:
    """How the relaying of a streamed answer ended.

    :ivar next_sequence: number of tokens that the sink has
    :ivar crashed: whether the upstream closed its connection unasked
    :ivar caller_gone: whether the sink closed
    """

    complete: bool
    next_sequence: int
    reason: str = ""
    crashed: bool = False
    caller_gone: bool = False


class LoadReport(NamedTuple):
    """What an upstream says of its load, with a lag.

    :ivar cached_tokens: prompt tokens served from its prefix cache so far
    """

    upstream: str
    in_flight: int
    waiting: int
    cached_tokens: int
    cache_events: tuple[tuple[int, str, str], ...] = ()


class Order(NamedTuple):
    """An order to an upstream, repeatable under its key.

    :ivar kind: ``load``, ``unload``, ``role``, ``export_cache`` or ``import_cache``
    """

    kind: str
    target: str
    fencing: int
    key: str


class OrderResult(NamedTuple):
    """The answer to an order."""

    accepted: bool
    reason: str = ""
    content: str = ""


TokenObserver = Callable[[int, float, bytes], None]


class BaseUpstreamAnswer:
    """Contract of the answer to an attempt, whose head has come."""

    status: int = 200
    content_type: str = "application/json"
    streamed: bool = False
    tokens_recomputed: int = 0

    @property
    def next_sequence(self) -> int:
        """Return the number of tokens that the sink has."""
        return 0

    async def read_body(self, limit: int) -> bytes:
        """Read a whole body.

        :param limit: largest length in bytes
        :raises UpstreamProtocolError: if it is cut or too long
        """
        raise NotImplementedError

    async def relay(self, sink: BaseSink, observe: TokenObserver) -> RelayEnd:
        """Move the checked token events to a sink until the end.

        :param observe: called with (tokens, event-loop time, their events) as tokens come
        """
        raise NotImplementedError

    async def close(self) -> None:
        """Cancel what still runs and free the connection."""


class PlainAnswer(BaseUpstreamAnswer):
    """A plain answer that was read as a whole."""

    def __init__(self, status: int, content_type: str, body: bytes) -> None:
        self.status = status
        self.content_type = content_type
        self.body = body

    async def read_body(self, limit: int) -> bytes:
        """Return the body."""
        if len(self.body) > limit:
            raise UpstreamProtocolError(f"the answer exceeds {limit} bytes")
        return self.body


class BaseUpstreamClient:
    """Contract of a client of upstreams."""

    async def open(self, attempt: Attempt) -> BaseUpstreamAnswer:
        """Send an attempt and wait for the head of its answer.

        :raises UpstreamConnectError: if nothing was sent
        :raises UpstreamRefusedError: if the upstream proved not to have run it
        :raises UpstreamProtocolError: if it may have run
        """
        raise NotImplementedError

    async def read_load(self, upstream: Upstream) -> LoadReport:
        """Read a load report with the cache events since the last one.

        :raises UpstreamConnectError: if the upstream does not answer
        """
        raise NotImplementedError

    async def send_order(self, upstream: Upstream, order: Order) -> OrderResult:
        """Send an order.

        :raises UpstreamConnectError: if the upstream does not answer
        """
        raise NotImplementedError
