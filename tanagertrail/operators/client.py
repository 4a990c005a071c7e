"""Client of the operators' port."""

__all__ = ["OperatorClient", "OperatorError"]

import json
from typing import Any

import urllib3
from urllib3.exceptions import HTTPError

from tanagertrail.errors import TanagertrailError
from tanagertrail.timeline.events import Event
from tanagertrail.timeline.merge import parse_events

TIMEOUT_SECONDS = 10.0


class OperatorError(TanagertrailError):
    """A daemon refused an operator's call or did not answer.

    :ivar status: HTTP status, 0 if there was no answer
    """

    def __init__(self, status: int, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.status = status
        self.errors = errors


class OperatorClient:
    """Call the operators' port of one daemon."""

    def __init__(self, address: str, token: str = "", authority: str = "") -> None:
        scheme = "https" if authority else "http"
        self.address = address
        self.base = f"{scheme}://{address}"
        self.headers = {"Authorization": f"Bearer {token}"} if token else {}
        options = {"ca_certs": authority, "assert_hostname": False} if authority else {}
        self.pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS, **options)

    def call(self, method: str, path: str, body: bytes | None = None) -> Any:
        """Make a call and return the decoded answer.

        :raises OperatorError: if it is refused or not answered
        """
        try:
            response = self.pool.request(method, self.base + path, body=body, headers=self.headers)
            document = json.loads(response.data)
        except (HTTPError, OSError, ValueError) as error:
            raise OperatorError(0, [f"{self.address}: {error}"]) from error
        if response.status >= 400:
            raise OperatorError(response.status, document.get("errors", [str(document)]))
        return document

    def commit_ticket(self, body: bytes) -> int:
        """Commit a ticket and return its number."""
        return self.call("POST", "/v1/tickets", body)["number"]

    def show_ticket(self, number: int) -> dict[str, Any]:
        """Return the view of a ticket."""
        return self.call("GET", f"/v1/tickets/{number}")

    def list_tickets(self) -> list[dict[str, Any]]:
        """Return the views of all tickets known."""
        return self.call("GET", "/v1/tickets")

    def read_status(self) -> dict[str, Any]:
        """Return the status of the daemon."""
        return self.call("GET", "/v1/status")

    def read_timeline(self, query: str) -> list[Event]:
        """Return the events of the daemon that match a query string."""
        return parse_events(self.call("GET", f"/v1/timeline?{query}"))
