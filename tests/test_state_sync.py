"""Tests for the exchange of states, fleet summaries and store updates between daemons."""

import asyncio
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.daemons.frames import encode_frame
from tanagertrail.daemons.peer_messages import pack_rows, unpack_rows
from tanagertrail.errors import FrameError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.members import Member, MemberTable
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.gateway.state_sync import STATE_MAX_AGE_SECONDS, StateSync, SyncDelegate
from tanagertrail.platform.store import Listing, StoredObject
from tanagertrail.policy.hubs import plan_topology
from tests.gateway_utils import NoOpHandler, run_in_real_time
from tests.utils import raises

NAMES = [f"d{n}" for n in range(20)]


class Daemon(SyncDelegate):
    """A daemon without sockets that records what the state synchronization delivers."""

    def __init__(self, name):
        self.name = name
        self.counter = 0
        self.used = 0.0
        self.in_flight = 0
        self.usage = {}
        self.summary = None
        self.leader_age = None
        own = Member(name, 1, f"{name}:1", f"{name}:2", "north")
        log = EventLog(name, asyncio.get_running_loop().time)
        self.members = MemberTable(own, log)
        for other in NAMES:
            self.members.merge_member(
                Member(other, 1, f"{other}:1", f"{other}:2", "north"), 0.0, False
            )
        self.state_sync = StateSync(self, self.members, {})
        self.state_sync.topology = plan_topology(name, [n for n in NAMES if n != name])

    def describe_state(self):
        self.counter += 1
        return self.members.own.build_state(
            self.counter,
            serving=True,
            store_reachable=True,
            in_flight=(("up", self.in_flight),),
            quota=(("guild", self.used, 0.0),),
            usage=((7, (("guild", self.in_flight),)),),
        )

    def apply_state(self, state):
        self.usage[state.daemon] = dict(dict(state.usage).get(7, ())).get("guild", 0)

    def apply_fleet_summary(self, hub, incarnation, summary):
        self.summary = summary

    def record_leader_seen(self, age):
        self.leader_age = age

    def on_store_update(self):
        pass


def run_period(daemons):
    """Let each daemon exchange states with its partners once."""
    for daemon in daemons.values():
        for partner in daemon.state_sync.topology.partners:
            request = daemon.state_sync.build_request(partner)
            response = daemons[partner].state_sync.handle_request(request)
            daemon.state_sync.handle_response(response, 0.0)


def build_daemons():
    """Return daemons, each with three requests in flight and ten units used."""
    daemons = {name: Daemon(name) for name in NAMES}
    for daemon in daemons.values():
        daemon.in_flight, daemon.used = 3, 10.0
    return daemons


@run_in_real_time
async def test_hubs_know_all_states_and_other_daemons_the_totals():
    daemons = build_daemons()
    for _ in range(3):
        run_period(daemons)
    hubs = [daemon for daemon in daemons.values() if daemon.state_sync.topology.is_hub]
    others = [daemon for daemon in daemons.values() if not daemon.state_sync.topology.is_hub]
    assert len(hubs) == 4
    for hub in hubs:
        assert sum(hub.usage.values()) == 3 * (len(NAMES) - 1)
    for daemon in others:
        assert daemon.summary.daemon_count == len(NAMES) - 1
        assert dict(daemon.summary.in_flight) == {"up": 3 * (len(NAMES) - 1)}
        assert daemon.summary.quota[0][1] == 10.0 * (len(NAMES) - 1)


@run_in_real_time
async def test_all_daemons_know_which_members_are_alive():
    daemons = build_daemons()
    for _ in range(3):
        run_period(daemons)
    now = asyncio.get_running_loop().time()
    for daemon in daemons.values():
        assert len(daemon.members.list_serving(now)) == len(NAMES) - 1


@run_in_real_time
async def test_quota_units_of_a_restarted_daemon_are_kept():
    daemons = build_daemons()
    hub = next(daemon for daemon in daemons.values() if daemon.state_sync.topology.is_hub)
    state = daemons["d1"].describe_state() if hub.name != "d1" else daemons["d2"].describe_state()
    hub.state_sync.apply_state(state, True)
    restarted = state._replace(incarnation=2, counter=1, quota=(("guild", 4.0, 0.0),))
    hub.state_sync.apply_state(restarted, True)
    assert hub.state_sync.quota_used["guild"] == 14.0


@run_in_real_time
async def test_older_state_is_ignored():
    daemons = build_daemons()
    hub = daemons["d0"]
    new = daemons["d1"].describe_state()._replace(counter=9, in_flight=(("up", 1),))
    hub.state_sync.apply_state(new, True)
    hub.state_sync.apply_state(new._replace(counter=3, in_flight=(("up", 5),)), True)
    assert hub.state_sync.states["d1"].state.in_flight == (("up", 1),)


def test_rows_round_trip_and_malformed_rows_are_refused():
    rows = (("a", 1, True), ("b", 2, False))
    assert unpack_rows(pack_rows(rows)) == rows
    assert pack_rows([]) == b""
    with raises(FrameError):
        unpack_rows(b"broken")


@run_in_real_time
async def test_state_is_relayed_to_each_hub_once():
    """When both of a daemon's hubs relayed its state, their 10 Mbit/s links were saturated."""
    daemons = build_daemons()
    for _ in range(3):
        run_period(daemons)
    hubs = [daemon for daemon in daemons.values() if daemon.state_sync.topology.is_hub]
    relayed = [
        row[0] for hub in hubs for row in unpack_rows(hub.state_sync.pack_relayed_states(""))
    ]
    others = {name for name, daemon in daemons.items() if not daemon.state_sync.topology.is_hub}
    assert sorted(relayed) == sorted(others)


@run_in_real_time
async def test_store_updates_are_pushed_without_states():
    """Each store update in a burst of registrations used to carry the states of all daemons."""
    daemons = build_daemons()
    for _ in range(3):
        run_period(daemons)
    hubs = [daemon for daemon in daemons.values() if daemon.state_sync.topology.is_hub]
    sender, receiver = hubs[0], hubs[1]
    for hub in (sender, receiver):
        mirror = KindMirror("servers", NoOpHandler(), lambda: 0.0)
        hub.state_sync.mirrors["servers"] = mirror
    listing = Listing([StoredObject("up", 1, 1, {}, None, False)], 1)
    sender.state_sync.mirrors["servers"].apply_listing(listing, 0.0)
    update = sender.state_sync.build_store_update(receiver.name)
    assert len(encode_frame(update, 0)) < 500
    ack = receiver.state_sync.handle_store_update(update)
    sender.state_sync.handle_ack(receiver.name, ack)
    assert receiver.state_sync.mirrors["servers"].revision == 1
    assert receiver.name not in sender.state_sync.list_outdated_peers()


@given(
    steps=st.lists(
        st.tuples(
            st.integers(1, 5),
            st.sampled_from(["report", "restart", "forget", "wait"]),
            st.integers(0, 4),
            st.integers(0, 900),
        ),
        max_size=40,
    )
)
@settings(max_examples=60, deadline=None)
def test_incremental_totals_match_known_states(steps):
    asyncio.run(check_fleet_totals(steps))


async def check_fleet_totals(steps):
    """Apply steps to a hub and compare its summary with totals computed from scratch."""
    hub = Daemon("d0")
    hub.used = 1.0
    now = 100.0
    hub.state_sync.now = lambda: now
    counters = Counter()
    for number, step, in_flight, used in steps:
        name = f"d{number}"
        if step == "forget":
            hub.state_sync.forget(name)
        elif step == "wait":
            now += in_flight
        else:
            counters[name] += 1
            member = Member(name, 2 if step == "restart" else 1, f"{name}:1", f"{name}:2", "north")
            state = member.build_state(
                counters[name], in_flight=(("up", in_flight),), quota=(("guild", used, 2.5),)
            )
            hub.state_sync.apply_state(state, True)
    own = hub.describe_state()
    summary = hub.state_sync.build_fleet_summary("d1", own)
    recent_states = [
        known.state
        for name, known in hub.state_sync.states.items()
        if name != "d1" and now - known.reported_at <= STATE_MAX_AGE_SECONDS
    ]
    assert summary.daemon_count == 1 + len(recent_states)
    in_flight = sum(count for state in recent_states for _, count in state.in_flight)
    assert dict(summary.in_flight).get("up", 0) == in_flight
    assert summary.quota[0][2] == 2.5 * len(recent_states)


@run_in_real_time
async def test_state_of_a_daemon_restarted_with_its_clock_set_back_is_applied():
    """States with an older incarnation were ignored by other daemons for 20 seconds."""
    daemons = build_daemons()
    hubs = [daemon for daemon in daemons.values() if daemon.state_sync.topology.is_hub]
    others = [daemon for daemon in daemons.values() if not daemon.state_sync.topology.is_hub]
    run_period(daemons)
    restarted = daemons[others[0].name] = Daemon(others[0].name)
    restarted.members.own = restarted.members.own._replace(incarnation=0)
    restarted.in_flight = 8
    for _ in range(4):
        run_period(daemons)
    assert restarted.members.own.incarnation > 1
    for hub in hubs:
        assert hub.state_sync.states[restarted.name].state.in_flight == (("up", 8),)
