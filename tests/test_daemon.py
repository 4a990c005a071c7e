"""Tests of daemons over real sockets: responses, invalid input, graceful stops and TLS."""

import asyncio
import json
import ssl
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import urllib3

from tanagertrail.embedded import SETTINGS, Demonstration, build_chat_request
from tanagertrail.operators.client import OperatorClient, OperatorError
from tanagertrail.tls import KeyFiles, ReloadingContext
from tests.utils import build_ticket, raises, write_certificate

STREAMS = 12


@asynccontextmanager
async def run_service(settings=SETTINGS):
    """Run a daemon with a model service on toy upstreams."""
    demonstration = Demonstration(settings)
    try:
        await demonstration.start()
        upstreams = demonstration.start_toy_upstreams("dial", 2)
        service = demonstration.build_service(upstreams, ())
        domains = build_ticket().failure_domains
        names = {upstream.failure_domain for upstream in upstreams}
        ticket = build_ticket(
            services={"dial": service}, failure_domains=dict.fromkeys(names, domains["sapporo"])
        )
        await demonstration.commit(ticket)
        yield demonstration
    finally:
        await demonstration.stop()


def call(demonstration, method, path, body=b"", **headers):
    """Send a request to the callers' port from a worker thread."""
    address = demonstration.caller_address
    return asyncio.to_thread(demonstration.call, method, address, path, body, **headers)


def test_bad_input_is_answered_with_field_and_rule():
    async def work():
        async with run_service() as running:
            chat = json.dumps(build_chat_request(stream=False)).encode()
            cases = [
                ("POST", "/v1/chat/completions", b"{", {}, 400, "body: must be JSON"),
                ("POST", "/v1/chat/completions", b"[" * 9999, {}, 400, "body"),
                (
                    "POST",
                    "/v1/chat/completions",
                    b"x" * 1_000_001,
                    {},
                    413,
                    "at most 1000000 bytes",
                ),
                ("POST", "/v1/chat/completions", chat, {"X-Timeout-Ms": "soon"}, 400, "X-Timeout"),
                ("POST", "/v1/chat/completions", chat, {"X-Priority": "now"}, 400, "X-Priority"),
                ("POST", "/v1/chat/completions", chat, {"Idempotency-Key": "k" * 300}, 400, "Idem"),
                ("PUT", "/v1/chat/completions", chat, {}, 400, "method: must be one of POST"),
                ("GET", "/v1/services/nothing/x", b"", {}, 404, "no service"),
                ("POST", "/v1/jobs", b'{"service": "dial"}', {}, 400, "request: must be"),
                ("GET", "/v1/nothing", b"", {}, 404, "no path"),
            ]
            for method, path, body, headers, status, text in cases:
                seen, data = await call(running, method, path, body, **headers)
                assert seen == status, (path, body[:20], seen, data)
                assert text in data.decode(), (path, body[:20], data)
            status, data = await call(running, "POST", "/v1/chat/completions", chat)
            assert status == 200
            status, data = await call(running, "GET", "/metrics")
            assert b"caller_requests_invalid" in data

    asyncio.run(work())


def test_planned_stop_cuts_no_request():
    async def work():
        async with run_service() as running:
            body = json.dumps({**build_chat_request(stream=True), "max_tokens": 60}).encode()
            asked = [
                asyncio.create_task(call(running, "POST", "/v1/chat/completions", body))
                for _ in range(STREAMS)
            ]
            await asyncio.sleep(0.4)
            draining = asyncio.create_task(running.daemon.node.drain(address_ttl_seconds=0.3))
            late = asyncio.create_task(call(running, "POST", "/v1/chat/completions", body))
            answers = await asyncio.gather(*asked, late)
            await draining
            assert all(status == 200 for status, _ in answers)
            assert all(data.endswith(b"data: [DONE]\n\n") for _, data in answers)
            assert running.daemon.node.active_request_count == 0

    asyncio.run(work())


def test_caller_that_goes_away_frees_its_slot():
    async def work():
        async with run_service() as running:
            host, _, port = running.caller_address.rpartition(":")
            body = json.dumps({**build_chat_request(stream=True), "max_tokens": 500}).encode()
            _, writer = await asyncio.open_connection(host, int(port))
            head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
            writer.write(head.encode() + b"\r\n\r\n" + body)
            await asyncio.sleep(0.5)
            assert running.daemon.node.active_request_count == 1
            writer.close()
            async with asyncio.timeout(5):
                await running.daemon.node.idle.wait()
            held = running.daemon.node.limiter.slot_holder.held.values()
            assert sum(entry.in_flight for entry in held) == 0

    asyncio.run(work())


def test_streams_are_served_over_tls():
    async def work():
        with tempfile.TemporaryDirectory() as folder:
            certificate, key = Path(folder, "c.pem"), Path(folder, "k.pem")
            write_certificate(certificate, key, "callers", 1_000_000)
            keys = f"certificate = {certificate}\nprivate_key = {key}\n"
            async with run_service(
                SETTINGS.replace("[callers]\n", f"[callers]\n{keys}")
            ) as running:
                pool = urllib3.PoolManager(retries=False, timeout=10.0, cert_reqs="CERT_NONE")
                url = f"https://{running.caller_address}/v1/chat/completions"
                body = json.dumps(build_chat_request(stream=True)).encode()
                for _ in range(2):
                    answer = await asyncio.to_thread(pool.request, "POST", url, body=body)
                    assert answer.status == 200
                    assert answer.data.endswith(b"data: [DONE]\n\n")

    asyncio.run(work())


def test_operators_are_authenticated():
    async def work():
        async with run_service() as running:
            running.daemon.operators.target.token = "hush"
            address = running.operator_address
            with raises(OperatorError) as caught:
                await asyncio.to_thread(OperatorClient(address).read_status)
            assert caught[0].status == 401
            status = await asyncio.to_thread(OperatorClient(address, "hush").read_status)
            assert status["ticket"] == 1

    asyncio.run(work())


def test_changed_keys_are_taken_and_bad_ones_are_not():
    with tempfile.TemporaryDirectory() as folder:
        certificate, key = Path(folder, "c.pem"), Path(folder, "k.pem")
        write_certificate(certificate, key, "first", 1_000_000)
        keys = ReloadingContext(KeyFiles(str(certificate), str(key)))
        assert not keys.reload()
        write_certificate(certificate, key, "second", 2_000_000)
        assert keys.reload()
        write_certificate(certificate, Path(folder, "other.pem"), "third", 3_000_000)
        with raises(ssl.SSLError):
            keys.reload()


def test_closed_port_refuses_the_connection():
    async def work():
        async with run_service() as running:
            address = running.caller_address
        pool = urllib3.PoolManager(retries=False, timeout=2.0)
        with raises(urllib3.exceptions.HTTPError):
            await asyncio.to_thread(pool.request, "GET", f"http://{address}/healthz")

    asyncio.run(work())
