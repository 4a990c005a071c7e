"""What the kernel knows of a connection's peer."""

__all__ = ["has_unanswered_segments", "peer_answers"]

import socket
import struct

from tanagertrail.gateway.channel import Channel

# The first fields of Linux's struct tcp_info: state, congestion state, retransmissions of the
# oldest segment, keep-alive or window probes without an answer.
TCP_INFO_HEAD = struct.Struct("BBBB")


def has_unanswered_segments(info: bytes) -> bool:
    """Return whether retransmissions or probes are unanswered, from the value of ``TCP_INFO``."""
    _, _, retransmissions, probes = TCP_INFO_HEAD.unpack_from(info)
    return retransmissions > 0 or probes > 0


def peer_answers(channel: Channel) -> bool:
    """Return whether the peer's kernel acknowledges what was sent to it, as far as known.

    Keep-alive probes show this while the connection is idle, even if the peer's process stands
    still.
    """
    sock = channel.transport.get_extra_info("socket")
    if sock is None or channel.disconnected.is_set():
        return True
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_HEAD.size)
    return not has_unanswered_segments(info)
