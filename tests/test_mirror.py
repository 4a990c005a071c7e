"""Copies of the store's kinds, fed by the store and by other daemons."""

from tanagertrail.gateway.mirror import BaseKindHandler, KindMirror, ObjectStatus
from tanagertrail.platform.store import Listing, StoredObject, WatchAnswer


class Recorder(BaseKindHandler):
    """Keep what a mirror tells."""

    def __init__(self):
        self.lists = []
        self.changes = []
        self.proofs = []

    def replace_all(self, objects, maybe_expired):
        self.lists.append(({item.name for item in objects}, maybe_expired))

    def apply_change(self, item, object_status):
        self.changes.append((item.name, object_status))

    def on_synced(self, as_of):
        self.proofs.append(as_of)


class Clock:
    """A boot clock that the test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def build(clock):
    """Return a mirror with its recorder."""
    recorder = Recorder()
    return KindMirror("kind", recorder, clock), recorder


def item(name, revision, content="x"):
    """Return a stored object."""
    return StoredObject(name, revision, 1, content, None)


def relay(source, target, sent_at=None):
    """Pass news from one mirror to another."""
    return target.apply_update(source.build_update(target.revision), sent_at)


def test_removal_after_an_ordinary_wait_is_no_lapse():
    """DRAIN on tartan-plovdiv quiet-1: a removed upstream was kept as one that had lapsed."""
    clock = Clock()
    mirror, recorder = build(clock)
    mirror.apply_listing(Listing([item("a", 5)], 5), clock.now)
    clock.now += 1.0
    sent_at = clock.now
    clock.now += 1.0
    mirror.apply_watch(WatchAnswer([(item("a", 5), True)], 6), sent_at)
    assert recorder.changes == [("a", ObjectStatus.REMOVED)]


def test_removal_after_an_outage_may_be_a_lapse():
    clock = Clock()
    mirror, recorder = build(clock)
    mirror.apply_listing(Listing([item("a", 5), item("b", 5)], 5), clock.now)
    clock.now += 4.0
    mirror.apply_watch(WatchAnswer([(item("a", 5), True)], 6), clock.now)
    clock.now += 0.5
    mirror.apply_watch(WatchAnswer([(item("b", 5), True)], 7), clock.now)
    assert [object_status for _, object_status in recorder.changes] == [
        ObjectStatus.MAYBE_EXPIRED
    ] * 2


def test_outage_for_one_daemon_alone_lets_nothing_lapse():
    clock = Clock()
    mirror, recorder = build(clock)
    other, _ = build(clock)
    for copy in (mirror, other):
        copy.apply_listing(Listing([item("a", 5)], 5), clock.now)
    clock.now += 4.0
    other.apply_watch(WatchAnswer([], 6), clock.now)
    relay(other, mirror, clock.now)
    mirror.apply_watch(WatchAnswer([(item("a", 5), True)], 7), clock.now)
    assert recorder.changes == [("a", ObjectStatus.REMOVED)]


def test_removal_with_an_old_revision_reaches_a_daemon_that_is_level():
    clock = Clock()
    source, _ = build(clock)
    target, recorder = build(clock)
    source.apply_listing(Listing([item("a", 5)], 5), clock.now)
    relay(source, target)
    source.apply_watch(WatchAnswer([], 9), clock.now)
    relay(source, target)
    assert target.revision == 9
    source.apply_watch(WatchAnswer([(item("a", 5), True)], 10), clock.now)
    assert relay(source, target)
    assert recorder.changes == [("a", ObjectStatus.REMOVED)]
    assert not target.objects


def test_daemon_that_lags_far_is_given_all_objects():
    clock = Clock()
    source, _ = build(clock)
    target, recorder = build(clock)
    source.apply_listing(Listing([item("a", 5), item("b", 6)], 7), clock.now)
    assert relay(source, target)
    assert recorder.lists == [({"a", "b"}, False)]


def test_older_news_changes_nothing():
    clock = Clock()
    old, _ = build(clock)
    new, recorder = build(clock)
    old.apply_listing(Listing([item("a", 5)], 5), clock.now)
    new.apply_listing(Listing([item("a", 8, "later")], 8), clock.now)
    relay(old, new)
    assert new.objects["a"].content == "later"
    assert len(recorder.lists) == 1


def test_proof_passes_with_its_age_and_only_to_those_who_know_as_much():
    clock = Clock()
    source, _ = build(clock)
    target, _ = build(clock)
    source.apply_listing(Listing([item("a", 5)], 5), clock.now)
    update = source.build_update(0)
    clock.now += 1.0
    target.apply_update(source.build_update(0), clock.now - 0.2)
    assert abs(target.synced_at - (clock.now - 1.2)) < 0.002
    behind, _ = build(clock)
    behind.apply_update(update._replace(objects=b"", base_revision=3), clock.now)
    assert behind.synced_at is None


def test_pushed_news_proves_nothing():
    clock = Clock()
    source, _ = build(clock)
    target, _ = build(clock)
    source.apply_listing(Listing([item("a", 5)], 5), clock.now)
    relay(source, target, None)
    assert target.objects
    assert target.synced_at is None
