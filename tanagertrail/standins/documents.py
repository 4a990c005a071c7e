"""What an operator and upstreams store and what daemons read, in the platform's format."""

__all__ = [
    "BOUNDS",
    "COLD_SLACK",
    "CUSTOMERS",
    "LONG_PREFIX",
    "LONG_ROUTES",
    "DaemonPorts",
    "build_cold",
    "build_document",
    "build_draining",
    "build_entry",
    "build_node_file",
    "build_route",
]

import json
import tomllib
from typing import Any, NamedTuple

from tanagertrail.platform.settings import decode_settings
from tanagertrail.standins.ports import HOST

SERVICE = "desk"
HOST_NAME = "desk.example"
DOMAINS = ("north", "south", "east")
COLD_RATE = 10
PLAIN_UNITS = 200
BOUND_FIELDS = {
    "stability_ms": 3000,
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "evac_ms": 5000,
    "grace_s": 8,
    "revoke_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 50,
    "quota_window_s": 8,
    "quota_over": 0.1,
    "quota_slack": 4000,
    "lease_ms": 3000,
    "usage_window_s": 5,
    "usage_late_s": 10,
    "cold_over": 1.5,
    "cold_slack": 5,
    "ttl_max_s": 5,
}

COLD_SLACK = BOUND_FIELDS["cold_slack"]  # requests of a second beyond a cold upstream's rate


# Faults last for seconds, and the soak's prompts share no parts.
PATIENT = {"timeout_ms": 4000, "slo_ms": 400, "gap_aim_ms": 200, "sticky": False}
# Routes of requests whose work may last twice the grace period.
LONG = PATIENT | {"timeout_ms": 20_000, "slo_ms": 18_000, "gap_aim_ms": 3000}
LONG_PREFIX = "long_"
LONG_ROUTES = ("long_look", "long_book", "long_talk", "long_once")


class DaemonPorts(NamedTuple):
    """Ports of one daemon on loopback.

    :ivar carrier: port for requests that it carries for other daemons, the next one after
        ``internal``; 0 if it carries none
    """

    front: int
    ready: int
    directory: int
    internal: int
    carrier: int = 0


class SoakCustomer(NamedTuple):
    """A customer of the soak, with its quota in units a second, 0 for none."""

    name: str
    key: str
    rate: int


CUSTOMERS = (
    SoakCustomer("guild", "key-guild", 0),
    SoakCustomer("narrow", "key-narrow", 4000),
    SoakCustomer("leaver", "key-leaver", 0),
)


def build_route(name: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    route = {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2000,
        "slo_ms": 200,
        "priority": 1,
        "service": SERVICE,
        "attempts": 1 if kind == "unsafe" else 2,
        "public": False,
        "sticky": kind == "stream",
        "resumable": kind == "stream",
        "gap_aim_ms": 100,
    }
    return route | changes


def build_long_routes() -> list[dict[str, Any]]:
    """Return the routes of requests that may last longer than a daemon takes to stop."""
    look, book, talk, once = LONG_ROUTES
    return [
        build_route(look, "safe", **LONG, attempts=3),
        build_route(book, "unsafe", **LONG),
        build_route(talk, "stream", **LONG, attempts=3),
        build_route(once, "stream", **LONG, resumable=False, attempts=1),
    ]


def build_document(version: int, extra_routes: list[str], keys: set[str]) -> dict[str, Any]:
    """Return a configuration.

    :param extra_routes: names of routes that later versions added
    :param keys: keys in force
    """
    repeated = PATIENT | {"attempts": 3}
    routes = [
        build_route("book", "unsafe", **PATIENT),
        build_route("talk", "stream", **repeated),
        build_route("once", "stream", **PATIENT, resumable=False, attempts=1),
        *(build_route(name, "safe", **repeated) for name in ("look", *extra_routes)),
        *build_long_routes(),
    ]
    tenants = []
    for item in CUSTOMERS:
        tenant: dict[str, Any] = {"name": item.name}
        tenant["api_keys"] = [item.key] if item.key in keys else []
        if item.rate:
            tenant |= {"rate_per_s": item.rate, "burst": item.rate, "unit": "tokens"}
            tenant["plain_tokens"] = PLAIN_UNITS
        tenants.append(tenant)
    service = {"name": SERVICE, "max_conns": 200, "cold_start_s": 3, "cold_per_s": COLD_RATE}
    return {"version": version, "routes": routes, "services": [service], "tenants": tenants}


def build_entry(port: int, domain: str, **changes: Any) -> dict[str, Any]:
    """Return an upstream's registration."""
    entry = {
        "service": SERVICE,
        "address": f"{HOST}:{port}",
        "zone": domain,
        "version": "v1",
        "capacity": 8,
        "state": "ready",
    }
    return entry | changes


def build_node_file(
    name: str, domain: str, ports: DaemonPorts, store: int, cloud: int, seeds: list[int]
) -> str:
    """Return the settings file of a daemon."""
    tables = {
        "zones": dict.fromkeys(DOMAINS, "island"),
        "listen": {
            "front": f"{HOST}:{ports.front}",
            "ready": f"{HOST}:{ports.ready}",
            "directory": f"{HOST}:{ports.directory}",
        },
        "limits": {"max_fds": 1024, "memory_mb": 200, "cores": 1, "cpu_share": 1.0},
        "platform": {"address": f"{HOST}:{store}"},
        "cloud_api": {"address": f"{HOST}:{cloud}", "duties": ["usage"]},
        "bounds": BOUND_FIELDS,
    }
    lines = [
        f"node_name = {json.dumps(name)}",
        f"ip = {json.dumps(HOST)}",
        f"zone = {json.dumps(domain)}",
        'region = "island"',
        f"internal_ports = [{ports.internal}, {ports.carrier or ports.internal}]",
        f"seeds = {json.dumps([f'{HOST}:{port}' for port in seeds])}",
        "heartbeat_ms = 1200",
    ]
    for table, values in tables.items():
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
    return "\n".join(lines) + "\n"


def build_draining(port: int, domain: str, **changes: Any) -> dict[str, Any]:
    """Return the registration of an upstream that leaves."""
    return build_entry(port, domain, state="draining", **changes)


def build_cold(port: int, domain: str, seconds: float, **changes: Any) -> dict[str, Any]:
    """Return the registration of an upstream that has just started."""
    return build_entry(port, domain, cold_left_ms=int(seconds * 1000), **changes)


BOUNDS = decode_settings(
    tomllib.loads(build_node_file("entry", DOMAINS[0], DaemonPorts(1, 2, 3, 4), 5, 6, []))
).bounds
