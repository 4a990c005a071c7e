"""Connections between daemons for exchanging states and pushing store updates."""

__all__ = ["PeerClient", "PeerServer", "pick_partners"]

import asyncio
import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

from tanagertrail.daemons.frames import encode_frame, read_frame
from tanagertrail.daemons.peer_messages import PeerAck, PeerRequest, PeerResponse, PeerUpdate
from tanagertrail.daemons.releases import FIRST_STATED_RELEASE, RELEASE, ReleaseForm, find_form
from tanagertrail.errors import FrameError
from tanagertrail.gateway.channel import PEER_LIMITS, set_socket_options
from tanagertrail.gateway.clock import BootClock
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.state_sync import StateSync
from tanagertrail.gateway.supervision import log_defect
from tanagertrail.policy.hubs import Topology, plan_topology

EXCHANGE_PERIOD_SECONDS = 0.5
RELAYED_PERIOD_SECONDS = 0.8  # if hubs relay states, over links of a few Mbit/s
EXCHANGE_TIMEOUT_SECONDS = 0.5
PUSH_BATCH_SECONDS = 0.05  # changes within this time are pushed together
SECOND_HUB_PERIODS = 3  # between exchanges with the second hub, which may have to take over
SILENT_MEMBERS_PER_PERIOD = 2  # members not known to be alive that are tried each period

DefectHandler = Callable[[str, BaseException], None]
Reply = TypeVar("Reply", PeerResponse, PeerAck)


def pick_partners(topology: Topology, period: int) -> tuple[str, ...]:
    """Return the partners to exchange with.

    :param period: number of the exchange period
    """
    if topology.is_hub or period % SECOND_HUB_PERIODS == 0:
        return topology.partners
    return topology.partners[:1]


class PeerServer:
    """Serve the requests of other daemons.

    :ivar closed: whether it serves no more, not even connections accepted before
    :ivar stated_release: release that it states in frames
    :ivar on_defect: called with the place and an exception that no code expects
    """

    def __init__(self, state_sync: StateSync, log: EventLog) -> None:
        self.state_sync = state_sync
        self.log = log
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.closed = False
        self.stated_release = RELEASE
        self.on_defect: DefectHandler = partial(log_defect, log)

    async def start(self, host: str, port: int) -> None:
        """Start listening.

        :raises OSError: if the port is already in use
        """
        self.server = await asyncio.start_server(self.handle_connection, host, port, backlog=256)

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve requests on one connection until it ends."""
        if self.closed:
            writer.close()
            return
        set_socket_options(writer.get_extra_info("socket"), PEER_LIMITS)
        self.writers.add(writer)
        try:
            while True:
                _, message = await read_frame(reader)
                writer.write(encode_frame(self.handle_message(message), self.stated_release))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the peer closed or died; the client's exchanges with it detect that
        except asyncio.CancelledError:
            pass  # the daemon stops; asyncio would log a cancelled stream task as an error
        except FrameError as error:
            self.state_sync.refused_frames += 1
            self.log.write("peer_frame_refused", error=repr(error)[:200])
        except Exception as error:
            self.on_defect("peer connection", error)
        finally:
            self.writers.discard(writer)
            writer.close()

    def handle_message(self, message: object) -> PeerResponse | PeerAck:
        """Return the reply to a message.

        :raises FrameError: if the message is of an unexpected type
        """
        if isinstance(message, PeerRequest):
            return self.state_sync.handle_request(message)
        if isinstance(message, PeerUpdate):
            return self.state_sync.handle_store_update(message)
        raise FrameError(f"unexpected message {type(message).__name__}")

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.closed = True
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()


class PeerConnection:
    """A connection to one member, opened on demand.

    :ivar release: release in whose form the daemon at the other end tells its state, 0 while it
        is not known; the daemon behind an address may be replaced only with the connection
    :ivar stated_release: release that this daemon states in frames
    """

    def __init__(self, address: str, stated_release: int = RELEASE) -> None:
        self.address = address
        self.stated_release = stated_release
        self.release = 0
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def request(self, message: PeerRequest | PeerUpdate, expected: type[Reply]) -> Reply:
        """Send a message and read the reply.

        :raises OSError: if the peer cannot be reached
        :raises FrameError: if its reply cannot be read
        """
        if not self.is_open:
            await self.connect()
        self.writer.write(encode_frame(message, self.stated_release))
        await self.writer.drain()
        stamp, reply = await read_frame(self.reader)
        if not isinstance(reply, expected):
            raise FrameError(f"unexpected message {type(reply).__name__}")
        if stamp >= FIRST_STATED_RELEASE:
            self.release = stamp
        return reply

    @property
    def is_open(self) -> bool:
        """Whether the connection is open, as far as it is known."""
        return self.writer is not None and not self.reader.at_eof()

    async def connect(self) -> None:
        """Open the connection."""
        self.close()
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        set_socket_options(self.writer.get_extra_info("socket"), PEER_LIMITS)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.release = 0


PeerCall = Callable[[str, PeerConnection], Awaitable[None]]


class PeerClient:
    """Exchange states with partners periodically and push store updates immediately.

    :ivar seeds: addresses to try while no member is alive
    :ivar connections: open connections by address
    :ivar active_calls: running calls by address, at most one per daemon
    :ivar pending_pushes: members to push updates to once their running call ends
    :ivar period: number of the current exchange period
    :ivar stated_release: release that this daemon states in frames
    :ivar on_defect: called with the place and an exception that no code expects
    """

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
        self.connections: dict[str, PeerConnection] = {}
        self.active_calls: dict[str, asyncio.Task] = {}
        self.pending_pushes: set[str] = set()
        self.period = 0
        self.stated_release = RELEASE
        self.push_timer: asyncio.TimerHandle | None = None
        self.on_defect: DefectHandler = partial(log_defect, log)

    async def run(self) -> None:
        """Exchange states periodically until cancelled."""
        while True:
            self.start_period()
            direct = len(self.state_sync.topology.hubs) > len(self.members.states)
            period = EXCHANGE_PERIOD_SECONDS if direct else RELAYED_PERIOD_SECONDS
            await asyncio.sleep(period * self.rng.uniform(0.9, 1.1))

    def start_period(self) -> None:
        """Update the topology and start the exchanges of a period."""
        now = asyncio.get_running_loop().time()
        for name in self.members.remove_silent(now):
            self.state_sync.forget(name)
        alive = [state.member.daemon for state in self.members.list_alive(now)]
        topology = plan_topology(self.members.own.daemon, alive, self.members.list_strengths())
        if topology != self.state_sync.topology:
            self.log.write_routine(
                "topology", rank=topology.rank, hub=topology.is_hub, hubs=len(topology.hubs)
            )
            self.state_sync.topology = topology
        self.period += 1
        for name in pick_partners(topology, self.period):
            self.start_exchange(name, self.members.states[name].member.address)
        self.contact_silent_members(set(alive))
        if not alive:
            for address in self.seeds:
                self.start_exchange(address, address)
        self.close_unused_connections()

    def contact_silent_members(self, alive: set[str]) -> None:
        """Exchange with some members not known to be alive, which may not know this daemon."""
        silent = [name for name in self.members.states if name not in alive]
        for name in self.rng.sample(silent, min(SILENT_MEMBERS_PER_PERIOD, len(silent))):
            self.start_exchange(name, self.members.states[name].member.address)

    def close_unused_connections(self) -> None:
        """Close idle connections to addresses that no known member has."""
        known = {state.member.address for state in self.members.states.values()}
        for address in [
            a for a in self.connections if a not in known and a not in self.active_calls
        ]:
            self.connections.pop(address).close()

    def schedule_push(self) -> None:
        """Schedule a push of store updates, which batches those that follow shortly."""
        if self.push_timer is None:
            loop = asyncio.get_running_loop()
            self.push_timer = loop.call_later(PUSH_BATCH_SECONDS, self.push_updates)

    def push_updates(self) -> None:
        """Push store updates to the daemons that lack them."""
        self.push_timer = None
        for name in self.state_sync.list_outdated_peers():
            state = self.members.states.get(name)
            if state is not None:
                self.start_push(name, state.member.address)

    def exchange_with_all(self) -> None:
        """Exchange states immediately with all partners and clients."""
        for name in {*self.state_sync.topology.partners, *self.state_sync.last_request_at}:
            state = self.members.states.get(name)
            if state is not None:
                self.start_exchange(name, state.member.address)

    def start_exchange(self, name: str, address: str) -> None:
        """Start a state exchange unless a call to the same daemon is running."""
        self.start_call(name, address, self.exchange_states)

    def start_push(self, name: str, address: str) -> None:
        """Start to push updates, or do so after the running call to the same daemon."""
        if not self.start_call(name, address, self.push_update):
            self.pending_pushes.add(name)

    def start_call(self, name: str, address: str, call: PeerCall) -> bool:
        """Start a call to a daemon; return False if one is running or it is this daemon."""
        if address in self.active_calls or address == self.members.own.address:
            return False
        task = asyncio.create_task(self.run_call(name, address, call))
        self.active_calls[address] = task
        task.add_done_callback(lambda _: self.on_call_end(name, address))
        return True

    def on_call_end(self, name: str, address: str) -> None:
        """Schedule the push that was delayed by a call."""
        self.active_calls.pop(address, None)
        if name in self.pending_pushes:
            self.pending_pushes.discard(name)
            self.schedule_push()

    async def run_call(self, name: str, address: str, call: PeerCall) -> None:
        """Make one call to a member and handle its failure."""
        if address not in self.connections:
            self.connections[address] = PeerConnection(address, self.stated_release)
        connection = self.connections[address]
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
                await call(name, connection)
        except ConnectionRefusedError:
            connection.close()
            self.members.mark_unreachable(name, asyncio.get_running_loop().time())
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            connection.close()
            self.log_failure(name, error)
        except FrameError as error:
            connection.close()
            self.state_sync.refused_frames += 1
            self.log.write("peer_frame_refused", member=name, error=repr(error)[:200])
        except Exception as error:
            connection.close()
            self.on_defect("peer call", error)

    async def exchange_states(self, name: str, connection: PeerConnection) -> None:
        """Exchange states with one member, in the form that it reads.

        On a new connection the member is greeted first, to which it answers with its release. One
        that states none gets a state that all releases read, and answers with its own.
        """
        if not connection.is_open or not connection.release:
            await connection.request(self.state_sync.build_greeting(), PeerAck)
        if not connection.release:
            connection.release = await self.request_state(name, connection, None)
        await self.request_state(name, connection, find_form(connection.release))

    async def request_state(
        self, name: str, connection: PeerConnection, form: ReleaseForm | None
    ) -> int:
        """Send a state in a form and return the release in whose form the response is."""
        sent_at = self.boot_time()
        request = self.state_sync.build_request(name, form)
        response = await connection.request(request, PeerResponse)
        return self.state_sync.handle_response(response, sent_at)

    async def push_update(self, name: str, connection: PeerConnection) -> None:
        """Push store updates to one member."""
        ack = await connection.request(self.state_sync.build_store_update(name), PeerAck)
        self.state_sync.handle_ack(name, ack)

    def log_failure(self, name: str, error: Exception) -> None:
        """Log a failed call to a member that still counts as alive."""
        state = self.members.states.get(name)
        now = asyncio.get_running_loop().time()
        if state is not None and now - state.last_seen_at < self.members.alive_timeout:
            self.log.write_routine("exchange_failed", member=name, error=repr(error)[:120])

    def close(self) -> None:
        """Cancel all calls and close all connections."""
        if self.push_timer is not None:
            self.push_timer.cancel()
        for task in list(self.active_calls.values()):
            task.cancel()
        for connection in self.connections.values():
            connection.close()
