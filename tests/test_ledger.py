"""Model checks of the slot ledger with lost, duplicated and late messages and changing keepers."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from tanagertrail.policy.ledger import SlotLedger
from tanagertrail.policy.slots import SlotHolder, UpstreamCapacity, spread_demand
from tests.utils import raises

HOLDERS = ("a@1", "b@2", "c@3")
SLOTS = 4
COLD_SLOTS = 3
UPSTREAM = "dial-1"


class LedgerMachine(RuleBasedStateMachine):
    """Three holders and a series of keepers of one upstream.

    Reports and allotments in transit may be delivered out of order, repeatedly, or to an old
    keeper.
    """

    def __init__(self):
        super().__init__()
        self.holders = {name: SlotHolder(name) for name in HOLDERS}
        for holder in self.holders.values():
            holder.add_upstream(UPSTREAM, SLOTS, COLD_SLOTS)
            holder.bind_epoch(UPSTREAM, 1)
        self.keepers = [SlotLedger(UPSTREAM, SLOTS, COLD_SLOTS, 1, HOLDERS)]
        self.reports = []
        self.allotments = []
        self.epoch = 1

    @rule(name=st.sampled_from(HOLDERS), demand=st.integers(0, 6), good=st.integers(0, 30))
    def report(self, name, demand, good):
        entry = self.holders[name].held[UPSTREAM]
        entry.demand = demand
        entry.good = good
        self.reports.append(self.holders[name].build_report(UPSTREAM))

    @rule(index=st.integers(0, 50), duplicate=st.booleans(), keeper=st.integers(0, 5))
    def deliver_report(self, index, duplicate, keeper):
        if not self.reports:
            return
        report = self.reports[index % len(self.reports)]
        if not duplicate:
            self.reports.remove(report)
        ledger = self.keepers[keeper % len(self.keepers)]
        self.allotments.extend(ledger.take_report(report))

    @rule(index=st.integers(0, 50), duplicate=st.booleans())
    def deliver_allotment(self, index, duplicate):
        if not self.allotments:
            return
        sent = self.allotments[index % len(self.allotments)]
        if not duplicate:
            self.allotments.remove(sent)
        holder, allotment = sent
        self.holders[holder].apply_allotment(allotment)

    @rule(name=st.sampled_from(HOLDERS), demand=st.integers(1, 4), keeper=st.integers(0, 5))
    def deliver_at_once(self, name, demand, keeper):
        entry = self.holders[name].held[UPSTREAM]
        entry.demand = demand
        ledger = self.keepers[-1 - keeper % len(self.keepers)]
        for holder, allotment in ledger.take_report(self.holders[name].build_report(UPSTREAM)):
            self.holders[holder].apply_allotment(allotment)

    @rule(name=st.sampled_from(HOLDERS))
    def acquire(self, name):
        self.holders[name].acquire(UPSTREAM)

    @rule(name=st.sampled_from(HOLDERS))
    def release(self, name):
        if self.holders[name].held[UPSTREAM].in_flight:
            self.holders[name].release(UPSTREAM)

    @rule()
    def change_keeper(self):
        self.epoch += 1
        self.keepers.append(SlotLedger(UPSTREAM, SLOTS, COLD_SLOTS, self.epoch, HOLDERS))

    @rule(name=st.sampled_from(HOLDERS))
    def bind_to_newest_epoch(self, name):
        self.holders[name].bind_epoch(UPSTREAM, self.epoch)

    @invariant()
    def requests_in_flight_stay_within_the_limit(self):
        total = sum(holder.held[UPSTREAM].in_flight for holder in self.holders.values())
        assert total <= SLOTS, total

    @invariant()
    def allotted_slots_stay_within_the_limit(self):
        total = sum(holder.held[UPSTREAM].block for holder in self.holders.values())
        assert total <= SLOTS, total


TestLedger = LedgerMachine.TestCase
TestLedger.settings = settings(
    max_examples=150, stateful_step_count=60, derandomize=True, deadline=None, database=None
)


def test_demand_is_spread_evenly_in_order_of_preference():
    capacities = [UpstreamCapacity("a", 3), UpstreamCapacity("b", 3), UpstreamCapacity("c", 0)]
    assert spread_demand(4, capacities) == {"a": 2, "b": 2, "c": 0}


def test_unmet_demand_is_spread_over_all_upstreams():
    capacities = [UpstreamCapacity("a", 1), UpstreamCapacity("b", 0)]
    assert sum(spread_demand(5, capacities).values()) == 5


def test_cold_notice_cuts_usable_slots_at_once():
    holder = SlotHolder("a@1")
    entry = holder.add_upstream(UPSTREAM, 8, 2)
    entry.block = 4
    assert holder.note_cold(UPSTREAM, 1)
    assert entry.usable == 1


def test_release_of_an_unknown_upstream_is_an_error():
    with raises(KeyError):
        SlotHolder("a@1").release("nothing")
