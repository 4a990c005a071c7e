"""Schema of the gateway's own settings, beyond those that the platform writes."""

__all__ = ["GatewayTuning"]

from typing import Annotated

from pydantic import AfterValidator, Field

from tanagertrail.policy import expected_finish as _expected_finish  # noqa: F401  fills PLACEMENTS
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


class GatewayTuning(Section):
    """All of the gateway's own settings."""

    metrics: MetricsSection = MetricsSection()
    policy: PolicySection = PolicySection()
    log: LogSection = LogSection()
    answers: ResponsesSection = ResponsesSection()
