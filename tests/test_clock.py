"""The time of day on instances whose clock jumps."""

from tanagertrail.gateway.clock import JUMP_HOLD_SECONDS, SteadyWallClock
from tanagertrail.gateway.usage import UsageCounter

MORNING = 1_700_000_000.0


class Clocks:
    """A machine's clocks, of which the time of day may be wrong.

    :ivar error: seconds by which the time of day is ahead
    """

    def __init__(self):
        self.now = 50.0
        self.error = 0.0
        self.steady = SteadyWallClock(lambda: MORNING + self.now + self.error, lambda: self.now)


def test_requests_are_billed_in_the_wrong_window_when_the_clock_jumps():
    clocks = Clocks()
    usage = UsageCounter(5.0, clocks.steady.read)
    true_window = int((MORNING + clocks.now) // 5.0)
    for error in (2.0, -2.0, 30.0, 0.0):
        clocks.error = error
        usage.note_started("guild")
    assert usage.sum_window(true_window) == {"guild": 4}


def test_time_goes_on_evenly_while_the_clock_is_wrong():
    clocks = Clocks()
    before = clocks.steady.read()
    clocks.error = -3.0
    clocks.now += 4.0
    assert clocks.steady.read() == before + 4.0


def test_a_clock_that_was_set_right_is_followed_at_last():
    clocks = Clocks()
    clocks.error = 3.0
    clocks.steady.read()
    clocks.now += JUMP_HOLD_SECONDS
    assert clocks.steady.read() == MORNING + clocks.now + 3.0


def test_drift_is_followed():
    clocks = Clocks()
    for _ in range(100):
        clocks.now += 1.0
        clocks.error += 0.02
        clocks.steady.read()
    assert abs(clocks.steady.read() - (MORNING + clocks.now + clocks.error)) < 0.001
