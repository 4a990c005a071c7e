"""Connections between daemons, over which they exchange their states."""

__all__ = ["PeerLinks", "PeerServer", "pick_partners"]

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from tanagertrail.daemons.frames import encode_frame, read_frame
from tanagertrail.daemons.peer_messages import PeerAck, PeerRequest, PeerResponse, PeerUpdate
from tanagertrail.errors import FrameError
from tanagertrail.gateway.channel import set_socket_options
from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.state_sync import StateSync
from tanagertrail.policy.hubs import Topology, plan_topology

EXCHANGE_PERIOD_SECONDS = 0.5
RELAYED_PERIOD_SECONDS = 0.8  # where hubs relay states, over links of a few Mbit/s
EXCHANGE_SECONDS = 0.5
PUSH_SECONDS = 0.05  # news that comes within this span goes out together
SECOND_HUB_PERIODS = 3  # a state is told to the second hub this rarely, to be known if it steps in
STRANGERS = 2  # known but silent members that are tried in each period

Reply = TypeVar("Reply", PeerResponse, PeerAck)


def pick_partners(topology: Topology, period: int) -> tuple[str, ...]:
    """Return the members to exchange with in a period, which are numbered."""
    if topology.is_hub or period % SECOND_HUB_PERIODS == 0:
        return topology.partners
    return topology.partners[:1]


class PeerServer:
    """Answer the questions of other daemons."""

    def __init__(self, state_sync: StateSync, log: EventLog) -> None:
        self.state_sync = state_sync
        self.log = log
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: if the port is taken
        """
        self.server = await asyncio.start_server(self.serve, host, port, backlog=256)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer questions on one connection until it ends."""
        set_socket_options(writer.get_extra_info("socket"))
        self.writers.add(writer)
        try:
            while True:
                _, message = await read_frame(reader)
                writer.write(encode_frame(self.reply(message), 0))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the peer has ended or closed; its own link reports what it means
        except asyncio.CancelledError:
            pass  # the daemon stops; a stream's task that ends cancelled is logged as an error
        except (FrameError, TypeError, ValueError) as error:
            self.log.write("peer_frame_refused", error=repr(error)[:200])
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, message: object) -> PeerResponse | PeerAck:
        """Return the reply to a message.

        :raises FrameError: if it is none that may come here
        """
        if isinstance(message, PeerRequest):
            return self.state_sync.handle_request(message)
        if isinstance(message, PeerUpdate):
            return self.state_sync.handle_store_update(message)
        raise FrameError(f"unexpected message {type(message).__name__}")

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


class PeerLink:
    """A connection to one member, opened when needed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def exchange(self, message: PeerRequest | PeerUpdate, expected: type[Reply]) -> Reply:
        """Send a message and read the reply.

        :raises OSError: if the peer is not reached
        :raises FrameError: if its reply cannot be read
        """
        if self.writer is None or self.reader.at_eof():
            await self.open()
        self.writer.write(encode_frame(message, 0))
        await self.writer.drain()
        _, reply = await read_frame(self.reader)
        if not isinstance(reply, expected):
            raise FrameError(f"unexpected message {type(reply).__name__}")
        return reply

    async def open(self) -> None:
        """Connect."""
        self.close()
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        set_socket_options(self.writer.get_extra_info("socket"))

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


Talk = Callable[[str, PeerLink], Awaitable[None]]


class PeerLinks:
    """Exchange states with partners each period, and news of the store at once."""

    def __init__(
        self,
        state_sync: StateSync,
        members: MemberTable,
        log: EventLog,
        rng: random.Random,
        boot_time: BootClock,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.state_sync = state_sync
        self.members = members
        self.log = log
        self.rng = rng
        self.boot_time = boot_time
        self.seeds = seeds
        self.links: dict[str, PeerLink] = {}
        self.running: dict[str, asyncio.Task] = {}
        self.held_back: set[str] = set()
        self.periods = 0
        self.push_timer: asyncio.TimerHandle | None = None

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            self.start_period()
            direct = len(self.state_sync.topology.hubs) > len(self.members.states)
            period = EXCHANGE_PERIOD_SECONDS if direct else RELAYED_PERIOD_SECONDS
            await asyncio.sleep(period * self.rng.uniform(0.9, 1.1))

    def start_period(self) -> None:
        """Start the exchanges of a period."""
        now = asyncio.get_running_loop().time()
        for name in self.members.forget_silent(now):
            self.state_sync.forget(name)
        alive = [state.member.daemon for state in self.members.list_alive_members(now)]
        topology = plan_topology(self.members.own.daemon, alive, self.members.list_strengths())
        if topology != self.state_sync.topology:
            self.log.write_routine(
                "topology", rank=topology.rank, hub=topology.is_hub, hubs=len(topology.hubs)
            )
            self.state_sync.topology = topology
        self.periods += 1
        partners = pick_partners(topology, self.periods)
        for name in [*partners, *self.pick_strangers(set(alive))]:
            self.start_exchange(name, self.members.states[name].member.address)
        if not alive:
            for address in self.seeds:
                self.start_exchange(address, address)
        self.drop_links()

    def pick_strangers(self, alive: set[str]) -> list[str]:
        """Return some members that are known but silent, or that know nothing of this daemon."""
        silent = [name for name in self.members.states if name not in alive]
        return self.rng.sample(silent, min(STRANGERS, len(silent)))

    def drop_links(self) -> None:
        """Close the connections to members that are forgotten."""
        known = {state.member.address for state in self.members.states.values()}
        for address in [a for a in self.links if a not in known and a not in self.running]:
            self.links.pop(address).close()

    def push_news(self) -> None:
        """Tell the others soon that news of the store has come."""
        if self.push_timer is None:
            loop = asyncio.get_running_loop()
            self.push_timer = loop.call_later(PUSH_SECONDS, self.send_news)

    def send_news(self) -> None:
        """Tell those that lack what is known here."""
        self.push_timer = None
        for name in self.state_sync.list_outdated_peers():
            state = self.members.states.get(name)
            if state is not None:
                self.start_push(name, state.member.address)

    def tell_all(self) -> None:
        """Exchange with all partners and with those that asked lately."""
        for name in {*self.state_sync.topology.partners, *self.state_sync.last_request_at}:
            state = self.members.states.get(name)
            if state is not None:
                self.start_exchange(name, state.member.address)

    def start_exchange(self, name: str, address: str) -> None:
        """Start an exchange unless one with the same daemon runs."""
        self.start_talk(name, address, self.exchange_states)

    def start_push(self, name: str, address: str) -> None:
        """Start to send news, after an exchange with the same daemon if one runs."""
        if not self.start_talk(name, address, self.push_to):
            self.held_back.add(name)

    def start_talk(self, name: str, address: str, talk: Talk) -> bool:
        """Start to talk with a daemon and return whether nothing else with it ran."""
        if address in self.running or address == self.members.own.address:
            return False
        task = asyncio.create_task(self.talk(name, address, talk))
        self.running[address] = task
        task.add_done_callback(lambda _: self.note_talk_end(name, address))
        return True

    def note_talk_end(self, name: str, address: str) -> None:
        """Send the news that was held back while the talk ran."""
        self.running.pop(address, None)
        if name in self.held_back:
            self.held_back.discard(name)
            self.push_news()

    async def talk(self, name: str, address: str, talk: Talk) -> None:
        """Talk with one member and note a failure."""
        link = self.links.setdefault(address, PeerLink(address))
        try:
            async with asyncio.timeout(EXCHANGE_SECONDS):
                await talk(name, link)
        except ConnectionRefusedError:
            link.close()
            self.members.note_unreachable(name, asyncio.get_running_loop().time())
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            link.close()
            self.note_failure(name, error)
        except (FrameError, TypeError, ValueError) as error:
            link.close()
            self.log.write("peer_frame_refused", member=name, error=repr(error)[:200])

    async def exchange_states(self, name: str, link: PeerLink) -> None:
        """Exchange states with one member."""
        sent_at = self.boot_time()
        answer = await link.exchange(self.state_sync.build_request(name), PeerResponse)
        self.state_sync.handle_response(answer, sent_at)

    async def push_to(self, name: str, link: PeerLink) -> None:
        """Send news of the store to one member."""
        receipt = await link.exchange(self.state_sync.build_store_update(name), PeerAck)
        self.state_sync.handle_ack(name, receipt)

    def note_failure(self, name: str, error: Exception) -> None:
        """Log a failed exchange with a member that lived until now."""
        state = self.members.states.get(name)
        now = asyncio.get_running_loop().time()
        if state is not None and now - state.heard_at < self.members.alive_seconds:
            self.log.write_routine("exchange_failed", member=name, error=repr(error)[:120])

    def close(self) -> None:
        """Close all connections."""
        if self.push_timer is not None:
            self.push_timer.cancel()
        for task in list(self.running.values()):
            task.cancel()
        for link in self.links.values():
            link.close()
