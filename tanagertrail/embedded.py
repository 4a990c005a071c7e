"""The embedded demonstration: platform, upstreams, daemon and callers in one process."""

__all__ = ["Demonstration", "run_embedded"]

import asyncio
import json
from typing import Any

import urllib3

from tanagertrail.core.members import DaemonRecord
from tanagertrail.core.node import NodeDependencies
from tanagertrail.daemon import Daemon
from tanagertrail.daemons.tcp import TcpPeerTransport
from tanagertrail.model import FailureDomain, Service, Target, Upstream, Version
from tanagertrail.objectapi.instances import Instance
from tanagertrail.objectapi.server import MemoryPlatform
from tanagertrail.policy.tickets import Ticket, serialize_ticket
from tanagertrail.settings.daemon import DaemonSettings
from tanagertrail.settings.ini_file import parse_settings
from tanagertrail.timeline.merge import format_event
from tanagertrail.upstreams.engine import EngineSettings, ToyEngine
from tanagertrail.upstreams.http import HttpUpstreamClient
from tanagertrail.upstreams.toy import ToyServer

SETTINGS = """
[daemon]
name = entry-1
failure_domain = sapporo
[callers]
port = 0
threads = 32
[operators]
port = 0
[daemons]
port = 0
"""
ENGINE_SETTINGS = EngineSettings(first_token=0.05, token_gap=0.02, service_time=0.01)
DOMAINS = ("sapporo", "otaru", "asahikawa", "hakodate")
ROLLOUT_SECONDS = 12.0
WATCH_SECONDS = 1.0
ROLLOUT_STAGES = (0.1, 0.5, 1.0)
POLL_SECONDS = 0.2
POLL_TIMEOUT_SECONDS = 30.0
BACKGROUND_CALLERS = 4
TIMELINE_EVENTS = 60


class Demonstration:
    """Run a short tour of the system's functions and print the results."""

    def __init__(self, settings: str = SETTINGS) -> None:
        self.settings = settings
        self.platform = MemoryPlatform()
        self.toy_servers: list[ToyServer] = []
        self.http = urllib3.PoolManager(retries=False, timeout=30.0, maxsize=16)
        self.daemon: Daemon | None = None
        self.caller_address = ""
        self.operator_address = ""

    def build_dependencies(
        self, record: DaemonRecord, transport: TcpPeerTransport
    ) -> NodeDependencies:
        """Build the dependencies of a node on the in-memory platform."""
        return NodeDependencies(
            record,
            self.platform.objects,
            self.platform.instances,
            self.platform.cloud,
            transport,
            HttpUpstreamClient(),
        )

    async def start(self) -> None:
        """Start the daemon and read the addresses of its ports."""
        self.daemon = Daemon(parse_settings(self.settings, DaemonSettings), self.build_dependencies)
        self.platform.instances.set_instance(Instance("entry-1", DOMAINS[0]))
        await self.daemon.start()
        record = self.daemon.node.members.records["entry-1"]
        self.caller_address = record.caller_address
        self.operator_address = record.operator_address

    def start_toy_upstreams(self, prefix: str, count: int) -> tuple[Upstream, ...]:
        """Start toy upstreams and return their definitions with the bound ports."""
        upstreams = []
        for index in range(count):
            upstream = Upstream(
                name=f"{prefix}-{index + 1}",
                address="127.0.0.1:0",
                failure_domain=DOMAINS[index % len(DOMAINS)],
            )
            toy_server = ToyServer(ToyEngine(upstream, ENGINE_SETTINGS))
            toy_server.start()
            self.toy_servers.append(toy_server)
            upstreams.append(toy_server.upstream)
        return tuple(upstreams)

    def send_request(
        self, method: str, address: str, path: str, body: bytes | None = None, **headers
    ):
        """Send an HTTP request and return status and body."""
        response = self.http.request(method, f"http://{address}{path}", body=body, headers=headers)
        return response.status, response.data

    async def send_json_request(
        self, method: str, address: str, path: str, document=None, **headers
    ):
        """Send a JSON document from a worker thread and return status and decoded response."""
        body = json.dumps(document).encode() if document is not None else None
        status, data = await asyncio.to_thread(
            self.send_request, method, address, path, body, **headers
        )
        return status, json.loads(data)

    async def commit(self, ticket: Ticket) -> int:
        """Commit a ticket on the operators' port and return its number.

        :raises RuntimeError: if it is refused
        """
        status, data = await asyncio.to_thread(
            self.send_request,
            "POST",
            self.operator_address,
            "/v1/tickets",
            serialize_ticket(ticket),
        )
        document = json.loads(data)
        if status != 201:
            raise RuntimeError(f"ticket refused: {document}")
        return document["number"]

    def build_service(
        self, old_upstreams: tuple[Upstream, ...], new_upstreams: tuple[Upstream, ...]
    ) -> Service:
        """Build the model service, with a rollout target if ``new_upstreams`` is not empty."""
        versions = {"v1": Version(upstreams=old_upstreams)}
        target = None
        if new_upstreams:
            versions["v2"] = Version(upstreams=new_upstreams)
            target = Target(
                version="v2", within=ROLLOUT_SECONDS, stages=ROLLOUT_STAGES, watch=WATCH_SECONDS
            )
        return Service(versions=versions, current="v1", target=target)

    async def run(self) -> bool:
        """Run all steps and return whether each of them succeeded."""
        await self.start()
        old_upstreams = self.start_toy_upstreams("dial", 3)
        desk = Service(
            kind="records",
            versions={"d1": Version(upstreams=self.start_toy_upstreams("desk", 2))},
            current="d1",
            non_repeatable=("/bookings",),
        )
        ticket = Ticket(
            operator="demo",
            services={"dial": self.build_service(old_upstreams, ()), "desk": desk},
            failure_domains={name: FailureDomain() for name in DOMAINS},
        )
        print(f"ticket {await self.commit(ticket)} creates the services dial and desk")
        checks = [await self.fetch_addresses(), await self.stream_answer()]
        checks += [await self.book_slot(), await self.file_report()]
        checks.append(await self.roll_out_version(old_upstreams))
        self.print_timeline()
        return all(checks)

    async def fetch_addresses(self) -> bool:
        """Fetch the addresses that callers can use."""
        status, answer = await self.send_json_request("GET", self.caller_address, "/v1/addresses")
        print(f"addresses: {status} {answer}")
        return status == 200 and self.caller_address in answer["addresses"]

    async def stream_answer(self) -> bool:
        """Stream a response of the model service."""
        status, data = await asyncio.to_thread(
            self.send_request,
            "POST",
            self.caller_address,
            "/v1/chat/completions",
            json.dumps(build_chat_request(stream=True)).encode(),
        )
        tokens = data.count(b'"delta"')
        is_complete = data.endswith(b"data: [DONE]\n\n")
        print(f"streamed response: {status}, {tokens} tokens, complete={is_complete}")
        return status == 200 and is_complete

    async def book_slot(self) -> bool:
        """Send a booking twice under one idempotency key and check that it ran once."""
        answers = []
        for _ in range(2):
            answers.append(
                await self.send_json_request(
                    "POST",
                    self.caller_address,
                    "/v1/services/desk/bookings",
                    {"bench": 3},
                    **{"Idempotency-Key": "demo-booking"},
                )
            )
        print(f"booking: {answers[0]}; sent again: {answers[1]}")
        return answers[0] == answers[1] and answers[0][0] == 200

    async def file_report(self) -> bool:
        """Submit a report as a durable job and poll until it ends."""
        job = {"service": "dial", "request": build_chat_request(stream=False)}
        status, view = await self.send_json_request("POST", self.caller_address, "/v1/jobs", job)
        print(f"report accepted: {status} {view['job_id']}")
        path = f"/v1/jobs/{view['job_id']}"
        for _ in range(round(POLL_TIMEOUT_SECONDS / POLL_SECONDS)):
            _, view = await self.send_json_request("GET", self.caller_address, path)
            if view["state"] in ("done", "failed"):
                break
            await asyncio.sleep(POLL_SECONDS)
        print(f"report {view['state']}: {view['text'][:40]!r}...")
        return view["state"] == "done"

    async def roll_out_version(self, old_upstreams: tuple[Upstream, ...]) -> bool:
        """Roll out a new version of the model service by a ticket, under traffic."""
        service = self.build_service(old_upstreams, self.start_toy_upstreams("dial2", 3))
        number = await self.commit(Ticket(operator="demo", services={"dial": service}))
        print(f"ticket {number} rolls out dial v2")
        stop = asyncio.Event()
        callers = [
            asyncio.create_task(self.send_until_stopped(stop)) for _ in range(BACKGROUND_CALLERS)
        ]
        rollout_state = ""
        for _ in range(round(POLL_TIMEOUT_SECONDS / POLL_SECONDS)):
            _, view = await self.send_json_request(
                "GET", self.operator_address, f"/v1/tickets/{number}"
            )
            if view["moves"]["dial"] != rollout_state:
                rollout_state = view["moves"]["dial"]
                print(f"ticket {number}: {rollout_state}")
            if rollout_state.startswith(("done", "taken back")):
                break
            await asyncio.sleep(POLL_SECONDS)
        stop.set()
        answered = sum(await asyncio.gather(*callers))
        print(f"{answered} requests answered during the rollout")
        return rollout_state.startswith("done")

    async def send_until_stopped(self, stop: asyncio.Event) -> int:
        """Send requests until told to stop; return the number of complete responses."""
        answered = 0
        while not stop.is_set():
            status, _ = await self.send_json_request(
                "POST",
                self.caller_address,
                "/v1/chat/completions",
                build_chat_request(stream=False),
            )
            answered += status == 200
        return answered

    def print_timeline(self) -> None:
        """Print the last events, without those of the background requests."""
        background_kinds = ("request", "dispatch", "outcome_answered")
        events = [
            event
            for event in self.daemon.node.recorder.events
            if event.kind not in background_kinds
        ]
        print("timeline:")
        for event in events[-TIMELINE_EVENTS:]:
            print(" ", format_event(event))

    async def stop(self) -> None:
        """Stop the daemon without draining it, and the toy upstreams."""
        await self.daemon.close()
        for toy_server in self.toy_servers:
            await asyncio.to_thread(toy_server.stop)


def build_chat_request(stream: bool) -> dict[str, Any]:
    """Build a chat request to the model service."""
    message = {"role": "user", "content": "Draft a report on a radium dial with worn print."}
    return {"model": "dial", "messages": [message], "stream": stream, "max_tokens": 12}


async def run_embedded(stay: bool = False) -> int:
    """Run the demonstration and return the exit status."""
    demonstration = Demonstration()
    try:
        succeeded = await demonstration.run()
        print("all steps succeeded" if succeeded else "at least one step FAILED")
        if stay:
            print(f"callers on {demonstration.caller_address}; ", end="")
            print(f"operators on {demonstration.operator_address}; stop with Ctrl-C", flush=True)
            await demonstration.daemon.run()
    finally:
        await demonstration.stop()
    return 0 if succeeded else 1
