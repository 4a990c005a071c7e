"""The duty that moves services to new versions and reports on their tickets."""

__all__ = ["RolloutController"]

from collections import defaultdict
from dataclasses import replace

from tanagertrail.core.configuration import ConfigurationManager
from tanagertrail.core.context import NodeContext
from tanagertrail.core.duties import DutyLeaseManager
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.core.traffic import ROLLOUTS_PREFIX, TrafficSplit, decode_rollout, encode_rollout
from tanagertrail.daemons.messages import EvidenceReport, EvidenceRow
from tanagertrail.errors import ConflictError, PlatformError
from tanagertrail.model import Service
from tanagertrail.policy.rollout import (
    RolloutPhase,
    RolloutState,
    StageCounts,
    decide_next_state,
    start_rollout,
)


class RolloutController:
    """Move the services whose duty this daemon holds."""

    def __init__(
        self,
        context: NodeContext,
        shared: SharedObjects,
        configuration: ConfigurationManager,
        duties: DutyLeaseManager,
        traffic: TrafficSplit,
    ) -> None:
        self.context = context
        self.shared = shared
        self.configuration = configuration
        self.duties = duties
        self.traffic = traffic
        self.stage_began: dict[str, tuple[tuple[int, int, RolloutPhase], float]] = {}
        self.evidence: dict[str, dict[str, EvidenceRow]] = defaultdict(dict)
        context.register_handler(EvidenceReport, self.receive_evidence)

    def receive_evidence(self, sender: str, message: EvidenceReport) -> None:
        """Keep the latest evidence of a daemon."""
        for row in message.rows:
            evidence = EvidenceRow._make(row)
            self.evidence[evidence.service][message.daemon] = evidence

    async def report(self) -> None:
        """Send this daemon's evidence on each move to the daemon that comes first for it."""
        for row in self.traffic.build_evidence_rows():
            holder = self.duties.find_preferred_daemon(f"rollout/{row.service}")
            if holder:
                self.context.send(holder, EvidenceReport(self.context.daemon, (tuple(row),)))

    async def step(self) -> None:
        """Take the next step of each move whose duty is held."""
        for name, service in list(self.configuration.current.services.items()):
            if service.target is None or not self.duties.get_fencing_token(f"rollout/{name}"):
                continue
            try:
                await self.step_service(name, service)
            except PlatformError:
                self.context.recorder.count("rollout_write_failures")

    async def step_service(self, name: str, service: Service) -> None:
        """Take the next step of one move."""
        row = self.shared.get(ROLLOUTS_PREFIX + name)
        state = decode_rollout(row.value) if row else None
        origin = self.traffic.get_service_ticket(name)
        if state is None or state.ticket != origin:
            following = self.begin(name, service, state, origin)
        else:
            following = self.advance(name, service, state)
        if following == state:
            return
        try:
            written = encode_rollout(following)
            await self.shared.write(ROLLOUTS_PREFIX + name, written, row.version if row else 0)
        except ConflictError:
            await self.shared.read(ROLLOUTS_PREFIX + name)

    def begin(
        self, name: str, service: Service, state: RolloutState | None, origin: int
    ) -> RolloutState:
        """Return the first state of a move; one already under way to the version goes on."""
        fresh = start_rollout(name, origin, service.current, service.target)
        goes_on = (
            state is not None
            and state.rolling_out
            and (state.old, state.new) == (fresh.old, fresh.new)
            and state.stage < len(service.target.stages)
        )
        if not goes_on:
            return fresh
        share = service.target.stages[state.stage]
        return replace(state, ticket=origin, share=share, seconds_left=service.target.within)

    def advance(self, name: str, service: Service, state: RolloutState) -> RolloutState:
        """Return the next state of a move that is under way."""
        now = self.context.now()
        stage = (state.ticket, state.stage, state.phase)
        known, began = self.stage_began.get(name, (None, now))
        if known != stage:
            self.stage_began[name] = (stage, now)
            began = now
        deadline = self.traffic.rollout_deadlines.get(
            (name, state.ticket), now + state.seconds_left
        )
        return decide_next_state(
            state, service.target, self.gather(state), now - began, deadline - now
        )

    def gather(self, state: RolloutState) -> StageCounts:
        """Add up what all daemons saw in the stage in force."""
        rows = [
            row
            for row in self.evidence[state.service].values()
            if (row.ticket, row.stage) == (state.ticket, state.stage)
        ]
        samples = sum(row.samples for row in rows)
        bad = sum(row.bad for row in rows)
        stopped = self.traffic.stopped_versions.get((state.service, state.new)) is not None
        alarm = self.traffic.alarm_reasons.get(state.service, "bad") if stopped else ""
        return StageCounts(samples, bad, alarm)
