"""Answers that were asked for before something newer was learnt, and arrive after it."""

from typing import NamedTuple
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.gateway.cluster_view import ClusterView
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.handlers import EvacuationHandler
from tanagertrail.gateway.mirror import BaseKindHandler, KindMirror, ObjectStatus
from tanagertrail.platform.store import Listing, StoredObject, WatchResponse
from tanagertrail.standins.documents import BOUNDS
from tests.gateway_utils import NoOpHandler


def build_object(name, revision):
    """Return a stored object that was created by its last change."""
    return StoredObject(name, revision, revision, {}, None)


def get_now():
    """Return a boot time in seconds that stands still."""
    return 100.0


def build_evacuation_mirror():
    """Return a mirror of the evacuations and the view that it keeps."""
    view = ClusterView(BOUNDS, get_now)
    handler = EvacuationHandler(view, EventLog("d", get_now))
    return KindMirror("evacuations", handler, get_now), view


def relay(source, target):
    """Apply the update that one mirror builds for another."""
    target.apply_update(source.build_update(target.revision), None)


def test_late_answer_ends_an_evacuation_that_was_ordered_again():
    """Violated EVAC: a daemon that had been cut off used an emptied domain for good."""
    mirror, view = build_evacuation_mirror()
    other, _ = build_evacuation_mirror()
    for copy in (mirror, other):
        copy.apply_listing(Listing([build_object("north", 5)], 5), get_now())
    ended = WatchResponse([(build_object("north", 5), True)], 6)
    other.apply_watch(ended, get_now())
    other.apply_watch(WatchResponse([(build_object("north", 7), False)], 7), get_now())
    relay(other, mirror)
    assert not mirror.apply_watch(ended, get_now())
    assert view.evacuated == {"north"}
    assert mirror.revision == 7


def test_late_answer_brings_back_what_was_removed_after_it():
    mirror, view = build_evacuation_mirror()
    other, _ = build_evacuation_mirror()
    for copy in (mirror, other):
        copy.apply_listing(Listing([], 5), get_now())
    ordered = WatchResponse([(build_object("north", 6), False)], 6)
    other.apply_watch(ordered, get_now())
    other.apply_watch(WatchResponse([(build_object("north", 6), True)], 7), get_now())
    relay(other, mirror)
    assert not mirror.apply_watch(ordered, get_now())
    assert not view.evacuated
    assert not mirror.objects


def test_update_of_another_daemon_repeats_a_change_that_was_undone():
    """An update from an older base showed an evacuation anew before it showed its end again."""
    mirror, view = build_evacuation_mirror()
    other = KindMirror("evacuations", NoOpHandler(), get_now)
    other.apply_listing(Listing([], 5), get_now())
    other.apply_watch(WatchResponse([(build_object("north", 6), False)], 6), get_now())
    other.apply_watch(WatchResponse([(build_object("north", 6), True)], 7), get_now())
    other.apply_watch(WatchResponse([(build_object("south", 8), False)], 8), get_now())
    mirror.apply_listing(Listing([], 7), get_now())
    shown = []
    mirror.handler.apply_change = lambda item, status: shown.append((item.name, status))
    mirror.apply_update(other.build_update(5), None)
    assert shown == [("south", ObjectStatus.PRESENT)]
    assert set(mirror.objects) == {"south"}


class Event(NamedTuple):
    """A change of an object in the oracle's history."""

    revision: int
    item: StoredObject
    deleted: bool


class OracleStore:
    """A store with its whole history.

    :ivar dates_deletions: whether a deleted object bears the revision of its deletion, rather than
        that of its last change
    """

    def __init__(self, dates_deletions):
        self.revision = 1
        self.history = []
        self.objects = {}
        self.dates_deletions = dates_deletions

    def write(self, name):
        self.revision += 1
        known = self.objects.get(name)
        created = known.created if known else self.revision
        item = StoredObject(name, self.revision, created, self.revision, None)
        self.objects[name] = item
        self.history.append(Event(self.revision, item, False))

    def delete(self, name):
        item = self.objects.pop(name, None)
        self.revision += 1
        if item is not None:
            revision = self.revision if self.dates_deletions else item.revision
            event = Event(self.revision, item._replace(revision=revision), True)
            self.history.append(event)

    def list_all(self):
        return Listing(list(self.objects.values()), self.revision)

    def list_changes(self, revision):
        events = [event for event in self.history if event.revision > revision]
        return WatchResponse([(event.item, event.deleted) for event in events], self.revision)

    def get_contents_at(self, revision):
        contents = {}
        for event in self.history:
            if event.revision > revision:
                break
            if event.deleted:
                del contents[event.item.name]
            else:
                contents[event.item.name] = event.item.content
        return contents


class OrderChecker(BaseKindHandler):
    """A handler that refuses states older than what it was shown before."""

    def __init__(self):
        self.contents = {}
        self.newest = {}

    def replace_all(self, objects, maybe_expired):
        listed = {item.name: item.content for item in objects}
        for name in self.contents.keys() - listed.keys():
            del self.contents[name]
        for name, content in listed.items():
            assert content >= self.newest.get(name, 0), f"{name} went back"
            assert content > self.newest.get(name, 0) or name in self.contents, f"{name} is back"
            self.contents[name] = self.newest[name] = content

    def apply_change(self, item, object_status):
        if object_status is ObjectStatus.PRESENT:
            assert item.content > self.newest.get(item.name, 0), f"{item.name} went back"
            self.contents[item.name] = self.newest[item.name] = item.content
        else:
            del self.contents[item.name]


ACTIONS = ["write", "delete", "list", "watch", "tell", "deliver", "repeat"]
STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 2), st.integers(0, 5)), max_size=80
)


@settings(max_examples=400, deadline=None)
@given(steps=STEPS, dates_deletions=st.booleans(), change_limit=st.integers(1, 6))
def test_news_of_several_sources_in_any_order_take_a_mirror_back(
    steps, dates_deletions, change_limit
):
    """Answers and updates are held up, overtake each other and come twice."""
    with patch("tanagertrail.gateway.mirror.MAX_CHANGES", change_limit):
        play_news(steps, OracleStore(dates_deletions))


def play_news(steps, store):
    """Play steps on three mirrors, and check each against the store as of its revision."""
    mirrors = [KindMirror("kind", OrderChecker(), get_now) for _ in range(3)]
    held = [[], [], []]
    for action, number, choice in steps:
        mirror, waiting = mirrors[number], held[number]
        if action == "write":
            store.write(f"o{choice % 2}")
        elif action == "delete":
            store.delete(f"o{choice % 2}")
        elif action == "list":
            waiting.append((mirror.apply_listing, store.list_all(), get_now()))
        elif action == "watch" and mirror.revision:
            answer = store.list_changes(mirror.revision)
            waiting.append((mirror.apply_watch, answer, get_now()))
        elif action == "tell":
            update = mirrors[(number + choice) % 3].build_update(mirror.revision)
            if update is not None:
                waiting.append((mirror.apply_update, update, None))
        elif waiting and action in ("deliver", "repeat"):
            apply, *news = waiting[choice % len(waiting)]
            if action == "deliver":
                del waiting[choice % len(waiting)]
            former = mirror.revision
            apply(*news)
            assert mirror.revision >= former
            contents = {name: item.content for name, item in mirror.objects.items()}
            assert contents == mirror.handler.contents
            if mirror.revision:
                assert contents == store.get_contents_at(mirror.revision)
    for mirror, waiting in zip(mirrors, held, strict=True):
        mirror.apply_listing(store.list_all(), get_now())
        for apply, *news in waiting:
            apply(*news)
        assert mirror.objects == store.objects
