"""Listings of several pages, between which the store changes."""

import asyncio
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagertrail.platform.store import StoreClient, StoreResponse
from tests.test_late_answers import OracleStore

PAGE = 2
NAMES = [f"o{number}" for number in range(6)]


def encode(item):
    """Return an object as it stands in an answer."""
    meta = {"name": item.name, "rev": item.revision, "created_rev": item.created}
    return {"meta": meta, "spec": item.content, "status": None}


class PagedClient(StoreClient):
    """A client of a store that changes before each page but the first."""

    def __init__(self, store, rng, changes):
        super().__init__("127.0.0.1:1")
        self.store, self.rng, self.changes = store, rng, changes
        self.calls = []

    def change(self):
        for _ in range(self.rng.randint(0, self.changes)):
            act = self.rng.choice([self.store.write, self.store.write, self.store.delete])
            act(self.rng.choice(NAMES))

    async def call(self, method, path, query=None, timeout=0.0, **details):
        self.calls.append(query)
        if "watch" in query:
            self.change()
            answer = self.store.list_changes(query["watch"])
            events = [{"object": encode(item), "deleted": gone} for item, gone in answer.changes]
            return StoreResponse(200, {"events": events, "store_revision": answer.revision}, 0)
        after = query.get("after_rev", "")
        if after:
            self.change()
        names = sorted(name for name in self.store.objects if name > after)
        body = {
            "items": [encode(self.store.objects[name]) for name in names[:PAGE]],
            "more": len(names) > PAGE,
            "store_revision": self.store.revision,
        }
        return StoreResponse(200, body, 0)


def list_torn(seed, changes, dates_deletions=False):
    """Return a store, its client and what the client lists while the store changes."""
    rng = random.Random(seed)
    store = OracleStore(dates_deletions)
    for name in NAMES:
        store.write(name)
    client = PagedClient(store, rng, changes)
    try:
        return store, client, asyncio.run(client.list_kind("kind"))
    finally:
        client.close()


@settings(max_examples=300, deadline=None)
@given(seed=st.integers(0, 10**6), changes=st.integers(0, 4), dates_deletions=st.booleans())
def test_change_between_two_pages_is_never_seen(seed, changes, dates_deletions):
    """Violated DRAIN: a started daemon used an upstream that had said between them it drains."""
    store, _, listing = list_torn(seed, changes, dates_deletions)
    contents = {item.name: item.content for item in listing.objects}
    assert contents == store.get_contents_at(listing.revision)
    assert len(listing.objects) == len(contents)


def test_pages_of_one_revision_cost_another_call():
    _, client, _ = list_torn(1, 0)
    assert len(client.calls) == len(NAMES) // PAGE
