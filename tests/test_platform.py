"""Contract tests of the object API, in memory and over HTTP."""

import asyncio

from nose2.tools import params

from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    RateLimitedError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tanagertrail.objectapi.http import (
    HttpCloud,
    HttpInstanceList,
    HttpObjectStore,
    HttpWeightStore,
    PlatformClient,
)
from tanagertrail.objectapi.instances import Instance
from tanagertrail.objectapi.objects import MAX_VALUE_BYTES
from tanagertrail.objectapi.server import MemoryPlatform, PlatformServer
from tests.utils import raises

BOTH = ("memory", "http")


def run_with_store(medium, test):
    """Run a test coroutine with a store of a medium and the platform behind it."""

    async def work():
        platform = MemoryPlatform()
        if medium == "memory":
            await test(platform.objects, platform)
            return
        server = PlatformServer(platform, "127.0.0.1", 0)
        server.start()
        client = PlatformClient(server.address)
        try:
            await test(HttpObjectStore(client), platform)
        finally:
            await asyncio.to_thread(server.stop)
            client.close()

    asyncio.run(work())


@params(*BOTH)
def test_conditional_writes(medium):
    async def test(store, platform):
        first = await store.put("a/1", b"x", 0)
        assert first.version == 1
        with raises(ConflictError) as caught:
            await store.put("a/1", b"y", 0)
        assert caught[0].found == 1
        assert (await store.put("a/1", b"y", 1)).version == 2
        assert (await store.get("a/1")).value == b"y"
        await store.delete("a/1", 2)
        assert await store.get("a/1") is None

    run_with_store(medium, test)


@params(*BOTH)
def test_list_and_watch(medium):
    async def test(store, platform):
        await store.put("a/1", b"x")
        listed = await store.list_objects("a/")
        waiting = asyncio.create_task(store.watch("a/", listed.revision, 5.0))
        await asyncio.sleep(0.05)
        await store.put("b/1", b"other")
        await store.put("a/2", b"\x00\xff")
        result = await waiting
        assert [(item.key, item.value) for item in result.changes] == [("a/2", b"\x00\xff")]

    run_with_store(medium, test)


@params(*BOTH)
def test_lost_answer_took_effect(medium):
    async def test(store, platform):
        platform.objects.faults.lose_answers = 1
        with raises(StoreOutcomeUnknownError):
            await store.put("a/1", b"x", 0)
        assert (await store.get("a/1")).value == b"x"

    run_with_store(medium, test)


@params(*BOTH)
def test_outage_and_rate_limit_have_no_effect(medium):
    async def test(store, platform):
        platform.objects.faults.outage = True
        with raises(StoreUnavailableError):
            await store.put("a/1", b"x", 0)
        platform.objects.faults.outage = False
        platform.objects.faults.calls_per_second = 0
        with raises(RateLimitedError):
            await store.put("a/1", b"x", 0)
        platform.objects.faults.calls_per_second = None
        assert await store.get("a/1") is None

    run_with_store(medium, test)


@params(*BOTH)
def test_oversized_value_is_refused(medium):
    async def test(store, platform):
        with raises(PlatformError):
            await store.put("a/1", b"x" * (MAX_VALUE_BYTES + 1))
        assert await store.get("a/1") is None

    run_with_store(medium, test)


def test_unreachable_store_had_no_effect():
    async def work():
        client = PlatformClient("127.0.0.1:9", timeout=0.5)
        with raises(StoreUnavailableError):
            await HttpObjectStore(client).put("a", b"x")
        client.close()

    asyncio.run(work())


def test_instances_cloud_and_weights_over_http():
    async def work():
        platform = MemoryPlatform()
        platform.instances.set_instance(Instance("entry-1", "sapporo"))
        platform.cloud.give_notice("dial-1", 30.0)
        platform.cloud.prices["sapporo"] = 0.4
        platform.weights.per_minute = 1
        server = PlatformServer(platform, "127.0.0.1", 0)
        server.start()
        client = PlatformClient(server.address)
        try:
            assert await HttpInstanceList(client).read() == [Instance("entry-1", "sapporo")]
            cloud = HttpCloud(client)
            assert [row.instance for row in await cloud.read_notices()] == ["dial-1"]
            assert await cloud.read_prices() == {"sapporo": 0.4}
            assert (await cloud.start_instance("sapporo", True)).failure_domain == "sapporo"
            weights = HttpWeightStore(client)
            assert (await weights.request_grant("v2")).name == "v2"
            with raises(RateLimitedError):
                await weights.request_grant("v2")
        finally:
            await asyncio.to_thread(server.stop)
            client.close()

    asyncio.run(work())
