"""Ports of loopback that stand-ins and daemons under test may listen on."""

__all__ = ["HOST", "claim_block", "find_port", "find_port_pair"]

import functools
import itertools
import os
import socket
from collections.abc import Iterator
from typing import NamedTuple

HOST = "127.0.0.1"
FIRST_PORT = 15_000
BLOCK_PORTS = 600
BLOCK_COUNT = 25


class PortBlock(NamedTuple):
    """A range of ports that one process uses.

    :ivar claim: listening socket on the first port, held so that no other process takes the block
    :ivar numbers: the other ports, again and again
    """

    claim: socket.socket
    numbers: Iterator[int]


def claim_block() -> PortBlock:
    """Claim a block of ports for this process.

    A daemon that is killed frees its port until it is started again. Another process that tests
    beside this one must not take it meanwhile.

    :raises OSError: if other processes hold all blocks
    """
    for offset in range(BLOCK_COUNT):
        first = FIRST_PORT + (os.getpid() + offset) % BLOCK_COUNT * BLOCK_PORTS
        claim = socket.socket()
        try:
            claim.bind((HOST, first))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return PortBlock(claim, itertools.cycle(range(first + 1, first + BLOCK_PORTS)))
    raise OSError(f"other processes hold all {BLOCK_COUNT} blocks of test ports")


@functools.cache
def get_own_block(process_id: int) -> PortBlock:
    """Return the block that this process has claimed."""
    return claim_block()


def find_port() -> int:
    """Return a port that is free now.

    Ports are taken below those that the system gives to outgoing connections, which might take
    one between this question and its use.
    """
    for port in get_own_block(os.getpid()).numbers:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
            return port
    raise AssertionError("a cycle has no end")


def find_port_pair() -> tuple[int, int]:
    """Return two ports that are free now and follow each other."""
    first, second = find_port(), find_port()
    while second != first + 1:
        first, second = second, find_port()
    return first, second
