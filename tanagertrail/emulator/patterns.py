"""Load patterns: which requests come when, and which engines are lost."""

__all__ = ["PATTERNS", "Arrival", "Loss", "Need", "Pattern", "RequestKind", "Scenario"]

import math
import random
from collections.abc import Callable
from typing import NamedTuple

from tanagertrail.registry import Registry

REPORT_SHARE, QUESTION_SHARE = 0.11, 0.47  # of the requests; the rest are short tags
SESSIONS = {"report": 85, "question": 628, "tag": 231}


class RequestKind(NamedTuple):
    """What a kind of request asks.

    :ivar common: tokens that all requests share
    :ivar shared: mean tokens that the requests of a session share
    :ivar own: mean tokens of the request's own
    :ivar out: tokens of the answer
    :ivar objective: seconds within which the first token is on time
    :ivar worth: credit of an answer on time; a late one earns a tenth
    """

    common: int
    shared: int
    own: int
    out: int
    objective: float
    worth: float


KINDS = {
    "report": RequestKind(512, 4870, 6610, 378, 0.8, 9.0),
    "question": RequestKind(119, 79, 628, 288, 0.8, 0.84),
    "tag": RequestKind(341, 227, 1800, 27, 1.5, 0.39),
}


class Arrival(NamedTuple):
    """A request that comes at a time."""

    at: float
    kind: str
    session: int
    own: int


class Loss(NamedTuple):
    """A share of the engines of a failure domain that is lost at a time."""

    at: float
    domain: int
    share: float


class Need(NamedTuple):
    """A span in which the engines of a failure domain name a request rate.

    :ivar rate: requests per second that each accepts from all daemons together
    """

    at: float
    until: float
    domain: int
    rate: float


class Scenario(NamedTuple):
    """Arrivals in order of time, losses and spans of need."""

    arrivals: list[Arrival]
    losses: list[Loss]
    needs: tuple[Need, ...] = ()


Pattern = Callable[[random.Random, float, float], Scenario]
PATTERNS: Registry[Pattern] = Registry("load pattern")


def draw_arrivals(
    rng: random.Random, seconds: float, rate_at: Callable[[float], float], hot: float = 0.0
) -> list[Arrival]:
    """Draw open arrivals at a rate that changes with time.

    :param hot: share of the reports that belong to one session
    """
    arrivals = []
    at = 0.0
    while True:
        at += rng.expovariate(max(rate_at(at), 0.01))
        if at >= seconds:
            return arrivals
        draw = rng.random()
        kind = "report" if draw < REPORT_SHARE else "tag"
        if REPORT_SHARE <= draw < REPORT_SHARE + QUESTION_SHARE:
            kind = "question"
        session = rng.randrange(SESSIONS[kind])
        if kind == "report" and rng.random() < hot:
            session = 0
        own = max(int(KINDS[kind].own * rng.lognormvariate(-0.1, 0.45)), 1)
        arrivals.append(Arrival(at, kind, session, own))


@PATTERNS.register("wave")
def draw_wave(rng: random.Random, seconds: float, rate: float) -> Scenario:
    """Draw a rate that swings by three tenths, with clumps."""

    def rate_at(at: float) -> float:
        swing = 1.0 + 0.3 * math.sin(2 * math.pi * at / 40.0)
        return rate * swing * (1.6 if int(at * 2) % 7 == 0 else 0.9)

    return Scenario(draw_arrivals(rng, seconds, rate_at), [])


@PATTERNS.register("burst")
def draw_burst(rng: random.Random, seconds: float, rate: float) -> Scenario:
    """Draw a rate that is two and a half times its usual for a quarter of the time."""

    def rate_at(at: float) -> float:
        return rate * (2.5 if 0.4 < at / seconds < 0.65 else 1.0)

    return Scenario(draw_arrivals(rng, seconds, rate_at), [])


@PATTERNS.register("hot_key")
def draw_hot_key(rng: random.Random, seconds: float, rate: float) -> Scenario:
    """Draw reports of which four tenths belong to one session."""
    return Scenario(draw_arrivals(rng, seconds, lambda at: rate, hot=0.4), [])


@PATTERNS.register("reclaim")
def draw_reclaim(rng: random.Random, seconds: float, rate: float) -> Scenario:
    """Draw a steady rate under which two failure domains lose most of their engines."""
    losses = [Loss(seconds * 0.4, 0, 0.8), Loss(seconds * 0.55, 1, 0.8)]
    return Scenario(draw_arrivals(rng, seconds, lambda at: rate), losses)


@PATTERNS.register("need")
def draw_need(rng: random.Random, seconds: float, rate: float) -> Scenario:
    """Draw a steady rate under which the engines of a failure domain accept few requests."""
    need = Need(seconds * 0.3, seconds * 0.8, 0, 1.4)
    return Scenario(draw_arrivals(rng, seconds, lambda at: rate), [], (need,))
