"""Rollouts of service versions on one daemon: traffic shares, results and local alarms."""

__all__ = ["TrafficSplit"]

from collections import defaultdict
from collections.abc import Callable

import msgpack
import xxhash

from tanagertrail.core.configuration import ConfigurationManager
from tanagertrail.core.context import NodeContext
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.messages import EvidenceRow, ObjectRow, VersionAlarm
from tanagertrail.model import Configuration, Service
from tanagertrail.policy.rollout import RolloutPhase, RolloutState, VersionSplitter
from tanagertrail.policy.version_trial import RequestResult, TrialVerdict, VersionTrial

ROLLOUTS_PREFIX = "rollouts/"


def encode_rollout(state: RolloutState) -> bytes:
    """Encode the state of a rollout."""
    fields = (
        state.service,
        state.ticket,
        state.old,
        state.new,
        str(state.phase),
        state.stage,
        state.share,
        state.seconds_left,
        state.reason,
    )
    return msgpack.packb(fields)


def decode_rollout(value: bytes) -> RolloutState:
    """Decode the state of a rollout."""
    service, ticket, old, new, phase, stage, share, seconds_left, reason = msgpack.unpackb(value)
    return RolloutState(
        service, ticket, old, new, RolloutPhase(phase), stage, share, seconds_left, reason
    )


class TrafficSplit:
    """Divides requests over versions and tests the new one against the old.

    :ivar rollout_states: the last known rollout of each service
    :ivar stopped_versions: ticket number of the stopped rollout, by service and version
    :ivar trials: the trial of each route, by service and new version
    :ivar sample_counts: samples and bad samples of a rollout's current stage, by service
    :ivar rollout_deadlines: event-loop time by which a rollout must end, by service and ticket
    :ivar alarm_reasons: reason of the last alarm of each service
    :ivar on_version_stopped: called with service and version when a version gets no more traffic
    """

    def __init__(
        self, context: NodeContext, shared: SharedObjects, configuration: ConfigurationManager
    ) -> None:
        self.context = context
        self.shared = shared
        self.configuration = configuration
        self.rollout_states: dict[str, RolloutState] = {}
        self.stopped_versions: dict[tuple[str, str], int] = {}
        self.splitters: dict[str, VersionSplitter] = {}
        self.trials: dict[tuple[str, str], dict[str, VersionTrial]] = defaultdict(dict)
        self.sample_counts: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.rollout_deadlines: dict[tuple[str, int], float] = {}
        self.alarm_reasons: dict[str, str] = {}
        self.on_version_stopped: Callable[[str, str], None] = lambda service, version: None
        shared.subscribe(ROLLOUTS_PREFIX, self.apply_row)
        context.register_handler(VersionAlarm, self.receive_alarm)
        configuration.listen(self.apply_configuration)

    def apply_configuration(self, configuration: Configuration, ticket) -> None:
        """Forget the alarms of rollouts that a newer ticket has replaced."""
        for (service, version), number in list(self.stopped_versions.items()):
            if configuration.origins.get(f"service/{service}", 0) > number:
                del self.stopped_versions[service, version]
                self.trials.pop((service, version), None)

    def apply_row(self, row: ObjectRow) -> None:
        """Apply the state of a rollout; a new stage or phase restarts the sample counts."""
        if row.deleted:
            return
        state = decode_rollout(row.value)
        previous = self.rollout_states.get(state.service)
        if previous is None or (previous.ticket, previous.stage, previous.phase) != (
            state.ticket,
            state.stage,
            state.phase,
        ):
            self.sample_counts.pop(state.service, None)
            detail = f"{state.service} {state.new} {state.phase} share={state.share}"
            self.context.recorder.record("rollout", ticket=state.ticket, detail=detail)
        self.rollout_states[state.service] = state
        self.rollout_deadlines.setdefault(
            (state.service, state.ticket), self.context.now() + state.seconds_left
        )
        if state.phase is RolloutPhase.ROLLED_BACK:
            self.on_version_stopped(state.service, state.new)

    def get_service_ticket(self, service: str) -> int:
        """Return the number of the ticket that last changed a service, 0 for none."""
        return self.configuration.current.origins.get(f"service/{service}", 0)

    def find_rollout(self, name: str, service: Service) -> RolloutState | None:
        """Return the rollout state of a service, None unless it belongs to the latest ticket."""
        state = self.rollout_states.get(name)
        if state is None or service.target is None:
            return None
        return state if state.ticket == self.get_service_ticket(name) else None

    def compute_shares(self, name: str, service: Service) -> dict[str, float]:
        """Return the current traffic share of each version that has one."""
        state = self.find_rollout(name, service)
        if state is None or service.target is None:
            return {service.current: 1.0}
        new = service.target.version
        if (name, new) in self.stopped_versions or state.phase is RolloutPhase.ROLLED_BACK:
            return {service.current: 1.0}
        share = 1.0 if state.phase in (RolloutPhase.WATCH, RolloutPhase.DONE) else state.share
        shares = {service.current: 1.0 - share, new: share}
        return {version: fraction for version, fraction in shares.items() if fraction > 0}

    def choose_version(self, name: str, service: Service) -> str:
        """Choose the version of the next request by counting, from an offset per daemon."""
        shares = self.compute_shares(name, service)
        if len(shares) == 1:
            return next(iter(shares))
        splitter = self.splitters.get(name)
        if splitter is None:
            offset = xxhash.xxh32_intdigest(f"{self.context.daemon}:{name}".encode()) / 2**32
            splitter = self.splitters[name] = VersionSplitter(offset)
        return splitter.choose(shares)

    def observe(self, name: str, result: RequestResult) -> None:
        """Count the result of a request in the trial of a rollout that is under way."""
        service = self.configuration.current.services.get(name)
        state = self.find_rollout(name, service) if service else None
        if state is None or not state.rolling_out:
            return
        trials = self.trials[name, state.new]
        trial = trials.setdefault(result.route, VersionTrial())
        if result.version == state.old:
            trial.add_old(result)
            return
        if result.version != state.new:
            return
        bad_before = trial.bad_samples
        verdict = trial.add_new(result)
        counts = self.sample_counts[name]
        counts[0] += 1
        counts[1] += trial.bad_samples - bad_before
        if verdict is TrialVerdict.BAD:
            self.raise_alarm(state, result.route, trial)

    def raise_alarm(self, state: RolloutState, route: str, trial: VersionTrial) -> None:
        """Stop a bad version on every daemon, unless it is stopped already."""
        if (state.service, state.new) in self.stopped_versions:
            return
        reason = f"route {route}: {trial.bad_samples} of {trial.samples} bad"
        alarm = VersionAlarm(state.service, state.ticket, state.new, reason)
        self.receive_alarm(self.context.daemon, alarm)
        self.context.flood(alarm)

    def receive_alarm(self, sender: str, alarm: VersionAlarm) -> None:
        """Stop a version that a daemon found bad, unless a newer ticket has changed the service."""
        if self.get_service_ticket(alarm.service) > alarm.ticket:
            return
        key = (alarm.service, alarm.version)
        if key in self.stopped_versions:
            return
        self.stopped_versions[key] = alarm.ticket
        detail = f"{alarm.service} {alarm.version}: {alarm.reason}"
        self.context.recorder.record("version_stopped", ticket=alarm.ticket, detail=detail)
        self.alarm_reasons[alarm.service] = alarm.reason
        self.on_version_stopped(alarm.service, alarm.version)

    def build_evidence_rows(self) -> list[EvidenceRow]:
        """Return the sample counts of the current stage of each running rollout."""
        rows = []
        for name, (samples, bad) in self.sample_counts.items():
            state = self.rollout_states.get(name)
            if state is not None and state.rolling_out:
                rows.append(EvidenceRow(name, state.ticket, state.stage, samples, bad))
        return rows
