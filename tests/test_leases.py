"""Model check of leases with delays, lost answers and races: at most one holder acts at a time."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagertrail.policy.leases import LEASE_SECONDS, LeaseRecord, LeaseWatch, may_act

DAEMONS = ("a@1", "b@2", "c@3")


class LeaseMachine(RuleBasedStateMachine):
    """Three daemons and one lease in a store with conditional writes.

    Claims and renewals stay in flight until they reach the store in any order; their answers may
    be lost.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.record: LeaseRecord | None = None
        self.version = 0
        self.watches = {name: LeaseWatch() for name in DAEMONS}
        self.held: dict[str, tuple[LeaseRecord, int, float]] = {}
        self.in_flight: list[tuple[str, LeaseRecord, int, float]] = []

    @rule(seconds=st.floats(0.1, 9.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(DAEMONS))
    def read(self, name):
        self.watches[name].observe(self.record, self.version, self.now)

    @rule(name=st.sampled_from(DAEMONS))
    def send_claim(self, name):
        watch = self.watches[name]
        if watch.may_claim(self.now):
            self.in_flight.append((name, watch.build_claim(name), watch.version, self.now))

    @rule(name=st.sampled_from(DAEMONS))
    def send_renewal(self, name):
        if name in self.held:
            record, version, renewed_at = self.held[name]
            if may_act(renewed_at, self.now):
                renewed = record._replace(renewal=record.renewal + 1)
                self.in_flight.append((name, renewed, version, self.now))

    @rule(index=st.integers(0, 20), answered=st.booleans())
    def deliver(self, index, answered):
        if not self.in_flight:
            return
        name, record, expected, sent_at = self.in_flight.pop(index % len(self.in_flight))
        if expected != self.version:
            return
        self.record = record
        self.version += 1
        if answered:
            self.held[name] = (record, self.version, sent_at)

    @invariant()
    def at_most_one_holder_may_act(self):
        acting = [name for name, held in self.held.items() if may_act(held[2], self.now)]
        assert len(acting) <= 1, acting

    @invariant()
    def only_newest_fencing_number_may_act(self):
        for record, _, renewed_at in self.held.values():
            if may_act(renewed_at, self.now):
                assert record.fencing == self.record.fencing


TestLeases = LeaseMachine.TestCase
TestLeases.settings = settings(
    max_examples=200, stateful_step_count=60, derandomize=True, deadline=None, database=None
)


def test_action_that_outlasts_the_lease_is_not_started():
    assert may_act(100.0, 101.0, duration=2.0)
    assert not may_act(100.0, 100.0 + LEASE_SECONDS - 1.0, duration=2.0)


def test_failed_read_restarts_the_wait():
    watch = LeaseWatch()
    watch.observe(LeaseRecord("a@1", 1, 0), 1, 0.0)
    watch.note_unreadable(LEASE_SECONDS)
    assert not watch.may_claim(LEASE_SECONDS * 1.5)
