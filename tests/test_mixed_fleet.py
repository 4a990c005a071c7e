"""Rules that sum over all daemons, in fleets of two releases on loopback."""

import asyncio
from contextlib import asynccontextmanager
from unittest.mock import patch

from tanagertrail.daemons.releases import RELEASE
from tanagertrail.gateway.node import GatewayNode
from tests.gateway_utils import build_config, open_fleet, run_in_real_time
from tests.older_daemons import make_older
from tests.test_limited_upstreams import compute_bound, count_fullest_window, press

NAMES = ("entry-2", "entry-3", "entry-4")  # beside entry-1
OLDER_NAMES = frozenset({"entry-2", "entry-3"})
OLDER_COUNT = 22  # fields of the older daemons' states
QUOTA = {"name": "guild", "api_keys": ["key-guild"], "rate_per_s": 4, "burst": 8}
PRESSED_SECONDS = 5.0
NAMED_RATE = 4.0


@asynccontextmanager
async def open_mixed_fleet(older, *names, upstreams=2):
    """Start a fleet with a daemon for each name.

    :param older: names of the daemons that start as those of an older release
    """
    start = GatewayNode.start

    async def start_in_form(node):
        if node.settings.name in older:
            make_older(node, OLDER_COUNT)
        await start(node)

    with patch.object(GatewayNode, "start", start_in_form):
        async with open_fleet(*names, upstreams=upstreams) as fleet:
            yield fleet
            assert [node.state_sync.refused_frames for node in fleet.nodes] == [0] * len(
                fleet.nodes
            )


@run_in_real_time
async def test_customer_does_not_get_its_quota_from_each_release():
    async with open_mixed_fleet(OLDER_NAMES, *NAMES) as fleet:
        fleet.store.put("config", "main", build_config(2, tenants=[QUOTA]))
        await fleet.wait_until(
            lambda: all(node.cluster_view.config.version == 2 for node in fleet.nodes)
        )
        outcomes = await press(fleet, PRESSED_SECONDS)
        served = sum(item.status == 200 for item in outcomes)
        allowed = QUOTA["rate_per_s"] * PRESSED_SECONDS + QUOTA["burst"]
        assert allowed / 2 < served <= allowed


@run_in_real_time
async def test_rate_that_an_upstream_names_is_not_sent_by_each_release():
    async with open_mixed_fleet(OLDER_NAMES, *NAMES, upstreams=1) as fleet:
        upstream = fleet.upstreams[0]
        upstream.named_rate = str(NAMED_RATE)
        await fleet.fetch("/look/x", front=1)
        await fleet.wait_until(
            lambda: all(node.rate_limits.count_in_force() == 1 for node in fleet.nodes)
        )
        since = asyncio.get_running_loop().time() + 2.0
        await press(fleet, 8.0)
        times = [at for at in upstream.arrival_times if at > since]
        assert 0 < count_fullest_window(times) <= compute_bound(NAMED_RATE)


@run_in_real_time
async def test_daemon_that_is_replaced_by_another_release_is_known_as_such():
    older = set(OLDER_NAMES)
    async with open_mixed_fleet(older, *NAMES) as fleet:
        reader = fleet.nodes[0].members
        assert [reader.states[name].release for name in NAMES] == [3, 3, RELEASE]
        for name, change in (("entry-2", older.remove), ("entry-4", older.add)):
            fleet.nodes.pop(NAMES.index(name) + 1).close()
            change(name)
            fleet.nodes.insert(NAMES.index(name) + 1, await fleet.add_daemon(name))
            fleet.nodes.pop()
        await fleet.wait_until(
            lambda: [reader.states[name].release for name in NAMES] == [RELEASE, 3, 3]
        )
        await fleet.wait_until(lambda: len(fleet.node.list_fronts("")) == len(fleet.nodes))
