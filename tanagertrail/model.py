"""The configuration that tickets change: services, versions, upstreams, failure domains."""

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
    """What a service speaks."""

    MODEL = "model"
    RECORDS = "records"


class Priority(enum.IntEnum):
    """Request classes, most urgent first."""

    REPORT_LATE = 0
    QUESTION = 1
    REPORT = 2
    TAG = 3


class FrozenModel(BaseModel):
    """Base of configuration values: immutable, with no unknown fields."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class Upstream(FrozenModel):
    """One replica that runs one version of a service.

    :ivar slots: requests in flight that it bears when warm
    :ivar cold_slots: requests in flight that it bears in cold start
    :ivar checks_fencing: whether it refuses orders with an old fencing number
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
    """One version of a service with its replicas."""

    upstreams: tuple[Upstream, ...] = ()


class Target(FrozenModel):
    """The version that a service is to be moved to.

    :ivar within: seconds from the ticket's commit by which the move must be done
    :ivar stages: rising shares of traffic, the last being 1
    :ivar watch: seconds for which the old version is held after the last stage
    """

    version: str = Field(pattern=NAME_PATTERN)
    within: float = Field(gt=0, le=86400)
    stages: tuple[float, ...] = (0.02, 0.1, 0.3, 1.0)
    watch: float = Field(default=30.0, ge=0, le=86400)


class Service(FrozenModel):
    """A routable service.

    :ivar current: the version that serves before and outside of any move
    :ivar non_repeatable: path prefixes whose calls may be made at most once
    :ivar token_gap: seconds between tokens that a warm upstream keeps
    :ivar answer_time: seconds in which a warm upstream answers a plain call
    """

    kind: ServiceKind = ServiceKind.MODEL
    versions: dict[str, Version]
    current: str = Field(pattern=NAME_PATTERN)
    target: Target | None = None
    non_repeatable: tuple[str, ...] = ()
    token_gap: float = Field(default=0.032, gt=0, le=60)
    answer_time: float = Field(default=0.25, gt=0, le=600)


class FailureDomain(FrozenModel):
    """A failure domain and whether it takes work."""

    state: Literal["in", "out"] = "in"


class Configuration(FrozenModel):
    """The whole state that is in force after a ticket.

    :ivar number: number of the last ticket applied
    :ivar origins: for each touched item, the number of the ticket that last set it
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
