"""Staged rollouts of a new version: traffic shares, ramp and decisions between stages."""

__all__ = [
    "RampStep",
    "RolloutPhase",
    "RolloutState",
    "StageCounts",
    "VersionSplitter",
    "decide_next_state",
    "plan_ramp",
    "start_rollout",
]

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from typing import NamedTuple

from tanagertrail.errors import SettingsError, Violation
from tanagertrail.model import Target

RAMP_SHARE = 0.8
MIN_STAGE_SAMPLES = 30
EARLY_ADVANCE_SAMPLES = 200
MIN_STAGE_SECONDS = 2.0


class RolloutPhase(enum.StrEnum):
    """Phase of a rollout."""

    RAMP = "ramp"
    WATCH = "watch"
    DONE = "done"
    ROLLED_BACK = "taken back"


class RampStep(NamedTuple):
    """A stage of the ramp.

    :ivar share: share of traffic that the new version gets
    :ivar starts_by: event-loop time in seconds by which the stage must have started
    """

    share: float
    starts_by: float


def plan_ramp(stages: Sequence[float], deadline: float, now: float) -> list[RampStep]:
    """Plan when each traffic share starts, given the deadline.

    :param stages: traffic shares in increasing order, each in (0, 1]
    :param deadline: event-loop time in seconds by which the last stage must be in force
    :param now: event-loop time in seconds
    :raises SettingsError: if the shares do not increase
    """
    if any(lower >= upper for lower, upper in zip(stages, stages[1:], strict=False)):
        raise SettingsError([Violation("stages", "must rise", str(tuple(stages)))])
    ramp_seconds = RAMP_SHARE * (deadline - now)
    spacing = ramp_seconds / len(stages)
    return [RampStep(share, now + index * spacing) for index, share in enumerate(stages)]


@dataclass(frozen=True)
class RolloutState:
    """State of a service's rollout, stored in the object API.

    :ivar ticket: number of the ticket that requested the rollout
    :ivar stage: index of the stage in force
    :ivar seconds_left: seconds until the deadline when the state was written
    """

    service: str
    ticket: int
    old: str
    new: str
    phase: RolloutPhase
    stage: int
    share: float
    seconds_left: float
    reason: str = ""

    @property
    def rolling_out(self) -> bool:
        """Whether the rollout is still running."""
        return self.phase in (RolloutPhase.RAMP, RolloutPhase.WATCH)


class StageCounts(NamedTuple):
    """Results of the new version at all daemons in the current stage.

    :ivar bad: number of failed or slow requests among the samples
    :ivar alarm: description of a detected regression, empty for none
    """

    samples: int
    bad: int
    alarm: str = ""


def start_rollout(service: str, ticket: int, old: str, target: Target) -> RolloutState:
    """Return the initial state of a rollout."""
    return RolloutState(
        service, ticket, old, target.version, RolloutPhase.RAMP, 0, target.stages[0], target.within
    )


def decide_next_state(
    state: RolloutState,
    target: Target,
    evidence: StageCounts,
    stage_elapsed: float,
    seconds_left: float,
) -> RolloutState:
    """Return the next state of a rollout, or the same one.

    :param stage_elapsed: seconds since the stage started
    :param seconds_left: seconds until the deadline
    """
    if not state.rolling_out:
        return state
    if evidence.alarm:
        reason = f"{evidence.alarm} ({evidence.bad} of {evidence.samples} bad)"
        return replace(
            state,
            phase=RolloutPhase.ROLLED_BACK,
            share=0.0,
            seconds_left=seconds_left,
            reason=reason,
        )
    if state.phase is RolloutPhase.WATCH:
        if stage_elapsed < target.watch:
            return state
        return replace(
            state,
            phase=RolloutPhase.DONE,
            seconds_left=seconds_left,
            reason=describe_completion(evidence, seconds_left),
        )
    if not may_advance(state, target, evidence, stage_elapsed, seconds_left):
        return state
    return advance(state, target, seconds_left)


def may_advance(
    state: RolloutState,
    target: Target,
    evidence: StageCounts,
    stage_elapsed: float,
    seconds_left: float,
) -> bool:
    """Return whether the next stage may start."""
    if stage_elapsed < MIN_STAGE_SECONDS:
        return False
    if evidence.samples >= EARLY_ADVANCE_SAMPLES:
        return True
    steps_left = len(target.stages) - state.stage
    ramp_seconds_left = seconds_left - (1 - RAMP_SHARE) * target.within
    is_planned_time_over = stage_elapsed >= RAMP_SHARE * target.within / len(target.stages)
    is_behind_schedule = ramp_seconds_left <= 0 or stage_elapsed >= ramp_seconds_left / max(
        steps_left, 1
    )
    if evidence.samples >= MIN_STAGE_SAMPLES:
        return is_planned_time_over or is_behind_schedule
    return is_behind_schedule


def advance(state: RolloutState, target: Target, seconds_left: float) -> RolloutState:
    """Return the state in the next stage, or in the watch phase after the last stage."""
    next_stage = state.stage + 1
    if next_stage >= len(target.stages):
        return replace(state, phase=RolloutPhase.WATCH, seconds_left=seconds_left)
    return replace(
        state, stage=next_stage, share=target.stages[next_stage], seconds_left=seconds_left
    )


def describe_completion(evidence: StageCounts, seconds_left: float) -> str:
    """Describe what was unusual about a finished rollout."""
    remarks = []
    if seconds_left < 0:
        remarks.append(f"{-seconds_left:.0f} s after the deadline")
    if evidence.samples < MIN_STAGE_SAMPLES:
        remarks.append(f"judged on little traffic ({evidence.samples} requests)")
    return "; ".join(remarks)


class VersionSplitter:
    """Divides requests over versions by counting rather than at random.

    :ivar offset: initial credit of each version, as a multiple of its share
    :ivar credits: requests by which each version is behind its share
    """

    def __init__(self, offset: float = 0.0) -> None:
        self.offset = offset
        self.credits: dict[str, float] = {}

    def choose(self, shares: Mapping[str, float]) -> str:
        """Return the version with the largest credit."""
        for version, share in shares.items():
            credit = self.credits.get(version)
            self.credits[version] = share + (self.offset * share if credit is None else credit)
        chosen = max(shares, key=lambda version: (self.credits[version], version))
        self.credits[chosen] -= 1.0
        return chosen
