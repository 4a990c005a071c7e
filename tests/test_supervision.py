"""Tasks of a daemon do not end by themselves."""

import asyncio
import gc
import random
import time

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.gateway.eventlog import EventLog, LineWriter
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.gateway.peers import PeerConnection
from tanagertrail.gateway.store_watch import KindWatch, WatchRole, WatchTiming
from tanagertrail.gateway.supervision import Supervisor, summarize_traceback
from tanagertrail.platform.store import Listing, StoredObject, WatchResponse
from tanagertrail.policy.restarts import MAX_DELAY_SECONDS, SOUND_SECONDS, plan_restart
from tests.gateway_utils import NoOpHandler, open_world, run_in_real_time
from tests.utils import raises, with_virtual_time


class RecordingLog:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append({"event": event, **fields})


class FailingWork:
    """A work that raises for some time and then goes on."""

    def __init__(self, failures, error=ValueError):
        self.left = failures
        self.error = error
        self.starts = 0

    async def run(self):
        self.starts += 1
        if self.left > 0:
            self.left -= 1
            raise self.error("broken")
        await asyncio.sleep(3600)


@given(st.integers(0, 10**6), st.floats(0, 1e6))
def test_delay_of_a_restart_is_bounded(failures, ran):
    restart = plan_restart(failures, ran)
    assert 0 < restart.delay <= MAX_DELAY_SECONDS
    assert restart.failures == (1 if ran >= SOUND_SECONDS else failures + 1)


@with_virtual_time
async def test_failed_task_is_started_again_logged_and_counted():
    log = RecordingLog()
    supervisor = Supervisor(log)
    work = FailingWork(5)
    task = supervisor.start("watch", work.run)
    await asyncio.sleep(6.0)
    assert (work.starts, supervisor.failure_counts["watch"]) == (6, 5)
    assert [line["failures"] for line in log.lines] == [1, 2, 3, 4, 5]
    assert log.lines[0]["where"] == "watch"
    assert any("run" in frame for frame in log.lines[0]["trace"])
    assert supervisor.failing == {"watch": 5}
    await asyncio.sleep(SOUND_SECONDS)
    assert supervisor.failing == {}
    supervisor.close()
    with raises(asyncio.CancelledError):
        await task
    assert not supervisor.tasks


@with_virtual_time
async def test_task_that_always_fails_is_started_at_a_bounded_rate():
    supervisor = Supervisor(RecordingLog())
    work = FailingWork(10**6, RecursionError)
    supervisor.start("watch", work.run)
    await asyncio.sleep(100.0)
    assert 50 <= work.starts <= 60
    supervisor.close()


@with_virtual_time
async def test_task_is_not_ended_by_a_cancellation_of_what_it_awaits():
    supervisor = Supervisor(RecordingLog())
    work = FailingWork(1, asyncio.CancelledError)
    supervisor.start("watch", work.run)
    await asyncio.sleep(1.0)
    assert work.starts == 2
    supervisor.close()


@with_virtual_time
async def test_task_that_returns_is_not_started_again():
    supervisor = Supervisor(RecordingLog())
    starts = []

    async def work():
        starts.append(1)

    await supervisor.start("registration", work)
    await asyncio.sleep(10.0)
    assert len(starts) == 1
    assert not supervisor.tasks


@with_virtual_time
async def test_failure_of_an_adopted_task_is_logged_once():
    log = RecordingLog()
    supervisor = Supervisor(log)
    supervisor.adopt("quarantine", asyncio.create_task(FailingWork(1).run()))
    await asyncio.sleep(1.0)
    assert [line["where"] for line in log.lines] == ["quarantine"]


@with_virtual_time
async def test_failed_callbacks_and_forgotten_tasks_are_logged():
    log = RecordingLog()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(Supervisor(log).handle_loop_error)
    loop.call_later(0.1, {}.__getitem__, "missing")
    task = asyncio.create_task(FailingWork(1).run())
    await asyncio.sleep(1.0)
    del task
    gc.collect()
    assert [line["error"] for line in log.lines] == ["KeyError('missing')", "ValueError('broken')"]


def test_traceback_of_a_deep_recursion_is_short():
    def recurse():
        recurse()

    with raises(RecursionError) as caught:
        recurse()
    assert len(summarize_traceback(caught[0])) <= 5


class OneFailureHandler(NoOpHandler):
    """A handler that fails at the first change and keeps the names of a listing."""

    def __init__(self):
        self.failed = False
        self.names = set()

    def replace_all(self, objects, maybe_expired):
        self.names = {item.name for item in objects}

    def apply_change(self, item, object_status):
        if not self.failed:
            self.failed = True
            raise KeyError("handler")
        self.names.add(item.name)


class GrowingStore:
    """A store to which an object is added by each change."""

    def __init__(self):
        self.objects = []

    def add(self):
        number = len(self.objects) + 1
        self.objects.append(StoredObject(f"up-{number}", number, number, {}, None))
        return self.objects[-1]

    async def list_kind(self, kind):
        return Listing(list(self.objects), max(len(self.objects), 1))

    async def watch_kind(self, kind, revision, wait):
        await asyncio.sleep(0.2)
        if len(self.objects) > 3:
            return WatchResponse([], revision)
        first, second = self.add(), self.add()
        return WatchResponse([(first, False), (second, False)], second.revision)


@with_virtual_time
async def test_changes_are_not_lost_when_a_handler_fails():
    supervisor = Supervisor(RecordingLog())
    handler = OneFailureHandler()
    now = asyncio.get_running_loop().time
    watch = KindWatch(
        GrowingStore(),
        KindMirror("servers", handler, now),
        EventLog("d", now),
        random.Random(1),
        WatchTiming(2.0, 2.0),
        lambda: WatchRole(True, False, 0.0),
        lambda: None,
    )
    supervisor.start("watch", watch.run)
    await asyncio.sleep(10.0)
    assert handler.failed
    assert handler.names == {item.name for item in watch.store.objects}
    supervisor.close()


@run_in_real_time
async def test_daemon_goes_on_after_a_failure_in_its_exchange():
    async with open_world() as world:
        client = world.node.peer_client
        sound = client.start_period
        failures = [KeyError("one"), TypeError("two")]

        def fail_twice():
            if failures:
                raise failures.pop()
            sound()

        client.start_period = fail_twice
        period = client.period
        await world.wait_until(lambda: client.period > period)
        assert world.node.supervisor.failure_counts == {"exchange": 2}
        assert world.node.ready
        assert (await world.fetch("/look/1")).status == 200


@run_in_real_time
async def test_defect_in_a_message_closes_only_its_connection():
    async with open_world() as world:
        node = world.node
        address = f"127.0.0.1:{world.ports['internal']}"
        connection = PeerConnection(address)
        node.state_sync.handle_request = {}.__getitem__

        async def call(name, connection):
            await client.exchange_states(name, connection)

        client = node.peer_client
        client.connections["127.0.0.1:1"] = connection
        await client.run_call("other", "127.0.0.1:1", call)
        await client.run_call("other", "127.0.0.1:1", {}.__getitem__)
        assert node.supervisor.failure_counts == {"peer connection": 1, "peer call": 1}
        assert connection.writer is None


class BrokenStream:
    """A stream whose reader is gone at first."""

    def __init__(self):
        self.failures = 1
        self.text = ""

    def write(self, text):
        if self.failures:
            self.failures -= 1
            raise BrokenPipeError("no reader")
        self.text += text

    def flush(self):
        pass


def test_log_goes_on_after_a_line_that_could_not_be_written():
    stream = BrokenStream()
    writer = LineWriter(stream)
    for line in ("first", "second"):
        writer.queued_lines.append(line)
        writer.wake.set()
        deadline = time.monotonic() + 2.0
        while writer.queued_lines and time.monotonic() < deadline:
            time.sleep(0.01)
    writer.close()
    assert (stream.text, writer.dropped) == ("second\n", 1)
