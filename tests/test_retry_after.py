"""Tests of the time after which refused callers are told to retry."""

from tanagertrail.policy.retry_after import (
    BASE_RETRY_AFTER_SECONDS,
    MAX_RETURN_SECONDS,
    RETRY_AFTER_JITTER,
    ReturnSchedule,
    estimate_retry_after,
)
from tests.gateway_utils import build_config, open_world, run_in_real_time

BOOT = 4.0
SCALED_SERVICES = [
    {"name": "desk", "max_conns": 50, "scaling": {"min": 1, "max": 4, "boot_s": BOOT}}
]


def test_callers_of_a_service_without_upstreams_retry_when_one_has_started():
    refused_at = [2.0 * n / 50 for n in range(50)]
    retry_times = [
        at + estimate_retry_after(BOOT, at, jitter=n % 7 / 7) for n, at in enumerate(refused_at)
    ]
    assert min(retry_times) >= BOOT
    assert max(retry_times) <= BOOT * (1 + RETRY_AFTER_JITTER)
    assert max(retry_times) - min(retry_times) >= 1.0


def test_callers_of_a_full_service_retry_soon():
    assert estimate_retry_after(None, 0.0, 0.0) == BASE_RETRY_AFTER_SECONDS
    assert estimate_retry_after(BOOT, 60.0, 0.0) == BASE_RETRY_AFTER_SECONDS


@run_in_real_time
async def test_retry_after_covers_the_restart_of_all_upstreams():
    async with open_world(build_config(services=SCALED_SERVICES)) as world:
        assert (await world.fetch("/look/1")).status == 200
        for name in ("up-a", "up-b"):
            world.store.remove("servers", name)
        await world.wait_for_upstreams(0)
        reply = await world.fetch("/look/1")
        assert reply.status == 503
        assert float(reply.headers[b"retry-after"]) >= BOOT - 2.0


def test_callers_refused_for_a_named_rate_all_return_at_once():
    schedule = ReturnSchedule()
    waits = [schedule.plan_return(2.0, 10.0, 0.0) for _ in range(8)]
    assert waits == [0.5 * number for number in range(1, 9)]
    assert schedule.plan_return(2.0, 14.0, 0.0) == 0.5, "the others have come back by then"


def test_callers_refused_for_a_named_rate_are_told_to_return_after_they_have_given_up():
    schedule = ReturnSchedule()
    waits = [schedule.plan_return(0.1, 10.0, number / 50) for number in range(50)]
    assert max(waits) <= MAX_RETURN_SECONDS * (1.0 + RETRY_AFTER_JITTER)
    assert len({round(wait, 1) for wait in waits}) > 10, "they return apart"
    assert ReturnSchedule().plan_return(0.0, 10.0, 0.5) == MAX_RETURN_SECONDS
