"""The duty that takes over the journals of daemons that will never act again."""

__all__ = ["JournalTakeover"]

import asyncio
from collections import defaultdict

from tanagertrail.core.context import NodeContext
from tanagertrail.core.duties import DutyLeaseManager
from tanagertrail.core.jobs import JobManager
from tanagertrail.core.journal import JOURNALS_PREFIX, list_segments, seal_journal
from tanagertrail.core.members import MembershipManager
from tanagertrail.policy.journals import (
    JobState,
    JournalEntry,
    Segment,
    decode_segment,
    replay_segments,
)

SWEEP_SECONDS = 30.0


class JournalTakeover:
    """Seal lost journals and give their jobs to this daemon's job keeper."""

    def __init__(
        self,
        context: NodeContext,
        members: MembershipManager,
        duties: DutyLeaseManager,
        keeper: JobManager,
    ) -> None:
        self.context = context
        self.members = members
        self.duties = duties
        self.keeper = keeper
        self.swept_at = float("-inf")
        members.gone_listeners.append(self.note_gone)

    def note_gone(self, holder: str) -> None:
        """Look for the journals of lost daemons soon."""
        self.swept_at = float("-inf")

    async def take_over_lost(self) -> None:
        """Take over the journals of daemons that will never act again."""
        now = self.context.now()
        if self.keeper.stopping or not self.duties.get_fencing("takeover"):
            return
        if now - self.swept_at < SWEEP_SECONDS:
            return
        self.swept_at = now
        journals = await self.read_journals()
        for holder in sorted(journals):
            if not self.members.membership.is_current(holder):
                await self.take_over(holder)

    async def read_journals(self) -> dict[str, list[Segment]]:
        """Read all journals, by holder."""
        result = await self.context.store.list_objects(JOURNALS_PREFIX)
        journals: dict[str, list[Segment]] = defaultdict(list)
        for item in result.changes:
            journals[item.key.split("/")[1]].append(decode_segment(item.value))
        return journals

    async def take_over(self, holder: str) -> None:
        """Seal a lost daemon's journal and adopt its jobs.

        What the lost daemon had sealed but perhaps not adopted is adopted with it, and only then
        is its journal deleted, so that a chain of lost daemons is followed to its end.
        """
        segments = await seal_journal(self.context, holder)
        if segments is None:
            await self.take_over_sealer(holder)
            return
        await self.adopt(holder, segments)
        for other, sealed in (await self.read_journals()).items():
            if other != holder and sealed[-1].sealed_by == holder:
                await self.adopt(other, sealed)
                await self.delete_journal(other)
        await self.delete_journal(holder)

    async def take_over_sealer(self, holder: str) -> None:
        """Take over the daemon that sealed a journal, if it was lost too."""
        segments = await list_segments(self.context, holder)
        sealer = segments[-1].sealed_by if segments else ""
        if sealer and not self.members.membership.is_current(sealer):
            await self.take_over(sealer)

    async def adopt(self, holder: str, segments: list[Segment]) -> None:
        """Record the jobs of a sealed journal in this daemon's own and run the unfinished."""
        jobs = replay_segments(segments)
        adopted = [record for job_id, record in jobs.items() if job_id not in self.keeper.jobs]
        await asyncio.gather(
            *(self.keeper.record(JournalEntry(job.job_id, job.state, job)) for job in adopted)
        )
        for job in adopted:
            if job.state in (JobState.ACCEPTED, JobState.PROGRESS):
                self.keeper.launch(job.job_id)
        self.context.recorder.record("journal_taken_over", detail=f"{holder}: {len(adopted)} jobs")

    async def delete_journal(self, holder: str) -> None:
        """Delete a journal whose jobs were adopted; the seal goes last."""
        result = await self.context.store.list_objects(f"{JOURNALS_PREFIX}{holder}/")
        for item in result.changes:
            await self.context.store.delete(item.key, item.version)
