"""The time between a daemon's start and its first served request."""

__all__ = ["Startup"]

import asyncio
from collections.abc import Callable, Iterator

from tanagertrail.gateway.admission import Admitted, Refusal
from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import MemberTable
from tanagertrail.policy.startup import PeerStart, must_await_limits, plan_startup_wait

CONTACT_SECONDS = 0.1  # between two attempts to reach daemons that were not heard
CHECK_SECONDS = 0.02
DECISION_SECONDS = 0.05  # between two decisions on a request that is held
MAX_WAITING_REQUESTS = 256  # each holds its body, of which all together are bounded elsewhere


def may_change(admitted: Admitted | Refusal) -> bool:
    """Return whether a decision may soon be another, since the daemon has just started."""
    return isinstance(admitted, Refusal) and admitted.may_change


class Startup:
    """Learn what is needed to serve, and hold the requests that arrive before.

    :ivar longest_wait: seconds for which a request may wait, 0 to refuse it at once
    :ivar started_at: event-loop time in seconds of the daemon's start
    :ivar waiting: requests that are waiting
    :ivar known: set once enough is known to serve
    :ivar contact_silent: tries to reach some daemons that were not heard
    :ivar is_listed: returns whether the registered daemons are known
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        members: MemberTable,
        log: EventLog,
        longest_wait: float = 0.0,
    ) -> None:
        self.cluster_view = cluster_view
        self.members = members
        self.log = log
        self.longest_wait = longest_wait
        self.started_at = asyncio.get_running_loop().time()
        self.waiting = 0
        self.known = asyncio.Event()
        self.contact_silent: Callable[[], None] = lambda: None
        self.is_listed: Callable[[], bool] = lambda: True

    def now(self) -> float:
        """Return the event-loop time in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Await the limits in force, then all that is needed to serve."""
        reason = await self.await_limits()
        self.cluster_view.limits_known = True
        limits_after = self.now() - self.started_at
        await self.await_view()
        self.known.set()
        self.log.write(
            "serving",
            after_s=round(self.now() - self.started_at, 3),
            limits_after_s=round(limits_after, 3),
            limits=reason,
            waiting=self.waiting,
        )

    async def await_view(self) -> None:
        """Wait until configuration, upstreams, evacuations and rollouts are known."""
        while not self.cluster_view.complete:  # noqa: ASYNC110  several tasks complete it
            await asyncio.sleep(CHECK_SECONDS)

    async def await_limits(self) -> str:
        """Wait until a serving daemon has told the limits in force, and return why it ended."""
        next_contact_at = 0.0
        while not self.cluster_view.limits_known:
            elapsed = self.now() - self.started_at
            if not must_await_limits(self.members.own.incarnation, self.list_heard(), elapsed):
                return "none was told"
            if self.is_listed():
                if not self.members.states:
                    return "no other daemon"
                if self.now() >= next_contact_at:
                    self.contact_silent()
                    next_contact_at = self.now() + CONTACT_SECONDS
            await asyncio.sleep(CHECK_SECONDS)
        return "told"

    def list_heard(self) -> Iterator[PeerStart]:
        """List the other daemons that were heard since the start."""
        for state in self.members.states.values():
            if state.last_seen_at >= self.started_at:
                yield PeerStart(state.member.incarnation, state.serving)

    async def admit(
        self, admit: Callable[[], Admitted | Refusal], seconds_left: float | None
    ) -> Admitted | Refusal:
        """Admit a request, and hold it while this daemon may soon know enough to admit it.

        It is held for a part of its time only.

        :param admit: decides on the request by what is known
        :param seconds_left: time until its caller gives up, None if not stated
        """
        if self.known.is_set():
            admitted = admit()
            if not may_change(admitted):
                return admitted
        seconds = plan_startup_wait(
            self.longest_wait, seconds_left, self.waiting, MAX_WAITING_REQUESTS
        )
        if seconds <= 0:
            return admitted if self.known.is_set() else admit()
        self.waiting += 1
        try:
            async with asyncio.timeout(seconds):
                await self.known.wait()
                admitted = admit()
                while may_change(admitted):
                    await asyncio.sleep(DECISION_SECONDS)
                    admitted = admit()
                return admitted
        except TimeoutError:
            self.log.write_routine("startup_wait_ended", waited_s=round(seconds, 3))
            return admit()
        finally:
            self.waiting -= 1
