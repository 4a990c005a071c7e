"""The duty that folds old tickets into a snapshot, so that a new daemon reads few of them."""

__all__ = ["TicketCompactor"]

from tanagertrail.core.configuring import SNAPSHOT_KEY, TICKETS_PREFIX, ConfigurationKeeper
from tanagertrail.core.context import NodeContext
from tanagertrail.core.duties import DutyKeeper
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.errors import ConflictError
from tanagertrail.model import Configuration

KEPT_TICKETS = 100
COMPACT_TICKETS = 200
DELETES_PER_STEP = 20


class TicketCompactor:
    """Write the snapshot before any ticket in it is deleted.

    The last tickets are kept, for daemons that are a little behind and for operators.
    """

    def __init__(
        self,
        context: NodeContext,
        shared: SharedObjects,
        configuration: ConfigurationKeeper,
        duties: DutyKeeper,
    ) -> None:
        self.context = context
        self.shared = shared
        self.configuration = configuration
        self.duties = duties

    async def step(self) -> None:
        """Write a snapshot when many tickets are stored, then delete some that it covers."""
        rows = self.shared.iter_rows(TICKETS_PREFIX)
        if len(rows) <= KEPT_TICKETS or not self.duties.get_fencing("compaction"):
            return
        stored = await self.context.store.get(SNAPSHOT_KEY)
        covered = 0
        if stored is not None:
            covered = Configuration.model_validate_json(stored.value).number
        if len(rows) > COMPACT_TICKETS and covered < self.configuration.current.number:
            await self.write_snapshot(stored.version if stored else 0)
            return
        await self.delete_covered(covered)

    async def write_snapshot(self, expected: int) -> None:
        """Write the configuration in force as the snapshot."""
        value = self.configuration.current.model_dump_json().encode()
        try:
            await self.context.store.put(SNAPSHOT_KEY, value, expected)
        except ConflictError:
            return
        number = self.configuration.current.number
        self.context.recorder.record("snapshot_written", ticket=number)

    async def delete_covered(self, covered: int) -> None:
        """Delete a few of the oldest tickets that the snapshot covers."""
        rows = self.shared.iter_rows(TICKETS_PREFIX)
        surplus = rows[: max(len(rows) - KEPT_TICKETS, 0)]
        for row in surplus[:DELETES_PER_STEP]:
            if int(row.key.rpartition("/")[2]) > covered:
                return
            await self.shared.remove(row.key.partition("/")[2], row.version)
