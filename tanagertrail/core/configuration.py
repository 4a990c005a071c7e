"""The configuration in force on one daemon, and the commit of new tickets."""

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
    StoreUnavailableError,
    StoreUnknownError,
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
COMMIT_TRIES = 8
READ_BACK_TRIES = 6
READ_BACK_SECONDS = 0.5
MAX_NONCES = 1000

Listener = Callable[[Configuration, Ticket | None], None]


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
    """

    def __init__(self, context: NodeContext, shared: SharedObjects) -> None:
        self.context = context
        self.shared = shared
        self.current = Configuration()
        self.pending: dict[int, Ticket] = {}
        self.listeners: list[Listener] = []
        self.nonces: OrderedDict[str, int] = OrderedDict()
        shared.subscribe(TICKETS_PREFIX, self.take_row)

    def add_listener(self, listener: Listener) -> None:
        """Call a function after each change of the configuration."""
        self.listeners.append(listener)

    async def load_snapshot(self) -> None:
        """Start from the stored snapshot, if there is one."""
        stored = await self.context.store.get(SNAPSHOT_KEY)
        if stored is None:
            return
        snapshot = Configuration.model_validate_json(stored.value)
        if snapshot.number > self.current.number:
            self.current = snapshot
            self.tell(None)

    def take_row(self, row: ObjectRow) -> None:
        """Take a ticket that was read or flooded."""
        if row.deleted:
            return
        try:
            ticket = parse_ticket(row.value)
        except TicketError:
            self.context.recorder.count("stored_tickets_malformed")
            return
        if ticket.number > self.current.number:
            self.pending[ticket.number] = ticket
        self.apply_pending()

    def apply_pending(self) -> None:
        """Apply all tickets whose predecessors are in force."""
        while (ticket := self.pending.pop(self.current.number + 1, None)) is not None:
            self.current = apply_ticket(self.current, ticket)
            self.remember_nonce(ticket)
            self.context.recorder.record("ticket_in_force", ticket=ticket.number)
            self.tell(ticket)
        for number in [n for n in self.pending if n <= self.current.number]:
            del self.pending[number]

    def remember_nonce(self, ticket: Ticket) -> None:
        """Remember a ticket's nonce, so that a resend of it is recognised."""
        self.nonces[ticket.nonce] = ticket.number
        while len(self.nonces) > MAX_NONCES:
            self.nonces.popitem(last=False)

    def tell(self, ticket: Ticket | None) -> None:
        """Tell the listeners of the configuration."""
        for listener in self.listeners:
            listener(self.current, ticket)

    @property
    def missing_ticket_number(self) -> int:
        """Return the number of a ticket that is known to be missing, 0 for none."""
        return self.current.number + 1 if self.pending else 0

    async def fetch_missing(self) -> None:
        """Read a missing ticket from the store."""
        if self.missing_ticket_number:
            await self.shared.read(build_ticket_key(self.missing_ticket_number))

    async def commit(self, ticket: Ticket) -> CommitOutcome:
        """Commit a ticket under the next number.

        The conditional creation of the numbered object is the commit point. A lost race is
        followed by a new check against what won.
        """
        nonce = ticket.nonce or uuid.uuid4().hex
        if nonce in self.nonces:
            return Committed(self.nonces[nonce])
        for _ in range(COMMIT_TRIES):
            refused = check_ticket(ticket, self.current)
            if refused is not None:
                return refused
            number = self.current.number + 1
            numbered = ticket.model_copy(update={"number": number, "nonce": nonce})
            outcome = await self.try_commit(numbered)
            if outcome is not None:
                return outcome
        return NotRun(Step.RECORD, "store", "too many tickets at once", retry_after=1.0)

    async def try_commit(self, ticket: Ticket) -> CommitOutcome | None:
        """Try to create the ticket's object; None if another ticket took the number."""
        key = build_ticket_key(ticket.number)
        try:
            await self.shared.write(key, serialize_ticket(ticket), 0)
        except ConflictError:
            return await self.read_winner(key, ticket)
        except StoreUnavailableError as error:
            return NotRun(Step.RECORD, "store", str(error), retry_after=2.0)
        except StoreUnknownError:
            return await self.read_back(key, ticket)
        self.context.recorder.record("ticket_committed", ticket=ticket.number)
        return Committed(ticket.number)

    async def read_winner(self, key: str, ticket: Ticket) -> CommitOutcome | None:
        """Learn which ticket took the number, which may be this one, sent again."""
        try:
            row = await self.shared.read(key)
        except PlatformError as error:
            return NotRun(Step.RECORD, "store", str(error), retry_after=2.0)
        if row is not None and parse_ticket(row.value).nonce == ticket.nonce:
            return Committed(ticket.number)
        self.context.recorder.record("ticket_lost_race", ticket=ticket.number)
        return None

    async def read_back(self, key: str, ticket: Ticket) -> CommitOutcome | None:
        """Find out whether a write whose answer was lost took effect."""
        for _ in range(READ_BACK_TRIES):
            try:
                row = await self.shared.read(key)
            except PlatformError:
                await asyncio.sleep(READ_BACK_SECONDS)
                continue
            if row is None:
                return None
            if parse_ticket(row.value).nonce == ticket.nonce:
                return Committed(ticket.number)
            return None
        return Unknown(Step.RECORD, "store", "the store did not say whether it took the ticket")
