"""Delays before a failed task is started again."""

__all__ = ["FIRST_DELAY_SECONDS", "MAX_DELAY_SECONDS", "SOUND_SECONDS", "Restart", "plan_restart"]

from typing import NamedTuple

FIRST_DELAY_SECONDS = 0.1
MAX_DELAY_SECONDS = 2.0
SOUND_SECONDS = 10.0  # of running, after which a failure begins a new series


class Restart(NamedTuple):
    """The next start of a failed task.

    :ivar failures: failures in a row, this one included
    :ivar delay: seconds until the start
    """

    failures: int
    delay: float


def plan_restart(earlier_failures: int, ran_seconds: float) -> Restart:
    """Plan the next start of a task that has failed.

    :param earlier_failures: failures in a row before this one
    :param ran_seconds: seconds for which the task ran since its last start
    """
    failures = 1 if ran_seconds >= SOUND_SECONDS else earlier_failures + 1
    doublings = min(failures - 1, int(MAX_DELAY_SECONDS / FIRST_DELAY_SECONDS).bit_length())
    return Restart(failures, min(FIRST_DELAY_SECONDS * 2**doublings, MAX_DELAY_SECONDS))
