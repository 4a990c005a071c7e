"""Concurrency limits of upstreams: the slots this daemon holds, and the ledgers that it owns."""

__all__ = ["Limiter"]

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import msgpack

from tanagertrail.core.context import NodeContext
from tanagertrail.core.demand import SlotDemand
from tanagertrail.core.members import MembershipManager
from tanagertrail.core.sharing import SHARED_PREFIX, SharedObjects
from tanagertrail.daemons.messages import Allotments, ColdNotice, ObjectRow, SlotReports
from tanagertrail.errors import ConflictError, StoreOutcomeUnknownError, StoreUnavailableError
from tanagertrail.model import Configuration, Upstream, iter_upstreams
from tanagertrail.policy.hashing import RendezvousTable, rank_by_hash
from tanagertrail.policy.leases import pick_shard
from tanagertrail.policy.ledger import Allotment, HolderReport, SlotLedger
from tanagertrail.policy.membership import build_holder, parse_daemon
from tanagertrail.policy.slots import SlotHolder, UpstreamCapacity, spread_demand

LEDGER_PREFIX = "ledger/"
LEDGER_SHARDS = 256
SMALL_FLEET_DAEMONS = 16  # up to this size every daemon may hold slots of every upstream
HOLDERS_PER_UPSTREAM = 4  # daemons that may hold slots of an upstream in a larger fleet
REPORT_REFRESH_SECONDS = 5.0
REQUEST_GAP_SECONDS = 0.02
ROSTER_PLACEHOLDER = "roster"  # unknown holder that blocks a ledger until the roster is read


class LedgerRecord(NamedTuple):
    """The owner of a shard's ledgers, with an epoch that rises with each change of owner."""

    owner: str
    incarnation: int
    epoch: int


ServiceVersion = tuple[str, str]  # names of a service and of one of its versions


class Limiter:
    """Holds this daemon's slots and the ledgers of the shards of upstreams that it owns.

    The owner of a shard allots the slots of its upstreams to daemons by their reports.

    :ivar active_upstreams: upstreams with slots held or demanded here, or with a report due
    :ivar roster_pending: claimed shards for which the roster has not been read yet
    :ivar accepts_work: returns whether an upstream may be sent new work
    :ivar on_slots_changed: called with the name of an upstream whose slots changed
    :ivar on_upstream_cold: called with the name of an upstream that turned cold
    """

    def __init__(
        self, context: NodeContext, shared: SharedObjects, members: MembershipManager
    ) -> None:
        self.context = context
        self.shared = shared
        self.members = members
        self.slot_holder = SlotHolder(context.holder)
        self.ledgers: dict[str, SlotLedger] = {}
        self.shard_records: dict[int, LedgerRecord] = {}
        self.shard_versions: dict[int, int] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.version_by_upstream: dict[str, ServiceVersion] = {}
        self.version_upstreams: dict[ServiceVersion, list[str]] = {}
        self.holder_table = RendezvousTable(HOLDERS_PER_UPSTREAM)
        self.active_upstreams: set[str] = set()
        self.roster_pending: set[int] = set()
        self.shards: dict[str, int] = {}
        self.shard_upstreams: dict[int, list[str]] = {}
        self.record_revisions: dict[int, int] = {}
        self.demands: dict[ServiceVersion, SlotDemand] = defaultdict(SlotDemand)
        self.last_reports: dict[str, tuple[float, tuple]] = {}
        self.requested_at: dict[ServiceVersion, float] = {}
        self.excluded_upstreams: set[str] = set()
        self.accepts_work: Callable[[str], bool] = lambda upstream: True
        self.on_slots_changed: Callable[[str], None] = lambda upstream: None
        self.on_upstream_cold: Callable[[str], None] = lambda upstream: None
        shared.subscribe(LEDGER_PREFIX, self.apply_record)
        members.gone_listeners.append(self.remove_holder)
        members.registration_listeners.append(self.add_unknown_holder)
        context.register_handler(SlotReports, self.receive_reports)
        context.register_handler(Allotments, self.receive_allotments)
        context.register_handler(ColdNotice, self.receive_cold)

    def configure(self, configuration: Configuration) -> None:
        """Apply the upstreams and limits of a configuration."""
        self.slot_holder.holder = self.context.holder
        present: dict[str, Upstream] = {}
        self.version_upstreams = defaultdict(list)
        for service_name, service in configuration.services.items():
            for version_name, upstream in iter_upstreams(service):
                present[upstream.name] = upstream
                service_version = (service_name, version_name)
                self.version_by_upstream[upstream.name] = service_version
                self.version_upstreams[service_version].append(upstream.name)
                self.holder_table.add_key(upstream.name)
        for name in set(self.upstreams) - set(present):
            self.slot_holder.remove_upstream(name)
            self.holder_table.remove_key(name)
            self.shards.pop(name, None)
            self.ledgers.pop(name, None)
        self.upstreams = present
        self.shard_upstreams = defaultdict(list)
        for name in present:
            self.shard_upstreams[self.find_shard(name)].append(name)
        for name, upstream in present.items():
            entry = self.slot_holder.add_upstream(name, upstream.slots, upstream.cold_slots)
            record = self.shard_records.get(self.find_shard(name))
            if record is not None:
                entry.epoch = max(entry.epoch, record.epoch)
                self.ensure_ledger(name, record)
            self.resize_ledger(upstream)

    def find_shard(self, upstream: str) -> int:
        """Return the ledger shard of an upstream."""
        shard = self.shards.get(upstream)
        if shard is None:
            shard = self.shards[upstream] = pick_shard(upstream, LEDGER_SHARDS)
        return shard

    def resize_ledger(self, upstream: Upstream) -> None:
        """Apply the configured limits to the upstream's ledger, if this daemon owns it."""
        ledger = self.ledgers.get(upstream.name)
        if ledger is not None and (ledger.slots, ledger.cold_slots) != (
            upstream.slots,
            upstream.cold_slots,
        ):
            self.send_allotments(ledger.resize(upstream.slots, upstream.cold_slots))

    def is_own_record(self, record: LedgerRecord) -> bool:
        """Return whether a record names this incarnation as the owner."""
        own_incarnation = (self.context.daemon, self.context.incarnation)
        return (record.owner, record.incarnation) == own_incarnation

    def apply_record(self, row: ObjectRow) -> None:
        """Apply a shard's record: bind to its epoch, and open its ledgers if it is owned here."""
        if row.deleted:
            return
        shard = int(row.key.rpartition("/")[2])
        record = LedgerRecord._make(msgpack.unpackb(row.value))
        self.shard_records[shard] = record
        self.shard_versions[shard] = row.version
        self.record_revisions[shard] = row.revision
        names = self.shard_upstreams.get(shard, [])
        for name in names:
            self.slot_holder.bind_epoch(name, record.epoch)
            if self.is_own_record(record):
                self.ensure_ledger(name, record)
            else:
                self.ledgers.pop(name, None)
        self.send_reports(names)

    def ensure_ledger(self, name: str, record: LedgerRecord) -> None:
        """Open the ledger of an upstream, unless it is open for this epoch or owned elsewhere."""
        ledger = self.ledgers.get(name)
        if not self.is_own_record(record) or (ledger is not None and ledger.epoch == record.epoch):
            return
        upstream = self.upstreams[name]
        unknown = [member.holder for member in self.members.membership.members.values()]
        if self.find_shard(name) in self.roster_pending:
            unknown.append(ROSTER_PLACEHOLDER)
        self.ledgers[name] = SlotLedger(
            name, upstream.slots, upstream.cold_slots, record.epoch, unknown
        )
        self.context.recorder.record("ledger_opened", upstream=name, detail=str(record.epoch))

    def add_unknown_holder(self, holder: str, revision: int) -> None:
        """Block ledgers that were opened after a holder registered, until it has reported."""
        for name, ledger in self.ledgers.items():
            opened_revision = self.record_revisions.get(self.find_shard(name), 0)
            if revision < opened_revision and holder not in ledger.entries:
                ledger.unknown.add(holder)

    async def claim_shards(self) -> None:
        """Claim the shards that have no live owner and for which this daemon ranks first.

        The roster is read after the records are written, so that a daemon that is missing from
        it will read these epochs or later ones before it uses a slot.
        """
        live = [member.daemon for member in self.members.membership.list_serving()]
        self.holder_table.update(live)
        if self.context.daemon not in live:
            return
        for shard in self.find_unowned_shards(live):
            await self.claim_shard(shard)
        if self.roster_pending:
            await self.read_roster()

    async def read_roster(self) -> None:
        """Load the registered daemons and unblock the ledgers of the shards claimed before."""
        claimed = set(self.roster_pending)
        await self.shared.load()
        self.roster_pending -= claimed
        for name, ledger in self.ledgers.items():
            if self.find_shard(name) in claimed:
                ledger.unknown.discard(ROSTER_PLACEHOLDER)
                self.send_allotments(list(ledger.rebalance()))

    def find_unowned_shards(self, live: list[str]) -> list[int]:
        """Return the shards without a live owner for which this daemon ranks first."""
        present = set(live)
        unowned = [s for s in self.shard_upstreams if not self.has_live_owner(s, present)]
        daemon = self.context.daemon
        return [s for s in unowned if rank_by_hash(f"ledger/{s}", live)[0] == daemon]

    def has_live_owner(self, shard: int, live: Collection[str]) -> bool:
        """Return whether the recorded owner of a shard is live in the recorded incarnation."""
        record = self.shard_records.get(shard)
        if record is None or record.owner not in live:
            return False
        holder = build_holder(record.owner, record.incarnation)
        return self.members.membership.is_current(holder)

    async def claim_shard(self, shard: int) -> None:
        """Write a record that makes this daemon the owner of a shard in the next epoch."""
        previous = self.shard_records.get(shard)
        epoch = previous.epoch + 1 if previous else 1
        record = LedgerRecord(self.context.daemon, self.context.incarnation, epoch)
        key = f"{LEDGER_PREFIX}{shard:03d}"
        value = msgpack.packb(list(record))
        self.roster_pending.add(shard)
        try:
            await self.context.store.put(
                SHARED_PREFIX + key, value, self.shard_versions.get(shard, 0)
            )
        except StoreOutcomeUnknownError:
            return  # the record may be stored, so the shard stays pending
        except ConflictError:
            self.roster_pending.discard(shard)
            await self.shared.read(key)
        except StoreUnavailableError:
            self.roster_pending.discard(shard)
            raise

    def remove_holder(self, holder: str) -> None:
        """Free the slots of a holder that is known to be gone."""
        for ledger in self.ledgers.values():
            self.send_allotments(ledger.remove_holder(holder))

    def may_hold(self, upstream: str) -> bool:
        """Return whether this daemon may hold slots of an upstream; in a large fleet few may."""
        if len(self.holder_table.candidates) <= SMALL_FLEET_DAEMONS:
            return True
        return self.holder_table.is_chosen(upstream, self.context.daemon)

    def update_upstream_demands(self, service_version: ServiceVersion) -> list[str]:
        """Spread a version's demand over its upstreams; return those whose demand changed."""
        needed_slots = self.demands[service_version].compute_needed_slots(self.context.now())
        names = self.version_upstreams.get(service_version, [])
        held_names = [name for name in names if name in self.slot_holder.held]
        chosen = [name for name in held_names if self.accepts_work(name) and self.may_hold(name)]
        ordered = rank_by_hash(self.context.daemon, chosen)
        capacities = [
            UpstreamCapacity(n, self.slot_holder.held[n].block + self.slot_holder.held[n].free_hint)
            for n in ordered
        ]
        demand_by_upstream = spread_demand(needed_slots, capacities)
        changed = []
        for name in held_names:
            entry = self.slot_holder.held[name]
            if entry.demand != demand_by_upstream.get(name, 0):
                entry.demand = demand_by_upstream.get(name, 0)
                self.active_upstreams.add(name)
                changed.append(name)
        return changed

    def request_slots(self, service_version: ServiceVersion) -> None:
        """Report a version's unmet demand now, at most once per ``REQUEST_GAP_SECONDS``."""
        now = self.context.now()
        if now - self.requested_at.get(service_version, -REQUEST_GAP_SECONDS) < REQUEST_GAP_SECONDS:
            return
        self.requested_at[service_version] = now
        self.send_reports(self.update_upstream_demands(service_version))

    async def send_due_reports(self) -> None:
        """Send the reports that are due: changes at once, active upstreams also periodically."""
        for service_version in list(self.demands):
            self.update_upstream_demands(service_version)
        self.active_upstreams = {name for name in self.active_upstreams if self.is_active(name)}
        self.send_reports([name for name in self.active_upstreams if self.is_report_due(name)])

    def is_active(self, name: str) -> bool:
        """Return whether slots of an upstream are held or demanded, or a report on it is due."""
        entry = self.slot_holder.held.get(name)
        if entry is None:
            return False
        return bool(entry.held or entry.demand) or self.is_report_due(name)

    def is_report_due(self, name: str) -> bool:
        """Return whether the owner of an upstream's ledger needs a new report."""
        entry = self.slot_holder.held[name]
        state = self.get_report_state(name)
        reported_at, last_state = self.last_reports.get(name, (float("-inf"), ()))
        if state != last_state:
            return True
        active = entry.held or entry.demand
        return bool(active) and self.context.now() - reported_at > REPORT_REFRESH_SECONDS

    def get_report_state(self, name: str) -> tuple:
        """Return the values whose change makes a new report due."""
        entry = self.slot_holder.held[name]
        over_allotment = max(entry.in_flight - entry.block, 0)
        has_evidence = bool(entry.good or entry.slow) and entry.bound < entry.slots
        return (
            entry.epoch,
            entry.sequence,
            entry.block,
            over_allotment,
            entry.demand,
            entry.cold_starts,
            has_evidence,
        )

    def send_reports(self, names: Iterable[str]) -> None:
        """Report on some upstreams to the owners of their ledgers, in one message per owner."""
        batches: dict[str, list[tuple]] = defaultdict(list)
        for name in names:
            record = self.shard_records.get(self.find_shard(name))
            if record is None or name not in self.slot_holder.held:
                continue
            report = self.slot_holder.build_report(name)
            self.last_reports[name] = (self.context.now(), self.get_report_state(name))
            batches[record.owner].append(tuple(report))
        for owner, rows in batches.items():
            self.context.send(owner, SlotReports(tuple(rows)))

    def receive_reports(self, sender: str, message: SlotReports) -> None:
        """Enter holders' reports into this daemon's ledgers and send the resulting allotments."""
        allotments: list[tuple[str, Allotment]] = []
        for row in message.rows:
            report = HolderReport._make(row)
            ledger = self.ledgers.get(report.upstream)
            if ledger is not None and self.members.membership.is_current(report.holder):
                allotments.extend(ledger.take_report(report))
        self.send_allotments(allotments)

    def send_allotments(self, allotments: Iterable[tuple[str, Allotment]]) -> None:
        """Send allotments, in one message per holder."""
        batches: dict[str, list[tuple]] = defaultdict(list)
        for holder, allotment in allotments:
            batches[holder].append(tuple(allotment))
        for holder, rows in batches.items():
            self.context.send(parse_daemon(holder), Allotments(tuple(rows)))

    def receive_allotments(self, sender: str, message: Allotments) -> None:
        """Apply allotments, and acknowledge the changes by reports."""
        changed = []
        for row in message.rows:
            allotment = Allotment._make(row)
            if self.slot_holder.apply_allotment(allotment):
                changed.append(allotment.upstream)
                self.active_upstreams.add(allotment.upstream)
        for name in changed:
            self.on_slots_changed(name)
        self.send_reports(changed)

    def announce_cold(self, upstream: str) -> None:
        """Tell every daemon that an upstream has turned cold, unless it is limited as cold."""
        entry = self.slot_holder.held.get(upstream)
        if entry is None or entry.bound <= entry.cold_slots:
            return
        notice = ColdNotice(upstream, entry.cold_starts + 1)
        self.context.recorder.record("upstream_cold", upstream=upstream)
        self.receive_cold(self.context.daemon, notice)
        self.context.flood(notice)

    def receive_cold(self, sender: str, notice: ColdNotice) -> None:
        """Reduce the usable slots of an upstream that has turned cold."""
        if not self.slot_holder.note_cold(notice.upstream, notice.cold_starts):
            return
        self.send_reports([notice.upstream])
        self.on_upstream_cold(notice.upstream)

    def release_unused(self) -> None:
        """Return all slots that are not in use, before this daemon exits."""
        for entry in self.slot_holder.held.values():
            entry.block = entry.demand = 0
        self.send_reports(list(self.active_upstreams))

    def acquire(self, upstream: str) -> bool:
        """Acquire a slot of an upstream, and return whether one was available."""
        return self.slot_holder.acquire(upstream)

    def release(self, upstream: str, slow: bool | None) -> None:
        """Release a slot, counting whether the request was as slow as on a cold upstream."""
        entry = self.slot_holder.held[upstream]
        self.slot_holder.release(upstream)
        if slow is True:
            entry.slow += 1
        elif slow is False:
            entry.good += 1
        if entry.in_flight == 0 and upstream not in self.upstreams:
            self.slot_holder.remove_upstream(upstream)
