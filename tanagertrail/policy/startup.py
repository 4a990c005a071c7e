"""How long a daemon that has just started waits for what others know, and callers for the daemon.

Load pattern: all daemons are killed or lose power at the same moment, and all callers return within
the second in which the daemons start again. No daemon is left that knows the rates that upstreams
named, and a caller that is refused returns later than the daemon needs to learn the rest.
"""

__all__ = ["PeerStart", "must_await_limits", "plan_startup_wait"]

from collections.abc import Iterable
from typing import NamedTuple

LIMITS_WAIT_SECONDS = 0.5  # for a daemon that knows the limits in force; then none is there

# Incarnations this close together belong to daemons that started at the same time. It covers the
# difference between the clocks of instances and between their speeds.
SAME_START_SECONDS = 3.0
MIN_RESTARTED_PEERS = 3  # that started at the same time, before none is assumed to have served on

# Share of a caller's time that it may wait for a starting daemon; the rest serves its request.
STARTUP_WAIT_SHARE = 0.25


class PeerStart(NamedTuple):
    """What is known of another daemon that was heard since the own start.

    :ivar incarnation: Unix time in milliseconds at which it started
    """

    incarnation: int
    serving: bool


def must_await_limits(own_incarnation: int, heard: Iterable[PeerStart], elapsed: float) -> bool:
    """Return whether another daemon may still tell the rates that upstreams named.

    It ends early if several daemons were heard, none of them serves, and all have started when this
    one did: they know as little.

    :param own_incarnation: Unix time in milliseconds at which this daemon started
    :param heard: the other daemons that were heard since then
    :param elapsed: seconds since then
    """
    if elapsed >= LIMITS_WAIT_SECONDS:
        return False
    heard = list(heard)
    if len(heard) < MIN_RESTARTED_PEERS:
        return True
    return any(
        peer.serving or abs(peer.incarnation - own_incarnation) > SAME_START_SECONDS * 1000
        for peer in heard
    )


def plan_startup_wait(
    longest: float, time_left: float | None, waiting: int, max_waiting: int
) -> float:
    """Return the seconds for which a request may wait until its daemon knows enough to serve.

    :param longest: longest wait by the settings, in seconds
    :param time_left: seconds until the caller gives up, None if not stated
    :param waiting: requests that are waiting already
    :param max_waiting: requests that may wait at once
    """
    if waiting >= max_waiting:
        return 0.0
    if time_left is None:
        return longest
    return max(min(longest, time_left * STARTUP_WAIT_SHARE), 0.0)
