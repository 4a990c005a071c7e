"""Calls of the platform's cloud API, each the duty of one daemon at a time."""

__all__ = ["CloudClient", "CloudResult", "FleetOrder"]

import asyncio
import enum
import json
import socket
import struct
from concurrent.futures import ThreadPoolExecutor
from typing import Any, NamedTuple

import urllib3

RESPONSE_TIMEOUT_SECONDS = 0.6
CONNECT_TIMEOUT_SECONDS = 0.3
MAX_CALL_SECONDS = RESPONSE_TIMEOUT_SECONDS + CONNECT_TIMEOUT_SECONDS
THREAD_COUNT = 2
LEASE_HOLDER_HEADER = "Tanagertrail-Lease-Holder"
FENCING_TOKEN_HEADER = "Tanagertrail-Fence-Token"
# A call that timed out must not arrive later: closing resets, which drops what is on its way.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
]


class CloudResult(enum.StrEnum):
    """What a call came to."""

    DONE = "done"
    NOT_AVAILABLE = "not available"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class FleetOrder(NamedTuple):
    """An order for a number of upstreams.

    :ivar desired: upstreams of this kind that are to be there
    """

    service: str
    failure_domain: str
    reclaimable: bool
    desired: int


class CloudClient:
    """Call the cloud API from threads."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=THREAD_COUNT, retries=False, socket_options=SOCKET_OPTIONS
        )
        self.executor = ThreadPoolExecutor(THREAD_COUNT, thread_name_prefix="cloud")

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> CloudResult:
        """Report the requests of each customer that began in a window."""
        return await self.call("/usage", holder, fencing, {"window_id": window, "counts": counts})

    async def order_upstreams(self, holder: str, fencing: int, order: FleetOrder) -> CloudResult:
        """Order a number of upstreams of one kind."""
        document: dict[str, Any] = {
            "service": order.service,
            "zone": order.failure_domain,
            "desired": order.desired,
        }
        if order.reclaimable:
            document["spot"] = True
        return await self.call("/scale", holder, fencing, document)

    async def call(
        self, path: str, holder: str, fencing: int, document: dict[str, Any]
    ) -> CloudResult:
        """Make one call."""
        headers = {
            "Content-Type": "application/json",
            LEASE_HOLDER_HEADER: holder,
            FENCING_TOKEN_HEADER: str(fencing),
        }
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self.executor, self.send, path, headers, json.dumps(document)
        )

    def send(self, path: str, headers: dict[str, str], body: str) -> CloudResult:
        """Send one call and read its answer; runs in a thread."""
        timeouts = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=RESPONSE_TIMEOUT_SECONDS)
        try:
            response = self.pool.request("POST", path, body=body, headers=headers, timeout=timeouts)
        except urllib3.exceptions.HTTPError:
            return CloudResult.UNKNOWN
        if 200 <= response.status < 300:
            return CloudResult.DONE
        return CloudResult.NOT_AVAILABLE if response.status == 409 else CloudResult.REFUSED

    def close(self) -> None:
        """Drop the connections."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.pool.close()
