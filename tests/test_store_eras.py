"""Revisions over the eras of a store that comes back from older copies."""

import asyncio
from contextlib import asynccontextmanager

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.errors import ConflictError, PlatformError, StoreOutcomeUnknownError
from tanagertrail.gateway.mirror import KindMirror
from tanagertrail.platform.store import (
    HistoryLostError,
    Listing,
    StoreClient,
    StoredObject,
    WatchResponse,
    decode_era,
    get_era,
    join_revision,
)
from tanagertrail.standins.ports import HOST, find_port
from tanagertrail.standins.store import StandInStore
from tests.gateway_utils import NoOpHandler, run_in_real_time


@asynccontextmanager
async def open_store():
    """Start a stand-in store and yield it with a client."""
    store, port = StandInStore(), find_port()
    await store.start(HOST, port)
    client = StoreClient(f"{HOST}:{port}")
    try:
        yield store, client
    finally:
        client.close()
        store.close()


async def get_error(call):
    """Return the error of a call of the store, None if it succeeds."""
    try:
        await call
    except PlatformError as error:
        return error
    return None


@run_in_real_time
async def test_write_that_depends_on_an_era_that_is_over_changes_another_object():
    async with open_store() as (store, client):
        older = store.take_copy()
        first = await client.create("kind", "name", {"n": 1})
        store.restore(older)
        store.put("kind", "name", {"n": "another"})
        for call in (
            client.replace("kind", "name", {"n": 2}, first.revision),
            client.set_status("kind", "name", "done", first.revision),
            client.delete("kind", "name", first.revision),
        ):
            error = await get_error(call)
            assert isinstance(error, ConflictError | StoreOutcomeUnknownError)
        calls = store.calls
        assert isinstance(
            await get_error(client.replace("kind", "name", {"n": 2}, first.revision)),
            ConflictError,
        )
        assert store.calls == calls, "the write was sent"


@run_in_real_time
async def test_watch_goes_on_over_the_return_of_the_store():
    async with open_store() as (store, client):
        older = store.take_copy()
        store.put("kind", "name", {"n": 1})
        listing = await client.list_kind("kind")
        assert get_era(listing.revision) == 0
        restored = []
        client.on_restored = lambda former, era: restored.append((former, era))
        watch = asyncio.create_task(client.watch_kind("kind", listing.revision, 2.0))
        await asyncio.sleep(0.2)
        store.restore(older)
        assert isinstance(await get_error(watch), HistoryLostError)
        assert restored == [(0, 1)]
        again = await client.list_kind("kind")
        assert again.objects == []
        assert again.revision > listing.revision
        store.restore(older)
        store.restore(older)
        store.put("kind", "other", {})
        third = await client.list_kind("kind")
        assert get_era(third.revision) == 3
        assert restored == [(0, 1), (1, 3)]


@run_in_real_time
async def test_answer_of_an_era_that_is_over_is_taken_for_news():
    async with open_store() as (store, client):
        store.era = 4
        await client.list_kind("kind")
        store.era = 3
        assert isinstance(await get_error(client.list_kind("kind")), PlatformError)
        assert isinstance(
            await get_error(client.create("kind", "name", {})), StoreOutcomeUnknownError
        )
        store.era = 4
        listing = await client.list_kind("kind")
        assert get_era(listing.revision) == 4


class ModelStore:
    """A store as a model: objects with values that rise over all eras, so that later is newer."""

    def __init__(self):
        self.era, self.number, self.value = 0, 1, 0
        self.objects = {}
        self.copies = []

    @property
    def revision(self):
        return join_revision(self.era, self.number)

    def write(self, name):
        self.number += 1
        self.value += 1
        self.objects[name] = StoredObject(name, self.revision, 1, self.value, None)

    def copy(self):
        self.copies.append((dict(self.objects), self.number))

    def restore(self, index):
        if self.copies:
            objects, number = self.copies[index % len(self.copies)]
            self.era += 1
            self.number = number
            self.objects = {
                name: item._replace(revision=join_revision(self.era, item.revision % 10**12))
                for name, item in objects.items()
            }

    def list_all(self):
        return Listing(list(self.objects.values()), self.revision)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "copy", "restore", "list", "watch", "tell"]), st.integers(0, 5)
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(steps=STEPS)
def test_mirror_stays_on_a_history_that_the_store_has_lost(steps):
    """Mirrors that list, watch and tell each other in any order end where the store is."""
    store = ModelStore()
    now = [0.0]
    mirrors = [KindMirror("kind", NoOpHandler(), lambda: now[0]) for _ in range(3)]
    seen = [0, 0, 0]
    for action, number in steps:
        now[0] += 0.1
        mirror = mirrors[number % 3]
        if action == "write":
            store.write(f"o{number}")
        elif action == "copy":
            store.copy()
        elif action == "restore":
            store.restore(number)
        elif action == "list":
            mirror.apply_listing(store.list_all(), now[0])
        elif action == "watch" and get_era(mirror.revision) == store.era and mirror.revision:
            changed = [
                (item, False) for item in store.objects.values() if item.revision > mirror.revision
            ]
            mirror.apply_watch(WatchResponse(changed, store.revision), now[0])
        elif action == "tell":
            source = mirrors[(number + 1) % 3]
            update = source.build_update(mirror.revision)
            if update is not None:
                mirror.apply_update(update, None)
        for index, item in enumerate(mirrors):
            assert item.revision >= seen[index]
            seen[index] = item.revision
            if item.revision == store.revision:
                assert item.objects == store.objects
    mirrors[0].apply_listing(store.list_all(), now[0])
    for mirror in mirrors[1:]:
        mirror.apply_update(mirrors[0].build_update(mirror.revision), None)
        assert mirror.objects == store.objects


def test_malformed_era_is_taken_for_a_number():
    for value, expected in ((None, None), ("", None), ("-1", None), ("x", None), ("7", 7)):
        assert decode_era(value) == expected
