"""Client of the platform's cloud API.

Each kind of call is a duty that one daemon performs at a time, as the holder of a lease.
"""

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
MAX_RESPONSE_BYTES = 65_536  # of which only the status is used
LEASE_HOLDER_HEADER = "Tanagertrail-Lease-Holder"
FENCING_TOKEN_HEADER = "Tanagertrail-Fence-Token"
# SO_LINGER with a timeout of 0: closing a connection resets it and discards unsent data, so that a
# call that timed out does not arrive later.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)),
]


class CloudResult(enum.StrEnum):
    """Result of a call.

    ``NOT_AVAILABLE`` stands for status 409: the cloud has no such instances at present.
    ``UNKNOWN`` means that no response came; the call may or may not have had an effect.
    """

    DONE = "done"
    NOT_AVAILABLE = "not available"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class FleetOrder(NamedTuple):
    """Desired number of upstreams of one kind.

    :ivar reclaimable: whether the order is for instances that the cloud may reclaim
    :ivar desired: total number of such upstreams, including those that exist
    """

    service: str
    failure_domain: str
    reclaimable: bool
    desired: int


class CloudClient:
    """Call the cloud API from worker threads.

    A call states the lease holder and its fencing token, by which the cloud API can reject a former
    holder.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=THREAD_COUNT, retries=False, socket_options=SOCKET_OPTIONS
        )
        self.executor = ThreadPoolExecutor(THREAD_COUNT, thread_name_prefix="cloud")

    async def report_usage(
        self, holder: str, fencing: int, window: int, counts: dict[str, int]
    ) -> CloudResult:
        """Report how many requests of each customer started in a window."""
        return await self.call("/usage", holder, fencing, {"window_id": window, "counts": counts})

    async def order_upstreams(self, holder: str, fencing: int, order: FleetOrder) -> CloudResult:
        """Set the desired number of upstreams of one kind."""
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
        """Make one call in a worker thread."""
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
        """Send one call and read the response; runs in a worker thread."""
        timeouts = urllib3.Timeout(connect=CONNECT_TIMEOUT_SECONDS, read=RESPONSE_TIMEOUT_SECONDS)
        try:
            response = self.pool.request(
                "POST", path, body=body, headers=headers, timeout=timeouts, preload_content=False
            )
            if len(response.read(MAX_RESPONSE_BYTES + 1)) > MAX_RESPONSE_BYTES:
                response.close()
            else:
                response.release_conn()
        except urllib3.exceptions.HTTPError:
            return CloudResult.UNKNOWN
        if 200 <= response.status < 300:
            return CloudResult.DONE
        return CloudResult.NOT_AVAILABLE if response.status == 409 else CloudResult.REFUSED

    def close(self) -> None:
        """Close the idle connections; calls in progress end by their timeouts."""
        self.executor.shutdown(wait=False, cancel_futures=True)
        self.pool.close()
