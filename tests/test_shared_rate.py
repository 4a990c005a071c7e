"""Division of a shared request rate among daemons that learn late of each other."""

import random
from bisect import bisect_left

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.policy.shared_rate import NAMED_RATE_BOUND, FleetView, HeldRates, plan_share

STEP_SECONDS = 0.1
NEWS_SECONDS = 1.0  # within which each daemon learns of a change
DETECTION_SECONDS = 2.5  # after which a daemon that stopped is found to be lost
HANDOVER_SECONDS = 2.0
END_SECONDS = 24.0
WARM_SECONDS = 3.0  # the stability bound after the naming
USED_SHARE = 0.6


def compute_bound(rate):
    """Return the most requests that a window of the limit's rule may hold."""
    return 1.5 * rate * 4.0 + 5


def count_fullest_window(times, window=4.0):
    """Return the requests in the fullest window of sorted times."""
    return max((bisect_left(times, at + window) - n for n, at in enumerate(times)), default=0)


class FleetPlay:
    """Daemons that send all they may, and learn of each other with different delays."""

    def __init__(self, daemons, rate, changes, seed, per_second=None):
        self.rng = random.Random(seed)
        self.names = [f"d{n}" for n in range(daemons)]
        self.rate = rate
        self.per_second = per_second
        self.parts = {name: HeldRates(name) for name in self.names}
        self.alive = set(self.names)
        everybody = frozenset(self.names)
        self.views = {name: FleetView(name, everybody, 1.0) for name in self.names}
        self.news = []  # (time, observer, daemon, whether it is alive)
        self.changes = sorted(changes)
        self.sent = []

    def change(self, at, name, stays_away):
        """Stop a daemon, or start one that is stopped."""
        if name in self.alive and len(self.alive) > 1:
            self.alive.discard(name)
            self.tell(at, name, False, DETECTION_SECONDS)
            if not stays_away:
                self.changes.append((at + self.rng.uniform(0.3, 6.0), name, True))
                self.changes.sort()
        elif name not in self.alive:
            self.alive.add(name)
            self.parts[name] = HeldRates(name)
            self.set_view(name, self.alive)
            self.tell(at, name, True, 0.0)

    def tell(self, at, name, is_alive, delay):
        """Let each daemon learn of a change at a time of its own."""
        for observer in self.names:
            heard = at + delay + self.rng.uniform(0.0, NEWS_SECONDS)
            self.news.append((heard, observer, name, is_alive))

    def step(self, now):
        """Apply what happens until a time, and send all that is allowed."""
        while self.changes and self.changes[0][0] <= now:
            self.change(*self.changes.pop(0))
        for item in [item for item in self.news if item[0] <= now]:
            self.news.remove(item)
            _, observer, name, is_alive = item
            # News that a daemon was lost is void once it has come back.
            if is_alive == (name in self.alive):
                seen = self.views[observer].serving
                self.set_view(observer, seen | {name} if is_alive else seen - {name})
        for name in self.alive:
            self.send(name, now)

    def set_view(self, name, others):
        """Put a daemon's view of the fleet in force."""
        seen = frozenset(others) | {name}
        self.views[name] = FleetView(name, seen, len(seen) / len(self.names))

    def send(self, name, now):
        """Send what one daemon may send."""
        parts = self.parts[name]
        parts.observe_fleet(self.views[name], HANDOVER_SECONDS, now)
        arrivals = 100 if self.per_second is None else self.count_arrivals()
        while arrivals and parts.allows_request("up", self.rate, NAMED_RATE_BOUND, now):
            parts.note_sent("up")
            self.sent.append(now)
            arrivals -= 1

    def count_arrivals(self):
        """Return the requests of callers that come to a daemon in a step."""
        return int(self.rng.random() < self.per_second * STEP_SECONDS)

    def run(self):
        """Play to the end and return the sorted times at which requests were sent."""
        for number in range(int(END_SECONDS / STEP_SECONDS)):
            self.step(number * STEP_SECONDS)
        return sorted(self.sent)


fleet_changes = st.lists(
    st.tuples(st.floats(0.0, END_SECONDS), st.integers(0, 11), st.booleans()), max_size=6
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.integers(1, 12), st.floats(0.0, 40.0), fleet_changes, st.integers(0, 1000))
def test_rate_is_exceeded_while_daemons_disagree_on_the_fleet(daemons, rate, changes, seed):
    changes = [(at, f"d{n % daemons}", stays) for at, n, stays in changes]
    sent = FleetPlay(daemons, rate, changes, seed).run()
    times = [at for at in sent if at >= WARM_SECONDS]
    assert count_fullest_window(times) <= compute_bound(rate)


def test_rate_is_exceeded_or_wasted_in_fleets_of_any_size():
    for daemons in (5, 75, 195, 380):
        for rate in (0.3, 1.4, 1.6, 10.0):
            per_second = max(1.5, 4 * rate / daemons)
            sent = FleetPlay(daemons, rate, [], 1, per_second).run()
            times = [at for at in sent if at >= WARM_SECONDS]
            assert count_fullest_window(times) <= compute_bound(rate), (daemons, rate)
            assert len(times) >= USED_SHARE * rate * (END_SECONDS - WARM_SECONDS), (daemons, rate)


def test_daemons_cut_off_from_each_other_spend_the_rate_once_each():
    """Each of eight daemons believes that it is alone."""
    total = 0.0
    for number in range(8):
        fleet = FleetView(f"d{number}", frozenset({f"d{number}"}), 1 / 8)
        total += plan_share("up", 1.6, NAMED_RATE_BOUND, fleet).rate
    assert total <= 1.6


def test_limit_of_zero_is_never_noticed_to_have_ended():
    """Somebody has to send a request now and then, or no answer can tell."""
    sent = FleetPlay(8, 0.0, [], 1).run()
    assert 1 <= len(sent) <= 5


def test_limit_that_changes_all_the_time_lets_holders_begin_anew():
    parts = HeldRates("d0")
    names = frozenset(f"d{n}" for n in range(40))
    sent = 0
    for number in range(400):
        now = 10.0 + number * 0.01
        for name_rate in (1.4, 30.0):
            parts.observe_fleet(FleetView("d0", names, 1.0), HANDOVER_SECONDS, 0.0)
            while parts.allows_request("up", name_rate, NAMED_RATE_BOUND, now):
                parts.note_sent("up")
                sent += 1
    assert sent <= 1 + 4.0 * 30.0 / 40
