"""Upstream limits on one daemon: its slots, and the ledgers that it keeps for others."""

__all__ = ["Limiter"]

from collections import defaultdict
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

import msgpack

from tanagertrail.core.context import NodeContext
from tanagertrail.core.demand import GroupDemand
from tanagertrail.core.members import MembershipManager
from tanagertrail.core.sharing import SHARED_PREFIX, SharedObjects
from tanagertrail.daemons.messages import Allotments, ColdNotice, ObjectRow, SlotReports
from tanagertrail.errors import ConflictError, StoreUnavailableError, StoreUnknownError
from tanagertrail.model import Configuration, Upstream, iter_upstreams
from tanagertrail.policy.hashing import RendezvousTable, rank_by_hash
from tanagertrail.policy.leases import pick_shard
from tanagertrail.policy.ledger import Allotment, HolderReport, SlotLedger
from tanagertrail.policy.membership import build_holder, parse_daemon
from tanagertrail.policy.slots import SlotHolder, UpstreamCapacity, spread_demand

LEDGER_PREFIX = "ledger/"
LEDGER_SHARDS = 256
SMALL_FLEET = 16
HOLDERS_PER_UPSTREAM = 4
REFRESH_SECONDS = 5.0
URGENT_SECONDS = 0.02
ROSTER_MARK = "roster"


class LedgerRecord(NamedTuple):
    """Which daemon keeps the ledgers of a shard."""

    keeper: str
    incarnation: int
    epoch: int


Group = tuple[str, str]


class Limiter:
    """Hold this daemon's slots and keep the ledgers of its shards.

    :ivar is_open: says whether an upstream may take new work
    :ivar on_slots: called with the name of an upstream whose slots changed
    :ivar on_cold: called with the name of an upstream that turned cold
    """

    def __init__(
        self, context: NodeContext, shared: SharedObjects, members: MembershipManager
    ) -> None:
        self.context = context
        self.shared = shared
        self.members = members
        self.slot_holder = SlotHolder(context.holder)
        self.ledgers: dict[str, SlotLedger] = {}
        self.records: dict[int, LedgerRecord] = {}
        self.versions: dict[int, int] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.groups: dict[str, Group] = {}
        self.group_upstreams: dict[Group, list[str]] = {}
        self.holders = RendezvousTable(HOLDERS_PER_UPSTREAM)
        self.active: set[str] = set()
        self.unread: set[int] = set()
        self.shards: dict[str, int] = {}
        self.shard_upstreams: dict[int, list[str]] = {}
        self.record_revisions: dict[int, int] = {}
        self.demands: dict[Group, GroupDemand] = defaultdict(GroupDemand)
        self.last_reports: dict[str, tuple[float, tuple]] = {}
        self.urgent_at: dict[Group, float] = {}
        self.excluded_upstreams: set[str] = set()
        self.is_open: Callable[[str], bool] = lambda upstream: True
        self.on_slots: Callable[[str], None] = lambda upstream: None
        self.on_cold: Callable[[str], None] = lambda upstream: None
        shared.subscribe(LEDGER_PREFIX, self.take_record)
        members.gone_listeners.append(self.remove_holder)
        members.registration_listeners.append(self.add_unknown)
        context.register_handler(SlotReports, self.receive_reports)
        context.register_handler(Allotments, self.receive_allotments)
        context.register_handler(ColdNotice, self.receive_cold)

    def configure(self, configuration: Configuration) -> None:
        """Take the upstreams of a configuration."""
        self.slot_holder.holder = self.context.holder
        present: dict[str, Upstream] = {}
        self.group_upstreams = defaultdict(list)
        for service_name, service in configuration.services.items():
            for version_name, upstream in iter_upstreams(service):
                present[upstream.name] = upstream
                group = (service_name, version_name)
                self.groups[upstream.name] = group
                self.group_upstreams[group].append(upstream.name)
                self.holders.add_key(upstream.name)
        for name in set(self.upstreams) - set(present):
            self.slot_holder.remove_upstream(name)
            self.holders.remove_key(name)
            self.shards.pop(name, None)
            self.ledgers.pop(name, None)
        self.upstreams = present
        self.shard_upstreams = defaultdict(list)
        for name in present:
            self.shard_upstreams[self.find_shard(name)].append(name)
        for name, upstream in present.items():
            entry = self.slot_holder.add_upstream(name, upstream.slots, upstream.cold_slots)
            record = self.records.get(self.find_shard(name))
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
        """Give a kept ledger the limits of the configuration."""
        ledger = self.ledgers.get(upstream.name)
        if ledger is not None and (ledger.slots, ledger.cold_slots) != (
            upstream.slots,
            upstream.cold_slots,
        ):
            self.send_allotments(ledger.resize(upstream.slots, upstream.cold_slots))

    def is_keeper(self, record: LedgerRecord) -> bool:
        """Say whether a record names this incarnation."""
        own = (self.context.daemon, self.context.incarnation)
        return (record.keeper, record.incarnation) == own

    def take_record(self, row: ObjectRow) -> None:
        """Take a shard's record: bind to its epoch, and keep its ledgers if they are ours."""
        if row.deleted:
            return
        shard = int(row.key.rpartition("/")[2])
        record = LedgerRecord._make(msgpack.unpackb(row.value))
        self.records[shard] = record
        self.versions[shard] = row.version
        self.record_revisions[shard] = row.revision
        names = self.shard_upstreams.get(shard, [])
        for name in names:
            self.slot_holder.bind_epoch(name, record.epoch)
            if self.is_keeper(record):
                self.ensure_ledger(name, record)
            else:
                self.ledgers.pop(name, None)
        self.send_reports(names)

    def ensure_ledger(self, name: str, record: LedgerRecord) -> None:
        """Open the ledger of an upstream for a tenure of this daemon."""
        known = self.ledgers.get(name)
        if not self.is_keeper(record) or (known is not None and known.epoch == record.epoch):
            return
        upstream = self.upstreams[name]
        unknown = [member.holder for member in self.members.membership.members.values()]
        if self.find_shard(name) in self.unread:
            unknown.append(ROSTER_MARK)
        self.ledgers[name] = SlotLedger(
            name, upstream.slots, upstream.cold_slots, record.epoch, unknown
        )
        self.context.recorder.record("ledger_opened", upstream=name, detail=str(record.epoch))

    def add_unknown(self, holder: str, revision: int) -> None:
        """Wait for the report of a daemon that registered before a kept ledger was opened."""
        for name, ledger in self.ledgers.items():
            opened = self.record_revisions.get(self.find_shard(name), 0)
            if revision < opened and holder not in ledger.entries:
                ledger.unknown.add(holder)

    async def claim_shards(self) -> None:
        """Claim the shards that have no live keeper and for which this daemon comes first.

        The roster is read after the records are written, so that a daemon that is missing from
        it will read these epochs or later ones before it uses a slot.
        """
        live = [member.daemon for member in self.members.membership.list_serving()]
        self.holders.update(live)
        if self.context.daemon not in live:
            return
        for shard in self.find_unkept(live):
            await self.claim_shard(shard)
        if self.unread:
            await self.read_roster()

    async def read_roster(self) -> None:
        """Read the roster, after which the ledgers of claimed shards know all holders."""
        claimed = set(self.unread)
        await self.shared.load()
        self.unread -= claimed
        for name, ledger in self.ledgers.items():
            if self.find_shard(name) in claimed:
                ledger.unknown.discard(ROSTER_MARK)
                self.send_allotments(list(ledger.rebalance()))

    def find_unkept(self, live: list[str]) -> list[int]:
        """Return the shards without a live keeper for which this daemon comes first."""
        present = set(live)
        unkept = [s for s in self.shard_upstreams if not self.has_live_keeper(s, present)]
        own = self.context.daemon
        return [s for s in unkept if rank_by_hash(f"ledger/{s}", live)[0] == own]

    def has_live_keeper(self, shard: int, live: Collection[str]) -> bool:
        """Say whether a shard's recorded keeper is among the live daemons."""
        record = self.records.get(shard)
        if record is None or record.keeper not in live:
            return False
        holder = build_holder(record.keeper, record.incarnation)
        return self.members.membership.is_current(holder)

    async def claim_shard(self, shard: int) -> None:
        """Record this daemon as keeper under the next epoch."""
        old = self.records.get(shard)
        epoch = old.epoch + 1 if old else 1
        record = LedgerRecord(self.context.daemon, self.context.incarnation, epoch)
        key = f"{LEDGER_PREFIX}{shard:03d}"
        value = msgpack.packb(list(record))
        self.unread.add(shard)
        try:
            await self.context.store.put(SHARED_PREFIX + key, value, self.versions.get(shard, 0))
        except StoreUnknownError:
            return
        except ConflictError:
            self.unread.discard(shard)
            await self.shared.read(key)
        except StoreUnavailableError:
            self.unread.discard(shard)
            raise

    def remove_holder(self, holder: str) -> None:
        """Free what a daemon held that will never act again."""
        for ledger in self.ledgers.values():
            self.send_allotments(ledger.remove_holder(holder))

    def is_holder(self, upstream: str) -> bool:
        """Say whether this daemon uses an upstream: all do in a small fleet, else a few."""
        if len(self.holders.candidates) <= SMALL_FLEET:
            return True
        return self.holders.is_chosen(upstream, self.context.daemon)

    def update_wants(self, group: Group) -> list[str]:
        """Spread a group's demand over its upstreams; return those whose want changed."""
        need = self.demands[group].compute_need(self.context.now())
        names = self.group_upstreams.get(group, [])
        usable = [name for name in names if name in self.slot_holder.held]
        chosen = [name for name in usable if self.is_open(name) and self.is_holder(name)]
        ordered = rank_by_hash(self.context.daemon, chosen)
        lines = [
            UpstreamCapacity(
                name, self.slot_holder.held[name].block + self.slot_holder.held[name].free_hint
            )
            for name in ordered
        ]
        wants = spread_demand(need, lines)
        changed = []
        for name in usable:
            entry = self.slot_holder.held[name]
            if entry.demand != wants.get(name, 0):
                entry.demand = wants.get(name, 0)
                self.active.add(name)
                changed.append(name)
        return changed

    def ask_urgently(self, group: Group) -> None:
        """Report a demand at once that the held slots do not meet."""
        now = self.context.now()
        if now - self.urgent_at.get(group, -URGENT_SECONDS) < URGENT_SECONDS:
            return
        self.urgent_at[group] = now
        self.send_reports(self.update_wants(group))

    async def send_due_reports(self) -> None:
        """Report what changed since the last report, and everything now and then."""
        for group in list(self.demands):
            self.update_wants(group)
        self.active = {name for name in self.active if self.is_active(name)}
        self.send_reports([name for name in self.active if self.is_report_due(name)])

    def is_active(self, name: str) -> bool:
        """Say whether this daemon holds or wants slots, or has more to say."""
        entry = self.slot_holder.held.get(name)
        if entry is None:
            return False
        return bool(entry.held or entry.demand) or self.is_report_due(name)

    def is_report_due(self, name: str) -> bool:
        """Say whether a keeper should hear of an upstream."""
        entry = self.slot_holder.held[name]
        state = self.describe_held(name)
        at, last = self.last_reports.get(name, (float("-inf"), ()))
        if state != last:
            return True
        active = entry.held or entry.demand
        return bool(active) and self.context.now() - at > REFRESH_SECONDS

    def describe_held(self, name: str) -> tuple:
        """Return the part of a report whose change calls for a new one."""
        entry = self.slot_holder.held[name]
        over = max(entry.in_flight - entry.block, 0)
        evidence = bool(entry.good or entry.slow) and entry.bound < entry.slots
        return (
            entry.epoch,
            entry.sequence,
            entry.block,
            over,
            entry.demand,
            entry.cold_starts,
            evidence,
        )

    def send_reports(self, names: Iterable[str]) -> None:
        """Send the reports of some upstreams to their keepers, one message a keeper."""
        batches: dict[str, list[tuple]] = defaultdict(list)
        for name in names:
            record = self.records.get(self.find_shard(name))
            if record is None or name not in self.slot_holder.held:
                continue
            report = self.slot_holder.build_report(name)
            self.last_reports[name] = (self.context.now(), self.describe_held(name))
            batches[record.keeper].append(tuple(report))
        for keeper, rows in batches.items():
            self.context.send(keeper, SlotReports(tuple(rows)))

    def receive_reports(self, sender: str, message: SlotReports) -> None:
        """Enter reports into the ledgers that this daemon keeps."""
        sent: list[tuple[str, Allotment]] = []
        for row in message.rows:
            report = HolderReport._make(row)
            ledger = self.ledgers.get(report.upstream)
            if ledger is not None and self.members.membership.is_current(report.holder):
                sent.extend(ledger.take_report(report))
        self.send_allotments(sent)

    def send_allotments(self, sent: Iterable[tuple[str, Allotment]]) -> None:
        """Send allotments, one message a holder."""
        batches: dict[str, list[tuple]] = defaultdict(list)
        for holder, allotment in sent:
            batches[holder].append(tuple(allotment))
        for holder, rows in batches.items():
            self.context.send(parse_daemon(holder), Allotments(tuple(rows)))

    def receive_allotments(self, sender: str, message: Allotments) -> None:
        """Apply allotments and tell what changed."""
        changed = []
        for row in message.rows:
            allotment = Allotment._make(row)
            if self.slot_holder.apply_allotment(allotment):
                changed.append(allotment.upstream)
                self.active.add(allotment.upstream)
        for name in changed:
            self.on_slots(name)
        self.send_reports(changed)

    def note_cold(self, upstream: str) -> None:
        """Tell every daemon that an upstream has turned cold."""
        entry = self.slot_holder.held.get(upstream)
        if entry is None or entry.bound <= entry.cold_slots:
            return
        notice = ColdNotice(upstream, entry.cold_starts + 1)
        self.context.recorder.record("upstream_cold", upstream=upstream)
        self.receive_cold(self.context.daemon, notice)
        self.context.flood(notice)

    def receive_cold(self, sender: str, notice: ColdNotice) -> None:
        """Cut down the use of an upstream that has turned cold."""
        if not self.slot_holder.note_cold(notice.upstream, notice.regime):
            return
        self.send_reports([notice.upstream])
        self.on_cold(notice.upstream)

    def release_unused(self) -> None:
        """Give all slots back that are not in use, before this daemon exits."""
        for entry in self.slot_holder.held.values():
            entry.block = entry.demand = 0
        self.send_reports(list(self.active))

    def acquire(self, upstream: str) -> bool:
        """Take a slot of an upstream if one is available."""
        return self.slot_holder.acquire(upstream)

    def release(self, upstream: str, slow: bool | None) -> None:
        """Give a slot back, with evidence on the upstream's warmth if there is any."""
        entry = self.slot_holder.held[upstream]
        self.slot_holder.release(upstream)
        if slow is True:
            entry.slow += 1
        elif slow is False:
            entry.good += 1
        if entry.in_flight == 0 and upstream not in self.upstreams:
            self.slot_holder.remove_upstream(upstream)
