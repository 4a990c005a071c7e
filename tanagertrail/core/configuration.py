"""The configuration in force on one daemon, and the commit of new tickets.

A ticket is a numbered change of the configuration. Each ticket is stored as an object under its
number, and daemons apply the tickets in the order of their numbers.
"""

__all__ = ["Committed", "ConfigurationManager"]

import asyncio
import uuid
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from tanagertrail.core.context import NodeContext
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.messages import ObjectRow
from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    TicketError,
)
from tanagertrail.model import Configuration
from tanagertrail.outcomes import NotRun, Step, Unknown
from tanagertrail.policy.tickets import (
    Ticket,
    TicketRefusal,
    apply_ticket,
    check_ticket,
    parse_ticket,
    serialize_ticket,
)

TICKETS_PREFIX = "tickets/"
SNAPSHOT_KEY = "snapshots/configuration"
COMMIT_ATTEMPTS = 8
READ_BACK_ATTEMPTS = 6
READ_BACK_INTERVAL_SECONDS = 0.5
MAX_REMEMBERED_NONCES = 1000

ConfigurationListener = Callable[[Configuration, Ticket | None], None]


@dataclass(frozen=True)
class Committed:
    """A ticket that is committed and in force on this daemon."""

    number: int


CommitOutcome = Committed | TicketRefusal | NotRun | Unknown


def build_ticket_key(number: int) -> str:
    """Return the key of a ticket among the shared objects."""
    return f"{TICKETS_PREFIX}{number:08d}"


class ConfigurationManager:
    """Apply tickets in order and commit new ones.

    :ivar current: the configuration in force on this daemon
    :ivar pending_tickets: tickets by number that wait for an earlier one
    :ivar ticket_numbers_by_nonce: numbers of the latest tickets applied, by nonce
    """

    def __init__(self, context: NodeContext, shared: SharedObjects) -> None:
        self.context = context
        self.shared = shared
        self.current = Configuration()
        self.pending_tickets: dict[int, Ticket] = {}
        self.listeners: list[ConfigurationListener] = []
        self.ticket_numbers_by_nonce: OrderedDict[str, int] = OrderedDict()
        shared.subscribe(TICKETS_PREFIX, self.apply_row)

    def listen(self, listener: ConfigurationListener) -> None:
        """Register a function that is called after each change of the configuration.

        It gets the configuration and the ticket applied, None for a snapshot.
        """
        self.listeners.append(listener)

    async def load_snapshot(self) -> None:
        """Load the stored snapshot if it is newer than the configuration in force."""
        stored = await self.context.store.get(SNAPSHOT_KEY)
        if stored is None:
            return
        snapshot = Configuration.model_validate_json(stored.value)
        if snapshot.number > self.current.number:
            self.current = snapshot
            self.notify_listeners(None)

    def apply_row(self, row: ObjectRow) -> None:
        """Add a ticket that was read from the store or flooded by a peer, and apply what is due."""
        if row.deleted:
            return
        try:
            ticket = parse_ticket(row.value)
        except TicketError:
            self.context.recorder.count("stored_tickets_malformed")
            return
        if ticket.number > self.current.number:
            self.pending_tickets[ticket.number] = ticket
        self.apply_pending()

    def apply_pending(self) -> None:
        """Apply the pending tickets that follow the configuration in force without a gap."""
        while (ticket := self.pending_tickets.pop(self.current.number + 1, None)) is not None:
            self.current = apply_ticket(self.current, ticket)
            self.remember_nonce(ticket)
            self.context.recorder.record("ticket_in_force", ticket=ticket.number)
            self.notify_listeners(ticket)
        for number in [n for n in self.pending_tickets if n <= self.current.number]:
            del self.pending_tickets[number]

    def remember_nonce(self, ticket: Ticket) -> None:
        """Remember a ticket's nonce, so that a resent ticket is recognised."""
        self.ticket_numbers_by_nonce[ticket.nonce] = ticket.number
        while len(self.ticket_numbers_by_nonce) > MAX_REMEMBERED_NONCES:
            self.ticket_numbers_by_nonce.popitem(last=False)

    def notify_listeners(self, ticket: Ticket | None) -> None:
        """Call the listeners with the configuration in force."""
        for listener in self.listeners:
            listener(self.current, ticket)

    @property
    def missing_ticket_number(self) -> int:
        """Number of the ticket for which pending ones wait, 0 if there are none."""
        return self.current.number + 1 if self.pending_tickets else 0

    async def fetch_missing(self) -> None:
        """Read the missing ticket from the store, if there is one."""
        if self.missing_ticket_number:
            await self.shared.read(build_ticket_key(self.missing_ticket_number))

    async def commit(self, ticket: Ticket) -> CommitOutcome:
        """Commit a ticket under the next number.

        The commit point is the creation of the numbered object on condition that it does not
        exist. If another ticket has taken the number, this one is checked again against the new
        configuration.
        """
        nonce = ticket.nonce or uuid.uuid4().hex
        if nonce in self.ticket_numbers_by_nonce:
            return Committed(self.ticket_numbers_by_nonce[nonce])
        for _ in range(COMMIT_ATTEMPTS):
            refused = check_ticket(ticket, self.current)
            if refused is not None:
                return refused
            number = self.current.number + 1
            numbered_ticket = ticket.model_copy(update={"number": number, "nonce": nonce})
            outcome = await self.try_commit(numbered_ticket)
            if outcome is not None:
                return outcome
        return NotRun(Step.RECORD, "store", "too many tickets at once", retry_after=1.0)

    async def try_commit(self, ticket: Ticket) -> CommitOutcome | None:
        """Create the ticket's object; return None if the commit is to be tried again."""
        key = build_ticket_key(ticket.number)
        try:
            await self.shared.write(key, serialize_ticket(ticket), 0)
        except ConflictError:
            return await self.read_conflicting_ticket(key, ticket)
        except StoreUnavailableError as error:
            return NotRun(Step.RECORD, "store", str(error), retry_after=2.0)
        except StoreOutcomeUnknownError:
            return await self.read_back(key, ticket)
        self.context.recorder.record("ticket_committed", ticket=ticket.number)
        return Committed(ticket.number)

    async def read_conflicting_ticket(self, key: str, ticket: Ticket) -> CommitOutcome | None:
        """Read the ticket that took the number; it may be this one, sent before.

        :returns: None if it is another ticket
        """
        try:
            row = await self.shared.read(key)
        except PlatformError as error:
            return NotRun(Step.RECORD, "store", str(error), retry_after=2.0)
        if row is not None and parse_ticket(row.value).nonce == ticket.nonce:
            return Committed(ticket.number)
        self.context.recorder.record("ticket_lost_race", ticket=ticket.number)
        return None

    async def read_back(self, key: str, ticket: Ticket) -> CommitOutcome | None:
        """Find out whether a ticket whose write got no answer was stored.

        :returns: None if it was not
        """
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                row = await self.shared.read(key)
            except PlatformError:
                await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
                continue
            if row is None:
                return None
            if parse_ticket(row.value).nonce == ticket.nonce:
                return Committed(ticket.number)
            return None
        return Unknown(Step.RECORD, "store", "the store did not say whether it took the ticket")
