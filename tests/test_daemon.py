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
async def run_model_service(settings=SETTINGS):
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


def send_request(demonstration, method, path, body=b"", **headers):
    """Send a request to the callers' port from a worker thread."""
    address = demonstration.caller_address
    return asyncio.to_thread(demonstration.send_request, method, address, path, body, **headers)


def test_invalid_input_is_rejected_with_field_and_rule():
    async def scenario():
        async with run_model_service() as demonstration:
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
            for method, path, body, headers, status, expected_text in cases:
                actual_status, data = await send_request(
                    demonstration, method, path, body, **headers
                )
                assert actual_status == status, (path, body[:20], actual_status, data)
                assert expected_text in data.decode(), (path, body[:20], data)
            status, data = await send_request(demonstration, "POST", "/v1/chat/completions", chat)
            assert status == 200
            status, data = await send_request(demonstration, "GET", "/metrics")
            assert b"caller_requests_invalid" in data

    asyncio.run(scenario())


def test_drain_interrupts_no_request():
    async def scenario():
        async with run_model_service() as demonstration:
            body = json.dumps({**build_chat_request(stream=True), "max_tokens": 60}).encode()
            pending = [
                asyncio.create_task(
                    send_request(demonstration, "POST", "/v1/chat/completions", body)
                )
                for _ in range(STREAMS)
            ]
            await asyncio.sleep(0.4)
            drain_task = asyncio.create_task(
                demonstration.daemon.node.drain(address_ttl_seconds=0.3)
            )
            late_request = asyncio.create_task(
                send_request(demonstration, "POST", "/v1/chat/completions", body)
            )
            responses = await asyncio.gather(*pending, late_request)
            await drain_task
            assert all(status == 200 for status, _ in responses)
            assert all(data.endswith(b"data: [DONE]\n\n") for _, data in responses)
            assert demonstration.daemon.node.active_request_count == 0

    asyncio.run(scenario())


def test_disconnected_caller_frees_its_slot():
    async def scenario():
        async with run_model_service() as demonstration:
            host, _, port = demonstration.caller_address.rpartition(":")
            body = json.dumps({**build_chat_request(stream=True), "max_tokens": 500}).encode()
            _, writer = await asyncio.open_connection(host, int(port))
            request_head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
            )
            writer.write(request_head.encode() + b"\r\n\r\n" + body)
            await asyncio.sleep(0.5)
            assert demonstration.daemon.node.active_request_count == 1
            writer.close()
            async with asyncio.timeout(5):
                await demonstration.daemon.node.idle.wait()
            held = demonstration.daemon.node.limiter.slot_holder.held.values()
            assert sum(entry.in_flight for entry in held) == 0

    asyncio.run(scenario())


def test_streams_are_served_over_tls():
    async def scenario():
        with tempfile.TemporaryDirectory() as directory:
            certificate, key = Path(directory, "c.pem"), Path(directory, "k.pem")
            write_certificate(certificate, key, "callers", 1_000_000)
            tls_settings = f"certificate = {certificate}\nprivate_key = {key}\n"
            async with run_model_service(
                SETTINGS.replace("[callers]\n", f"[callers]\n{tls_settings}")
            ) as demonstration:
                pool = urllib3.PoolManager(retries=False, timeout=10.0, cert_reqs="CERT_NONE")
                url = f"https://{demonstration.caller_address}/v1/chat/completions"
                body = json.dumps(build_chat_request(stream=True)).encode()
                for _ in range(2):
                    response = await asyncio.to_thread(pool.request, "POST", url, body=body)
                    assert response.status == 200
                    assert response.data.endswith(b"data: [DONE]\n\n")

    asyncio.run(scenario())


def test_operators_are_authenticated():
    async def scenario():
        async with run_model_service() as demonstration:
            demonstration.daemon.operators.target.token = "hush"
            address = demonstration.operator_address
            with raises(OperatorError) as caught:
                await asyncio.to_thread(OperatorClient(address).read_status)
            assert caught[0].status == 401
            status = await asyncio.to_thread(OperatorClient(address, "hush").read_status)
            assert status["ticket"] == 1

    asyncio.run(scenario())


def test_changed_certificate_is_loaded_and_mismatched_key_is_rejected():
    with tempfile.TemporaryDirectory() as directory:
        certificate, key = Path(directory, "c.pem"), Path(directory, "k.pem")
        write_certificate(certificate, key, "first", 1_000_000)
        context = ReloadingContext(KeyFiles(str(certificate), str(key)))
        assert not context.reload()
        write_certificate(certificate, key, "second", 2_000_000)
        assert context.reload()
        write_certificate(certificate, Path(directory, "other.pem"), "third", 3_000_000)
        with raises(ssl.SSLError):
            context.reload()


def test_closed_port_refuses_the_connection():
    async def scenario():
        async with run_model_service() as demonstration:
            address = demonstration.caller_address
        pool = urllib3.PoolManager(retries=False, timeout=2.0)
        with raises(urllib3.exceptions.HTTPError):
            await asyncio.to_thread(pool.request, "GET", f"http://{address}/healthz")

    asyncio.run(scenario())
