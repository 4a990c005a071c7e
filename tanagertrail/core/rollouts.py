"""The duty that rolls out new versions of services, stage by stage."""

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
    """Advance the rollouts of the services whose duty this daemon holds.

    :ivar stage_starts: for each service the ticket number, stage and phase in force and the
        event-loop time in seconds at which this daemon first saw them
    :ivar evidence: the latest evidence rows, by service and daemon
    """

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
        self.stage_starts: dict[str, tuple[tuple[int, int, RolloutPhase], float]] = {}
        self.evidence: dict[str, dict[str, EvidenceRow]] = defaultdict(dict)
        context.register_handler(EvidenceReport, self.receive_evidence)

    def receive_evidence(self, sender: str, message: EvidenceReport) -> None:
        """Keep the latest evidence from a daemon."""
        for row in message.rows:
            evidence = EvidenceRow._make(row)
            self.evidence[evidence.service][message.daemon] = evidence

    async def report(self) -> None:
        """Send this daemon's evidence on each rollout to the daemon that ranks first for it."""
        for row in self.traffic.build_evidence_rows():
            preferred_daemon = self.duties.find_preferred_daemon(f"rollout/{row.service}")
            if preferred_daemon:
                self.context.send(
                    preferred_daemon, EvidenceReport(self.context.daemon, (tuple(row),))
                )

    async def step(self) -> None:
        """Advance each rollout whose duty is held."""
        for name, service in list(self.configuration.current.services.items()):
            if service.target is None or not self.duties.get_fencing_token(f"rollout/{name}"):
                continue
            try:
                await self.step_rollout(name, service)
            except PlatformError:
                self.context.recorder.count("rollout_write_failures")

    async def step_rollout(self, name: str, service: Service) -> None:
        """Compute the next state of a rollout and store it if it differs."""
        row = self.shared.get(ROLLOUTS_PREFIX + name)
        state = decode_rollout(row.value) if row else None
        ticket_number = self.traffic.get_service_ticket(name)
        if state is None or state.ticket != ticket_number:
            next_state = self.begin_rollout(name, service, state, ticket_number)
        else:
            next_state = self.advance_rollout(name, service, state)
        if next_state == state:
            return
        try:
            encoded_state = encode_rollout(next_state)
            await self.shared.write(
                ROLLOUTS_PREFIX + name, encoded_state, row.version if row else 0
            )
        except ConflictError:
            await self.shared.read(ROLLOUTS_PREFIX + name)

    def begin_rollout(
        self, name: str, service: Service, state: RolloutState | None, ticket_number: int
    ) -> RolloutState:
        """Return the first state of the rollout that a ticket asks for.

        If a rollout between the same versions is in progress, it continues at its stage.
        """
        new_state = start_rollout(name, ticket_number, service.current, service.target)
        continues = (
            state is not None
            and state.rolling_out
            and (state.old, state.new) == (new_state.old, new_state.new)
            and state.stage < len(service.target.stages)
        )
        if not continues:
            return new_state
        share = service.target.stages[state.stage]
        return replace(state, ticket=ticket_number, share=share, seconds_left=service.target.within)

    def advance_rollout(self, name: str, service: Service, state: RolloutState) -> RolloutState:
        """Return the next state of a rollout, which may be the same one."""
        now = self.context.now()
        current_stage = (state.ticket, state.stage, state.phase)
        known_stage, started_at = self.stage_starts.get(name, (None, now))
        if known_stage != current_stage:
            self.stage_starts[name] = (current_stage, now)
            started_at = now
        deadline = self.traffic.rollout_deadlines.get(
            (name, state.ticket), now + state.seconds_left
        )
        return decide_next_state(
            state, service.target, self.sum_evidence(state), now - started_at, deadline - now
        )

    def sum_evidence(self, state: RolloutState) -> StageCounts:
        """Add up the evidence of all daemons on the stage in force."""
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
