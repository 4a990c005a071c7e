"""Data model of the configuration: services, versions, upstreams and failure domains.

Operators change the configuration by tickets.
"""

__all__ = [
    "Configuration",
    "FailureDomain",
    "Priority",
    "Service",
    "ServiceKind",
    "Target",
    "Upstream",
    "Version",
    "iter_upstreams",
]

import enum
from collections.abc import Iterator
from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN = r"^[a-z0-9][a-z0-9._-]{0,62}$"
ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"


class ServiceKind(enum.StrEnum):
    """Protocol of a service."""

    MODEL = "model"
    RECORDS = "records"


class Priority(enum.IntEnum):
    """Priority classes of requests, most urgent first."""

    REPORT_LATE = 0
    QUESTION = 1
    REPORT = 2
    TAG = 3


class FrozenModel(BaseModel):
    """Base class of configuration values: immutable, unknown fields are rejected."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Upstream(FrozenModel):
    """One replica that runs one version of a service.

    :ivar slots: most requests in flight when warm
    :ivar cold_slots: most requests in flight during a cold start
    :ivar checks_fencing: whether it rejects orders with an outdated fencing token
    :ivar reclaimable: whether the platform may reclaim its instance
    :ivar price: price of its instance
    """

    name: str = Field(pattern=NAME_PATTERN)
    address: str = Field(pattern=ADDRESS_PATTERN)
    failure_domain: str = Field(pattern=NAME_PATTERN)
    slots: int = Field(default=8, ge=1, le=4096)
    cold_slots: int = Field(default=2, ge=1, le=4096)
    checks_fencing: bool = True
    reclaimable: bool = True
    price: float = Field(default=1.0, ge=0)


class Version(FrozenModel):
    """One version of a service and its replicas."""

    upstreams: tuple[Upstream, ...] = ()


class Target(FrozenModel):
    """The version that a service is to be rolled out to.

    :ivar within: seconds after the ticket's commit within which the rollout must be done
    :ivar stages: increasing shares of the traffic for the new version; the last one is 1
    :ivar watch: seconds after the last stage for which the old version is kept for a rollback
    """

    version: str = Field(pattern=NAME_PATTERN)
    within: float = Field(gt=0, le=86400)
    stages: tuple[float, ...] = (0.02, 0.1, 0.3, 1.0)
    watch: float = Field(default=30.0, ge=0, le=86400)


class Service(FrozenModel):
    """A service to which requests are routed.

    :ivar current: the version that serves while no rollout is in progress
    :ivar non_repeatable: path prefixes whose requests may run at most once
    :ivar token_gap: expected seconds between tokens of a warm upstream
    :ivar answer_time: expected seconds in which a warm upstream answers a non-streamed request
    """

    kind: ServiceKind = ServiceKind.MODEL
    versions: dict[str, Version]
    current: str = Field(pattern=NAME_PATTERN)
    target: Target | None = None
    non_repeatable: tuple[str, ...] = ()
    token_gap: float = Field(default=0.032, gt=0, le=60)
    answer_time: float = Field(default=0.25, gt=0, le=600)


class FailureDomain(FrozenModel):
    """A failure domain and whether its upstreams are used (``in``) or not (``out``)."""

    state: Literal["in", "out"] = "in"


class Configuration(FrozenModel):
    """The complete configuration after a ticket was applied.

    :ivar number: number of the last ticket applied
    :ivar origins: number of the ticket that last set an item, by item
    """

    number: int = 0
    services: dict[str, Service] = Field(default_factory=dict)
    failure_domains: dict[str, FailureDomain] = Field(default_factory=dict)
    origins: dict[str, int] = Field(default_factory=dict)


def iter_upstreams(service: Service) -> Iterator[tuple[str, Upstream]]:
    """Yield (version name, upstream) for each replica of a service."""
    for version_name, version in service.versions.items():
        for upstream in version.upstreams:
            yield version_name, upstream
