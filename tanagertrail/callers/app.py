"""The callers' HTTP application: maps HTTP requests to the core and outcomes to responses."""

__all__ = ["CallersApp", "CallersContext"]

import asyncio
import json
import uuid
from collections.abc import Callable
from typing import NamedTuple

import cherrypy

from tanagertrail.callers.parsing import (
    InvalidRequestError,
    parse_chat,
    parse_idempotency_key,
    parse_priority,
    parse_timeout,
)
from tanagertrail.callers.problems import PROBLEM_TYPE, Problem, build_problem
from tanagertrail.callers.streams import BlockingSocketSink, finish_stream
from tanagertrail.core.node import Node
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.serving import CHAT_COMPLETIONS_PATH
from tanagertrail.errors import BodyTooLargeError, InvalidInputError, Violation
from tanagertrail.model import ServiceKind
from tanagertrail.outcomes import Answered, NotRun, Outcome, Step
from tanagertrail.sinks import MemorySink
from tanagertrail.sockets import SocketSink, get_request_socket, mark_response_sent
from tanagertrail.upstreams.events import EVENT_END, read_token_text
from tanagertrail.webserver import close_after_response, read_body, respond_json, run_on_event_loop

REPEATABLE_METHODS = frozenset({"GET", "HEAD"})
FORWARDED_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"})


class CallersContext(NamedTuple):
    """Dependencies and settings of the application.

    :ivar loop: the event loop that runs the node
    :ivar render_metrics: returns the metrics in the Prometheus text format
    :ivar relay_mode: what writes streamed answers: ``loop`` for non-blocking writes that buffer
        what the socket does not accept, ``threads`` for blocking writes
    :ivar max_body: largest request body in bytes
    """

    node: Node
    loop: asyncio.AbstractEventLoop
    render_metrics: Callable[[], bytes]
    relay_mode: str = "loop"
    max_body: int = 1_000_000


class CallersApp:
    """Route and handle the HTTP requests of callers."""

    def __init__(self, context: CallersContext) -> None:
        self.context = context
        self.node = context.node
        self.loop = context.loop

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Serve any path; an invalid request gets a problem that names the field and its rule."""
        if self.node.leaving:
            close_after_response()
        try:
            return self.route(path)
        except BodyTooLargeError as error:
            self.node.recorder.count("caller_requests_invalid")
            return self.respond_invalid(error.violations, 413)
        except InvalidInputError as error:
            self.node.recorder.count("caller_requests_invalid")
            return self.respond_invalid(error.violations)

    def route(self, path: tuple[str, ...]) -> bytes:
        """Dispatch a request to the handler of its path."""
        match path:
            case ("healthz",):
                return respond_json({"status": "ok"})
            case ("readyz",):
                ready = self.node.ready
                return respond_json({"ready": ready}, 200 if ready else 503)
            case ("metrics",):
                cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
                return self.context.render_metrics()
            case ("v1", "addresses"):
                return self.serve_addresses()
            case ("v1", "chat", "completions"):
                return self.serve_chat()
            case ("v1", "jobs"):
                return self.accept_job()
            case ("v1", "jobs", job_id):
                return self.show_job(job_id)
            case ("v1", "services", service, *rest):
                return self.forward_call(service, "/" + "/".join(rest))
            case _:
                return self.respond_not_found(f"no path /{'/'.join(path)}")

    def serve_addresses(self) -> bytes:
        """Respond with the daemon addresses to use and how long the caller may cache them."""
        answer = run_on_event_loop(self.loop, self.select_addresses())
        return respond_json({"addresses": answer.addresses, "keep_seconds": answer.ttl_seconds})

    async def select_addresses(self):
        """Select caller addresses; runs on the event loop, which owns the membership."""
        return self.node.members.select_addresses()

    def build_request(self, service: str, path: str, body: bytes, **fields) -> CallerRequest:
        """Build a core request from the current HTTP request.

        :param fields: further fields of :class:`CallerRequest`
        :raises InvalidRequestError: if a header breaks its rule
        """
        headers = cherrypy.request.headers
        return CallerRequest(
            request_id=uuid.uuid4().hex[:16],
            service=service,
            method=cherrypy.request.method,
            path=path,
            body=body,
            deadline=self.loop.time() + parse_timeout(headers),
            customer=headers.get("X-Customer", "default")[:64],
            priority=parse_priority(headers),
            content_type=headers.get("Content-Type", "application/json"),
            idempotency_key=parse_idempotency_key(headers),
            **fields,
        )

    def check_method(self, *allowed: str) -> None:
        """Check the HTTP method of the current request.

        :raises InvalidRequestError: if it is not allowed
        """
        method = cherrypy.request.method
        if method not in allowed:
            rule = f"must be one of {', '.join(sorted(allowed))}"
            raise InvalidRequestError([Violation("method", rule, method)])

    def serve_chat(self) -> bytes:
        """Serve a chat completion, streamed or as one document."""
        self.check_method("POST")
        body = read_body(self.context.max_body)
        chat = parse_chat(body)
        request = self.build_request(chat.model, CHAT_COMPLETIONS_PATH, body, streamed=True)
        if chat.stream:
            return self.stream_chat(request)
        sink = MemorySink()
        outcome = run_on_event_loop(self.loop, self.node.serve(request, sink))
        if not isinstance(outcome, Answered):
            return self.respond_outcome(outcome, request.request_id)
        return self.respond_completion(request, sink, outcome)

    def respond_completion(
        self, request: CallerRequest, sink: MemorySink, outcome: Answered
    ) -> bytes:
        """Collect the streamed token events into one chat completion document."""
        events = sink.body.split(EVENT_END)
        text = "".join(read_token_text(event) for event in events if event)
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        document = {
            "id": request.request_id,
            "object": "chat.completion",
            "model": request.service,
            "choices": [choice],
            "usage": {"completion_tokens": outcome.tokens},
        }
        return respond_json(document)

    def stream_chat(self, request: CallerRequest) -> bytes:
        """Stream the answer to the caller's socket, bypassing CherryPy's response."""
        close_connection = self.node.leaving
        headers = build_stream_headers(request.request_id, close_connection)
        sink_classes = {"loop": SocketSink, "threads": BlockingSocketSink}
        sink = sink_classes[self.context.relay_mode](get_request_socket(), self.loop, headers)
        outcome = run_on_event_loop(self.loop, self.run_stream(request, sink))
        if not sink.started:
            return self.respond_outcome(outcome, request.request_id)
        mark_response_sent(keep_alive=not close_connection and not sink.closed)
        return b""

    async def run_stream(self, request: CallerRequest, sink: SocketSink) -> Outcome:
        """Serve a streamed request and end its stream according to the outcome."""
        outcome = await self.node.serve(request, sink)
        if sink.started:
            await finish_stream(sink, outcome, request.request_id)
        return outcome

    def forward_call(self, service: str, path: str) -> bytes:
        """Forward a call to a records service and respond with its whole answer.

        :raises InvalidRequestError: if the method is not allowed, a header is invalid or the
            service is a model service
        """
        self.check_method(*FORWARDED_METHODS)
        body = read_body(self.context.max_body)
        repeatable = cherrypy.request.method in REPEATABLE_METHODS
        known_service = self.node.configuration.current.services.get(service)
        if known_service is not None and known_service.kind is ServiceKind.MODEL:
            rule = f"must be a records service; send model requests to {CHAT_COMPLETIONS_PATH}"
            raise InvalidRequestError([Violation("service", rule, service)])
        query = cherrypy.request.query_string
        target = f"{path}?{query}" if query else path
        request = self.build_request(service, target, body, repeatable=repeatable)
        outcome = run_on_event_loop(self.loop, self.node.serve(request))
        return self.respond_outcome(outcome, request.request_id)

    def accept_job(self) -> bytes:
        """Accept a durable job and respond with its location."""
        self.check_method("POST")
        body = read_body(self.context.max_body)
        service, path, call_body = parse_job(body)
        request = self.build_request(service, path, call_body)
        accepted = run_on_event_loop(self.loop, self.node.accept_job(request))
        if isinstance(accepted, NotRun):
            return self.respond_outcome(accepted, request.request_id)
        cherrypy.response.headers["Location"] = f"/v1/jobs/{accepted.job_id}"
        return respond_json(accepted._asdict(), 202)

    def show_job(self, job_id: str) -> bytes:
        """Respond with the state of a job."""
        self.check_method("GET", "HEAD")
        job_view = run_on_event_loop(self.loop, self.node.jobs.find_job(job_id))
        if job_view is None:
            return self.respond_not_found(f"no job {job_id!r} is known now")
        return respond_json(job_view._asdict())

    def respond_outcome(self, outcome: Outcome, request_id: str) -> bytes:
        """Respond with the body of an answer, or with a problem document for any other outcome."""
        response = cherrypy.response
        response.headers["X-Request-Id"] = request_id
        if isinstance(outcome, Answered):
            response.status = outcome.status
            response.headers["Content-Type"] = outcome.content_type
            return outcome.body
        return self.respond_problem(build_problem(outcome, request_id))

    def respond_problem(self, problem: Problem) -> bytes:
        """Respond with a problem document; ``Retry-After`` is in whole seconds, at least one."""
        response = cherrypy.response
        response.status = problem["status"]
        response.headers["Content-Type"] = PROBLEM_TYPE
        if "retry_after" in problem:
            response.headers["Retry-After"] = str(max(round(problem["retry_after"]), 1))
        return json.dumps(problem).encode()

    def respond_invalid(self, violations: list[Violation], status: int = 400) -> bytes:
        """Respond to an invalid request with the rules that it breaks."""
        detail = "; ".join(str(violation) for violation in violations)
        outcome = NotRun(Step.ADMISSION, self.node.context.daemon, detail, status, None)
        return self.respond_problem(build_problem(outcome, ""))

    def respond_not_found(self, detail: str) -> bytes:
        """Respond with 404."""
        outcome = NotRun(Step.ADMISSION, self.node.context.daemon, detail, 404, None)
        return self.respond_problem(build_problem(outcome, ""))


def build_stream_headers(request_id: str, close_connection: bool) -> bytes:
    """Build the response headers of a streamed answer that differ from request to request."""
    headers = f"X-Request-Id: {request_id}\r\n"
    return (headers + "Connection: close\r\n" if close_connection else headers).encode()


def parse_job(body: bytes) -> tuple[str, str, bytes]:
    """Parse the body of a job request into service, path and the encoded body of the call.

    :raises InvalidRequestError: if a field breaks its rule
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidRequestError([Violation("body", "must be JSON", str(error))]) from error
    if not isinstance(document, dict):
        raise InvalidRequestError([Violation("body", "must be an object", type(document).__name__)])
    service = document.get("service")
    if not isinstance(service, str) or not service:
        raise InvalidRequestError([Violation("service", "must name a service", repr(service))])
    path = document.get("path", CHAT_COMPLETIONS_PATH)
    if not isinstance(path, str) or not path.startswith("/"):
        raise InvalidRequestError([Violation("path", "must start with /", repr(path))])
    call = document.get("request")
    if not isinstance(call, dict):
        raise InvalidRequestError([Violation("request", "must be an object", repr(call)[:80])])
    encoded_call = json.dumps(call).encode()
    if path == CHAT_COMPLETIONS_PATH:
        parse_chat(json.dumps({"model": service, **call}).encode())
    return service, path, encoded_call
