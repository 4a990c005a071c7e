"""Long requests, kept connections and planned stops of the fault soak."""

import asyncio
import random
from collections import Counter
from types import SimpleNamespace

from tanagertrail.soak.callers import CallerCrowd, Manner
from tanagertrail.soak.plan import Fault
from tanagertrail.soak.program import list_kinds, run_seed
from tanagertrail.soak.stop_checks import STOP_REFUSAL, count_stops
from tanagertrail.soak.stop_faults import signal_later
from tanagertrail.soak.workload import (
    LONG_DEADLINE_SECONDS,
    build_request,
    draw_long_request,
    draw_request,
    parse_work,
)
from tanagertrail.soak.world import SoakUpstream, SoakWorld
from tanagertrail.standins.documents import BOUNDS, CUSTOMERS, LONG_ROUTES
from tanagertrail.standins.ports import HOST, find_port
from tests.gateway_utils import run_in_real_time
from tests.soak_utils import build_call, build_evidence, build_run, name_broken
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
        assert upstream.choose_work(FakeRequest(path)) == seconds
    for path in ("/long_book/0.010/x", "/book/x", "/talk/events"):
        assert upstream.choose_work(FakeRequest(path)) == 0.4
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


def build_stop(
    sent_at, ended_at, work, status=0, plan=(), deadline=20.0, ran_at=None, answer=b"", **changes
):
    """Build what a run shows of one request around a SIGTERM at 100.0, times from then on."""
    call = build_call(1, "long_book", sent_at=100.0 + sent_at, work=work, deadline=deadline)
    call = call._replace(
        status=status, whole=status > 0, stamp="", ended_at=100.0 + ended_at, answer=answer
    )
    begun = sent_at + 0.05 if ran_at is None else ran_at
    runs = [build_run(1, "long_book", at=100.0 + begun, body=call.body)] if begun < 50 else []
    changes = {"ended": 160.0, "terms": [(1000, 100.0)], "plan": list(plan)} | changes
    return build_evidence([call], runs, **changes)


STOPS = {"nothing cut by a planned stop"}
NEVER = 60.0  # begins after the run


def test_request_that_came_late_in_a_stop_and_was_cut_is_overlooked():
    assert name_broken(build_stop(4.0, 7.4, 5.0)) == STOPS
    assert name_broken(build_stop(4.0, 7.4, 5.0, status=504)) == STOPS
    assert name_broken(build_stop(3.1, 7.4, 16.0)) == STOPS
    assert name_broken(build_stop(-2.0, 5.0, 16.0)) == STOPS
    assert name_broken(build_stop(1.0, 7.4, 5.0)) == STOPS
    assert name_broken(build_stop(4.0, 8.9, 5.0)) == STOPS
    assert name_broken(build_stop(4.0, 4.5, 5.0, ran_at=NEVER)) == STOPS


def test_cut_that_the_rule_allows_is_held_against_a_stop():
    assert name_broken(build_stop(2.9, 7.4, 5.0)) == set()
    assert name_broken(build_stop(-3.0, 7.4, 10.0)) == set()
    assert name_broken(build_stop(2.9, 7.4, 5.0, status=504)) == set()
    assert name_broken(build_stop(4.0, 6.0, 5.0, status=504, deadline=2.0)) == set()
    assert name_broken(build_stop(4.0, 4.1, 5.0, ran_at=NEVER)) == set()
    assert name_broken(build_stop(4.0, 7.4, 5.0, status=504, ran_at=NEVER)) == set()
    assert name_broken(build_stop(4.0, 7.4, 5.0, plan=[Fault(102.0, "kill", 0, 1.0)])) == set()


def test_doubtful_refusal_of_an_upstream_is_held_against_a_stop():
    """Seed 50000: an order got 502 since an upstream wrote an earlier refusal once more."""
    refused = build_stop(4.0, 4.1, 0.01, status=502)
    struck = frozenset({refused.calls[0].request_id})
    assert name_broken(refused._replace(doubtful=struck)) == set()
    assert name_broken(refused._replace(doubtful=frozenset({"another"}))) == STOPS
    assert name_broken(build_stop(4.0, 7.4, 5.0, status=504, doubtful=struck)) == STOPS
    assert name_broken(build_stop(4.0, 7.4, 5.0, doubtful=struck)) == STOPS, "it was cut"


def test_work_that_lasts_longer_than_stated_is_held_against_a_stop():
    """An upstream that has turned slower still ran the request in the last sixth of the grace."""
    early = build_stop(1.0, 7.4, 2.0)
    name = early.calls[0].request_id
    assert name_broken(early) == STOPS
    assert name_broken(early._replace(unfinished={name: 107.4})) == set()
    assert name_broken(early._replace(unfinished={name: 104.0})) == STOPS, "it ran no more"
    assert name_broken(build_stop(4.0, 7.4, 2.0, unfinished={name: 107.4})) == STOPS, "it came late"


def test_store_that_is_away_excuses_cut_orders():
    plan = [Fault(102.0, "store busy", 0, 4.0), Fault(101.0, "store away beside a stop", 0, 9.0)]
    assert name_broken(build_stop(4.0, 7.4, 5.0, plan=plan)) == STOPS
    stream = build_stop(4.0, 7.4, 5.0, plan=plan)
    calls = [call._replace(route="long_talk") for call in stream.calls]
    runs = [run._replace(path="/long_talk/events") for run in stream.runs]
    stream = stream._replace(calls=calls, runs=runs)
    assert name_broken(stream) == set()
    assert name_broken(stream._replace(plan=[])) == STOPS
    link_cut = [*plan, Fault(102.0, "store cut", 0, 4.0)]
    assert name_broken(build_stop(4.0, 7.4, 5.0, plan=link_cut)) == set()


def test_refusal_of_what_would_have_ended_in_time_is_not_counted():
    refusal = {"answer": STOP_REFUSAL, "status": 503, "ran_at": NEVER}
    early = count_stops(build_stop(1.0, 1.01, 2.0, **refusal))
    assert (early.stops, early.sent, early.refused, early.refused_in_time) == (1, 1, 1, 1)
    late = count_stops(build_stop(4.0, 4.01, 5.0, **refusal))
    assert (late.refused, late.refused_in_time, late.cut) == (1, 0, 0)
    other = count_stops(build_stop(1.0, 1.01, 2.0, status=503, ran_at=NEVER))
    assert (other.sent, other.refused) == (1, 0)
    cut = count_stops(build_stop(4.0, 7.4, 5.0, status=504))
    assert (cut.cut, cut.served, cut.refused) == (1, 0, 0)
    before = count_stops(build_stop(-1.0, 7.4, 5.0, status=504))
    assert before.sent == 0
    reborn = count_stops(build_stop(4.0, 4.1, 1.0, status=503, starts=[(1000, 103.0)]))
    assert reborn.sent == 0


def test_second_sigterm_moves_the_begin_of_a_stop():
    daemon = SimpleNamespace(ports=SimpleNamespace(front=1000), starts=[5.0])
    world = SimpleNamespace(terms=[])
    for now in (10.0, 12.0, 20.0):
        world.now = lambda now=now: now
        SoakWorld.note_term(world, daemon)
        daemon.starts += [15.0] if now == 12.0 else []
    assert world.terms == [(1000, 10.0), (1000, 20.0)]


@with_virtual_time
async def test_second_sigterm_ends_a_daemon_that_was_started_again():
    """Seeds 11 and 215: the stop was over before the second signal, and nobody restarted it."""
    sent = []
    daemon = SimpleNamespace(process="first", signal=sent.append)
    late = asyncio.create_task(signal_later(daemon, "SIGTERM", 1.0))
    await asyncio.sleep(0.5)
    daemon.process = "second"
    await late
    assert sent == []
    await signal_later(daemon, "SIGTERM", 1.0)
    assert sent == ["SIGTERM"]


def test_patterns_of_kinds_miss_a_stop():
    stops = list_kinds("*stop*")
    assert {"stop", "stop of all", "stops in series", "reload during a stop"} <= set(stops)
    assert set(stops) & set(list_kinds("planned")) == set(stops) - {
        "store away beside a stop",
        "upstreams cut beside stops",
    }
    try:
        list_kinds("stop/no such kind")
    except ValueError:
        return
    raise AssertionError("a kind that does not exist was accepted")


def test_long_requests_that_come_late_in_a_stop_of_all_daemons_are_cut():
    result = asyncio.run(run_seed(23, 13.0, 3, 4, 30, ["stop of all"], 30.0))
    assert result.broken == []
    assert result.stops.stops == 3
    assert result.stops.killed == 0


class FakeRequest:
    """A request of which only the path is known."""

    def __init__(self, path):
        self.path = path
