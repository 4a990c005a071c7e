"""Ports of loopback that stand-ins and daemons under test may listen on."""

__all__ = ["HOST", "find_port"]

import itertools
import os
import socket

HOST = "127.0.0.1"
FIRST_PORT = 15_000
PORT_COUNT = 15_000
PORT_NUMBERS = itertools.count(os.getpid() * 97)


def find_port() -> int:
    """Return a port that is free now.

    Ports are taken below those that the system gives to outgoing connections, which might take
    one between this question and its use.
    """
    while True:
        port = FIRST_PORT + next(PORT_NUMBERS) % PORT_COUNT
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port
