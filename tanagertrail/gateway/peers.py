"""Exchange of status reports between daemons over TCP."""

__all__ = ["PeerLinks", "PeerServer", "ReportSource"]

import asyncio
import random

from tanagertrail.daemons.frames import encode_frame, read_frame
from tanagertrail.daemons.reports import PeerReport
from tanagertrail.errors import FrameError
from tanagertrail.gateway.channel import set_socket_options
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import ALIVE_SECONDS, MemberTable

PERIOD_SECONDS = 0.5
EXCHANGE_SECONDS = 0.4
MAX_PARTNERS = 8  # exchanges of one period; more members are met in turn


class ReportSource:
    """Contract of what builds and takes reports."""

    def build_report(self, known_version: int) -> PeerReport:
        """Return this daemon's report.

        :param known_version: version of the configuration that the receiver has
        """
        raise NotImplementedError

    def take_report(self, report: PeerReport, asked_at: float | None) -> None:
        """Take another daemon's report.

        :param asked_at: boot time in seconds before which it was not built, None if unknown
        """
        raise NotImplementedError


class PeerServer:
    """Answer the reports of other daemons."""

    def __init__(self, source: ReportSource, log: EventLog) -> None:
        self.source = source
        self.log = log
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task] = set()

    async def start(self, host: str, port: int) -> None:
        """Listen.

        :raises OSError: if the port is taken
        """
        self.server = await asyncio.start_server(self.serve, host, port, backlog=256)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer reports on one connection until it ends."""
        set_socket_options(writer.get_extra_info("socket"))
        try:
            while True:
                _, report = await read_frame(reader)
                if not isinstance(report, PeerReport):
                    raise FrameError(f"unexpected message {type(report).__name__}")
                self.source.take_report(report, None)
                answer = self.source.build_report(report.config_version)
                writer.write(encode_frame(answer, 0))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the peer has ended or closed; its own link reports what it means
        except asyncio.CancelledError:
            pass  # the daemon stops; a stream's task that ends cancelled is logged as an error
        except FrameError as error:
            self.log.write("peer_frame_refused", error=str(error))
        finally:
            writer.close()

    def close(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


class PeerLink:
    """A connection to one member, opened when needed."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.peer_version = 0

    async def exchange(self, report: PeerReport) -> PeerReport:
        """Send a report and read the peer's.

        :raises OSError: if the peer is not reached
        :raises FrameError: if its answer cannot be read
        """
        if self.writer is None or self.reader.at_eof():
            await self.open()
        self.writer.write(encode_frame(report, 0))
        await self.writer.drain()
        _, answer = await read_frame(self.reader)
        if not isinstance(answer, PeerReport):
            raise FrameError(f"unexpected message {type(answer).__name__}")
        self.peer_version = answer.config_version
        return answer

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


class PeerLinks:
    """Exchange reports with other members each period."""

    def __init__(
        self,
        source: ReportSource,
        members: MemberTable,
        log: EventLog,
        rng: random.Random,
        boot_time,
        seeds: tuple[str, ...] = (),
    ) -> None:
        self.source = source
        self.members = members
        self.log = log
        self.rng = rng
        self.boot_time = boot_time
        self.seeds = seeds
        self.links: dict[str, PeerLink] = {}
        self.running: dict[str, asyncio.Task] = {}
        self.turn: list[str] = []

    async def run(self) -> None:
        """Exchange until cancelled."""
        while True:
            self.start_exchanges()
            await asyncio.sleep(PERIOD_SECONDS * self.rng.uniform(0.9, 1.1))

    def start_exchanges(self) -> None:
        """Start an exchange with the members whose turn it is."""
        now = asyncio.get_running_loop().time()
        self.members.forget_silent(now)
        for address in self.pick_partners():
            if address not in self.running:
                task = asyncio.create_task(self.exchange(address))
                self.running[address] = task
                task.add_done_callback(lambda _, key=address: self.running.pop(key, None))

    def pick_partners(self) -> list[str]:
        """Return the addresses to exchange with in this period."""
        known = {state.member.address for state in self.members.states.values()}
        known.update(self.seeds)
        known.discard(self.members.own.address)
        self.turn = [address for address in self.turn if address in known]
        fresh = [address for address in known if address not in self.turn]
        self.rng.shuffle(fresh)
        self.turn = fresh + self.turn
        chosen = self.turn[:MAX_PARTNERS]
        self.turn = self.turn[MAX_PARTNERS:] + chosen
        for address in [address for address in self.links if address not in known]:
            self.links.pop(address).close()
        return chosen

    async def exchange(self, address: str) -> None:
        """Exchange reports with one member."""
        link = self.links.setdefault(address, PeerLink(address))
        asked_at = self.boot_time()
        try:
            async with asyncio.timeout(EXCHANGE_SECONDS):
                answer = await link.exchange(self.source.build_report(link.peer_version))
        except ConnectionRefusedError:
            self.note_refused(address)
            link.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, FrameError) as error:
            link.close()
            self.note_failure(address, error)
        else:
            self.source.take_report(answer, asked_at)

    def note_refused(self, address: str) -> None:
        """Take a member as ended whose port is closed."""
        now = asyncio.get_running_loop().time()
        for state in self.members.states.values():
            if state.member.address == address:
                self.members.note_unreachable(state.member.daemon, now)

    def note_failure(self, address: str, error: Exception) -> None:
        """Log a failed exchange with a member that lived until now."""
        now = asyncio.get_running_loop().time()
        for state in self.members.states.values():
            if state.member.address == address and now - state.heard_at < ALIVE_SECONDS:
                self.log.write_routine(
                    "exchange_failed", member=state.member.daemon, error=repr(error)[:120]
                )

    def close(self) -> None:
        """Close all connections."""
        for task in list(self.running.values()):
            task.cancel()
        for link in self.links.values():
            link.close()
