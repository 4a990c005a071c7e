"""The judgement of silent attempts, over interleavings of what may happen to one."""

import asyncio
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.gateway.channel import Channel
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.silence_watch import SilenceMonitor, SilenceWatch
from tanagertrail.gateway.tcp_info import has_unanswered_segments
from tanagertrail.gateway.upstream_table import UpstreamEntry, UpstreamTable
from tanagertrail.policy.silence import (
    CallerPatience,
    PartialEvent,
    Registration,
    Silence,
    SilenceAction,
    judge_silence,
)
from tanagertrail.testing import START_TIME, run_in_virtual_time
from tests.test_upstream_table import build_table

SOUND_PAUSE_SECONDS = 1.2  # of a sound upstream, with nothing that speaks against it
DEADLINE_SECONDS = 60.0
SETTLE_SECONDS = 0.3  # between two reviews of a silence

PATIENCE = st.builds(CallerPatience, st.floats(0.05, 4.0), st.floats(0.0, 1.0))
SILENCES = st.builds(
    Silence,
    seconds=st.floats(0.0, 30.0),
    begun=st.booleans(),
    repeatable=st.booleans(),
    time_left=st.floats(-1.0, 60.0),
    patience=PATIENCE,
    upstream_seconds=st.floats(0.0, 30.0),
    host_answers=st.booleans(),
    registration=st.sampled_from(Registration),
    cut_off=st.booleans(),
)


@given(SILENCES)
def test_silence_ends_nothing_that_may_run_once(silence):
    judgement = judge_silence(silence._replace(repeatable=False))
    replaced = silence.registration is Registration.REPLACED
    assert judgement.action is (SilenceAction.END if replaced else SilenceAction.WAIT)


@given(SILENCES)
def test_sound_pause_causes_no_resend(silence):
    silence = silence._replace(
        seconds=min(silence.seconds, SOUND_PAUSE_SECONDS),
        begun=True,
        registration=Registration.CURRENT,
        cut_off=False,
    )
    assert judge_silence(silence).action is SilenceAction.WAIT


@given(SILENCES)
def test_endless_silence_is_resent_before_the_caller_gives_up(silence):
    patience = silence.patience.seconds
    judgement = judge_silence(
        silence._replace(seconds=0.9 * patience, begun=True, repeatable=True, time_left=5.0)
    )
    assert judgement.action is not SilenceAction.WAIT


@given(SILENCES, st.floats(0.0, 5.0))
def test_judgement_never_returns_to_waiting_while_time_is_left(silence, longer):
    first = judge_silence(silence)
    later = judge_silence(
        silence._replace(seconds=silence.seconds + longer, time_left=silence.time_left - longer)
    )
    if first.action is not SilenceAction.WAIT and silence.time_left - longer >= 1.0:
        assert later.action is first.action


@given(SILENCES)
def test_slow_request_that_may_run_once_is_no_reason_to_avoid_its_upstream(silence):
    slow = silence._replace(
        begun=False,
        repeatable=False,
        host_answers=True,
        registration=Registration.CURRENT,
        cut_off=False,
    )
    assert not judge_silence(slow).is_suspect


@given(SILENCES)
def test_evidence_never_makes_a_silence_last_longer(silence):
    plain = silence._replace(
        host_answers=True, registration=Registration.CURRENT, cut_off=False, upstream_seconds=99.0
    )
    for evidence in (
        {"host_answers": False},
        {"registration": Registration.ENDED},
        {"registration": Registration.REPLACED},
        {"cut_off": True},
    ):
        limit = judge_silence(plain._replace(**evidence)).limit
        if plain.begun:
            assert limit <= judge_silence(plain).limit
    assert judge_silence(plain).limit <= judge_silence(plain._replace(upstream_seconds=0.0)).limit


def test_caller_waits_for_the_longest_of_its_three_bounds():
    assert CallerPatience(0.2, 0.1).seconds == 2.0
    assert CallerPatience(0.8, 0.1).seconds == 3.2
    assert CallerPatience(0.2, 0.5).seconds == 4.0


def test_pauses_within_an_event_are_silence_and_a_drip_is_not():
    paused, dripping = PartialEvent(), PartialEvent()
    assert not any(paused.add_part(now) for now in (0.0, 3.0, 6.0, 9.0))
    assert [dripping.add_part(number * 0.1) for number in range(24)].count(True) == 3
    dripping.clear()
    assert not dripping.add_part(9.0)


def test_only_a_later_start_replaces_an_upstream():
    """A restored store's older start was a proof that the process had ended."""
    for born, replaced in ((0.0, False), (4.0, False), (6.0, True)):
        table: UpstreamTable = build_table()
        record = table.entries["up-a"].record
        table.put(record._replace(born=5.0), 0.0)
        entry = table.entries["up-a"]
        table.put(record._replace(born=born), 1.0)
        assert entry.replaced is replaced


def test_unanswered_probes_and_retransmissions_are_told_from_an_idle_connection():
    assert not has_unanswered_segments(bytes([1, 0, 0, 0]))
    assert has_unanswered_segments(bytes([1, 0, 2, 0]))
    assert has_unanswered_segments(bytes([1, 0, 0, 1]))


class SimulatedAttempt:
    """An attempt whose upstream does what a list of steps says.

    :ivar last_at: event-loop time in seconds of the last progress
    :ivar interrupted_at: event-loop time in seconds at which the watch ended it, None if it did not
    """

    def __init__(self, repeatable: bool) -> None:
        self.now = asyncio.get_running_loop().time
        route = SimpleNamespace(
            name="talk", streamed=True, latency_objective=0.2, event_gap_objective=0.1
        )
        self.exchange = SimpleNamespace(
            route=route,
            service="desk",
            fields=SimpleNamespace(request_id="r1"),
            time_left=DEADLINE_SECONDS,
        )
        self.entry: UpstreamEntry = build_table().entries["up-a"]
        monitor = SilenceMonitor(
            EventLog("d1", self.now), lambda exchange: repeatable, lambda *arguments: True
        )
        self.watch = SilenceWatch(self.exchange, self.entry, monitor)
        self.channel = Channel()
        self.channel.transport = SimpleNamespace(get_extra_info=lambda name: None)
        self.last_at = self.now()
        self.interrupted_at: float | None = None

    def apply(self, step: str) -> None:
        """Let one thing happen."""
        if step == "event":
            self.watch.note_progress()
            self.last_at = self.now()
        elif step == "part":
            self.channel.data_received(b"id")
            self.channel.read_buffered()
            self.last_at = self.now()
        elif step == "answer to another":
            self.entry.note_heard(self.now())
        elif step == "registration ends":
            self.entry.gone = True
        elif step == "restart":
            self.entry.replaced = True

    async def run(self, steps: list[tuple[float, str]]) -> None:
        """Run through the steps, each after a pause in seconds, and be silent afterwards."""
        try:
            async with self.watch.limit(self.channel):
                self.apply("event")
                for pause, step in steps:
                    await asyncio.sleep(pause)
                    self.apply(step)
                await asyncio.sleep(DEADLINE_SECONDS)
        except TimeoutError:
            self.interrupted_at = self.now()


STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 3.0),
        st.sampled_from(["event", "part", "answer to another", "registration ends", "restart"]),
    ),
    max_size=8,
)


def simulate(steps, repeatable):
    """Run an attempt in virtual time and return it."""

    async def scenario():
        attempt = SimulatedAttempt(repeatable)
        await attempt.run(steps)
        return attempt

    return run_in_virtual_time(scenario())


@given(STEPS)
def test_stream_that_may_run_once_lasts_unless_its_upstream_starts_again(steps):
    attempt = simulate(steps, repeatable=False)
    assert attempt.entry.replaced == (attempt.watch.result.value == "broken")


@given(STEPS)
def test_resumable_stream_is_neither_cut_in_a_pause_nor_held(steps):
    attempt = simulate(steps, repeatable=True)
    silent_for = attempt.interrupted_at - attempt.last_at
    assert silent_for <= 2.0 + SETTLE_SECONDS
    assert attempt.entry.replaced or silent_for > SOUND_PAUSE_SECONDS


@given(st.lists(st.floats(0.0, SOUND_PAUSE_SECONDS), max_size=8))
def test_stream_with_sound_pauses_is_never_interrupted(pauses):
    attempt = simulate([(pause, "event") for pause in pauses], repeatable=True)
    assert attempt.interrupted_at - attempt.last_at > SOUND_PAUSE_SECONDS
    assert attempt.last_at >= START_TIME + sum(pauses) - 0.001
