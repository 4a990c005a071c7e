"""A stand-in of the cloud API, which records the duties done."""

__all__ = ["StandInCloud"]

import asyncio
import json
from typing import Any, NamedTuple

from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.platform.cloud import FENCING_TOKEN_HEADER, LEASE_HOLDER_HEADER
from tanagertrail.standins.base import BaseStandIn


class DutyCall(NamedTuple):
    """A call of the cloud API."""

    path: str
    holder: str
    fencing: int
    document: dict[str, Any]


class StandInCloud(BaseStandIn):
    """Take calls and keep them.

    :ivar silent: whether calls are kept and not answered
    """

    def __init__(self) -> None:
        self.calls: list[DutyCall] = []
        self.silent = False
        super().__init__("cloud")

    async def handle(self, request: CallerRequest, stream: CallerStream) -> None:
        """Take a call."""
        table = dict(request.headers)
        self.calls.append(
            DutyCall(
                request.path,
                table.get(LEASE_HOLDER_HEADER.lower().encode(), b"").decode(),
                int(table.get(FENCING_TOKEN_HEADER.lower().encode(), b"0")),
                json.loads(request.body),
            )
        )
        if self.silent:
            await asyncio.sleep(3600)
        stream.send_response(200, [], b"")
