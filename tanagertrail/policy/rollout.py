"""Moves of traffic to a new version: shares, ramp, judgement of stages."""

__all__ = [
    "RolloutPhase",
    "RampStep",
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
STAGE_SAMPLES = 30
QUICK_STAGE_SAMPLES = 200
MIN_STAGE_SECONDS = 2.0


class RolloutPhase(enum.StrEnum):
    """Where a move stands."""

    RAMP = "ramp"
    WATCH = "watch"
    DONE = "done"
    ROLLED_BACK = "taken back"


class RampStep(NamedTuple):
    """A stage of the ramp.

    :ivar share: share of traffic that the new version gets
    :ivar latest: event-loop time in seconds at which the stage must have begun
    """

    share: float
    latest: float


def plan_ramp(stages: Sequence[float], deadline: float, now: float) -> list[RampStep]:
    """Plan a version's traffic shares backward from its deadline.

    :param stages: traffic shares in rising order, each in (0, 1]
    :param deadline: event-loop time in seconds by which the last stage must hold
    :param now: event-loop time in seconds
    :raises SettingsError: if the shares do not rise
    """
    if any(low >= high for low, high in zip(stages, stages[1:], strict=False)):
        raise SettingsError([Violation("stages", "must rise", str(tuple(stages)))])
    ramp = RAMP_SHARE * (deadline - now)
    spacing = ramp / len(stages)
    return [RampStep(share, now + index * spacing) for index, share in enumerate(stages)]


@dataclass(frozen=True)
class RolloutState:
    """The state of one service's move, kept in the object API.

    :ivar ticket: number of the ticket that asked for the move
    :ivar stage: index of the stage in force
    :ivar left: seconds until the deadline when the state was written
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
        """Whether the move is not yet decided."""
        return self.phase in (RolloutPhase.RAMP, RolloutPhase.WATCH)


class StageCounts(NamedTuple):
    """What all daemons saw of the new version in the stage in force.

    :ivar alarm: what was found bad, empty for nothing
    """

    samples: int
    bad: int
    alarm: str = ""


def start_rollout(service: str, ticket: int, old: str, target: Target) -> RolloutState:
    """Return the first state of a move."""
    return RolloutState(
        service, ticket, old, target.version, RolloutPhase.RAMP, 0, target.stages[0], target.within
    )


def decide_next_state(
    state: RolloutState,
    target: Target,
    evidence: StageCounts,
    in_stage: float,
    seconds_left: float,
) -> RolloutState:
    """Return the next state of a move, or the same one.

    :param in_stage: seconds since the stage began
    :param left: seconds until the deadline
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
        if in_stage < target.watch:
            return state
        return replace(
            state,
            phase=RolloutPhase.DONE,
            seconds_left=seconds_left,
            reason=describe_end(evidence, seconds_left),
        )
    if not may_advance(state, target, evidence, in_stage, seconds_left):
        return state
    return advance(state, target, seconds_left)


def may_advance(
    state: RolloutState,
    target: Target,
    evidence: StageCounts,
    in_stage: float,
    seconds_left: float,
) -> bool:
    """Say whether the next stage may begin."""
    if in_stage < MIN_STAGE_SECONDS:
        return False
    if evidence.samples >= QUICK_STAGE_SAMPLES:
        return True
    steps_left = len(target.stages) - state.stage
    ramp_left = seconds_left - (1 - RAMP_SHARE) * target.within
    planned = in_stage >= RAMP_SHARE * target.within / len(target.stages)
    behind = ramp_left <= 0 or in_stage >= ramp_left / max(steps_left, 1)
    if evidence.samples >= STAGE_SAMPLES:
        return planned or behind
    return behind


def advance(state: RolloutState, target: Target, seconds_left: float) -> RolloutState:
    """Return the next stage, or the watch after the last one."""
    following = state.stage + 1
    if following >= len(target.stages):
        return replace(state, phase=RolloutPhase.WATCH, seconds_left=seconds_left)
    return replace(
        state, stage=following, share=target.stages[following], seconds_left=seconds_left
    )


def describe_end(evidence: StageCounts, seconds_left: float) -> str:
    """Say how a finished move went."""
    parts = []
    if seconds_left < 0:
        parts.append(f"{-seconds_left:.0f} s after the deadline")
    if evidence.samples < STAGE_SAMPLES:
        parts.append(f"judged on little traffic ({evidence.samples} requests)")
    return "; ".join(parts)


class VersionSplitter:
    """Divide requests over versions by counting, never by chance.

    :ivar credits: what each version is owed, in requests
    """

    def __init__(self, offset: float = 0.0) -> None:
        self.offset = offset
        self.credits: dict[str, float] = {}

    def choose(self, shares: Mapping[str, float]) -> str:
        """Return the version that is owed most."""
        for version, share in shares.items():
            owed = self.credits.get(version)
            self.credits[version] = share + (self.offset * share if owed is None else owed)
        chosen = max(shares, key=lambda version: (self.credits[version], version))
        self.credits[chosen] -= 1.0
        return chosen
