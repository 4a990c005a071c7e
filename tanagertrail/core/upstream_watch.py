"""What a daemon watches of its upstreams: load, caches, reclaims, failure domains."""

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

LOAD_SECONDS = 1.0
NOTICES_SECONDS = 1.0
NOTICE_READERS = 3
PARALLEL_POLLS = 8

PeriodicStep = tuple[str, float, Callable[[], Awaitable[None]]]


class UpstreamWatch:
    """Read load reports and reclaim notices, and keep work from what leaves."""

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
        self.reports: dict[str, LoadReport] = {}
        self.cache_sequence: dict[str, int] = {}
        self.reclaimed: set[str] = set()
        self.on_own_reclaim: Callable[[float], None] = lambda left: None
        server.active_requests.expected = self.find_expected
        context.register_handler(ReclaimNotice, self.receive_reclaim)

    def list_periodic_steps(self) -> list[PeriodicStep]:
        """Return the periodic steps as (name, interval in seconds, step)."""
        return [
            ("load", LOAD_SECONDS, self.poll_loads),
            ("notices", NOTICES_SECONDS, self.read_notices),
        ]

    def configure(self, configuration: Configuration) -> None:
        """Keep work from the failure domains that are out."""
        out = {
            name for name, domain in configuration.failure_domains.items() if domain.state == "out"
        }
        self.limiter.excluded_upstreams = {
            name
            for name, upstream in self.limiter.upstreams.items()
            if upstream.failure_domain in out or name in self.reclaimed
        }

    def find_expected(self, service: str) -> tuple[float, float]:
        """Return the token gap and answer time of a service, in seconds."""
        known = self.server.configuration.current.services.get(service)
        return (known.token_gap, known.answer_time) if known else DEFAULT_EXPECTED_SECONDS

    async def poll_loads(self) -> None:
        """Read the load reports of the upstreams in use."""
        now = self.context.now()
        broken = {
            name for name, item in self.server.slot_queues.breakers.items() if item.is_open(now)
        }
        names = [n for n in self.limiter.active | broken if n in self.limiter.upstreams]
        limit = asyncio.Semaphore(PARALLEL_POLLS)

        async def poll(name: str) -> None:
            async with limit:
                await self.poll_load(name)

        await asyncio.gather(*(poll(name) for name in names))

    async def poll_load(self, name: str) -> None:
        """Read one load report and learn from its cache events."""
        upstream = self.limiter.upstreams[name]
        try:
            report = await self.client.read_load(upstream)
        except UpstreamConnectError:
            self.context.recorder.count("load_reports_missed")
            self.server.slot_queues.open_breaker(name)
            return
        self.reports[name] = report
        if name in self.server.slot_queues.breakers:
            self.server.slot_queues.close_breaker(name)
        self.take_cache_events(report)

    def take_cache_events(self, report: LoadReport) -> None:
        """Note what an upstream stored and evicted since the last report."""
        last = self.cache_sequence.get(report.upstream, 0)
        index = self.server.slot_queues.index
        for sequence, kind, block in report.cache_events:
            if sequence <= last:
                continue
            if kind == "stored":
                index.note_stored(report.upstream, [block], self.context.now())
            else:
                index.note_evicted(report.upstream, block)
        if report.cache_events:
            self.cache_sequence[report.upstream] = report.cache_events[-1][0]

    async def read_notices(self) -> None:
        """Read the reclaim notices; a few daemons do, and tell the others."""
        live = self.server.limiter.members.membership.list_live()
        readers = rank_by_hash("notices", [member.daemon for member in live])[:NOTICE_READERS]
        if self.context.daemon not in readers:
            return
        notices = await self.cloud.read_notices()
        fresh = tuple(
            notice.instance for notice in notices if notice.instance not in self.reclaimed
        )
        if fresh:
            message = ReclaimNotice(fresh)
            self.receive_reclaim(self.context.daemon, message)
            self.context.flood(message)

    def receive_reclaim(self, sender: str, notice: ReclaimNotice) -> None:
        """Keep work from instances that will be reclaimed, and move what runs there."""
        self.server.suspects.receive_reclaim(sender, notice)
        for name in notice.upstreams:
            self.reclaimed.add(name)
            if name == self.context.daemon:
                self.on_own_reclaim(0.0)
            if name not in self.limiter.upstreams:
                continue
            self.limiter.excluded_upstreams.add(name)
            moved = self.server.active_requests.move_all(name, "the instance is being reclaimed")
            self.context.recorder.record(
                "upstream_reclaimed", upstream=name, detail=f"{moved} streams moved"
            )
