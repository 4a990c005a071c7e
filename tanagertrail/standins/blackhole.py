"""Sockets whose host answers nothing, as after its power or its link is lost."""

__all__ = ["drop_incoming", "pass_incoming"]

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26  # of Linux; the socket module does not name them
SO_DETACH_FILTER = 27
DROP_ALL = struct.pack("HBBI", 0x06, 0, 0, 0)  # the BPF instruction "return 0 bytes"


def drop_incoming(sock: socket.socket) -> None:
    """Make the kernel drop every segment for a socket, acknowledgements of probes included."""
    program = ctypes.create_string_buffer(DROP_ALL, len(DROP_ALL))
    sock.setsockopt(
        socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(program))
    )


def pass_incoming(sock: socket.socket) -> None:
    """Let the segments for a socket pass again."""
    sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
