"""Long requests, kept connections and planned stops of the fault soak."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from tanagertrail.soak.callers import CallerCrowd, Manner
from tanagertrail.soak.workload import (
    LONG_DEADLINE_SECONDS,
    build_request,
    draw_long_request,
    draw_request,
    parse_work,
)
from tanagertrail.soak.world import SoakUpstream
from tanagertrail.standins.documents import BOUNDS, CUSTOMERS, LONG_ROUTES
from tanagertrail.standins.ports import HOST, find_port
from tests.gateway_utils import run_in_real_time
from tests.utils import with_virtual_time


def draw_long_requests(count):
    """Draw long requests."""
    rng = random.Random(1)
    return [draw_long_request(rng, number) for number in range(count)]


def test_work_of_long_requests_never_comes_near_the_grace_period():
    requests = draw_long_requests(400)
    per_route = Counter(request.route for request in requests)
    assert set(per_route) == set(LONG_ROUTES)
    lengths = sorted(request.work for request in requests)
    assert lengths[0] < 0.02
    assert 0.9 < lengths[-1] / (2 * BOUNDS.grace) <= 1.0
    near = sum(0.5 < request.work / BOUNDS.grace < 1.5 for request in requests)
    assert near > 80
    patient = [request for request in requests if request.deadline == LONG_DEADLINE_SECONDS]
    assert 300 < len(patient) < 350
    assert all(request.work < request.deadline for request in patient)


def test_upstream_of_the_soak_ignores_the_work_that_a_path_states():
    for request in draw_long_requests(50):
        assert abs(parse_work(request.path.decode()) - request.work) < 0.001
    quick = draw_request(random.Random(1), 1, [])
    assert parse_work(quick.path.decode()) is None


@with_virtual_time
async def test_stream_of_the_soak_lasts_as_long_as_its_path_states_in_all():
    upstream = SoakUpstream("up-1", "north", [])
    upstream.work = 0.4
    for path, seconds in (("/long_talk/6.000/events", 1.0), ("/long_book/6.000/x", 6.0)):
        assert upstream.get_work(FakeRequest(path)) == seconds
    for path in ("/long_book/0.010/x", "/book/x", "/talk/events"):
        assert upstream.get_work(FakeRequest(path)) == 0.4
    upstream.close()


@run_in_real_time
async def test_callers_never_stay_until_a_daemon_closes_their_connection():
    """All left after twelve calls, so that no call came late in a stop on a kept connection."""
    counts = {}
    for manner in Manner:
        served = []
        server = await asyncio.start_server(build_server(served, 15), HOST, find_port())
        port = server.sockets[0].getsockname()[1]
        crowd = CallerCrowd(1, [], {}, [])
        rng = SimpleNamespace(uniform=lambda *span: 0.0, random=lambda: 1.0)
        again = await crowd.use_front(rng, port, build_plain_request, manner)
        counts[manner] = len(served), again
        server.close()
    assert counts == {
        Manner.LEAVES: (12, False),
        Manner.STAYS: (15, False),
        Manner.RETURNS: (15, True),
    }


def build_plain_request(rng, number):
    """Build a quick request."""
    return build_request(number, "look", CUSTOMERS[0])


def build_server(served, most):
    """Build what answers requests without a body and closes after some of them."""

    async def serve(reader, writer):
        for number in range(1, most + 1):
            try:
                served.append(await reader.readuntil(b"\r\n\r\n"))
            except asyncio.IncompleteReadError:
                break  # the caller has left
            last = b"connection: close\r\n" if number == most else b""
            writer.write(b"HTTP/1.1 200 OK\r\n" + last + b"content-length: 0\r\n\r\n")
        writer.close()

    return serve


class FakeRequest:
    """A request of which only the path is known."""

    def __init__(self, path):
        self.path = path
