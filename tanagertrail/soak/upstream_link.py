"""Links to one upstream, a proxy for each daemon, so that one daemon alone can be cut off."""

__all__ = ["HANGING", "Cut", "UpstreamLink"]

import enum
import socket

from tanagertrail.soak.proxy import LinkState, LoopbackProxy
from tanagertrail.standins.ports import HOST, find_port

FILLING_CONNECTIONS = 2  # after which a socket that listens with no backlog answers none


class Cut(enum.Enum):
    """How a daemon's connections to an upstream fail."""

    HANG = "hang"
    RESET = "reset"
    REFUSE_NEW = "refuse new"
    ONE_WAY = "one way"


OPEN_STATES = {  # of connections that were open when the cut began
    Cut.HANG: LinkState.SILENT,
    Cut.RESET: LinkState.RESET,
    Cut.REFUSE_NEW: LinkState.PASS,
    Cut.ONE_WAY: LinkState.FORWARD_ONLY,
}
HANGING = frozenset({Cut.HANG, Cut.ONE_WAY})


class Unanswering:
    """A listening socket that leaves new connections without an answer."""

    def __init__(self, port: int) -> None:
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((HOST, port))
        self.listener.listen(0)
        self.filling = [socket.socket() for _ in range(FILLING_CONNECTIONS)]
        for filler in self.filling:
            filler.setblocking(False)
            filler.connect_ex((HOST, port))

    def close(self) -> None:
        """Close the socket and the connections that fill it."""
        for sock in (*self.filling, self.listener):
            sock.close()


class UpstreamLink:
    """Proxies between the daemons and one upstream.

    :ivar port: port that is registered; the first daemon connects to it
    :ivar links: proxy of each daemon
    :ivar state: what happens to the connections of daemons that are not cut off
    :ivar down: whether the upstream refuses connections
    :ivar cuts: how each daemon that is cut off is, by its number
    :ivar unanswering: sockets in place of proxies whose new connections hang
    """

    def __init__(self, daemons: int, target_port: int) -> None:
        self.links = [LoopbackProxy(HOST, find_port(), target_port) for _ in range(daemons)]
        self.port = self.links[0].port
        self.state = LinkState.PASS
        self.down = False
        self.cuts: dict[int, Cut] = {}
        self.unanswering: dict[int, Unanswering] = {}

    async def start(self) -> None:
        """Accept connections of all daemons that are not cut off."""
        self.down = False
        for number, link in enumerate(self.links):
            if number not in self.cuts:
                await link.start()

    def refuse(self) -> None:
        """Break all connections and refuse new ones, until it is started again."""
        self.down = True
        for link in self.links:
            link.refuse()

    def set_state(self, state: LinkState) -> None:
        """Treat the connections of daemons that are not cut off in another way from now on."""
        self.state = state
        for number, link in enumerate(self.links):
            if number not in self.cuts:
                link.set_state(state)

    def cut(self, number: int, cut: Cut) -> None:
        """Cut a daemon off."""
        self.cuts[number] = cut
        link = self.links[number]
        link.server.close()
        link.set_state(OPEN_STATES[cut])
        if cut in HANGING:
            self.unanswering[number] = Unanswering(link.port)

    async def heal(self, number: int) -> None:
        """Let a daemon that was cut off reach the upstream again."""
        self.cuts.pop(number)
        if number in self.unanswering:
            self.unanswering.pop(number).close()
        self.links[number].set_state(self.state)
        if not self.down:
            await self.links[number].start()

    def close(self) -> None:
        """Stop listening and close all connections."""
        for unanswering in self.unanswering.values():
            unanswering.close()
        for link in self.links:
            link.set_state(LinkState.PASS)
            link.close()
