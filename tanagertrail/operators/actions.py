"""Whole operator actions, as plain functions over all daemons."""

__all__ = [
    "Access",
    "TicketProgress",
    "apply_ticket_file",
    "check_settings_file",
    "list_tickets",
    "read_status",
    "read_timeline",
    "show_ticket",
    "wait_ticket",
]

import time
import uuid
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlencode

from tanagertrail.errors import TicketError, Violation
from tanagertrail.operators.client import OperatorClient, OperatorError
from tanagertrail.policy.tickets import parse_ticket, serialize_ticket
from tanagertrail.settings.daemon import DaemonSettings
from tanagertrail.settings.ini_file import read_settings
from tanagertrail.timeline.events import Event
from tanagertrail.timeline.merge import merge_events

POLL_SECONDS = 0.5
APPLY_TRIES = 3
FINAL_MOVES = ("done", "taken back", "replaced")


class Access(NamedTuple):
    """How to reach the operators' ports.

    :ivar address: operators' port of any daemon
    :ivar authority: certificate file for TLS, empty for plain HTTP
    """

    address: str
    token: str = ""
    authority: str = ""


class TicketProgress(NamedTuple):
    """How far a ticket has come.

    :ivar in_force: daemons that have it in force
    :ivar waiting: daemons that do not, or do not answer
    """

    number: int
    in_force: tuple[str, ...]
    waiting: tuple[str, ...]
    moves: dict[str, str]

    @property
    def finished(self) -> bool:
        """Whether it is in force everywhere and every move has ended."""
        ended = all(move.startswith(FINAL_MOVES) for move in self.moves.values())
        return not self.waiting and ended

    @property
    def taken_back(self) -> bool:
        """Whether some move was taken back."""
        return any(move.startswith("taken back") for move in self.moves.values())


def connect(access: Access, address: str = "") -> OperatorClient:
    """Return a client of one daemon."""
    return OperatorClient(address or access.address, access.token, access.authority)


def apply_ticket_file(access: Access, path: str) -> int:
    """Commit the ticket in a file and return its number.

    A call that was not answered is repeated under the same nonce, so that the ticket is
    committed once.

    :raises TicketError: if the file is no ticket
    :raises OperatorError: if it is refused
    """
    try:
        body = Path(path).read_bytes()
    except OSError as error:
        raise TicketError([Violation("file", "must be readable", str(error))]) from error
    ticket = parse_ticket(body)
    numbered = ticket.model_copy(update={"nonce": ticket.nonce or uuid.uuid4().hex})
    client = connect(access)
    for attempt in range(APPLY_TRIES):
        try:
            return client.commit_ticket(serialize_ticket(numbered))
        except OperatorError as error:
            if error.status or attempt + 1 == APPLY_TRIES:
                raise
            time.sleep(POLL_SECONDS)
    raise AssertionError("unreachable")


def list_daemons(access: Access) -> dict[str, str]:
    """Return the operators' addresses of all daemons, by name."""
    status = connect(access).read_status()
    return {name: view["operator_address"] for name, view in status["daemons"].items()}


def show_ticket(access: Access, number: int) -> TicketProgress:
    """Ask every daemon how far a ticket has come.

    :raises OperatorError: if the first daemon does not know it
    """
    view = connect(access).show_ticket(number)
    in_force, waiting = [], []
    for name, address in list_daemons(access).items():
        try:
            there = connect(access, address).read_status()["ticket"]
        except OperatorError:
            waiting.append(name)
            continue
        (in_force if there >= number else waiting).append(name)
    return TicketProgress(number, tuple(in_force), tuple(waiting), view["moves"])


def wait_ticket(access: Access, number: int, timeout: float) -> Iterator[TicketProgress]:
    """Yield the progress of a ticket whenever it changes, until it is finished.

    :param timeout: seconds after which to give up
    """
    deadline = time.monotonic() + timeout
    last = None
    while time.monotonic() < deadline:
        progress = show_ticket(access, number)
        if progress != last:
            last = progress
            yield progress
        if progress.finished:
            return
        time.sleep(POLL_SECONDS)


def list_tickets(access: Access) -> list[dict[str, Any]]:
    """Return the tickets known."""
    return connect(access).list_tickets()


def read_status(access: Access) -> dict[str, Any]:
    """Return the status of one daemon."""
    return connect(access).read_status()


def read_timeline(
    access: Access,
    ticket: int = 0,
    request: str = "",
    upstream: str = "",
    daemon: str = "",
    limit: int = 1000,
) -> list[Event]:
    """Return the events of all daemons, or of one, in causal order."""
    query = urlencode({"ticket": ticket, "request": request, "upstream": upstream, "limit": limit})
    logs = []
    for name, address in list_daemons(access).items():
        if daemon and name != daemon:
            continue
        try:
            logs.append(connect(access, address).read_timeline(query))
        except OperatorError:
            continue
    return merge_events(logs)[-limit:]


def check_settings_file(path: str) -> DaemonSettings:
    """Check a settings file.

    :raises SettingsError: naming every violation
    """
    return read_settings(path, DaemonSettings)
