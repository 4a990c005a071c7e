"""Supervision of a daemon's tasks: failures are logged and counted, long-lived tasks restarted."""

__all__ = ["Supervisor", "log_defect", "summarize_traceback"]

import asyncio
import os
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from typing import Any

from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.policy.restarts import SOUND_SECONDS, plan_restart

MAX_LOGGED_FRAMES = 5  # innermost ones
MAX_ERROR_LENGTH = 300  # characters

Work = Callable[[], Awaitable[None]]


def summarize_traceback(error: BaseException) -> list[str]:
    """Return file, line and function of the innermost frames of an exception."""
    frames: deque[str] = deque(maxlen=MAX_LOGGED_FRAMES)
    traceback = error.__traceback__
    while traceback is not None:
        code = traceback.tb_frame.f_code
        name = os.path.basename(code.co_filename)
        frames.append(f"{name}:{traceback.tb_lineno} {code.co_name}")
        traceback = traceback.tb_next
    return list(frames)


def log_defect(log: EventLog, where: str, error: BaseException, **fields: Any) -> None:
    """Log an exception that no code expects.

    :param where: task or callback that raised it
    :param fields: further fields of the line
    """
    cause = error.__cause__
    log.write(
        "defect",
        where=where,
        error=repr(error)[:MAX_ERROR_LENGTH],
        cause=repr(cause)[:MAX_ERROR_LENGTH] if cause is not None else None,
        trace=summarize_traceback(error),
        **fields,
    )


class Supervisor:
    """Run the tasks of one daemon.

    :ivar tasks: tasks that have not ended
    :ivar failure_counts: unexpected exceptions by task or callback
    :ivar failing: failures in a row of long-lived tasks that have not run soundly since
    """

    def __init__(self, log: EventLog) -> None:
        self.log = log
        self.tasks: set[asyncio.Task] = set()
        self.failure_counts: Counter[str] = Counter()
        self.failing: dict[str, int] = {}

    def start(self, name: str, work: Work) -> asyncio.Task:
        """Start a long-lived task, which is started again when it fails.

        It ends when it is cancelled, or when its work returns.
        """
        return self.adopt(name, asyncio.create_task(self.run(name, work), name=name))

    def adopt(self, name: str, task: asyncio.Task) -> asyncio.Task:
        """Log and count the failure of a task, which is not started again."""
        self.tasks.add(task)
        task.add_done_callback(lambda ended: self.on_task_done(name, ended))
        return task

    def on_task_done(self, name: str, task: asyncio.Task) -> None:
        """Log and count the exception of a task that has ended."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.report(name, task.exception())

    async def run(self, name: str, work: Work) -> None:
        """Run a work until it returns or is cancelled; start it again after a failure."""
        loop = asyncio.get_running_loop()
        task = asyncio.current_task()
        while True:
            started_at = loop.time()
            settled = loop.call_later(SOUND_SECONDS, self.failing.pop, name, None)
            try:
                await work()
            except (Exception, asyncio.CancelledError) as error:
                if task.cancelling():
                    raise
                restart = plan_restart(self.failing.get(name, 0), loop.time() - started_at)
                self.failing[name] = restart.failures
                self.report(name, error, failures=restart.failures, again_s=restart.delay)
            else:
                self.failing.pop(name, None)
                return
            finally:
                settled.cancel()
            await asyncio.sleep(restart.delay)

    def report(self, where: str, error: BaseException, **fields: Any) -> None:
        """Log and count an exception that no code expects."""
        self.failure_counts[where] += 1
        log_defect(self.log, where, error, **fields)

    def handle_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Log and count what the event loop found: a failed callback or a forgotten task."""
        message = str(context.get("message", "event loop"))
        error = context.get("exception")
        origin = context.get("handle") or context.get("task") or context.get("future")
        detail = repr(origin)[:MAX_ERROR_LENGTH]
        self.report("event loop", error or RuntimeError(message), message=message, origin=detail)

    def close(self) -> None:
        """Cancel all tasks."""
        for task in list(self.tasks):
            task.cancel()
