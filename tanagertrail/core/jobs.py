"""Durable jobs: accepted once stored in a journal, and run to their end.

Each daemon runs the jobs in its own journal. When it is gone, another daemon takes the journal over
and runs the unfinished ones.
"""

__all__ = ["JobManager", "JobView"]

import asyncio
import uuid
from typing import NamedTuple

from tanagertrail.core.at_most_once_calls import AtMostOnceCallHandler
from tanagertrail.core.context import NodeContext
from tanagertrail.core.duties import DutyLeaseManager
from tanagertrail.core.journal import JournalWriter, build_segment_key
from tanagertrail.core.members import MembershipManager
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.serving import CHAT_COMPLETIONS_PATH, RequestServer
from tanagertrail.daemons.messages import JobAnswer, JobQuery
from tanagertrail.errors import PlatformError
from tanagertrail.model import Priority
from tanagertrail.outcomes import Answered, NotRun, Outcome, Step, Unknown
from tanagertrail.policy.batching import compute_write_interval
from tanagertrail.policy.journals import JobRecord, JobState, JournalEntry, apply_entry
from tanagertrail.policy.membership import parse_daemon
from tanagertrail.sinks import BaseSink
from tanagertrail.upstreams.events import EVENT_END, read_token_text

TOKENS_PER_SAVE = 32
RETRY_INTERVAL_SECONDS = 1.0
QUERY_TIMEOUT_SECONDS = 0.5
LATE_MARGIN_SECONDS = 5.0  # a job with less time left than this is late
LATE_CALL_SECONDS = 10 * LATE_MARGIN_SECONDS  # for a job whose deadline is over
TRIM_THRESHOLD_SEGMENTS = 64


class JobView(NamedTuple):
    """State of a job as callers see it.

    :ivar status: HTTP status of the result, 0 while there is none
    :ivar text: text of the result, empty until the job has ended
    """

    job_id: str
    state: str
    status: int
    text: str
    reason: str


class ProgressSink(BaseSink):
    """Collect the token events of one attempt at a job and save them in batches.

    :ivar events: the token events of this attempt
    :ivar saved_events: number of events that are in the journal
    """

    def __init__(self, job_manager: "JobManager", record: JobRecord) -> None:
        self.job_manager = job_manager
        self.record = record
        self.events: list[bytes] = []
        self.saved_events = 0
        self.save_task: asyncio.Task | None = None

    def write(self, data: bytes) -> None:
        """Add token events and start a save once enough are unsaved."""
        self.events.extend(event for event in data.split(EVENT_END) if event)
        save_idle = self.save_task is None or self.save_task.done()
        if save_idle and len(self.events) - self.saved_events >= TOKENS_PER_SAVE:
            self.save_task = asyncio.create_task(self.save())

    def read_text(self, start: int = 0) -> str:
        """Return the text of the events from an index on."""
        return "".join(read_token_text(event) for event in self.events[start:])

    async def save(self) -> None:
        """Store the events since the last save.

        After a failure they may have to be generated again, and nothing else is lost.
        """
        saved_end = len(self.events)
        entry = JournalEntry(
            self.record.job_id,
            JobState.PROGRESS,
            seconds_left=self.job_manager.compute_seconds_left(self.record.job_id),
            delivered=self.record.delivered + saved_end,
            text="".join(
                read_token_text(event) for event in self.events[self.saved_events : saved_end]
            ),
        )
        try:
            await self.job_manager.record(entry)
        except PlatformError:
            self.job_manager.context.recorder.count("job_saves_failed")
            return
        self.saved_events = saved_end


class JobManager:
    """Accept and run jobs, and answer queries about them.

    :ivar jobs: the jobs in this daemon's journal, by id
    :ivar deadlines: event-loop times in seconds, by job id
    :ivar leaving: whether the daemon drains, so that it begins no call that it may have to cut
    :ivar last_trimmed_segment: number of the last journal segment that was deleted
    """

    def __init__(
        self,
        context: NodeContext,
        members: MembershipManager,
        duties: DutyLeaseManager,
        server: RequestServer,
        calls: AtMostOnceCallHandler,
        batching: str = "paced",
    ) -> None:
        self.context = context
        self.members = members
        self.duties = duties
        self.server = server
        self.calls = calls
        self.journal = JournalWriter(context, batching)
        self.journal.write_interval = lambda: compute_write_interval(
            len(members.membership.members)
        )
        self.jobs: dict[str, JobRecord] = {}
        self.running_tasks: dict[str, asyncio.Task] = {}
        self.deadlines: dict[str, float] = {}
        self.pending_queries: dict[int, asyncio.Future[JobAnswer]] = {}
        self.last_query_number = 0
        self.stopping = False
        self.leaving = False
        self.last_trimmed_segment = 0
        context.register_handler(JobQuery, self.receive_query)
        context.register_handler(JobAnswer, self.receive_answer)

    def start(self) -> None:
        """Start the journal's writer."""
        self.journal.start()

    async def record(self, entry: JournalEntry) -> None:
        """Store a change of a job in the journal, then apply it to the job in memory.

        :raises PlatformError: if it was not stored
        """
        await self.journal.append(entry)
        if entry.record is not None:
            self.jobs[entry.job_id] = entry.record
        elif entry.job_id in self.jobs:
            self.jobs[entry.job_id] = apply_entry(self.jobs[entry.job_id], entry)

    async def accept(self, request: CallerRequest) -> JobView | NotRun | Unknown:
        """Accept a job: store it in the journal, start it and return its state."""
        job_id = f"{self.context.holder}.{uuid.uuid4().hex}"
        record = JobRecord(
            job_id,
            request.customer,
            request.service,
            request.path,
            request.body,
            int(request.priority),
            request.deadline - self.context.now(),
            request.idempotency_key,
        )
        refused = self.server.check_request(request)
        if refused is not None:
            return refused
        try:
            await self.record(JournalEntry(job_id, JobState.ACCEPTED, record))
        except PlatformError as error:
            reason = f"the job could not be recorded: {error}"
            return NotRun(Step.RECORD, "store", reason, 503, 2.0)
        self.context.recorder.record("job_accepted", request=job_id)
        self.deadlines[job_id] = request.deadline
        self.start_job(job_id)
        return build_job_view(record)

    def start_job(self, job_id: str) -> None:
        """Start the task that runs a job to its end, unless it is running."""
        if job_id not in self.running_tasks and not self.stopping:
            self.running_tasks[job_id] = asyncio.create_task(self.run(job_id), name=f"job {job_id}")

    async def run(self, job_id: str) -> None:
        """Repeat attempts until the job's end is stored or another daemon seals the journal."""
        try:
            while self.may_attempt(job_id) and not await self.run_attempt(job_id):
                if self.journal.sealed:
                    break
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        finally:
            self.running_tasks.pop(job_id, None)

    def is_call(self, job_id: str) -> bool:
        """Return whether a job is a call, which must run at most once."""
        return self.jobs[job_id].path != CHAT_COMPLETIONS_PATH

    def may_attempt(self, job_id: str) -> bool:
        """Return whether an attempt at a job may begin here.

        A call that is cut can't be made again; while this daemon drains, it is left to the daemon
        that takes the journal over.
        """
        return not (self.leaving and self.is_call(job_id))

    async def finish_calls(self) -> None:
        """Wait for the calls that are being made, at most until the last one's deadline."""
        calls = {
            job_id: task for job_id, task in self.running_tasks.items() if self.is_call(job_id)
        }
        if not calls:
            return
        longest = max(self.compute_seconds_left(job_id) for job_id in calls)
        await asyncio.wait(calls.values(), timeout=max(longest, 0.0) + LATE_CALL_SECONDS)

    async def run_attempt(self, job_id: str) -> bool:
        """Make one attempt at a job; return whether no other is needed."""
        record = self.jobs[job_id]
        request = self.build_request(record)
        sink = ProgressSink(self, record)
        if request.repeatable:
            outcome = await self.server.serve(request, sink)
        else:
            outcome = await self.calls.serve(request)
        entry = self.build_final_entry(record, outcome, sink)
        if entry is None:
            await self.save_remaining_events(sink)
            return False
        while True:
            try:
                await self.record(entry)
                break
            except PlatformError:
                if self.journal.sealed:
                    return True
                await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        self.context.recorder.record(f"job_{entry.state}", request=job_id, detail=entry.reason)
        return True

    async def save_remaining_events(self, sink: ProgressSink) -> None:
        """Save the remaining events of an attempt that did not end the job."""
        if sink.save_task is not None:
            await sink.save_task
        if len(sink.events) > sink.saved_events:
            await sink.save()

    def build_request(self, record: JobRecord) -> CallerRequest:
        """Build the request for an attempt at a job.

        A late job is still run, with the highest priority and an extended deadline.
        """
        now = self.context.now()
        deadline = self.deadlines.setdefault(record.job_id, now + record.seconds_left)
        late = deadline - now < LATE_MARGIN_SECONDS
        streamed = record.path == CHAT_COMPLETIONS_PATH
        return CallerRequest(
            request_id=record.job_id,
            service=record.service,
            method="POST",
            path=record.path,
            body=record.body,
            deadline=max(deadline, now + LATE_CALL_SECONDS) if late else deadline,
            customer=record.customer,
            priority=Priority.REPORT_LATE if late else Priority(record.priority),
            idempotency_key=record.idempotency_key or record.job_id,
            repeatable=streamed,
            streamed=streamed,
            resume_from=record.delivered,
            resume_text=record.text,
        )

    def compute_seconds_left(self, job_id: str) -> float:
        """Return the seconds until a job's deadline, negative after it."""
        return self.deadlines.get(job_id, 0.0) - self.context.now()

    def build_final_entry(
        self, record: JobRecord, outcome: Outcome, sink: ProgressSink
    ) -> JournalEntry | None:
        """Return the entry that ends a job, None if another attempt is due."""
        if isinstance(outcome, Answered):
            body = outcome.body.decode("utf-8", "replace")
            text = sink.read_text(sink.saved_events) if sink.events else body
            return JournalEntry(
                record.job_id,
                JobState.DONE,
                delivered=record.delivered + len(sink.events),
                text=text,
                status=outcome.status,
            )
        refused_for_good = isinstance(outcome, NotRun) and outcome.retry_after is None
        may_have_run = isinstance(outcome, Unknown) and outcome.retry_after is None
        not_repeatable = record.path != CHAT_COMPLETIONS_PATH
        if (
            refused_for_good
            or (not_repeatable and may_have_run)
            or (not_repeatable and not isinstance(outcome, NotRun | Unknown))
        ):
            return JournalEntry(
                record.job_id, JobState.FAILED, status=outcome.status, reason=outcome.reason
            )
        return None

    async def find_job(self, job_id: str) -> JobView | None:
        """Find a job on this daemon or another one.

        The daemon that accepted the job and the one that takes journals over are asked first.
        """
        if job_id in self.jobs:
            return build_job_view(self.jobs[job_id])
        likely_holders = {parse_daemon(job_id), self.duties.find_preferred_daemon("takeover")}
        daemons = {member.daemon for member in self.members.membership.members.values()}
        for group in (likely_holders & daemons, daemons - likely_holders):
            queried_daemons = sorted(group - {self.context.daemon})
            answers = await asyncio.gather(
                *(self.query_daemon(daemon, job_id) for daemon in queried_daemons)
            )
            for answer in answers:
                if answer is not None and answer.state:
                    return JobView(*answer[1:])
        return None

    async def query_daemon(self, daemon: str, job_id: str) -> JobAnswer | None:
        """Query a daemon for a job; return None if it does not answer in time."""
        self.last_query_number += 1
        number = self.last_query_number
        answer_future: asyncio.Future[JobAnswer] = asyncio.get_running_loop().create_future()
        self.pending_queries[number] = answer_future
        self.context.send(daemon, JobQuery(self.context.daemon, number, job_id))
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                return await answer_future
        except TimeoutError:
            return None
        finally:
            del self.pending_queries[number]

    def receive_query(self, sender: str, query: JobQuery) -> None:
        """Answer a query; an answer with an empty state says that the job is not known here."""
        record = self.jobs.get(query.job_id)
        view = build_job_view(record) if record else JobView(query.job_id, "", 0, "", "")
        self.context.send(query.daemon, JobAnswer(query.number, *view))

    def receive_answer(self, sender: str, answer: JobAnswer) -> None:
        """Pass an answer to the query that waits for it."""
        answer_future = self.pending_queries.get(answer.number)
        if answer_future is not None and not answer_future.done():
            answer_future.set_result(answer)

    async def trim(self) -> None:
        """Compact the journal once it has many segments.

        The whole record of each job is appended before the older segments are deleted.
        """
        first_new_segment = self.journal.next_segment_number
        if (
            first_new_segment - self.last_trimmed_segment <= TRIM_THRESHOLD_SEGMENTS
            or self.journal.sealed
        ):
            return
        entries = [JournalEntry(job.job_id, job.state, job) for job in self.jobs.values()]
        await asyncio.gather(*(self.record(entry) for entry in entries))
        for number in range(self.last_trimmed_segment + 1, first_new_segment):
            await self.context.store.delete(build_segment_key(self.context.holder, number))
        self.last_trimmed_segment = first_new_segment - 1

    def cancel(self) -> None:
        """Cancel all tasks without waiting for their end."""
        self.journal.cancel()
        for task in self.running_tasks.values():
            task.cancel()

    async def stop_running_jobs(self) -> None:
        """Stop all jobs before this daemon exits; another daemon takes its journal over."""
        self.stopping = True
        for task in list(self.running_tasks.values()):
            task.cancel()
        await asyncio.gather(*self.running_tasks.values(), return_exceptions=True)


def build_job_view(record: JobRecord) -> JobView:
    """Return the state of a job as callers see it; the text is left out until the job has ended."""
    text = record.text if record.state in (JobState.DONE, JobState.FAILED) else ""
    return JobView(record.job_id, str(record.state), record.status, text, record.reason)
