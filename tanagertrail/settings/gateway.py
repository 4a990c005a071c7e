"""Settings of the gateway's own, which the platform does not give."""

__all__ = ["GatewayTuning"]

from typing import Annotated

from pydantic import AfterValidator, Field

from tanagertrail.policy.fleet import FLEET_PLANNERS
from tanagertrail.policy.placement import PLACEMENTS
from tanagertrail.registry import Registry
from tanagertrail.settings.ini_file import Section


def check_registered(registry: Registry) -> AfterValidator:
    """Return a check that a value is registered."""

    def check(value: str) -> str:
        if value not in registry:
            raise ValueError(f"must be one of {', '.join(registry)}")
        return value

    return AfterValidator(check)


class MetricsSection(Section):
    """Where metrics are served; port 0 serves none."""

    port: Annotated[int, Field(ge=0, le=65535)] = 0


class PolicySection(Section):
    """Choices of policy by their registered names."""

    placement: Annotated[str, check_registered(PLACEMENTS)] = "expected_cost"
    fleet: Annotated[str, check_registered(FLEET_PLANNERS)] = "reclaimable"


class LogSection(Section):
    """How much is logged.

    :ivar routine_lines_per_second: most lines a second on requests that went well
    """

    routine_lines_per_second: Annotated[float, Field(ge=0, le=10_000)] = 60.0


class AnswersSection(Section):
    """What an upstream may answer.

    :ivar most_bytes: longest plain answer, which is read as a whole; they have some KB, and many
        are read at once
    """

    most_bytes: Annotated[int, Field(ge=4096, le=16_777_216)] = 1_048_576


class GatewayTuning(Section):
    """All settings of the gateway's own."""

    metrics: MetricsSection = MetricsSection()
    policy: PolicySection = PolicySection()
    log: LogSection = LogSection()
    answers: AnswersSection = AnswersSection()
