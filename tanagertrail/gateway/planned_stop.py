"""The planned stop of a daemon within its grace period."""

__all__ = ["PlannedStop"]

import asyncio
from collections.abc import Sequence

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.http_server import HttpServer
from tanagertrail.gateway.leadership import Leadership
from tanagertrail.gateway.stop_gate import StopGate
from tanagertrail.gateway.supervision import Supervisor
from tanagertrail.policy.stop_admission import StopSchedule

MIN_DRAIN_SECONDS = 3.5  # callers use a directory answer for three times its lifetime
LAST_CALL_SECONDS = 0.3  # of the grace period, left for requests that come at its end
MIN_RELEASE_SECONDS = 0.2  # for the store to answer, also at the end of the grace period
DRAIN_CHECK_SECONDS = 0.05


class PlannedStop:
    """Serve what still arrives, release the lease, and close all connections.

    :ivar servers: servers whose requests are to be answered
    :ivar pages: servers whose requests are answered too, but not waited for before the end
    :ivar gate: told of the times of the stop, by which it judges requests
    """

    def __init__(
        self,
        servers: Sequence[HttpServer],
        leadership: Leadership,
        supervisor: Supervisor,
        log: EventLog,
        gate: StopGate,
        pages: Sequence[HttpServer] = (),
    ) -> None:
        self.servers = servers
        self.leadership = leadership
        self.supervisor = supervisor
        self.log = log
        self.gate = gate
        self.pages = pages

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self, grace: float) -> int:
        """Stop the servers and return the number of requests that were cut.

        Settings that are reloaded meanwhile change no time of it, since whoever sent the signal
        counts from there.

        :param grace: seconds until the process is ended from outside
        """
        for server in (*self.servers, *self.pages):
            server.stopping = True
        started = self.now()
        schedule = StopSchedule(started, grace)
        self.gate.begin(schedule)
        latest = schedule.cuts_at
        last_call = latest - LAST_CALL_SECONDS
        await self.wait_until_drained(min(started + MIN_DRAIN_SECONDS, last_call), last_call)
        await self.release_lease(max(last_call, self.now() + MIN_RELEASE_SECONDS))
        # Requests may have arrived while the lease was released.
        await self.wait_until_drained(started, last_call)
        servers = (*self.servers, *self.pages)
        cuts = await asyncio.gather(
            *(server.finish(latest, schedule.lingers_for) for server in servers)
        )
        cut = sum(cuts[: len(self.servers)])
        self.gate.report(cut)
        return cut

    async def release_lease(self, latest: float) -> None:
        """Release the lease, or leave it to expire at ``latest``, an event-loop time in seconds."""
        try:
            async with asyncio.timeout_at(latest):
                await self.leadership.release()
        except TimeoutError:
            self.log.write("lease_release_failed", error="no answer within the grace period")
        except Exception as error:
            self.supervisor.report("release of the lease", error)

    async def wait_until_drained(self, earliest: float, latest: float) -> None:
        """Wait until ``earliest``, then until no one waits for an answer or until ``latest``.

        Both are event-loop times in seconds.
        """
        while self.now() < latest:
            if self.now() >= earliest and not any(server.unanswered for server in self.servers):
                break
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
