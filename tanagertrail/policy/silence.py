"""Judgement of silent attempts: whether to wait, or to send the request to another upstream."""

__all__ = [
    "CallerPatience",
    "PartialEvent",
    "Registration",
    "Silence",
    "SilenceAction",
    "SilenceJudgement",
    "judge_silence",
]

import enum
import math
from typing import NamedTuple

MIN_PATIENCE_SECONDS = 2.0  # for which callers wait at least
OBJECTIVE_PATIENCE_FACTOR = 4.0
EVENT_GAP_PATIENCE_FACTOR = 8.0
USED_PATIENCE_SHARE = 0.8  # the rest is left for the first byte from elsewhere
MAX_PAUSE_SECONDS = 2.4  # a sound upstream that has begun to answer pauses for less
DOUBTFUL_PAUSE_SECONDS = 1.25  # if something besides the silence shows that it has ended
HEARD_SECONDS = 1.0  # for which an answer to another request shows that the upstream is at work
FIRST_ATTEMPT_SHARE = 0.5  # of the time left, after which another upstream has as long
MIN_RESEND_SECONDS = 0.1  # below which no other upstream would answer in time
MAX_EVENT_SECONDS = 2.0  # for which parts of one event may arrive
MAX_PART_GAP_SECONDS = 0.5  # above which the upstream was silent between two parts


class Registration(enum.StrEnum):
    """What the registry says of the upstream's process that got the request."""

    CURRENT = "current"
    ENDED = "ended"
    REPLACED = "replaced"


class SilenceAction(enum.StrEnum):
    """What to do with a silent attempt.

    ``RESEND`` needs another upstream and a place in the retry budget; without them the attempt is
    kept. ``END`` is for one that can never be answered.
    """

    WAIT = "wait"
    RESEND = "resend"
    END = "end"


class CallerPatience(NamedTuple):
    """How long callers of a route wait for the next byte, in seconds."""

    latency_objective: float
    event_gap_objective: float

    @property
    def seconds(self) -> float:
        """Seconds without a byte after which a caller gives up."""
        return max(
            MIN_PATIENCE_SECONDS,
            OBJECTIVE_PATIENCE_FACTOR * self.latency_objective,
            EVENT_GAP_PATIENCE_FACTOR * self.event_gap_objective,
        )


class Silence(NamedTuple):
    """What is known of a silent attempt; times are in seconds.

    :ivar seconds: time since its last progress, without that in which the daemon did not run
    :ivar begun: whether a part of the body has arrived, of a stream an event
    :ivar repeatable: whether the request may run at another upstream too
    :ivar time_left: time until the request's deadline
    :ivar patience: how long the caller waits for the next byte
    :ivar upstream_seconds: time since anything of the upstream was heard, on any request
    :ivar host_answers: whether its host acknowledges what is sent on the connection
    :ivar cut_off: whether this daemon is cut off from all upstreams
    """

    seconds: float
    begun: bool
    repeatable: bool
    time_left: float
    patience: CallerPatience
    upstream_seconds: float = math.inf
    host_answers: bool = True
    registration: Registration = Registration.CURRENT
    cut_off: bool = False

    @property
    def heard(self) -> bool:
        """Whether the upstream has answered others since the last progress, and lately."""
        return self.upstream_seconds < min(self.seconds, HEARD_SECONDS)


class SilenceJudgement(NamedTuple):
    """A decision on a silent attempt.

    :ivar reason: what decided
    :ivar proven: whether more than the silence shows that no answer will come
    :ivar limit: seconds of silence at which the request is sent elsewhere, infinite for never
    :ivar is_suspect: whether new requests should go to upstreams that are heard
    """

    action: SilenceAction
    reason: str
    proven: bool
    limit: float
    is_suspect: bool = False


def judge_silence(silence: Silence) -> SilenceJudgement:
    """Judge whether to wait for a silent attempt.

    A request that may run only once is waited for as long as it can be answered, whatever the
    silence.
    """
    if silence.registration is Registration.REPLACED:
        return SilenceJudgement(SilenceAction.END, "it has started again", True, 0.0)
    limit, reason, proven = find_limit(silence)
    is_over = silence.seconds >= limit
    # A request that has not begun may only be slow, which a resend would show.
    is_suspect = is_over and not silence.heard and (silence.begun or proven or silence.repeatable)
    action = SilenceAction.WAIT
    if not silence.repeatable:
        reason, limit = "it may run only once", math.inf
    elif is_over and silence.time_left < MIN_RESEND_SECONDS:
        reason = "too little time is left"
    elif is_over:
        action = SilenceAction.RESEND
    return SilenceJudgement(action, reason, proven, limit, is_suspect)


def find_limit(silence: Silence) -> tuple[float, str, bool]:
    """Return the limit of a silence in seconds, its reason, and whether it rests on more."""
    if silence.cut_off:
        return 0.0, "this daemon is cut off", True
    if not silence.host_answers:
        return DOUBTFUL_PAUSE_SECONDS, "its host acknowledges nothing", True
    if silence.registration is Registration.ENDED and not silence.heard:
        return DOUBTFUL_PAUSE_SECONDS, "it is no longer registered", True
    return (*find_unexplained_limit(silence), False)


def find_unexplained_limit(silence: Silence) -> tuple[float, str]:
    """Return the limit of a silence that nothing explains, and its reason.

    An upstream that answers others is at work, so a request that has not begun is only slow there.
    """
    limit = USED_PATIENCE_SHARE * silence.patience.seconds
    if silence.begun:
        if silence.heard:
            return limit, "only this request is silent"
        return min(limit, MAX_PAUSE_SECONDS), "nothing of it was heard"
    half = FIRST_ATTEMPT_SHARE * (silence.time_left + silence.seconds)
    if silence.heard:
        return half, "half of the time is over"
    return min(limit, half), "nothing of it was heard"


class PartialEvent:
    """The time for which parts of one event keep arriving without its end.

    :ivar seconds: that time; pauses between parts count as silence instead
    :ivar last_part_at: time in seconds at which the last part arrived, None before the first one
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.last_part_at: float | None = None

    def add_part(self, now: float) -> bool:
        """Add a part, and return whether the event takes too long."""
        if self.last_part_at is not None:
            pause = now - self.last_part_at
            self.seconds += pause if pause <= MAX_PART_GAP_SECONDS else 0.0
        self.last_part_at = now
        return self.seconds > MAX_EVENT_SECONDS

    def clear(self) -> None:
        """Begin anew after a whole event."""
        self.seconds = 0.0
        self.last_part_at = None
