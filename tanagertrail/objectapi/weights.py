"""The platform's rate-limited weight store."""

__all__ = ["BaseWeightStore", "MemoryWeightStore", "WeightGrant"]

import asyncio
from typing import NamedTuple

from tanagertrail.errors import RateLimitedError


class WeightGrant(NamedTuple):
    """Leave to load the weights of one version.

    :ivar seconds: time that the loading takes
    """

    name: str
    token: str
    seconds: float


class BaseWeightStore:
    """Contract of the weight store."""

    async def request_grant(self, name: str) -> WeightGrant:
        """Ask for leave to load weights.

        :raises RateLimitedError: if too many are being loaded
        """
        raise NotImplementedError


class MemoryWeightStore(BaseWeightStore):
    """Grant a number of loads in each period.

    :ivar per_minute: loads granted in a minute
    """

    def __init__(self, per_minute: int = 12, seconds: float = 5.0) -> None:
        self.per_minute = per_minute
        self.seconds = seconds
        self.granted: list[float] = []

    async def request_grant(self, name: str) -> WeightGrant:
        """Grant a load unless too many were granted in the last minute."""
        now = asyncio.get_running_loop().time()
        self.granted = [at for at in self.granted if at > now - 60.0]
        if len(self.granted) >= self.per_minute:
            raise RateLimitedError(f"over {self.per_minute} loads a minute")
        self.granted.append(now)
        return WeightGrant(name, f"{name}-{len(self.granted)}", self.seconds)
