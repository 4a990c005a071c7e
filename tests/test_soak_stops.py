"""Long requests, kept connections and planned stops of the fault soak."""

import random
from collections import Counter

from tanagertrail.soak.workload import (
    LONG_DEADLINE_SECONDS,
    draw_long_request,
    draw_request,
    parse_work,
)
from tanagertrail.soak.world import SoakUpstream
from tanagertrail.standins.documents import BOUNDS, LONG_ROUTES
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


class FakeRequest:
    """A request of which only the path is known."""

    def __init__(self, path):
        self.path = path
