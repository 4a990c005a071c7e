"""The TOML settings file of a gateway process, which the platform writes."""

__all__ = ["SETTINGS_VARIABLE", "decode_settings", "read_settings_file"]

import tomllib
from collections.abc import Mapping
from typing import Any

from tanagertrail.decoding import MAX_PORT, is_integer, is_port
from tanagertrail.errors import SettingsError, Violation
from tanagertrail.gateway.model import GatewaySettings, SharedBounds

SETTINGS_VARIABLE = "TANAGERTRAIL_NODE_FILE"
MEGABYTE = 1024 * 1024
MAX_NUMBER = 10**12
MAX_SHOWN = 200  # characters of a value in an error


def shorten(value: object) -> str:
    """Return the start of a value as text, its type if it has no text."""
    try:
        return str(value)[:MAX_SHOWN]
    except (ValueError, RecursionError):
        return type(value).__name__


class TableReader:
    """Read fields of a TOML table and collect the violations of their rules.

    :ivar prefix: dotted path of the table, with a trailing dot unless it is the root
    :ivar violations: list that the readers of all tables of a file share
    """

    def __init__(self, table: Mapping[str, Any], prefix: str, violations: list[Violation]) -> None:
        self.table = table
        self.prefix = prefix
        self.violations = violations

    def open_table(self, name: str) -> "TableReader":
        """Return a reader of a nested table; a missing one counts as empty."""
        nested = self.table.get(name, {})
        if not isinstance(nested, Mapping):
            self.add_violation(name, "must be a table", nested)
            nested = {}
        return TableReader(nested, f"{self.prefix}{name}.", self.violations)

    def add_violation(self, name: str, rule: str, seen: object) -> None:
        """Record that a field violates a rule."""
        self.violations.append(Violation(f"{self.prefix}{name}", rule, shorten(seen)))

    def read_string(self, name: str, default: str | None = None) -> str:
        """Read a string; it is required unless there is a default."""
        value = self.table.get(name, default)
        if not isinstance(value, str):
            self.add_violation(name, "must be a text", value)
            return ""
        return value

    def read_address(self, name: str, required: bool = True) -> str:
        """Read an address of the form ``host:port``, empty if optional and missing."""
        value = self.read_string(name, None if required else "")
        host, _, port = value.rpartition(":")
        if value and not (host and is_port(port)):
            self.add_violation(name, "must be host:port", value)
        return value

    def read_number(self, name: str, default: float) -> float:
        """Read a non-negative number."""
        value = self.table.get(name, default)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not (is_number and 0 <= value <= MAX_NUMBER):
            self.add_violation(name, f"must be a number from 0 to {MAX_NUMBER}", value)
            return default
        return float(value)


def read_settings_file(path: str) -> GatewaySettings:
    """Read and check the settings file.

    :raises SettingsError: if it cannot be read or a field is wrong
    """
    try:
        with open(path, "rb") as file:
            document = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as error:
        seen = shorten(error)
        raise SettingsError([Violation("settings", "must be readable TOML", seen)]) from error
    return decode_settings(document)


def decode_settings(document: Mapping[str, Any]) -> GatewaySettings:
    """Decode the settings; unknown fields are ignored.

    :raises SettingsError: naming each wrong field and the rule it breaks
    """
    violations: list[Violation] = []
    root = TableReader(document, "", violations)
    listen = root.open_table("listen")
    limits = root.open_table("limits")
    cloud = root.open_table("cloud_api")
    settings = GatewaySettings(
        name=root.read_string("node_name"),
        host=root.read_string("ip"),
        failure_domain=root.read_string("zone"),
        region=root.read_string("region", ""),
        front=listen.read_address("front"),
        ready=listen.read_address("ready"),
        directory=listen.read_address("directory", required=False),
        seeds=read_seeds(root),
        internal=read_port_range(root),
        failure_domains=dict(root.open_table("zones").table),
        store=root.open_table("platform").read_address("address"),
        cloud=cloud.read_address("address", required=False),
        duties=read_duties(cloud),
        heartbeat=root.read_number("heartbeat_ms", 1200) / 1000,
        max_descriptors=int(limits.read_number("max_fds", 1024)),
        memory=int(limits.read_number("memory_mb", 256) * MEGABYTE),
        # cpu_share is a share of a single core; "cores" states how many times as fast that core is.
        cores=limits.read_number("cpu_share", 1) * limits.read_number("cores", 1),
        link=limits.read_number("link_mbps", 1000),
        bounds=read_bounds(root.open_table("bounds")),
    )
    if violations:
        raise SettingsError(violations)
    return settings


def read_duties(cloud: TableReader) -> frozenset[str]:
    """Read the names of the duties; what is no name is ignored."""
    duties = cloud.table.get("duties", [])
    if not isinstance(duties, list):
        return frozenset()
    return frozenset(item for item in duties if isinstance(item, str))


def read_seeds(root: TableReader) -> tuple[str, ...]:
    """Read the addresses of other machines."""
    seeds = root.table.get("seeds", [])
    if not isinstance(seeds, list) or not all(isinstance(seed, str) for seed in seeds):
        root.add_violation("seeds", "must be a list of addresses", seeds)
        return ()
    return tuple(seeds)


def read_port_range(root: TableReader) -> tuple[int, int]:
    """Read the first and last port for traffic between daemons."""
    ports = root.table.get("internal_ports")
    if (
        not isinstance(ports, list)
        or len(ports) != 2
        or not all(is_integer(number, 1, MAX_PORT) for number in ports)
    ):
        root.add_violation("internal_ports", "must be two port numbers", ports)
        return (0, 0)
    return (ports[0], ports[1])


def read_bounds(table: TableReader) -> SharedBounds:
    """Read the bounds that apply to all daemons together.

    A missing bound is not promised to anyone and gets a default.
    """

    def seconds(name: str, default: float) -> float:
        return table.read_number(name, default * 1000) / 1000

    return SharedBounds(
        stability=seconds("stability_ms", 3),
        config_apply=seconds("config_apply_ms", 2),
        drain=seconds("drain_ms", 2),
        evacuate=seconds("evac_ms", 5),
        grace=table.read_number("grace_s", 8),
        revoke=seconds("revoke_ms", 5),
        retry_ratio=table.read_number("budget_ratio", 0.2),
        retry_window=table.read_number("budget_window_s", 10),
        retry_extra=table.read_number("budget_extra", 50),
        quota_window=table.read_number("quota_window_s", 8),
        quota_tolerance=table.read_number("quota_over", 0),
        quota_slack=table.read_number("quota_slack", 0),
        lease=seconds("lease_ms", 3),
        usage_window=table.read_number("usage_window_s", 5),
        usage_due=table.read_number("usage_late_s", 10),
        rollout_share=table.read_number("expose_share", 0.1),
        rollout_extra=table.read_number("expose_slack", 50),
        cold_factor=table.read_number("cold_over", 1.5),
        address_ttl=table.read_number("ttl_max_s", 5),
    )
