"""Rollout orders that an operator replaces by others in the same entry."""

import asyncio
from types import SimpleNamespace

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, UpstreamAttempt
from tanagertrail.gateway.mirror import ObjectStatus
from tanagertrail.gateway.model import Upstream
from tanagertrail.gateway.rollout_handler import RolloutHandler
from tanagertrail.gateway.rollout_reports import RolloutReporter
from tanagertrail.gateway.trials import RolloutTrials
from tanagertrail.outcomes import Step
from tanagertrail.platform.store import StoredObject
from tanagertrail.policy.canary import DECISION_MARGIN_SECONDS, TrialCounts, VersionUse
from tanagertrail.standins.documents import BOUNDS
from tests.gateway_utils import open_fleet, run_in_real_time
from tests.utils import with_virtual_time

SECONDS = 12.0
LEGACY_COMPLETED = {"state": "completed", "target": "v2"}


class OrderWorld:
    """The entry of a service's rollout, one daemon that follows it and the lease holder's reports.

    :ivar revision: revision of the stored entry, None if there is none
    :ivar results: results that the trials of all daemons show, by order
    """

    def __init__(self, *versions):
        self.view = ClusterView(BOUNDS, lambda: 0.0)
        log = EventLog("entry-1", asyncio.get_running_loop().time)
        self.handler = RolloutHandler(self.view, log)
        self.trials = RolloutTrials(self.view)
        self.results = {}
        self.reporter = RolloutReporter(
            self.view, self, log, self.get_counts, lambda service: len(versions)
        )
        self.revision, self.status, self.spec = 100, None, None
        for number, version in enumerate(versions):
            self.register(f"up-{number}", version)

    def register(self, name, version):
        record = Upstream(name, "desk", "h:1", "north", version, 8, False, 0.0, 1.0, False, None)
        self.view.upstreams.put(record, asyncio.get_running_loop().time())

    def get_counts(self, service, order_id):
        return self.results.get(order_id, TrialCounts())

    def get_item(self):
        return StoredObject("desk", self.revision, 100, self.spec, self.status)

    def order(self, version, seconds=SECONDS, told=True):
        """Write an order; without ``told`` the daemon sees only what comes after it."""
        spec = {"service": "desk", "target": version, "duration_s": seconds}
        if spec == self.spec:
            return  # a PUT that changes nothing
        self.revision += 7
        self.spec = spec
        if told:
            self.tell()

    def tell(self):
        self.handler.apply_change(self.get_item(), ObjectStatus.PRESENT)

    async def set_status(self, kind, name, status, revision):
        """Store a report as the store does; one for an older revision changes nothing."""
        if revision == self.revision:
            self.revision += 3
            self.status = status

    async def report(self):
        """Let the lease holder report, and show the entry to the daemon."""
        await self.reporter.update(self.view.rollouts["desk"])
        self.tell()
        return self.view.rollouts["desk"].state

    def list_uses(self, *versions):
        return [self.trials.get_version_use("desk", version) for version in versions]

    async def complete(self, version):
        """Let a rollout run and be completed."""
        self.order(version)
        await self.report()
        self.results[self.view.rollouts["desk"].order_id] = TrialCounts(40, 0, 400, 0)
        await asyncio.sleep(SECONDS)
        assert await self.report() == "completed"


ALLOWED, BUDGETED, FORBIDDEN = VersionUse.ALLOWED, VersionUse.BUDGETED, VersionUse.FORBIDDEN


@run_in_real_time
async def test_second_rollout_is_ended_by_the_time_and_the_counts_of_the_first():
    """Violated EXPOSURE: a bad version was completed half a second after its order."""
    async with open_fleet("entry-2", "entry-3") as fleet:
        entries = fleet.store.objects.setdefault("rollouts", {})

        def order(version, seconds):
            spec = {"service": "desk", "target": version, "duration_s": seconds}
            fleet.store.put("rollouts", "desk", spec)

        async def wait_for_end(version):
            async with asyncio.timeout(15.0):
                while (entries["desk"]["status"] or {}).get("target") != version or (
                    entries["desk"]["status"]["state"] == "running"
                ):
                    await asyncio.sleep(0.02)

        order("v2", 4.0)
        await wait_for_end("v2")
        order("v3", 4.0)
        ordered_at = asyncio.get_running_loop().time()
        await wait_for_end("v3")
        elapsed = asyncio.get_running_loop().time() - ordered_at
        assert elapsed > 4.0 - DECISION_MARGIN_SECONDS - 0.1, "it was decided on the first order"
        views = [node.cluster_view for node in fleet.nodes]
        await fleet.wait_until(lambda: all(view.rollouts["desk"].version == "v3" for view in views))
        known = {order_id for node in fleet.nodes for _, order_id, _ in list_trials(node)}
        assert len(known) == 1, "the daemons know the order by different numbers"


def list_trials(node):
    """Return the encoded trials of a daemon, whose current one is begun if there is none."""
    node.dispatcher.trials.get_trial("desk")
    return node.dispatcher.trials.encode()


@with_virtual_time
async def test_counts_of_another_order_decide():
    world = OrderWorld("v1", "v2")
    await world.complete("v2")
    world.register("up-new", "v3")
    first = world.view.rollouts["desk"].order_id
    world.order("v3")
    assert world.view.rollouts["desk"].order_id not in (first, 100)
    assert world.trials.get_trial("desk").counts == TrialCounts()
    for _ in range(20):
        assert await world.report() == "running"
        await asyncio.sleep(0.5)
    await asyncio.sleep(SECONDS)
    assert await world.report() == "rolled_back", "there were no results of this order"
    assert world.list_uses("v2", "v3") == [ALLOWED, FORBIDDEN]


@with_virtual_time
async def test_daemon_that_sees_only_the_last_change_knows_another_order():
    world, late = OrderWorld("v1", "v2"), OrderWorld("v1", "v2", "v3")
    world.order("v2")
    await world.report()
    world.register("up-new", "v3")
    world.order("v3", told=False)
    world.order("v3", 15.0)
    await world.report()
    late.handler.apply_change(world.get_item(), ObjectStatus.PRESENT)
    assert late.view.rollouts["desk"].order_id == world.view.rollouts["desk"].order_id
    assert late.list_uses("v1", "v2", "v3") == [ALLOWED, FORBIDDEN, BUDGETED]


@with_virtual_time
async def test_report_for_the_order_before_counts_for_the_new_one():
    """The entry has the new target beside the state of the former one, in one change."""
    world = OrderWorld("v1", "v2", "v3")
    world.order("v2", told=False)
    world.status = {"state": "rolled_back", "target": "v2"}
    world.order("v3")
    assert not world.view.rollouts["desk"].ended
    assert world.list_uses("v1", "v2", "v3") == [ALLOWED, FORBIDDEN, BUDGETED]
    stale = world.view.rollouts["desk"]
    world.order("v3", 20.0, told=False)
    await world.reporter.update(stale)
    assert world.status == {"state": "rolled_back", "target": "v2"}


@with_virtual_time
async def test_same_target_with_another_duration_goes_on_with_the_former_trial():
    world = OrderWorld("v1", "v2")
    world.order("v2")
    await world.report()
    first = world.view.rollouts["desk"].order_id
    world.results[first] = TrialCounts(40, 0, 400, 0)
    await asyncio.sleep(9.0)
    world.order("v2", 15.0)
    assert world.view.rollouts["desk"].order_id != first
    assert await world.report() == "running"
    await asyncio.sleep(6.0)
    assert await world.report() == "running", "the time ran from the former order"


@with_virtual_time
async def test_version_that_was_rolled_back_is_never_tried_again():
    world = OrderWorld("v1", "v2")
    world.order("v2")
    await world.report()
    world.results[world.view.rollouts["desk"].order_id] = TrialCounts(40, 20, 400, 0)
    assert await world.report() == "rolled_back"
    world.order("v2", 15.0)
    assert world.list_uses("v1", "v2") == [ALLOWED, BUDGETED]
    assert await world.report() == "running"


@with_virtual_time
async def test_version_that_has_all_requests_is_put_on_trial_by_a_second_order():
    world = OrderWorld("v1", "v2")
    await world.complete("v2")
    world.order("v2", 15.0)
    assert await world.report() == "completed"
    assert world.list_uses("v2") == [ALLOWED]


@with_virtual_time
async def test_return_to_the_old_version_exposes_the_one_on_trial():
    """The version in service got the budget of a new one, and the unproven one the rest."""
    world, late = OrderWorld("v1", "v2"), OrderWorld("v1", "v2")
    world.order("v2")
    await world.report()
    world.order("v1")
    late.handler.apply_change(world.get_item(), ObjectStatus.PRESENT)
    for follower in (world, late):
        assert follower.list_uses("v1", "v2") == [ALLOWED, FORBIDDEN]
        assert follower.view.is_on_trial("desk", "v2")
        assert not follower.view.is_on_trial("desk", "v1")
    assert await world.report() == "running"
    await asyncio.sleep(BOUNDS.drain)
    assert await world.report() == "completed"


@with_virtual_time
async def test_first_order_for_the_version_in_service_refuses_its_requests():
    world = OrderWorld("v1")
    await asyncio.sleep(1.0)
    world.order("v1")
    await world.report()
    assert world.list_uses("v1") == [ALLOWED]


@with_virtual_time
async def test_removed_order_exposes_its_version():
    world = OrderWorld("v1", "v2")
    world.order("v2")
    await world.report()
    world.handler.apply_change(world.get_item(), ObjectStatus.REMOVED)
    assert world.list_uses("v1", "v2") == [ALLOWED, FORBIDDEN]
    world.view.upstreams.remove("up-0")
    assert world.list_uses("v2") == [ALLOWED], "no other version is there"


@with_virtual_time
async def test_change_of_finalizers_begins_the_order_again():
    world = OrderWorld("v1", "v2")
    world.order("v2")
    first = world.view.rollouts["desk"].order_id
    for _ in range(2):
        world.revision += 1
        world.tell()
        assert world.view.rollouts["desk"].order_id == first
        await world.report()


@with_virtual_time
async def test_report_of_an_older_release_is_not_taken_for_the_order():
    world = OrderWorld("v1", "v2", "v3")
    world.order("v2", told=False)
    world.status = LEGACY_COMPLETED
    world.tell()
    assert world.view.rollouts["desk"].order_id == 100
    assert world.list_uses("v1", "v2") == [FORBIDDEN, ALLOWED]
    world.order("v3")
    assert world.list_uses("v2", "v3") == [ALLOWED, BUDGETED]


@with_virtual_time
async def test_restored_store_begins_the_order_again():
    world = OrderWorld("v1", "v2")
    world.order("v2")
    older = world.get_item()
    await world.report()
    order = world.view.rollouts["desk"]
    world.handler.replace_restored([older._replace(revision=10**12 + 105)])
    kept = world.view.rollouts["desk"]
    assert (kept.order_id, kept.state, kept.is_report_lost) == (order.order_id, "running", True)


@with_virtual_time
async def test_results_of_requests_from_before_the_order_count_for_it():
    world = OrderWorld("v1", "v2")
    await asyncio.sleep(5.0)
    now = asyncio.get_running_loop().time()
    world.order("v2")
    exchange = SimpleNamespace(
        service="desk",
        route=SimpleNamespace(name="talk", streamed=False),
        sent_at=now - 1.0,
        first_byte_at=now,
        splitter=SimpleNamespace(events=0),
        continues=False,
    )
    failed = UpstreamAttempt(AttemptResult.FAILED, Step.END, "up-1")
    for version in ("v1", "v2"):
        world.trials.note_result(exchange, version, failed)
    trial = world.trials.get_trial("desk")
    assert trial.counts == TrialCounts()
    assert trial.pending_results == []
    exchange.sent_at = now
    world.trials.note_result(exchange, "v2", failed)
    assert trial.counts.new_bad == 1
