"""The platform's lagging list of instances."""

__all__ = ["BaseInstanceList", "Instance", "InstanceState", "MemoryInstanceList"]

import asyncio
import enum
from typing import NamedTuple

from tanagertrail.errors import StoreUnavailableError


class InstanceState(enum.StrEnum):
    """What the list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(NamedTuple):
    """One line of the list."""

    name: str
    failure_domain: str
    state: InstanceState = InstanceState.LIVE


class BaseInstanceList:
    """Contract: the list lags, but an instance missing after it was listed is gone."""

    async def read(self) -> list[Instance]:
        """Read the list.

        :raises PlatformError: if it cannot be read
        """
        raise NotImplementedError


class MemoryInstanceList(BaseInstanceList):
    """Keep the list in memory, and show changes after a lag.

    :ivar lag: seconds after which a change shows
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.lag = lag
        self.changes: list[tuple[float, str, Instance | None]] = []
        self.outage = False
        self.reads = 0

    def set_instance(self, instance: Instance) -> None:
        """Add or change an instance."""
        self.note(instance.name, instance)

    def remove_instance(self, name: str) -> None:
        """Remove an instance that is gone."""
        self.note(name, None)

    def note(self, name: str, instance: Instance | None) -> None:
        """Note a change with its time."""
        self.changes.append((asyncio.get_running_loop().time(), name, instance))

    async def read(self) -> list[Instance]:
        """Read the list as it was before the lag."""
        self.reads += 1
        if self.outage:
            raise StoreUnavailableError("the instance list is not reachable")
        shown: dict[str, Instance] = {}
        limit = asyncio.get_running_loop().time() - self.lag
        for at, name, instance in self.changes:
            if at > limit:
                break
            if instance is None:
                shown.pop(name, None)
            else:
                shown[name] = instance
        return list(shown.values())
