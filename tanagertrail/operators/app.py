"""The operators' HTTP application."""

__all__ = ["OperatorsApp"]

import asyncio
import hmac

import cherrypy

from tanagertrail.core.configuration import CommitOutcome, Committed
from tanagertrail.core.node import Node
from tanagertrail.errors import BodyTooLargeError, InvalidInputError, Violation
from tanagertrail.operators.views import build_status, describe_ticket, list_tickets
from tanagertrail.outcomes import describe_run
from tanagertrail.policy.tickets import MAX_TICKET_BYTES, TicketRefusal, parse_ticket
from tanagertrail.webserver import read_body, respond_json, run_on_event_loop

MAX_EVENTS = 10_000


class OperatorsApp:
    """Routes of the operators' port."""

    def __init__(self, node: Node, loop: asyncio.AbstractEventLoop, token: str = "") -> None:
        self.node = node
        self.loop = loop
        self.token = token

    @cherrypy.expose
    def default(self, *path: str, **query: str) -> bytes:
        """Serve every path, to operators only."""
        if not self.is_operator():
            cherrypy.response.headers["WWW-Authenticate"] = "Bearer"
            return respond_json({"errors": ["Authorization: must be the operators' token"]}, 401)
        try:
            return self.route(path, query)
        except BodyTooLargeError as error:
            return respond_errors(error.violations, 413)
        except InvalidInputError as error:
            return respond_errors(error.violations, 400)

    def is_operator(self) -> bool:
        """Check the bearer token, if one is set."""
        if not self.token:
            return True
        given = cherrypy.request.headers.get("Authorization", "")
        return hmac.compare_digest(given.encode(), f"Bearer {self.token}".encode())

    def route(self, path: tuple[str, ...], query: dict[str, str]) -> bytes:
        """Find the handler of a path."""
        method = cherrypy.request.method
        match (method, *path):
            case ("POST", "v1", "tickets"):
                return self.commit_ticket()
            case ("GET", "v1", "tickets"):
                return respond_json(self.call(list_tickets))
            case ("GET", "v1", "tickets", number):
                return self.show_ticket(number)
            case ("GET", "v1", "status"):
                return respond_json(self.call(build_status))
            case ("GET", "v1", "timeline"):
                return self.show_timeline(query)
            case _:
                return respond_json({"errors": [f"no {method} /{'/'.join(path)}"]}, 404)

    def call(self, view, *arguments):
        """Build a view on the event loop, which owns the state."""

        async def build():
            return view(self.node, *arguments)

        return run_on_event_loop(self.loop, build())

    def commit_ticket(self) -> bytes:
        """Commit a ticket."""
        ticket = parse_ticket(read_body(MAX_TICKET_BYTES))
        return respond_commit(run_on_event_loop(self.loop, self.node.commit_ticket(ticket)))

    def show_ticket(self, number: str) -> bytes:
        """Show one ticket."""
        view = self.call(describe_ticket, parse_number("number", number))
        if view is None:
            return respond_json({"errors": [f"no ticket {number}"]}, 404)
        return respond_json(view)

    def show_timeline(self, query: dict[str, str]) -> bytes:
        """Show the events of this daemon that match the query."""
        limit = min(parse_number("limit", query.get("limit", "1000")), MAX_EVENTS)
        ticket = parse_number("ticket", query.get("ticket", "0"))

        def select(node: Node) -> list[dict]:
            events = node.recorder.select(
                ticket, query.get("request", ""), query.get("upstream", ""), limit
            )
            return [event._asdict() for event in events]

        return respond_json(self.call(select))


def respond_commit(outcome: CommitOutcome) -> bytes:
    """Answer what came of a ticket."""
    if isinstance(outcome, Committed):
        return respond_json({"number": outcome.number}, 201)
    if isinstance(outcome, TicketRefusal):
        return respond_errors(list(outcome.violations), 409)
    document = {
        "errors": [outcome.reason],
        "ran": describe_run(outcome),
        "retry_after": outcome.retry_after,
    }
    return respond_json(document, outcome.status)


def respond_errors(violations: list[Violation], status: int) -> bytes:
    """Answer with the broken rules."""
    return respond_json({"errors": [str(violation) for violation in violations]}, status)


def parse_number(field: str, text: str) -> int:
    """Parse a whole number of a path or query.

    :raises InvalidInputError: if it is none
    """
    if not text.isdigit() or len(text) > 12:
        raise InvalidInputError([Violation(field, "must be a whole number", repr(text[:40]))])
    return int(text)
