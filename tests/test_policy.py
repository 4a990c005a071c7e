"""Tests of choice, cold detection, queues, retries, crash tracking, version trials and rollouts."""

import random

from tanagertrail.bench.cold import run_cold
from tanagertrail.bench.prefixes import run_prefixes
from tanagertrail.errors import SettingsError
from tanagertrail.model import Priority, Target
from tanagertrail.outcomes import Answered, Failed, NotRun, Step, Unknown
from tanagertrail.policy.cold_detection import ColdDetector
from tanagertrail.policy.poison import CrashReport, PoisonRequestTracker, Verdict
from tanagertrail.policy.queueing import FairQueue, MeanServiceTime
from tanagertrail.policy.retries import RetryBudget, RetryContext, may_retry
from tanagertrail.policy.rollout import (
    RolloutPhase,
    StageCounts,
    VersionSplitter,
    decide_next_state,
    plan_ramp,
    start_rollout,
)
from tanagertrail.policy.version_trial import RequestResult, TrialVerdict, VersionTrial
from tests.utils import raises

TARGET = Target(version="v2", within=100.0, stages=(0.1, 1.0), watch=5.0)


def test_prefix_choice_saves_most_of_the_oracle_without_hot_spots():
    rows = {row.choice: row for row in run_prefixes()}
    assert rows["affinity"].saving >= 0.8
    assert rows["affinity"].hottest <= 1.25


def test_cold_start_is_detected_in_time_without_false_alarms():
    result = run_cold(streams=8, hours=0.02)
    assert result.false_alarms == 0
    assert result.delay_p95 <= 2.0


def test_single_stall_raises_no_alarm():
    detector = ColdDetector(0.03)
    assert not detector.observe(30.0)


def test_queue_shares_evenly_between_a_large_and_a_small_customer():
    queue = FairQueue()
    for number in range(40):
        queue.push(Priority.QUESTION, "large", 1e9, f"large{number}")
    for number in range(5):
        queue.push(Priority.QUESTION, "small", 1e9, f"small{number}")
    first = [queue.pop(0.0, MeanServiceTime()).payload for _ in range(12)]
    assert sum(name.startswith("small") for name in first) >= 4, first


def test_tags_are_not_starved():
    queue = FairQueue()
    for number in range(200):
        queue.push(Priority.QUESTION, "a", 1e9, "question")
        if number < 20:
            queue.push(Priority.TAG, "a", 1e9, "tag")
    first = [queue.pop(0.0, MeanServiceTime()).payload for _ in range(100)]
    assert first.count("tag") >= 5


def test_nearly_late_report_goes_first_but_not_always():
    queue = FairQueue()
    rate = MeanServiceTime(1.0)
    for _ in range(4):
        queue.push(Priority.QUESTION, "a", 1e9, "question")
        queue.push(Priority.REPORT, "a", 3.0, "report")
    order = [queue.pop(0.0, rate).payload for _ in range(4)]
    assert order == ["report", "question", "report", "question"]


def test_admission_refuses_unreachable_deadlines_with_a_retry_time():
    queue = FairQueue()
    for _ in range(10):
        queue.push(Priority.QUESTION, "a", 1e9, "x")
    refusal = queue.admit(deadline=3.0, now=0.0, slots=1, rate=MeanServiceTime(1.0))
    assert refusal.retry_after >= 0.5
    assert queue.admit(deadline=60.0, now=0.0, slots=1, rate=MeanServiceTime(1.0)) is None


def decide_retry(outcome, idempotent=True, budget=None, seconds_left=10.0):
    context = RetryContext(outcome, idempotent, 1, seconds_left, 1.0)
    return may_retry(context, budget or RetryBudget())


def test_only_unexecuted_or_idempotent_attempts_are_retried():
    refused = NotRun(Step.DISPATCH, "u", "r")
    unknown = Unknown(Step.HEAD, "u", "r")
    assert decide_retry(refused, idempotent=False)
    assert not decide_retry(unknown, idempotent=False)
    assert decide_retry(unknown)
    assert not decide_retry(Answered("u"))
    assert not decide_retry(Failed(Step.END, "u", "r", status=404))
    assert not decide_retry(unknown, seconds_left=0.5)


def test_retry_budget_is_a_share_of_successes():
    budget = RetryBudget(0.1, saved=0.0)
    assert not budget.spend()
    for _ in range(11):
        budget.earn()
    assert budget.spend()
    assert not budget.spend()


def build_crash(upstream, at, *fingerprints, domain="otaru", version="dial/v1"):
    return CrashReport(upstream, version, domain, fingerprints, at)


def test_request_is_quarantined_after_its_second_crash():
    register = PoisonRequestTracker()
    assert register.note_crash(build_crash("a", 0.0, "bad", "innocent")) == []
    assert register.judge("bad", 1.0) is Verdict.SUSPECT
    register.note_success("innocent")
    assert register.note_crash(build_crash("b", 20.0, "bad", "other")) == ["bad"]
    assert register.judge("bad", 21.0) is Verdict.QUARANTINED
    assert register.judge("innocent", 21.0) is Verdict.CLEAR


def test_reports_of_one_crash_count_once():
    register = PoisonRequestTracker()
    register.note_crash(build_crash("a", 0.0, "x"))
    assert register.note_crash(build_crash("a", 0.5, "x")) == []
    assert register.judge("x", 1.0) is Verdict.SUSPECT


def test_crashes_by_reclaims_quarantine_no_request():
    register = PoisonRequestTracker()
    for index in range(6):
        register.note_crash(build_crash(f"u{index}", index * 0.1, f"r{index}", domain="otaru"))
    assert not register.quarantined
    register.note_reclaim("z", 5.0)
    register.note_crash(build_crash("z", 20.0, "r1"))
    register.note_crash(build_crash("y", 40.0, "r1"))
    assert not register.quarantined


def add_results(trial, version, rng, count, fail=0.0, slow=1.0):
    for number in range(count):
        latency = slow * rng.lognormvariate(-2.0, 0.3)
        request_result = RequestResult(version, "/r", rng.random() < fail, latency)
        if version == "old":
            trial.add_old(request_result)
        elif trial.add_new(request_result) is TrialVerdict.BAD:
            return number + 1
    return 0


def test_bad_versions_are_detected_soon_and_good_ones_are_not():
    rng = random.Random(5)
    detected_after = {}
    for name, result_parameters in {
        "fails": {"fail": 1.0},
        "slow": {"slow": 3.0},
        "half": {"fail": 0.4},
    }.items():
        trial = VersionTrial()
        add_results(trial, "old", rng, 200)
        detected_after[name] = add_results(trial, "new", rng, 300, **result_parameters)
    assert 0 < detected_after["fails"] <= 5, detected_after
    assert 0 < detected_after["slow"] <= 8, detected_after
    assert 0 < detected_after["half"] <= 40, detected_after
    alarms = 0
    for _ in range(100):
        trial = VersionTrial()
        add_results(trial, "old", rng, 200)
        alarms += add_results(trial, "new", rng, 300) > 0
    assert alarms <= 1


def test_version_as_slow_as_the_old_one_is_not_bad():
    rng = random.Random(6)
    trial = VersionTrial()
    add_results(trial, "old", rng, 200, slow=5.0, fail=0.2)
    assert add_results(trial, "new", rng, 200, slow=5.0, fail=0.2) == 0


def test_traffic_shares_are_exact():
    splitter = VersionSplitter()
    chosen = [splitter.choose({"v1": 0.9, "v2": 0.1}) for _ in range(1000)]
    assert chosen.count("v2") == 100
    positions = [index for index, version in enumerate(chosen) if version == "v2"]
    assert max(b - a for a, b in zip(positions, positions[1:], strict=False)) <= 11


def test_ramp_ends_before_the_deadline():
    steps = plan_ramp((0.1, 0.5, 1.0), deadline=200.0, now=100.0)
    assert [step.share for step in steps] == [0.1, 0.5, 1.0]
    assert steps[-1].starts_by < 180.0
    with raises(SettingsError):
        plan_ramp((0.5, 0.1), 10.0, 0.0)


def test_alarm_rolls_back_in_any_stage():
    state = start_rollout("dial", 3, "v1", TARGET)
    state = decide_next_state(state, TARGET, StageCounts(9, 5, "route /r"), 1.0, 90.0)
    assert state.phase is RolloutPhase.ROLLED_BACK
    assert state.share == 0.0
    assert decide_next_state(state, TARGET, StageCounts(0, 0), 99.0, 0.0) == state


def test_reason_mentions_little_traffic():
    state = start_rollout("dial", 3, "v1", TARGET)
    seconds_left = 100.0
    while state.rolling_out and seconds_left > -50:
        state = decide_next_state(state, TARGET, StageCounts(1, 0), 60.0, seconds_left)
        seconds_left -= 10.0
    assert state.phase is RolloutPhase.DONE
    assert "little traffic" in state.reason
