"""Monitoring of upstreams: load reports, prefix caches, reclaim notices and failure domains."""

__all__ = ["UpstreamWatch"]

import asyncio
from collections.abc import Awaitable, Callable

from tanagertrail.core.active_requests import DEFAULT_EXPECTED_SECONDS
from tanagertrail.core.context import NodeContext
from tanagertrail.core.serving import RequestServer
from tanagertrail.daemons.messages import ReclaimNotice
from tanagertrail.errors import UpstreamConnectError
from tanagertrail.model import Configuration
from tanagertrail.objectapi.cloud import BaseCloud
from tanagertrail.policy.hashing import rank_by_hash
from tanagertrail.upstreams.base import BaseUpstreamClient, LoadReport

LOAD_POLL_SECONDS = 1.0
NOTICE_POLL_SECONDS = 1.0
NOTICE_READERS = 3  # daemons that read the notices on behalf of all
MAX_PARALLEL_POLLS = 8

PeriodicStep = tuple[str, float, Callable[[], Awaitable[None]]]


class UpstreamWatch:
    """Reads load reports and reclaim notices, and excludes upstreams that must get no new work.

    :ivar last_cache_sequences: number of the last cache event applied, by upstream
    :ivar reclaimed: instances that are being reclaimed
    :ivar on_own_reclaim: called with the seconds left when this daemon's instance is reclaimed
    """

    def __init__(
        self,
        context: NodeContext,
        server: RequestServer,
        client: BaseUpstreamClient,
        cloud: BaseCloud,
    ) -> None:
        self.context = context
        self.server = server
        self.client = client
        self.cloud = cloud
        self.limiter = server.limiter
        self.load_reports: dict[str, LoadReport] = {}
        self.last_cache_sequences: dict[str, int] = {}
        self.reclaimed: set[str] = set()
        self.on_own_reclaim: Callable[[float], None] = lambda seconds_left: None
        server.active_requests.get_expected_seconds = self.get_expected_seconds
        context.register_handler(ReclaimNotice, self.receive_reclaim)

    def list_periodic_steps(self) -> list[PeriodicStep]:
        """Return the periodic steps as (name, interval in seconds, step)."""
        return [
            ("load", LOAD_POLL_SECONDS, self.poll_load_reports),
            ("notices", NOTICE_POLL_SECONDS, self.read_notices),
        ]

    def configure(self, configuration: Configuration) -> None:
        """Exclude the upstreams of failure domains that are out, and those being reclaimed."""
        domains_out = {
            name for name, domain in configuration.failure_domains.items() if domain.state == "out"
        }
        self.limiter.excluded_upstreams = {
            name
            for name, upstream in self.limiter.upstreams.items()
            if upstream.failure_domain in domains_out or name in self.reclaimed
        }

    def get_expected_seconds(self, service: str) -> tuple[float, float]:
        """Return the expected token gap and answer time of a service, in seconds."""
        definition = self.server.configuration.current.services.get(service)
        return (
            (definition.token_gap, definition.answer_time)
            if definition
            else DEFAULT_EXPECTED_SECONDS
        )

    async def poll_load_reports(self) -> None:
        """Read the load reports of upstreams that are in use or have an open circuit breaker."""
        now = self.context.now()
        tripped = {
            name
            for name, breaker in self.server.slot_queues.breakers.items()
            if breaker.is_open(now)
        }
        names = [n for n in self.limiter.active_upstreams | tripped if n in self.limiter.upstreams]
        semaphore = asyncio.Semaphore(MAX_PARALLEL_POLLS)

        async def poll(name: str) -> None:
            async with semaphore:
                await self.poll_load_report(name)

        await asyncio.gather(*(poll(name) for name in names))

    async def poll_load_report(self, name: str) -> None:
        """Read one load report; open or close the circuit breaker, and apply its cache events."""
        upstream = self.limiter.upstreams[name]
        try:
            report = await self.client.read_load(upstream)
        except UpstreamConnectError:
            self.context.recorder.count("load_reports_missed")
            self.server.slot_queues.open_breaker(name)
            return
        self.load_reports[name] = report
        if name in self.server.slot_queues.breakers:
            self.server.slot_queues.close_breaker(name)
        self.apply_cache_events(report)

    def apply_cache_events(self, report: LoadReport) -> None:
        """Update the prefix index with the blocks stored and evicted since the last report."""
        last_sequence = self.last_cache_sequences.get(report.upstream, 0)
        index = self.server.slot_queues.prefix_index
        for sequence, kind, block in report.cache_events:
            if sequence <= last_sequence:
                continue
            if kind == "stored":
                index.note_stored(report.upstream, [block], self.context.now())
            else:
                index.note_evicted(report.upstream, block)
        if report.cache_events:
            self.last_cache_sequences[report.upstream] = report.cache_events[-1][0]

    async def read_notices(self) -> None:
        """Read the reclaim notices and flood new ones, if this daemon is one of the readers."""
        live = self.server.limiter.members.membership.list_live()
        readers = rank_by_hash("notices", [member.daemon for member in live])[:NOTICE_READERS]
        if self.context.daemon not in readers:
            return
        notices = await self.cloud.read_notices()
        new_instances = tuple(
            notice.instance for notice in notices if notice.instance not in self.reclaimed
        )
        if new_instances:
            message = ReclaimNotice(new_instances)
            self.receive_reclaim(self.context.daemon, message)
            self.context.flood(message)

    def receive_reclaim(self, sender: str, notice: ReclaimNotice) -> None:
        """Exclude instances that will be reclaimed, and move their streams to other upstreams."""
        self.server.suspects.receive_reclaim(sender, notice)
        for name in notice.upstreams:
            self.reclaimed.add(name)
            if name == self.context.daemon:
                self.on_own_reclaim(0.0)
            if name not in self.limiter.upstreams:
                continue
            self.limiter.excluded_upstreams.add(name)
            moved = self.server.active_requests.move_all_streams(
                name, "the instance is being reclaimed"
            )
            self.context.recorder.record(
                "upstream_reclaimed", upstream=name, detail=f"{moved} streams moved"
            )
