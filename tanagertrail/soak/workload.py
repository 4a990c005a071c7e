"""What callers of the soak ask for: routes, the work of each request, deadlines."""

__all__ = [
    "DEADLINE_SECONDS",
    "LONG_DEADLINE_SECONDS",
    "ONCE_ROUTES",
    "ORDER_ROUTES",
    "STREAM_ROUTES",
    "WORK_SECONDS",
    "SoakRequest",
    "build_request",
    "draw_long_request",
    "draw_request",
    "parse_work",
]

import random
from typing import NamedTuple

from tanagertrail.standins.documents import (
    BOUNDS,
    CUSTOMERS,
    LONG_PREFIX,
    LONG_ROUTES,
    SoakCustomer,
)
from tanagertrail.standins.misbehaviour import EVENTS, STREAM_SUFFIX

DEADLINE_SECONDS = 3.0
LONG_DEADLINE_SECONDS = 20.0
SHORT_DEADLINE_SHARE = 0.2  # of long requests, whose deadline may come before their end
SHORT_DEADLINE_SECONDS = (0.5, 6.0)
WORK_SECONDS = 0.01  # of a plain request, and of each event of a stream
LONGEST_WORK_SECONDS = 2 * BOUNDS.grace
EVEN_SHARE = 0.5  # of long requests whose work is drawn evenly, that of the others by magnitude
FIRST_PART = "soak"  # that the prompts of all streams share
SECOND_PARTS = ("a", "b", "c", "d")
ROUTES = ("look", "look", "book", "book", "talk", "once")
STREAM_ROUTES = frozenset({"talk", "once", "long_talk", "long_once"})
ONCE_ROUTES = frozenset({"book", "once", "long_book", "long_once"})  # run at most once
ORDER_ROUTES = frozenset({"book", "long_book"})


class SoakRequest(NamedTuple):
    """A request that a caller sends.

    :ivar prompt_prefix: shared parts of its prompt, empty for a request without a prompt
    :ivar work: seconds for which an upstream works on it
    :ivar deadline: seconds that its caller waits
    """

    request_id: str
    route: str
    customer: SoakCustomer
    body: bytes = b""
    prompt_prefix: str = ""
    work: float = WORK_SECONDS
    deadline: float = DEADLINE_SECONDS

    @property
    def method(self) -> bytes:
        """Method of the request."""
        return b"POST" if self.body else b"GET"

    @property
    def path(self) -> bytes:
        """Path of the request, which states the work of a long one."""
        work = f"/{self.work:.3f}" if self.route.startswith(LONG_PREFIX) else ""
        suffix = STREAM_SUFFIX if self.route in STREAM_ROUTES else "/x"
        return f"/{self.route}{work}{suffix}".encode()


def parse_work(path: str) -> float | None:
    """Parse the seconds of work that the path of a long request states, None for other paths."""
    parts = path.split("/")
    return float(parts[2]) if parts[1].startswith(LONG_PREFIX) else None


def build_request(
    number: int, route: str, customer: SoakCustomer, body: bytes = b"", second_part: str = ""
) -> SoakRequest:
    """Build a quick request.

    :param second_part: second part of its prompt, empty for a request without a prompt
    """
    request_id = f"soak-{number}"
    prompt_prefix = f"{FIRST_PART}:9,{second_part}:9,{request_id}:9" if second_part else ""
    work = WORK_SECONDS * EVENTS if route in STREAM_ROUTES else WORK_SECONDS
    return SoakRequest(request_id, route, customer, body, prompt_prefix, work)


def draw_on_route(rng: random.Random, number: int, route: str) -> SoakRequest:
    """Draw a request on a route."""
    body = f"order {number}".encode() if route in ORDER_ROUTES else b""
    second_part = SECOND_PARTS[number % len(SECOND_PARTS)] if route in STREAM_ROUTES else ""
    return build_request(number, route, rng.choice(CUSTOMERS), body, second_part)


def draw_request(rng: random.Random, number: int, extra_routes: list[str]) -> SoakRequest:
    """Draw a quick request on one of the first routes or on the newest."""
    return draw_on_route(rng, number, rng.choice([*ROUTES, *extra_routes[-1:]]))


def draw_long_request(rng: random.Random, number: int) -> SoakRequest:
    """Draw a request whose work lasts up to twice the grace period."""
    request = draw_on_route(rng, number, rng.choice(LONG_ROUTES))
    if rng.random() < EVEN_SHARE:
        work = rng.uniform(WORK_SECONDS, LONGEST_WORK_SECONDS)
    else:
        work = WORK_SECONDS * (LONGEST_WORK_SECONDS / WORK_SECONDS) ** rng.random()
    is_short = rng.random() < SHORT_DEADLINE_SHARE
    deadline = rng.uniform(*SHORT_DEADLINE_SECONDS) if is_short else LONG_DEADLINE_SECONDS
    return request._replace(work=work, deadline=deadline)
