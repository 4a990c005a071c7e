"""When refused callers are told to come back."""

from tanagertrail.policy.retry_after import (
    BASE_RETRY_AFTER_SECONDS,
    RETRY_AFTER_JITTER,
    estimate_retry_after,
)
from tests.gateway_utils import build_config, open_world, real_time

BOOT = 4.0
SCALED = [{"name": "desk", "max_conns": 50, "scaling": {"min": 1, "max": 4, "boot_s": BOOT}}]


def test_callers_of_a_service_without_upstreams_come_back_when_one_has_started():
    arrivals = [2.0 * n / 50 for n in range(50)]
    returns = [at + estimate_retry_after(BOOT, at, draw=n % 7 / 7) for n, at in enumerate(arrivals)]
    assert min(returns) >= BOOT
    assert max(returns) <= BOOT * (1 + RETRY_AFTER_JITTER)
    assert max(returns) - min(returns) >= 1.0


def test_callers_of_a_full_service_come_back_soon():
    assert estimate_retry_after(None, 0.0, 0.0) == BASE_RETRY_AFTER_SECONDS
    assert estimate_retry_after(BOOT, 60.0, 0.0) == BASE_RETRY_AFTER_SECONDS


@real_time
async def test_callers_were_refused_twice_while_all_upstreams_of_a_service_started_anew():
    async with open_world(build_config(services=SCALED)) as world:
        assert (await world.ask("/look/1")).status == 200
        for name in ("up-a", "up-b"):
            world.store.remove("servers", name)
        await world.wait_for_upstreams(0)
        reply = await world.ask("/look/1")
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) >= BOOT - 2.0
