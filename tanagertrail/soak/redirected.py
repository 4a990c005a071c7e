"""A daemon whose connections to some ports go to others, where proxies of its own listen."""

__all__ = ["PORTS_VARIABLE", "encode_ports", "redirect_connections"]

import signal

if __name__ == "__main__":
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # as the daemon's own program does

import asyncio
import json
import os
import socket
from typing import Any

from tanagertrail.gateway.program import main

PORTS_VARIABLE = "TANAGERTRAIL_SOAK_PORTS"


def encode_ports(ports: dict[int, int]) -> str:
    """Encode the ports that take the place of others."""
    return json.dumps(list(ports.items()))


def redirect_connections(ports: dict[int, int]) -> None:
    """Connect to other ports than those that are asked for, from now on."""
    connect = asyncio.SelectorEventLoop.sock_connect

    async def connect_redirected(
        loop: asyncio.SelectorEventLoop, sock: socket.socket, address: Any
    ) -> None:
        if isinstance(address, tuple):
            address = (address[0], ports.get(address[1], address[1]), *address[2:])
        await connect(loop, sock, address)

    asyncio.SelectorEventLoop.sock_connect = connect_redirected


if __name__ == "__main__":
    redirect_connections(dict(json.loads(os.environ[PORTS_VARIABLE])))
    main()
