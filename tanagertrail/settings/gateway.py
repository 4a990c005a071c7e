"""Schema of the gateway's own settings, beyond those that the platform writes."""

__all__ = ["GatewayTuning"]

from typing import Annotated

from pydantic import AfterValidator, Field

from tanagertrail.policy import expected_finish as _expected_finish  # noqa: F401  fills PLACEMENTS
from tanagertrail.policy.caller_budget import CallerShares
from tanagertrail.policy.fleet import FLEET_PLANNERS
from tanagertrail.policy.placement import PLACEMENTS
from tanagertrail.policy.room import RoomMode
from tanagertrail.registry import Registry
from tanagertrail.settings.ini_file import Section


def check_registered(registry: Registry) -> AfterValidator:
    """Build a validator that a value is a name in a registry."""

    def check(value: str) -> str:
        if value not in registry:
            raise ValueError(f"must be one of {', '.join(registry)}")
        return value

    return AfterValidator(check)


Share = Annotated[float, Field(ge=0, le=1)]


class MetricsSection(Section):
    """Port on which metrics are served, 0 for none."""

    port: Annotated[int, Field(ge=0, le=65535)] = 0


class PolicySection(Section):
    """Policies to use.

    :ivar placement: registered name; likewise ``fleet``
    :ivar startup_wait_ms: longest time for which a request waits until a daemon that has just
        started knows enough to serve it, 0 to refuse it at once
    :ivar room: what is done for requests that meet full upstreams
    """

    placement: Annotated[str, check_registered(PLACEMENTS)] = "expected_cost"
    fleet: Annotated[str, check_registered(FLEET_PLANNERS)] = "reclaimable"
    startup_wait_ms: Annotated[int, Field(ge=0, le=2000)] = 0
    room: RoomMode = RoomMode.OFF


class LogSection(Section):
    """Limits on logging.

    :ivar routine_lines_per_second: largest number of log lines per second for successful requests
    """

    routine_lines_per_second: Annotated[float, Field(ge=0, le=10_000)] = 60.0


class ResponsesSection(Section):
    """Limits on upstreams' responses.

    :ivar most_bytes: largest body of a response that is not streamed. It is held in memory as a
        whole, and many are read at once; typical ones have some KB.
    """

    most_bytes: Annotated[int, Field(ge=4096, le=16_777_216)] = 1_048_576


class CallersSection(Section):
    """Shares of the machine that all callers together may hold; 0 turns a limit off.

    :ivar body_memory_share: share of ``memory_mb`` for bodies of requests in progress. The copies
        that are made of a body to send it take as much again.
    :ivar unread_memory_share: share of ``memory_mb`` for responses that callers have not read
    :ivar connection_memory_share: share of ``memory_mb`` for connections and heads in progress
    :ivar descriptor_share: share of ``max_fds`` for callers' connections; other daemons and
        upstreams need the rest
    :ivar page_connections: connections to each page that the platform and its clients request
    :ivar address_share: share of the bytes of bodies beyond which one address yields first
    :ivar min_body_rate: bytes per second below which a body yields first; it counts only while
        another limit is reached, so that a caller alone may take its time
    """

    body_memory_share: Share = 0.2
    unread_memory_share: Share = 0.1
    connection_memory_share: Share = 0.2
    descriptor_share: Share = 0.35
    address_share: Share = 0.5
    page_connections: Annotated[int, Field(ge=0, le=10_000)] = 64
    min_body_rate: Annotated[float, Field(ge=0, le=1_000_000)] = 4096.0

    def list_shares(self) -> CallerShares:
        """Return the shares as the policy takes them."""
        return CallerShares(
            self.body_memory_share,
            self.unread_memory_share,
            self.connection_memory_share,
            self.descriptor_share,
            self.address_share,
            self.min_body_rate,
        )


class GatewayTuning(Section):
    """All of the gateway's own settings."""

    metrics: MetricsSection = MetricsSection()
    policy: PolicySection = PolicySection()
    log: LogSection = LogSection()
    answers: ResponsesSection = ResponsesSection()
    callers: CallersSection = CallersSection()
