"""The duty that takes over the journals of daemons whose incarnation has ended."""

__all__ = ["JournalTakeover"]

import asyncio
from collections import defaultdict

from tanagertrail.core.context import NodeContext
from tanagertrail.core.duties import DutyLeaseManager
from tanagertrail.core.jobs import JobManager
from tanagertrail.core.journal import JOURNALS_PREFIX, read_segments, seal_journal
from tanagertrail.core.members import MembershipManager
from tanagertrail.policy.journals import (
    JobState,
    JournalEntry,
    Segment,
    decode_segment,
    replay_segments,
)

SCAN_INTERVAL_SECONDS = 30.0


class JournalTakeover:
    """Seal the journals of lost daemons and add their jobs to this daemon's journal."""

    def __init__(
        self,
        context: NodeContext,
        members: MembershipManager,
        duties: DutyLeaseManager,
        job_manager: JobManager,
    ) -> None:
        self.context = context
        self.members = members
        self.duties = duties
        self.job_manager = job_manager
        self.last_scan_at = float("-inf")
        members.gone_listeners.append(self.schedule_scan)

    def schedule_scan(self, holder: str) -> None:
        """Let the next step scan the journals, since a daemon incarnation has ended."""
        self.last_scan_at = float("-inf")

    async def take_over_lost_journals(self) -> None:
        """Scan all journals and take over those whose daemon incarnation has ended."""
        now = self.context.now()
        if self.job_manager.stopping or not self.duties.get_fencing_token("takeover"):
            return
        if now - self.last_scan_at < SCAN_INTERVAL_SECONDS:
            return
        self.last_scan_at = now
        journals = await self.read_journals()
        for holder in sorted(journals):
            if not self.members.membership.is_current(holder):
                await self.take_over(holder)

    async def read_journals(self) -> dict[str, list[Segment]]:
        """Read all journals; return their segments by holder."""
        result = await self.context.store.list_objects(JOURNALS_PREFIX)
        journals: dict[str, list[Segment]] = defaultdict(list)
        for item in result.changes:
            journals[item.key.split("/")[1]].append(decode_segment(item.value))
        return journals

    async def take_over(self, holder: str) -> None:
        """Seal a lost daemon's journal and adopt its jobs.

        The lost daemon may have sealed other journals without adopting their jobs. Those jobs are
        adopted too, and its own journal is deleted last, so that no job is lost if several daemons
        are lost one after another.
        """
        segments = await seal_journal(self.context, holder)
        if segments is None:
            await self.take_over_from_sealer(holder)
            return
        await self.adopt_jobs(holder, segments)
        for sealed_holder, sealed_segments in (await self.read_journals()).items():
            if sealed_holder != holder and sealed_segments[-1].sealed_by == holder:
                await self.adopt_jobs(sealed_holder, sealed_segments)
                await self.delete_journal(sealed_holder)
        await self.delete_journal(holder)

    async def take_over_from_sealer(self, holder: str) -> None:
        """Take over the journal of the daemon that sealed this one, if it is lost too."""
        segments = await read_segments(self.context, holder)
        sealer = segments[-1].sealed_by if segments else ""
        if sealer and not self.members.membership.is_current(sealer):
            await self.take_over(sealer)

    async def adopt_jobs(self, holder: str, segments: list[Segment]) -> None:
        """Add the jobs of a sealed journal to this daemon's and run the unfinished ones."""
        jobs = replay_segments(segments)
        adopted = [record for job_id, record in jobs.items() if job_id not in self.job_manager.jobs]
        await asyncio.gather(
            *(self.job_manager.record(JournalEntry(job.job_id, job.state, job)) for job in adopted)
        )
        for job in adopted:
            if job.state in (JobState.ACCEPTED, JobState.PROGRESS):
                self.job_manager.start_job(job.job_id)
        self.context.recorder.record("journal_taken_over", detail=f"{holder}: {len(adopted)} jobs")

    async def delete_journal(self, holder: str) -> None:
        """Delete a journal whose jobs were adopted, segment by segment: the seal goes last."""
        result = await self.context.store.list_objects(f"{JOURNALS_PREFIX}{holder}/")
        for item in result.changes:
            await self.context.store.delete(item.key, item.version)
