"""Local mirrors of the store's objects, updated from the store or from other daemons."""

__all__ = ["BaseKindHandler", "KindMirror", "ObjectStatus"]

import enum
import math
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from tanagertrail.daemons.peer_messages import MirrorUpdate, pack_json, unpack_json
from tanagertrail.decoding import MAX_REVISION, find_violation, is_encodable, is_integer
from tanagertrail.errors import FrameError
from tanagertrail.gateway.clock import BootClock
from tanagertrail.platform.store import (
    Listing,
    Refusal,
    StoredObject,
    WatchResponse,
    get_era,
    is_news,
)

MAX_CHANGES = 300  # changes kept for lagging daemons; one that lags further gets a full listing
EXPIRY_OUTAGE_SECONDS = 2.5  # two heartbeats of an upstream; entries outlive a shorter outage
EXPIRY_GRACE_SECONDS = 1.0  # time after an outage in which the store still removes expired entries
# Registrations that expired during an outage of the store are back about 2 s after its end.
REREGISTRATION_SECONDS = 2.3
# The same after a cut of this daemon alone, in which the store has likely served the others, so
# that most of what is missing has left.
CUT_REREGISTRATION_SECONDS = 1.2


class ObjectStatus(enum.IntEnum):
    """Whether an object is present, and if not, how it disappeared.

    ``MAYBE_EXPIRED`` marks an object that may have disappeared only because it could not be renewed
    during an outage of the store.
    """

    PRESENT = 0
    REMOVED = 1
    MAYBE_EXPIRED = 2


STATUSES = frozenset(ObjectStatus)


class Change(NamedTuple):
    """A change of one object.

    :ivar revision: store revision by which the change has happened
    """

    revision: int
    item: StoredObject
    object_status: ObjectStatus


class BaseKindHandler:
    """Interface of the code that acts on changes of one kind of objects."""

    def replace_all(self, objects: list[StoredObject], maybe_expired: bool) -> None:
        """Replace all objects of the kind.

        :param maybe_expired: whether missing objects may have expired in an outage of the store
        """
        raise NotImplementedError

    def replace_restored(self, objects: list[StoredObject]) -> None:
        """Replace all objects by those of a store that came back from an older copy.

        What is missing may be written again, and what is there may have been removed before.
        """
        self.replace_all(objects, True)

    def apply_change(self, item: StoredObject, object_status: ObjectStatus) -> None:
        """Apply a change of one object."""
        raise NotImplementedError

    def on_synced(self, as_of: float) -> None:
        """Handle that all changes up to a boot time in seconds are known."""

    def note_outage(self, returns_by: float) -> None:
        """Handle the end of an outage in which objects may have expired.

        :param returns_by: boot time in seconds by which those of live writers are back
        """


class KindMirror:
    """The local copy of all objects of one kind.

    :ivar on_restored: called with the former and the new revision when a listing shows that the
        store came back from an older copy
    :ivar on_refused: called with a row of another daemon that cannot be read
    :ivar revision: revision up to which all changes are known, 0 before the first listing
    :ivar changes: recent changes, for daemons whose mirrors lag
    :ivar oldest_base_revision: oldest revision that ``changes`` can be applied to
    :ivar synced_at: boot time in seconds up to which all changes are known, None if never
    :ivar maybe_expired: whether objects missing from the last listing may have expired
    :ivar expiry_window_end: boot time in seconds until which removals may be expiries
    :ivar gap_ended_at: boot time in seconds at which the last long time without news ended,
        whether news came from the store or from another daemon
    :ivar was_cut_off: returns whether this daemon was lately cut off from all others
    :ivar packed_by_base: packed changes for ``packed_revision`` by the base revision
    """

    def __init__(self, kind: str, handler: BaseKindHandler, boot_time: BootClock) -> None:
        self.kind = kind
        self.handler = handler
        self.boot_time = boot_time
        self.on_restored: Callable[[int, int], None] = lambda former, revision: None
        self.on_refused: Callable[[Refusal], None] = lambda refusal: None
        self.objects: dict[str, StoredObject] = {}
        self.revision = 0
        self.changes: deque[Change] = deque()
        self.oldest_base_revision = 0
        self.synced_at: float | None = None
        self.maybe_expired = False
        self.expiry_window_end = -math.inf
        self.gap_ended_at = -math.inf
        self.was_cut_off: Callable[[], bool] = lambda: False
        self.packed_revision = 0
        self.packed_by_base: dict[int, bytes] = {}

    @property
    def staleness(self) -> float:
        """Return the seconds since the mirror was known to be current."""
        return float("inf") if self.synced_at is None else self.boot_time() - self.synced_at

    def apply_listing(self, listing: Listing, as_of: float) -> bool:
        """Apply a listing of the store and return whether anything changed.

        :param as_of: boot time in seconds just before the store was asked
        """
        maybe_expired = self.revision > 0 and self.may_have_expired(as_of)
        changed = self.replace(listing.objects, listing.revision, maybe_expired)
        self.mark_synced(as_of)
        return changed

    def apply_watch(self, answer: WatchResponse, as_of: float) -> bool:
        """Apply the answer to a watch of the store and return whether it changed anything.

        :param as_of: boot time in seconds up to which the answer holds all changes
        """
        gone = ObjectStatus.MAYBE_EXPIRED if self.may_have_expired(as_of) else ObjectStatus.REMOVED
        changed = False
        for item, deleted in answer.changes:
            object_status = gone if deleted else ObjectStatus.PRESENT
            changed |= self.apply(item, object_status, answer.revision)
        self.revision = max(self.revision, answer.revision)
        self.mark_synced(as_of)
        return changed

    def may_have_expired(self, as_of: float) -> bool:
        """Return whether missing entries may have expired while the store was unreachable.

        :param as_of: boot time in seconds of the store's answer
        """
        now = self.boot_time()
        if self.is_gap(as_of):
            self.expiry_window_end = now + EXPIRY_GRACE_SECONDS
            self.limit_return(now)
        return now < self.expiry_window_end

    def is_gap(self, as_of: float) -> bool:
        """Return whether there was no news for so long that entries may have expired."""
        return self.synced_at is not None and as_of - self.synced_at > EXPIRY_OUTAGE_SECONDS

    def had_gap(self) -> bool:
        """Return whether this daemon itself is or was just without news for long."""
        now = self.boot_time()
        return now < self.gap_ended_at + EXPIRY_GRACE_SECONDS or self.is_gap(now)

    def limit_return(self, ended_at: float) -> None:
        """Tell the handler until when what is missing since an outage may come back.

        :param ended_at: boot time in seconds
        """
        seconds = CUT_REREGISTRATION_SECONDS if self.was_cut_off() else REREGISTRATION_SECONDS
        self.handler.note_outage(ended_at + seconds)

    def replace(self, objects: list[StoredObject], revision: int, maybe_expired: bool) -> bool:
        """Replace all objects unless a newer revision is known; return whether anything changed."""
        if revision < self.revision:
            return False
        listed = {item.name: item for item in objects}
        changed = listed != self.objects or self.revision == 0
        former, self.revision = self.revision, revision
        is_restored = former > 0 and get_era(revision) > get_era(former)
        self.objects = listed
        self.oldest_base_revision = revision
        self.changes.clear()
        self.maybe_expired = maybe_expired or is_restored
        if is_restored:
            self.on_restored(former, revision)
            self.handler.note_outage(self.boot_time() + REREGISTRATION_SECONDS)
            self.handler.replace_restored(objects)
        else:
            self.handler.replace_all(objects, maybe_expired)
        return changed

    def apply(self, item: StoredObject, object_status: ObjectStatus, revision: int) -> bool:
        """Apply one change unless it or a newer one is known; return whether it was applied.

        :param revision: revision by which the change has certainly happened; a removed object may
            carry an older revision
        """
        deleted = object_status is not ObjectStatus.PRESENT
        if not is_news(item, deleted, self.objects.get(item.name), self.revision):
            return False
        if deleted:
            del self.objects[item.name]
        else:
            self.objects[item.name] = item
        self.changes.append(Change(revision, item, object_status))
        if len(self.changes) > MAX_CHANGES:
            self.oldest_base_revision = self.changes.popleft().revision
        self.handler.apply_change(item, object_status)
        return True

    def mark_synced(self, as_of: float) -> None:
        """Record that all changes up to a boot time in seconds are known."""
        if self.synced_at is None or as_of > self.synced_at:
            if self.is_gap(as_of):
                self.gap_ended_at = self.boot_time()
            self.synced_at = as_of
            self.handler.on_synced(as_of)

    def build_update(self, known_revision: int) -> MirrorUpdate | None:
        """Return the update for a mirror at a revision, None before the first listing."""
        if self.revision == 0:
            return None
        age = int(self.staleness * 1000) if self.synced_at is not None else -1
        if known_revision >= self.revision:
            return MirrorUpdate(self.kind, known_revision, self.revision, age, b"")
        base_revision = known_revision if known_revision >= self.oldest_base_revision else 0
        return MirrorUpdate(
            self.kind, base_revision, self.revision, age, self.pack_changes_since(base_revision)
        )

    def pack_changes_since(self, base_revision: int) -> bytes:
        """Return the packed changes since a revision, or no bytes if there are none.

        For revision 0 all objects are returned. The result is cached, since many daemons need the
        same update.
        """
        if self.packed_revision != self.revision:
            self.packed_revision = self.revision
            self.packed_by_base.clear()
        if base_revision not in self.packed_by_base:
            rows = self.list_changes(base_revision) if base_revision else self.list_objects()
            self.packed_by_base[base_revision] = (
                pack_json(rows) if rows or not base_revision else b""
            )
        return self.packed_by_base[base_revision]

    def list_changes(self, base_revision: int) -> list[list]:
        """Return the changes after a revision as rows."""
        newer = (change for change in self.changes if change.revision > base_revision)
        return [[*change.item, int(change.object_status)] for change in newer]

    def list_objects(self) -> list[list]:
        """Return all objects as rows.

        A status of ``MAYBE_EXPIRED`` says here that objects missing from the rows may have expired.
        """
        status = int(ObjectStatus.MAYBE_EXPIRED if self.maybe_expired else ObjectStatus.PRESENT)
        return [[*item, status] for item in self.objects.values()]

    def apply_update(self, update: MirrorUpdate, sent_at: float | None) -> bool:
        """Apply another daemon's update and return whether it changed anything.

        :param sent_at: boot time in seconds just before the update was requested, None if it was
            pushed and may be older
        """
        changed = False
        if update.revision > self.revision:
            changed = self.apply_objects(update)
        if sent_at is not None and update.sync_age_ms >= 0 and self.revision >= update.revision:
            self.mark_synced(sent_at - update.sync_age_ms / 1000)
        return changed

    def apply_objects(self, update: MirrorUpdate) -> bool:
        """Apply the objects of an update that is newer than this mirror.

        A daemon that was cut off marks removals as possible expiries. The marks count only for a
        receiver that was without news as well. An update without rows bears no mark, so that only
        the receiver's own gap counts.
        """
        rows = self.decode_rows(unpack_json(update.objects) if update.objects else [])
        had_gap = self.had_gap()
        is_marked = any(status is ObjectStatus.MAYBE_EXPIRED for _, status in rows)
        if had_gap and (is_marked or not rows):
            now = self.boot_time()
            self.limit_return(now if self.is_gap(now) else self.gap_ended_at)
        if update.base_revision == 0:
            maybe_expired = had_gap and (is_marked or not rows)
            items = [item for item, _ in rows]
            return self.replace(items, update.revision, maybe_expired)
        if update.base_revision > self.revision:
            return False
        changed = False
        for item, status in rows:
            if status is ObjectStatus.MAYBE_EXPIRED and not had_gap:
                status = ObjectStatus.REMOVED
            changed |= self.apply(item, status, update.revision)
        self.revision = update.revision
        return changed

    def decode_rows(self, rows: Any) -> list[tuple[StoredObject, ObjectStatus]]:
        """Decode the objects of an update without those that cannot be read.

        :raises FrameError: if there is no array of rows
        """
        if not isinstance(rows, list):
            raise FrameError("the objects of an update must be an array")
        decoded = []
        for row in rows:
            try:
                decoded.append(decode_object_row(row))
            except FrameError as error:
                self.on_refused(Refusal("", 0, str(error)))
        return decoded


def decode_object_row(row: Any) -> tuple[StoredObject, ObjectStatus]:
    """Decode an object and its status; a content that exceeds a bound is left out.

    :raises FrameError: if its name, a revision or the status cannot be read
    """
    if not isinstance(row, list) or len(row) != len(StoredObject._fields) + 1:
        raise FrameError("a row of an update has other fields")
    item, status = StoredObject(*row[:-1]), row[-1]
    if not (isinstance(item.name, str) and item.name and is_encodable(item.name)):
        raise FrameError("a row of an update without a name")
    revisions = (item.revision, item.created)
    if not all(is_integer(revision, 0, MAX_REVISION) for revision in revisions):
        raise FrameError(f"object {item.name}: a revision is out of range")
    if type(item.deleting) is not bool or not is_integer(status) or status not in STATUSES:
        raise FrameError(f"object {item.name}: its status cannot be read")
    content = None if find_violation(item.content) else item.content
    report = None if find_violation(item.report) else item.report
    return item._replace(content=content, report=report), ObjectStatus(status)
