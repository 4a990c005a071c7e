"""The duty that replaces old tickets by a snapshot, so that a new daemon reads few of them."""

__all__ = ["TicketCompactor"]

from tanagertrail.core.configuration import SNAPSHOT_KEY, TICKETS_PREFIX, ConfigurationManager
from tanagertrail.core.context import NodeContext
from tanagertrail.core.duties import DutyLeaseManager
from tanagertrail.core.sharing import SharedObjects
from tanagertrail.daemons.messages import ObjectRow
from tanagertrail.errors import ConflictError
from tanagertrail.model import Configuration

RETAINED_TICKETS = 100
COMPACTION_THRESHOLD = 200  # stored tickets above which a new snapshot is written
DELETIONS_PER_STEP = 20


class TicketCompactor:
    """Write a snapshot of the configuration, then delete old tickets that it contains.

    The latest tickets are kept for daemons that are a little behind and for operators.

    :ivar snapshot_number: number of the last ticket in the stored snapshot, None if not known
    :ivar snapshot_version: version of the stored snapshot, 0 if there is none
    """

    def __init__(
        self,
        context: NodeContext,
        shared: SharedObjects,
        configuration: ConfigurationManager,
        duties: DutyLeaseManager,
    ) -> None:
        self.context = context
        self.shared = shared
        self.configuration = configuration
        self.duties = duties
        self.snapshot_number: int | None = None
        self.snapshot_version = 0

    async def step(self) -> None:
        """Write a snapshot if many tickets are stored, or delete some that the snapshot contains.

        A step that writes a snapshot deletes nothing.
        """
        rows = self.shared.list_rows(TICKETS_PREFIX)
        if len(rows) <= RETAINED_TICKETS or not self.duties.get_fencing_token("compaction"):
            return
        if self.snapshot_number is None:
            await self.read_stored_snapshot()
        if (
            len(rows) > COMPACTION_THRESHOLD
            and self.snapshot_number < self.configuration.current.number
        ):
            await self.write_snapshot()
            return
        await self.delete_old_tickets(rows)

    async def read_stored_snapshot(self) -> None:
        """Read the number and the version of the stored snapshot."""
        stored = await self.context.store.get(SNAPSHOT_KEY)
        snapshot = Configuration.model_validate_json(stored.value) if stored else None
        self.snapshot_version = stored.version if stored else 0
        self.snapshot_number = snapshot.number if snapshot else 0

    async def write_snapshot(self) -> None:
        """Store the configuration in force as the snapshot.

        After a failed write the stored snapshot is not known, and the next step reads it.
        """
        configuration = self.configuration.current
        value = configuration.model_dump_json().encode()
        version, self.snapshot_number = self.snapshot_version, None
        try:
            stored = await self.context.store.put(SNAPSHOT_KEY, value, version)
        except ConflictError:
            return
        self.snapshot_number = configuration.number
        self.snapshot_version = stored.version
        self.context.recorder.record("snapshot_written", ticket=configuration.number)

    async def delete_old_tickets(self, rows: list[ObjectRow]) -> None:
        """Delete a few of the oldest tickets that the snapshot contains."""
        surplus_rows = rows[: max(len(rows) - RETAINED_TICKETS, 0)]
        for row in surplus_rows[:DELETIONS_PER_STEP]:
            if int(row.key.rpartition("/")[2]) > self.snapshot_number:
                return
            await self.shared.remove(row.key.partition("/")[2], row.version)
