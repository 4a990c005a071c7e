"""The world of a run: stand-ins of the platform and of upstreams, proxies, daemons."""

__all__ = ["SoakUpstream", "SoakWorld"]

import asyncio
from collections.abc import Callable, Iterable, Mapping
from pathlib import Path
from typing import Any

from tanagertrail.gateway.handlers import MAIN_CONFIG
from tanagertrail.gateway.http1 import CallerRequest, Headers
from tanagertrail.platform import header_fields
from tanagertrail.platform.records import CONFIGURATION, EVACUATIONS, UPSTREAMS
from tanagertrail.soak.callers import CallerCrowd
from tanagertrail.soak.evidence import Arrival, CutSeen, Evidence, Need, Removal, RunSeen
from tanagertrail.soak.plan import Fault
from tanagertrail.soak.processes import DaemonProcess
from tanagertrail.soak.proxy import LinkState, LoopbackProxy
from tanagertrail.soak.upstream_link import UpstreamLink
from tanagertrail.soak.workload import WORK_SECONDS, parse_work
from tanagertrail.standins.cloud import StandInCloud
from tanagertrail.standins.documents import (
    CUSTOMERS,
    DOMAINS,
    DaemonPorts,
    build_document,
    build_entry,
    build_node_file,
)
from tanagertrail.standins.misbehaviour import EVENTS, STREAM_SUFFIX
from tanagertrail.standins.ports import HOST, find_port, find_port_pair
from tanagertrail.standins.store import StandInStore
from tanagertrail.standins.upstream import StandInUpstream

READY_SECONDS = 15.0
SLOTS = 16  # of each upstream, more than the callers need
DOWN_SECONDS = 1.0  # from the end of an upstream until it is back
FIRST_BORN_MS = 1_700_000_000_000  # Unix time of the first start of all upstreams
FOREVER = float("inf")
EntryBuilder = Callable[..., dict[str, Any]]


class SoakUpstream(StandInUpstream):
    """An upstream that notes when each request began.

    :ivar cold_until: event-loop time in seconds until which it is cold
    :ivar starts: number of times that it was started again
    :ivar on_crash: called when it ends
    :ivar needs: spans in which it named a request rate
    :ivar slowness: factor by which its work takes longer
    """

    def __init__(self, upstream_id: str, domain: str, seen: list[RunSeen]) -> None:
        super().__init__(upstream_id, WORK_SECONDS)
        self.domain = domain
        self.seen = seen
        self.cold_until = 0.0
        self.starts = 0
        self.on_crash: Callable[[], None] = lambda: None
        self.needs: list[Need] = []
        self.slowness = 1.0

    def crash(self) -> None:
        """End at once; it comes back as one that is neither cold nor in need."""
        self.end_need()
        self.cold_until = 0.0
        super().crash()
        self.on_crash()

    def name_rate(self) -> Headers:
        """Name the rate, and note the first time."""
        named = super().name_rate()
        if named and (not self.needs or self.needs[-1].until < FOREVER):
            now = asyncio.get_running_loop().time()
            self.needs.append(Need(self.id, float(self.named_rate), now, FOREVER))
        return named

    def end_need(self) -> None:
        """Name no rate any more."""
        if self.named_rate is not None and self.needs and self.needs[-1].until == FOREVER:
            now = asyncio.get_running_loop().time()
            self.needs[-1] = self.needs[-1]._replace(until=now)
        self.named_rate = None

    def choose_work(self, request: CallerRequest) -> float:
        """Choose the seconds of a plain request or of each event, at least the usual ones."""
        work = parse_work(request.path) or 0.0
        events = EVENTS if request.path.endswith(STREAM_SUFFIX) else 1
        return max(work / events, self.work) * self.slowness

    def list_arrivals(self) -> list[Arrival]:
        """Return all requests that reached it."""
        arrivals = zip(self.arrivals, self.arrival_times, strict=True)
        return [Arrival(request_id, self.id, at) for request_id, at in arrivals]

    def begin(self, request: CallerRequest) -> None:
        """Note that a request begins to run."""
        now = asyncio.get_running_loop().time()
        table = dict(request.headers)
        self.seen.append(
            RunSeen(
                table.get(header_fields.REQUEST_ID, b"").decode(),
                table.get(header_fields.CUSTOMER, b"").decode(),
                self.id,
                self.domain,
                request.path,
                bytes(request.body),
                now,
                now < self.cold_until,
            )
        )


class SoakWorld:
    """Everything that a run starts, and what it shows.

    :ivar store_links: proxy between each daemon and the store
    :ivar caller_links: proxy between callers and each daemon
    :ivar upstream_links: proxies between the daemons and each upstream
    :ivar cut_off: numbers of the daemons that a fault cuts off
    :ivar entries: last registration of each upstream
    :ivar emptied: failure domains that are to get no work
    """

    upstream_type = SoakUpstream

    def __init__(self, seed: int, daemons: int, upstreams: int, folder: Path) -> None:
        self.seed = seed
        self.folder = folder
        self.store = StandInStore()
        self.cloud = StandInCloud()
        self.runs: list[RunSeen] = []
        self.removals: list[Removal] = []
        self.terms: list[tuple[int, float]] = []
        self.overruns: list[tuple[int, float]] = []
        self.pauses: list[tuple[int, float, float]] = []
        self.version = 1
        self.extra_routes: list[str] = []
        self.keys = {item.key for item in CUSTOMERS}
        self.upstreams: list[SoakUpstream] = []
        self.daemons: list[DaemonProcess] = []
        self.store_links: list[LoopbackProxy] = []
        self.caller_links: list[LoopbackProxy] = []
        self.upstream_links: list[UpstreamLink] = []
        self.cuts: list[CutSeen] = []
        self.cut_off: set[int] = set()
        self.entries: dict[str, dict[str, Any]] = {}
        self.emptied: set[str] = set()
        self.upstream_count = upstreams
        self.daemon_count = daemons
        self.started = 0.0
        self.crowd: CallerCrowd | None = None
        self.revivals: set[asyncio.Task] = set()

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def start(self) -> None:
        """Start stand-ins, proxies and daemons, and wait until all daemons are ready."""
        store_port, cloud_port = find_port(), find_port()
        await self.store.start(HOST, store_port)
        await self.cloud.start(HOST, cloud_port)
        self.put_config()
        for number in range(self.upstream_count):
            await self.add_upstream(f"up-{number}", DOMAINS[number % len(DOMAINS)])
        await self.add_daemons(store_port, cloud_port)
        for daemon in self.daemons:
            await daemon.start()
        async with asyncio.timeout(READY_SECONDS):
            for daemon in self.daemons:
                await self.await_ready(daemon)
        self.build_crowd()
        self.started = self.now()

    async def add_upstream(self, name: str, domain: str) -> None:
        """Start an upstream behind a proxy and register it."""
        port = find_port()
        upstream = self.upstream_type(name, domain, self.runs)
        await upstream.start(HOST, port)
        self.upstreams.append(upstream)
        link = UpstreamLink(self.daemon_count, port)
        await link.start()
        self.upstream_links.append(link)
        number = len(self.upstreams) - 1
        upstream.on_crash = lambda: self.start_revival(number, port)
        self.register(number)

    def start_revival(self, number: int, port: int) -> None:
        """Have an upstream that ended come back after some time."""
        self.upstream_links[number].refuse()
        task = asyncio.create_task(self.revive(number, port))
        self.revivals.add(task)
        task.add_done_callback(self.revivals.discard)

    async def revive(self, number: int, port: int) -> None:
        """Start an upstream again under its name."""
        await asyncio.sleep(DOWN_SECONDS)
        upstream = self.upstreams[number]
        upstream.starts += 1
        await upstream.start(HOST, port)
        upstream.ended = False
        await self.upstream_links[number].start()
        self.register(number)

    def register(self, number: int, build: EntryBuilder = build_entry, *details: Any) -> None:
        """Register an upstream.

        :param build: what builds its registration
        """
        upstream = self.upstreams[number]
        entry = build(
            self.upstream_links[number].port,
            upstream.domain,
            *details,
            capacity=SLOTS,
            born=FIRST_BORN_MS + upstream.starts,
        )
        self.entries[upstream.id] = entry
        self.store.put(UPSTREAMS, upstream.id, entry)

    def empty_domain(self, domain: str) -> bool:
        """Order that a failure domain gets no work; say whether it was not ordered before."""
        if domain in self.store.objects.get(EVACUATIONS, {}):
            return False
        self.emptied.add(domain)
        self.store.put(EVACUATIONS, domain, {})
        return True

    def refill_domain(self, domain: str) -> None:
        """Take the order on a failure domain back."""
        self.emptied.discard(domain)
        self.store.remove(EVACUATIONS, domain)

    async def add_daemons(self, store_port: int, cloud_port: int) -> None:
        """Build the daemons and the proxies around them."""
        ports = [
            DaemonPorts(find_port(), find_port(), find_port(), *find_port_pair())
            for _ in range(self.daemon_count)
        ]
        seeds = [item.internal for item in ports[:3]]
        for number, own in enumerate(ports):
            store_link, caller_link = find_port(), find_port()
            self.store_links.append(LoopbackProxy(HOST, store_link, store_port))
            self.caller_links.append(LoopbackProxy(HOST, caller_link, own.front))
            await self.store_links[-1].start()
            await self.caller_links[-1].start()
            name = f"entry-{number + 1}"
            domain = DOMAINS[number % len(DOMAINS)]
            settings = build_node_file(name, domain, own, store_link, cloud_port, seeds)
            daemon = DaemonProcess(name, own, settings, self.folder)
            daemon.redirected = {link.port: link.links[number].port for link in self.upstream_links}
            self.daemons.append(daemon)

    def build_crowd(self) -> None:
        """Build the callers."""
        directories = [daemon.ports.directory for daemon in self.daemons]
        links = {
            daemon.ports.front: link.port
            for daemon, link in zip(self.daemons, self.caller_links, strict=True)
        }
        self.crowd = CallerCrowd(self.seed, directories, links, self.extra_routes)

    async def await_ready(self, daemon: DaemonProcess) -> None:
        """Wait until a daemon listens to callers' address questions."""
        while True:
            try:
                _, writer = await asyncio.open_connection(HOST, daemon.ports.directory)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            writer.close()
            return

    def put_config(self) -> None:
        """Store the present configuration as a new version."""
        self.version += 3
        document = build_document(self.version, self.extra_routes, self.keys)
        self.store.put(CONFIGURATION, MAIN_CONFIG, document)

    def write_again(self) -> None:
        """Write what operator and upstreams had written, after the store came back older."""
        document = build_document(self.version, self.extra_routes, self.keys)
        self.store.put(CONFIGURATION, MAIN_CONFIG, document)
        for name, entry in self.entries.items():
            self.store.put(UPSTREAMS, name, entry)
        for domain in DOMAINS:
            if domain in self.emptied:
                self.store.put(EVACUATIONS, domain, {})
            else:
                self.store.remove(EVACUATIONS, domain)

    def note_removal(self, kind: str, what: str) -> int:
        """Note that something was removed, and return where it is noted."""
        self.removals.append(Removal(kind, what, self.now(), FOREVER))
        return len(self.removals) - 1

    def note_return(self, place: int) -> None:
        """Note that something that was removed is back."""
        self.removals[place] = self.removals[place]._replace(until=self.now())

    def note_term(self, daemon: DaemonProcess) -> None:
        """Note that a daemon is asked to stop, unless it stops already."""
        port = daemon.ports.front
        if not any(front == port and at >= daemon.starts[-1] for front, at in self.terms):
            self.terms.append((port, self.now()))

    def note_cut(self, numbers: list[int], since: float) -> None:
        """Note that daemons were cut off until now."""
        if not numbers:
            return
        ports = frozenset(self.daemons[number].ports.front for number in numbers)
        self.cuts.append(CutSeen(ports, since, self.now()))

    def collect(self, plan: list[Fault]) -> Evidence:
        """Return all that the run has shown."""
        usage = [
            (call.document["window_id"], call.document["counts"], call.fencing)
            for call in self.cloud.calls
            if call.path == "/usage"
        ]
        starts = [(daemon.ports.front, at) for daemon in self.daemons for at in daemon.starts]
        return Evidence(
            self.started,
            self.now(),
            plan,
            self.crowd.calls,
            self.runs,
            self.removals,
            starts,
            self.terms,
            usage,
            [item for upstream in self.upstreams for item in upstream.list_arrivals()],
            [need for upstream in self.upstreams for need in upstream.needs],
            self.pauses,
            [item for upstream in self.upstreams for item in upstream.part_crashes],
            self.cuts,
            self.overruns,
            find_last_times(upstream.cut_times for upstream in self.upstreams),
            frozenset(name for upstream in self.upstreams for name in upstream.refused_earlier),
        )

    async def close(self) -> None:
        """End all that was started."""
        for task in self.revivals:
            task.cancel()
        for daemon in self.daemons:
            daemon.resume()
            await daemon.kill()
            daemon.log.close()
        for link in (*self.store_links, *self.caller_links):
            link.set_state(LinkState.PASS)
            link.close()
        for upstream_link in self.upstream_links:
            upstream_link.close()
        for upstream in self.upstreams:
            upstream.close()
        self.store.close()
        self.cloud.close()


def find_last_times(tables: Iterable[Mapping[str, float]]) -> dict[str, float]:
    """Return the latest time of each name in several tables."""
    latest: dict[str, float] = {}
    for name, at in (item for table in tables for item in table.items()):
        latest[name] = max(at, latest.get(name, at))
    return latest
