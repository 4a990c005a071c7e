"""The platform's cloud API: instances, prices, refused starts and reclaim notices."""

__all__ = ["BaseCloud", "MemoryCloud", "ReclaimNoticeRow", "StartRefusedError", "StartedInstance"]

import asyncio
import itertools
from typing import NamedTuple

from tanagertrail.errors import PlatformError, StoreUnavailableError


class StartRefusedError(PlatformError):
    """The cloud has no such instance to give."""


class ReclaimNoticeRow(NamedTuple):
    """Notice that an instance will be reclaimed.

    :ivar left: seconds until it is
    """

    instance: str
    left: float


class StartedInstance(NamedTuple):
    """An instance that was started."""

    name: str
    failure_domain: str
    reclaimable: bool


class BaseCloud:
    """Contract of the cloud API."""

    async def read_notices(self) -> list[ReclaimNoticeRow]:
        """Read the reclaim notices in force.

        :raises PlatformError: if they cannot be read
        """
        raise NotImplementedError

    async def start_instance(self, failure_domain: str, reclaimable: bool) -> StartedInstance:
        """Start an instance.

        :raises StartRefusedError: if there is none to give
        """
        raise NotImplementedError

    async def stop_instance(self, name: str) -> None:
        """Stop an instance for good."""
        raise NotImplementedError

    async def read_prices(self) -> dict[str, float]:
        """Read the hourly price by failure domain."""
        raise NotImplementedError


class MemoryCloud(BaseCloud):
    """Keep the cloud's state in memory."""

    def __init__(self) -> None:
        self.notices: dict[str, float] = {}
        self.prices: dict[str, float] = {}
        self.refused_domains: set[str] = set()
        self.started: dict[str, StartedInstance] = {}
        self.stopped: set[str] = set()
        self.numbers = itertools.count(1)
        self.outage = False

    def give_notice(self, instance: str, seconds: float) -> None:
        """Announce that an instance will be reclaimed after some seconds."""
        self.notices[instance] = asyncio.get_running_loop().time() + seconds

    def check_reachable(self) -> None:
        """Raise while the cloud API is down."""
        if self.outage:
            raise StoreUnavailableError("the cloud API is not reachable")

    async def read_notices(self) -> list[ReclaimNoticeRow]:
        """Read the reclaim notices in force."""
        self.check_reachable()
        now = asyncio.get_running_loop().time()
        return [ReclaimNoticeRow(name, max(at - now, 0.0)) for name, at in self.notices.items()]

    async def start_instance(self, failure_domain: str, reclaimable: bool) -> StartedInstance:
        """Start an instance."""
        self.check_reachable()
        if failure_domain in self.refused_domains:
            raise StartRefusedError(f"no instance to give in {failure_domain}")
        name = f"{failure_domain}-{next(self.numbers)}"
        self.started[name] = StartedInstance(name, failure_domain, reclaimable)
        return self.started[name]

    async def stop_instance(self, name: str) -> None:
        """Stop an instance for good."""
        self.check_reachable()
        self.stopped.add(name)

    async def read_prices(self) -> dict[str, float]:
        """Read the hourly price by failure domain."""
        self.check_reachable()
        return dict(self.prices)
