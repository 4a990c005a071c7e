"""Finds out whether this daemon is cut off from all upstreams while others reach them."""

__all__ = ["UpstreamLinks"]

import asyncio
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import MemberTable
from tanagertrail.gateway.pools import ConnectionPools
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.policy.link_state import (
    LinkJudge,
    LinkPhase,
    ProbeTarget,
    pick_probe_targets,
)

PROBE_SECONDS = 0.25  # instances in other failure domains accept a connection in milliseconds
PROBED_UPSTREAMS = 5  # in one round
FIRST_PROBES = 2  # of them, which alone are probed if one accepts at once
FIRST_PROBES_SECONDS = 0.05
CHECK_SECONDS = 0.1
SILENCE_SECONDS = 0.5  # without a byte of any upstream while requests wait, before a round
SLOW_CONNECT_SECONDS = 0.1  # for which a new connection is awaited before a round
GOOD_ROUND_SECONDS = 1.0  # for which a round that reached an upstream is not repeated
RETURN_ROUND_SECONDS = 0.5  # between rounds while no upstream is reached
STALL_SECONDS = 0.15  # a round that took so much too long shows that this process was suspended
MAX_ROUND_SECONDS = FIRST_PROBES_SECONDS + PROBE_SECONDS + STALL_SECONDS
CONTROL_DAEMONS = 2  # that are tried after a round without an upstream
MAX_LOGGED_CAUSE_LENGTH = 200
MAX_LOGGED_ERROR_LENGTH = 80


class UpstreamLinks:
    """Probe the upstreams when new connections fail or all of them are silent.

    A daemon is cut off if no probed upstream accepts a connection, another daemon does, and a
    daemon that serves says that it reaches upstreams. Open connections prove nothing: they may
    work on while new ones are refused.

    :ivar on_change: called when the daemon begins or ceases to reach the upstreams
    :ivar heard_at: event-loop time in seconds at which an upstream last sent something
    :ivar waiting: returns the number of requests that wait for upstreams
    :ivar round_task: the round of probes under way, None without one
    :ivar round_ended_at: event-loop time in seconds of the last round's end
    :ivar rounds: rounds of probes so far
    :ivar daemon_reached: whether the last round without an upstream reached another daemon
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        pools: ConnectionPools,
        members: MemberTable,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.cluster_view = cluster_view
        self.pools = pools
        self.members = members
        self.log = log
        self.rng = rng
        self.judge = LinkJudge()
        self.on_change: Callable[[], None] = lambda: None
        self.waiting: Callable[[], int] = lambda: 0
        self.heard_at = float("-inf")
        self.round_task: asyncio.Task | None = None
        self.round_ended_at = float("-inf")
        self.daemon_reached = False
        self.rounds = 0

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    @property
    def reaches_upstreams(self) -> bool:
        """Return whether upstreams are reached as far as known."""
        return self.judge.phase is not LinkPhase.UNREACHED

    @property
    def is_cut(self) -> bool:
        """Return whether this daemon reaches no upstream although others do."""
        if self.reaches_upstreams or not self.daemon_reached:
            return False
        return any(
            state.serving and state.reaches_upstreams
            for state in self.members.list_alive(self.now())
        )

    def uses_own_links(self) -> bool:
        """Return whether the next request uses own connections rather than another daemon's."""
        if self.is_cut:
            return False
        return self.reaches_upstreams is False or (
            self.rng.random() < self.judge.compute_own_share(self.now())
        )

    def note_reached(self, entry: UpstreamEntry) -> None:
        """Record that an upstream accepted a connection or sent something."""
        self.heard_at = self.now()

    def note_unreached(self, entry: UpstreamEntry, error: BaseException) -> None:
        """Start a round of probes after a connection could not be opened, or broke.

        After a refusal the last round proves nothing: what it says of the upstream depends on
        whether others are reached now.
        """
        cause = f"{entry.record.id}: {error!r}"
        if isinstance(error, ConnectionError) and self.round_task is None:
            self.start_round(cause)
        else:
            self.suspect(cause)

    @contextmanager
    def watch_connect(self, entry: UpstreamEntry) -> Iterator[None]:
        """Watch the opening of a connection, which starts a round if it is slow or fails."""
        timer = asyncio.get_running_loop().call_later(
            SLOW_CONNECT_SECONDS, self.suspect, f"{entry.record.id}: slow to accept a connection"
        )
        try:
            yield
        except (OSError, TimeoutError) as error:
            self.note_unreached(entry, error)
            raise
        finally:
            timer.cancel()
        self.note_reached(entry)

    async def settle(self) -> bool:
        """Wait for the round under way, if any, and return whether this daemon is cut off."""
        if self.round_task is not None:
            await asyncio.wait({self.round_task}, timeout=MAX_ROUND_SECONDS)
        return self.is_cut

    async def await_verdict(self) -> bool:
        """Wait for the round under way, if any, and return whether upstreams are reached."""
        await self.settle()
        return self.reaches_upstreams

    def suspect(self, cause: str) -> None:
        """Start a round of probes unless one is under way or has just reached an upstream."""
        is_fresh = self.now() - self.round_ended_at < GOOD_ROUND_SECONDS
        if self.round_task is not None or (self.reaches_upstreams and is_fresh):
            return
        self.start_round(cause)

    def start_round(self, cause: str) -> None:
        """Start a round of probes."""
        self.round_task = asyncio.create_task(self.run_round(cause))
        self.round_task.add_done_callback(self.end_round)

    def end_round(self, task: asyncio.Task) -> None:
        """Allow the next round, and log a fault of this one."""
        self.round_task = None
        self.round_ended_at = self.now()
        if not task.cancelled() and task.exception() is not None:
            self.log.write("defect", error=repr(task.exception()), where="probes")

    async def run(self) -> None:
        """Start rounds while upstreams are silent or not reached, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            if self.round_task is not None:
                continue
            since_round = self.now() - self.round_ended_at
            if not self.reaches_upstreams:
                if since_round >= RETURN_ROUND_SECONDS:
                    self.start_round("return")
            elif self.waiting() and self.now() - self.heard_at >= SILENCE_SECONDS:
                self.suspect("all upstreams are silent")

    async def run_round(self, cause: str) -> None:
        """Probe some upstreams and judge by the result."""
        entries = self.cluster_view.upstreams.entries
        targets = pick_probe_targets(
            (
                ProbeTarget(name, entry.record.service, entry.record.failure_domain)
                for name, entry in entries.items()
            ),
            PROBED_UPSTREAMS,
            self.rng,
        )
        addresses = [entries[target.upstream].record.address for target in targets]
        started_at = self.now()
        self.rounds += 1
        was_reaching = self.reaches_upstreams
        reached, errors = await self.probe_upstreams(addresses, was_reaching)
        if not reached and self.now() - started_at > MAX_ROUND_SECONDS:
            return
        if not reached:
            self.daemon_reached = await self.reaches_daemon()
        self.judge.record_round(reached, len(addresses), self.now())
        if was_reaching == self.reaches_upstreams:
            return
        self.log.write(
            "upstreams_reached" if self.reaches_upstreams else "upstreams_unreached",
            cause=cause[:MAX_LOGGED_CAUSE_LENGTH],
            probed=[target.upstream for target in targets],
            reached=reached,
            errors=errors,
            daemon_reached=self.daemon_reached,
            cut=self.is_cut,
        )
        self.on_change()

    async def probe_upstreams(self, addresses: list[str], needs_one: bool) -> tuple[int, list[str]]:
        """Probe upstreams; return how many accepted a connection, and the errors.

        :param needs_one: whether one that accepts is enough. Then most are probed only if the
            first ones do not answer at once.
        """
        first = addresses[:FIRST_PROBES] if needs_one else addresses
        pending = {asyncio.create_task(self.probe(address)) for address in first}
        errors: list[str] = []
        reached = 0
        try:
            if pending:
                done, pending = await asyncio.wait(pending, timeout=FIRST_PROBES_SECONDS)
                reached += collect_probes(done, errors)
            if not (needs_one and reached):
                rest = addresses[len(first) :]
                pending |= {asyncio.create_task(self.probe(address)) for address in rest}
            while pending and not (needs_one and reached):
                done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
                reached += collect_probes(done, errors)
        finally:
            for task in pending:
                task.cancel()
        return reached, errors

    async def probe(self, address: str) -> Exception | None:
        """Open a connection to an upstream and close it; return the error if it is refused."""
        try:
            stream = await self.pools.open(address, PROBE_SECONDS)
        except (OSError, TimeoutError, ValueError, OverflowError) as error:
            return error
        stream.abort()
        return None

    async def reaches_daemon(self) -> bool:
        """Return whether a daemon that serves accepts a connection.

        If none does, this daemon's link is lost or overloaded as a whole.
        """
        serving = self.members.list_serving(self.now())
        for state in self.rng.sample(serving, min(CONTROL_DAEMONS, len(serving))):
            host, _, port = state.member.address.rpartition(":")
            try:
                channel = await open_channel(host, int(port), PROBE_SECONDS)
            except (OSError, TimeoutError, ValueError, OverflowError) as error:
                self.log.write_routine(
                    "daemon_unreached", member=state.member.daemon, error=repr(error)[:120]
                )
                continue
            channel.close()
            return True
        return False


def collect_probes(done: set[asyncio.Task], errors: list[str]) -> int:
    """Return how many finished probes were accepted, and append the errors of the others."""
    results = [task.result() for task in done]
    errors.extend(repr(error)[:MAX_LOGGED_ERROR_LENGTH] for error in results if error is not None)
    return sum(error is None for error in results)
