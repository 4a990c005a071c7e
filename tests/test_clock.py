"""The wall clock on instances whose clock jumps."""

from tanagertrail.gateway.clock import JUMP_HOLD_SECONDS, SteadyWallClock
from tanagertrail.gateway.usage import UsageCounter

START_TIME = 1_700_000_000.0


class FakeClocks:
    """The clocks of a machine, whose wall clock may be wrong.

    :ivar now: boot time in seconds
    :ivar error: seconds by which the wall clock is ahead
    """

    def __init__(self):
        self.now = 50.0
        self.error = 0.0
        self.steady_clock = SteadyWallClock(
            lambda: START_TIME + self.now + self.error, lambda: self.now
        )


def test_temporary_clock_jump_does_not_change_the_billing_window():
    """Requests were billed in the wrong window while the wall clock was off by seconds."""
    clocks = FakeClocks()
    usage = UsageCounter(5.0, clocks.steady_clock.read)
    true_window = int((START_TIME + clocks.now) // 5.0)
    for error in (2.0, -2.0, 30.0, 0.0):
        clocks.error = error
        usage.note_started("guild")
    assert usage.sum_window(true_window) == {"guild": 4}


def test_time_advances_evenly_while_the_clock_is_wrong():
    clocks = FakeClocks()
    before = clocks.steady_clock.read()
    clocks.error = -3.0
    clocks.now += 4.0
    assert clocks.steady_clock.read() == before + 4.0


def test_lasting_clock_jump_is_accepted():
    clocks = FakeClocks()
    clocks.error = 3.0
    clocks.steady_clock.read()
    clocks.now += JUMP_HOLD_SECONDS
    assert clocks.steady_clock.read() == START_TIME + clocks.now + 3.0


def test_clock_drift_is_followed():
    clocks = FakeClocks()
    for _ in range(100):
        clocks.now += 1.0
        clocks.error += 0.02
        clocks.steady_clock.read()
    assert abs(clocks.steady_clock.read() - (START_TIME + clocks.now + clocks.error)) < 0.001
