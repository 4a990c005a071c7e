"""Tests of planned stops beside other work, faults and changes."""

import asyncio
import json
import time
from contextlib import suppress

from nose2.tools import params

from tanagertrail.gateway.channel import open_channel
from tanagertrail.gateway.http1 import CallerRequest, CallerStream
from tanagertrail.gateway.node import GatewayNode
from tanagertrail.gateway.upstream_stream import UpstreamStream
from tanagertrail.policy.durations import MAX_SAMPLES
from tanagertrail.policy.stop_admission import (
    CLOSING_SECONDS,
    EARLY_SECONDS,
    MAX_MARGIN_SHARE,
    MIN_EARLY_SAMPLES,
    StopSchedule,
)
from tanagertrail.standins.documents import build_route
from tanagertrail.standins.misbehaviour import FAULTS
from tanagertrail.standins.ports import HOST
from tanagertrail.standins.store import StoreMode
from tests.gateway_utils import (
    SetLinks,
    World,
    build_config,
    build_settings,
    cut_off_from_upstreams,
    open_fleet,
    open_world,
    run_in_real_time,
    set_links,
)

PATIENT = {"timeout_ms": 10_000, "slo_ms": 4000, "gap_aim_ms": 2000, "attempts": 3}
ROUTES = [
    build_route("book", "unsafe", **PATIENT),
    build_route("talk", "stream", **PATIENT),
    build_route("look", "safe", **PATIENT),
]
IMPATIENT_ROUTES = [build_route("look", "safe", **PATIENT | {"slo_ms": 200, "gap_aim_ms": 100})]
GRACE_SECONDS = 8.0
LONG = {"tanagertrail_deadline_ms": "9000"}
LONG_SECONDS = 9.0


def set_grace(node, seconds):
    """Change the grace period of a daemon."""
    bounds = node.settings.bounds._replace(grace=seconds)
    node.settings = node.settings._replace(bounds=bounds)


def let_stop_be_late(node):
    """Let a daemon decide as at the end of a planned stop, with no time for any request."""
    now = asyncio.get_running_loop().time()
    node.dispatcher.stop_gate.begin(StopSchedule(now - LONG_SECONDS, LONG_SECONDS))


def list_runs(world):
    """Return the ids of the requests that an upstream began to run."""
    return [record.request_id for upstream in world.upstreams for record in upstream.runs]


@FAULTS.register("refuse as the stop turns late")
async def refuse_late(upstream, request: CallerRequest, stream: CallerStream) -> None:
    """Refuse a request as not run when the daemon that sent it has no time left."""
    let_stop_be_late(upstream.node_in_front)
    await FAULTS.get("refuse")(upstream, request, stream)


@FAULTS.register("break off as the stop turns late")
async def break_off_late(upstream, request: CallerRequest, stream: CallerStream) -> None:
    """Break a stream off when the daemon that sent it has no time left."""
    upstream.begin(request)
    await upstream.send_events(request, stream, 2)
    let_stop_be_late(upstream.node_in_front)
    stream.channel.abort()


@FAULTS.register("reset as the stop turns late")
async def reset_late(upstream, request: CallerRequest, stream: CallerStream) -> None:
    """Reset the connection of a request that runs when the daemon has no time left."""
    let_stop_be_late(upstream.node_in_front)
    await FAULTS.get("reset")(upstream, request, stream)


def set_faults(world, fault):
    """Let each upstream do the same to its next requests."""
    for upstream in world.upstreams:
        upstream.node_in_front = world.node
        upstream.faults.extend([fault] * 3)


@run_in_real_time
async def test_request_that_did_not_run_is_not_sent_again_when_it_would_be_cut():
    async with open_world(build_config(routes=ROUTES)) as world:
        set_faults(world, "refuse as the stop turns late")
        reply = await world.fetch("/book/1", b"order", **LONG)
        assert reply.status == 503
        assert reply.body == b"the gateway is stopping"
        assert sum(len(upstream.arrivals) for upstream in world.upstreams) == 1


@run_in_real_time
async def test_stream_is_broken_off_at_once_instead_of_resumed_and_cut():
    async with open_world(build_config(routes=ROUTES)) as world:
        set_faults(world, "break off as the stop turns late")
        reply = await world.fetch("/talk/a/events", b"prompt", **LONG)
        assert (reply.status, reply.whole, reply.body.count(b"data:")) == (200, False, 2)
        assert len(list_runs(world)) == 1


@run_in_real_time
async def test_request_that_may_have_run_is_not_called_refused_when_no_time_is_left():
    async with open_world(build_config(routes=ROUTES)) as world:
        set_faults(world, "reset as the stop turns late")
        reply = await world.fetch("/look/1", **LONG)
        assert reply.status == 502
        assert len(list_runs(world)) == 1


@run_in_real_time
async def test_request_that_waits_for_a_carrier_is_refused_when_no_time_is_left():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node, "refused")

        class LateLinks(SetLinks):
            """Links whose verdict comes when the stop has turned late."""

            async def settle(self):
                """Find the daemon cut off."""
                let_stop_be_late(fleet.node)
                return await super().settle()

        set_links(fleet.node, LateLinks(settles_as_cut=True))
        reply = await fleet.fetch("/book/1", b"order", **LONG)
        assert (reply.status, reply.body) == (503, b"the gateway is stopping")
        assert not list_runs(fleet)
        assert fleet.nodes[1].carry_server.carried_count == 0


@run_in_real_time
async def test_pipelined_requests_are_each_refused_and_the_last_one_announces_the_close():
    async with open_world(build_config(routes=ROUTES)) as world:
        world.node.http_server.stopping = True
        let_stop_be_late(world.node)
        stream = await world.connect()
        request = b"GET /look/%d HTTP/1.1\r\nhost: desk.example\r\napi-key: key-guild\r\n\r\n"
        stream.channel.write(request % 1 + request % 2)
        data = b""
        while part := await stream.channel.receive():
            data += part
        assert data.count(b"HTTP/1.1 503 ") == 2
        assert data.count(b"connection: close") == 1
        assert not list_runs(world)


@run_in_real_time
async def test_request_whose_body_arrives_late_in_a_stop_is_refused():
    async with open_world(build_config(routes=ROUTES)) as world:
        set_grace(world.node, 2.0)
        stream = await world.connect()
        head = b"POST /book/1 HTTP/1.1\r\nhost: desk.example\r\napi-key: key-guild\r\n"
        stream.channel.write(head + b"content-length: 4\r\n\r\nbo")
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0.9)
        stream.channel.write(b"dy")
        answer = await stream.channel.receive()
        assert answer.startswith(b"HTTP/1.1 503 ") and b"connection: close" in answer
        assert not list_runs(world)
        await stopping


async def ask_page(port, path):
    """Request a page and return status and headers."""
    stream = UpstreamStream(await open_channel(HOST, port, 1.0))
    try:
        stream.send_request(b"GET", path, [(b"host", b"desk.example")], b"")
        head = await stream.read_head()
        return head.status, dict(head.headers), await stream.read_remaining_body(10_000)
    finally:
        stream.abort()


@run_in_real_time
async def test_pages_of_a_stopping_daemon_name_it_no_more_and_announce_the_close():
    async with open_fleet("entry-2") as fleet:
        stopping = asyncio.create_task(fleet.node.stop())
        await asyncio.sleep(0)
        ready = await ask_page(fleet.ports["ready"], b"/tanagertrail/ready")
        directory = await ask_page(fleet.ports["directory"], b"/tanagertrail/resolve")
        assert (ready[0], ready[1][b"connection"]) == (503, b"close")
        assert (directory[0], directory[1][b"connection"]) == (200, b"close")
        assert json.loads(directory[2])["addresses"] == [fleet.nodes[1].own.front]
        await stopping


@run_in_real_time
async def test_page_that_is_being_rendered_as_the_daemon_ends_is_answered():
    async with open_world() as world:
        set_grace(world.node, 2.0)
        [ready_server] = [
            server
            for server in world.node.page_servers.servers
            if server.page.path == "/tanagertrail/ready"
        ]
        render = ready_server.page.render

        async def render_slowly(query):
            await asyncio.sleep(1.2)
            return await render(query)

        ready_server.page.render = render_slowly
        asked = asyncio.create_task(ask_page(world.ports["ready"], b"/tanagertrail/ready"))
        await asyncio.sleep(0.05)
        await world.node.stop()
        assert (await asked)[0] == 503


@run_in_real_time
async def test_settings_reloaded_during_a_stop_change_no_time_of_it():
    async with open_world(build_config(routes=ROUTES)) as world:
        set_grace(world.node, 2.4)
        for upstream in world.upstreams:
            upstream.work = 1.2
        asked = asyncio.create_task(world.fetch("/book/1", b"order", **LONG))
        await world.wait_until(lambda: list_runs(world))
        started = time.monotonic()
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0.1)
        for grace in (0.5, 60.0):
            bounds = world.node.settings.bounds._replace(grace=grace)
            world.node.apply_settings(world.node.settings._replace(bounds=bounds), "signal")
        assert (await asked).status == 200
        await stopping
        assert time.monotonic() - started < 2.4


@run_in_real_time
async def test_daemon_that_stops_before_it_is_ready_refuses_and_ends_in_time():
    world = World()
    try:
        world.node = GatewayNode(build_settings(world.ports))
        set_grace(world.node, 2.0)
        await world.node.start()
        started = time.monotonic()
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0)
        assert (await ask_page(world.ports["ready"], b"/tanagertrail/ready"))[0] == 503
        reply = await world.fetch("/look/1")
        assert (reply.status, reply.headers[b"connection"]) == (503, b"close")
        await stopping
        assert time.monotonic() - started < 2.0
    finally:
        await world.close()


@params(StoreMode.SILENT, StoreMode.BUSY)
@run_in_real_time
async def test_stop_while_the_store_is_away_serves_and_ends_in_time(mode):
    async with open_world() as world:
        set_grace(world.node, 3.0)
        await world.wait_until(lambda: world.node.leadership.fencing)
        world.store.mode = mode
        started = time.monotonic()
        stopping = asyncio.create_task(world.node.stop())
        await asyncio.sleep(0)
        for _ in range(3):
            assert (await world.fetch("/look/1")).status == 200
        await stopping
        assert time.monotonic() - started < 3.0


@run_in_real_time
async def test_daemon_cut_off_from_upstreams_has_requests_carried_while_it_stops():
    async with open_fleet("entry-2") as fleet:
        cut_off_from_upstreams(fleet.node)
        set_grace(fleet.node, 2.0)
        stopping = asyncio.create_task(fleet.node.stop())
        await asyncio.sleep(0)
        reply = await fleet.fetch("/book/1", b"order", tanagertrail_deadline_ms="500")
        assert reply.status == 200
        reply = await fleet.fetch("/book/1", b"order", tanagertrail_deadline_ms="9000")
        assert reply.status == 503  # one length is too little to go by
        await stopping


@run_in_real_time
async def test_daemons_that_stop_together_cut_nothing():
    async with open_fleet("entry-2", "entry-3") as fleet:
        replies = []

        async def ask(front, path):
            with suppress(OSError):
                while True:
                    replies.append(await fleet.fetch(path, b"order", front))

        for upstream in fleet.upstreams:
            upstream.work = 0.1
        paths = ("/talk/a/events", "/book/1")
        tasks = [asyncio.create_task(ask(front, path)) for front in range(3) for path in paths]
        await asyncio.sleep(1.0)
        for node in fleet.nodes:
            set_grace(node, 2.5)
        started = time.monotonic()
        await asyncio.gather(*(node.stop() for node in fleet.nodes))
        assert time.monotonic() - started < 2.5
        await asyncio.gather(*tasks)
        assert {(reply.status, reply.whole) for reply in replies} == {(200, True), (503, True)}


@run_in_real_time
async def test_request_is_accepted_while_others_of_its_route_last_longer_than_any_before():
    """A late request is refused in any case; an early one is judged by few lengths."""
    async with open_world(build_config(routes=ROUTES)) as world:
        for _ in range(MIN_EARLY_SAMPLES):
            assert (await world.fetch("/look/1")).status == 200
        world.upstreams[0].faults.append("hold")
        world.upstreams[1].faults.append("hold")
        held = asyncio.create_task(world.fetch("/look/2", **LONG))
        await world.wait_until(lambda: len(list_runs(world)) == MIN_EARLY_SAMPLES + 1)
        await asyncio.sleep(1.0)
        for upstream in world.upstreams:
            upstream.faults.clear()
        now = asyncio.get_running_loop().time()
        schedule = StopSchedule(now - 1.0, (2.0 + CLOSING_SECONDS) / (1 - MAX_MARGIN_SHARE))
        world.node.dispatcher.stop_gate.begin(schedule)
        assert abs(schedule.answers_end_at - now - 1.0) < 0.01
        assert (await world.fetch("/book/1", b"order", **LONG)).status == 503  # unknown
        assert (await world.fetch("/look/3", **LONG)).status == 503
        for upstream in world.upstreams:
            upstream.released.set()
        assert (await held).status == 200


@run_in_real_time
async def test_silent_request_is_not_sent_again_late_in_a_stop_and_cut():
    """A safe request that came early was sent again late, and its second run was cut."""
    async with open_world(build_config(routes=IMPATIENT_ROUTES)) as world:
        gate = world.node.dispatcher.stop_gate
        now = asyncio.get_running_loop().time()
        gate.durations.add("look", 0, 4.0, now)  # among many short requests
        for _ in range(MAX_SAMPLES):
            gate.durations.add("look", 0, 0.01, now)
        for upstream in world.upstreams:
            upstream.work = 4.0
        gate.begin(StopSchedule(now - EARLY_SECONDS + 0.3, GRACE_SECONDS))
        reply = await world.fetch("/look/1", **LONG)
        assert reply.status == 200
        assert len(list_runs(world)) == 1


@run_in_real_time
async def test_request_that_a_stop_refuses_is_charged_to_its_customer():
    async with open_world(build_config(routes=ROUTES)) as world:
        let_stop_be_late(world.node)
        charged = []
        world.node.dispatcher.admission.charge_quota = lambda *arguments: charged.append(arguments)
        assert (await world.fetch("/book/1", b"order", **LONG)).status == 503
        assert not charged
        assert world.node.dispatcher.stop_gate.outcomes == {"refused by the stop": 1}


@run_in_real_time
async def test_requests_that_time_out_do_not_look_short():
    """Only short requests of a route had an answer in time, and others were taken late."""
    async with open_world(build_config(routes=ROUTES)) as world:
        for upstream in world.upstreams:
            upstream.work = 4.0
        reply = await world.fetch("/book/1", b"order", tanagertrail_deadline_ms="600")
        assert reply.status == 504
        now = asyncio.get_running_loop().time()
        estimate = world.node.dispatcher.stop_gate.durations.estimate("book", 0, now)
        assert (estimate.samples, estimate.longest >= 0.6 - 0.05) == (1, True)
