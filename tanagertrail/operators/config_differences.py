"""Differences between a proposed configuration and the one in force, as pure functions.

Sentences name API keys by their tenant and number only, since keys are secrets.
"""

__all__ = ["COMPARISONS"]

import json
from collections.abc import Iterator
from typing import Any

from tanagertrail.operators.findings import ENTRY_KINDS, Place, RuleSet, Severity
from tanagertrail.platform.records import ConfigurationDocument as Config

COMPARISONS = RuleSet("configuration comparison")
SECRET_FIELD = "api_keys"
MAX_SHOWN = 80  # characters of a value in a sentence

Entries = dict[tuple[str, str], tuple[str, dict[str, Any]]]


def collect_entries(config: Config) -> Entries:
    """Return the path and the fields of each route, service and tenant, by kind and name."""
    return {
        (kind, entry.name): (f"{field}.{index}", entry.model_dump())
        for field, kind in ENTRY_KINDS.items()
        for index, entry in enumerate(getattr(config, field))
    }


def list_missing(config: Config, other: Config, verb: str) -> Iterator[Place]:
    """Yield the entries of one configuration that another one lacks."""
    there = collect_entries(other)
    for (kind, name), (path, _) in collect_entries(config).items():
        if (kind, name) not in there:
            yield Place(path, f"{kind} {name!r} is {verb}")


def list_missing_keys(config: Config, other: Config, verb: str) -> Iterator[Place]:
    """Yield the tenants that lack keys in another configuration, and how many."""
    there = {tenant.name: tenant.api_keys for tenant in other.tenants}
    for index, tenant in enumerate(config.tenants):
        if count := len(set(tenant.api_keys).difference(there.get(tenant.name, ()))):
            path = f"tenants.{index}.{SECRET_FIELD}"
            yield Place(path, f"tenant {tenant.name!r} {verb} API keys: {count}")


def show_value(value: Any) -> str:
    """Return a value for display."""
    text = json.dumps(value)
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def list_changes(path: str, title: str, old: dict, new: dict) -> Iterator[Place]:
    """Yield the fields of an entry that differ."""
    for field, value in new.items():
        if field != SECRET_FIELD and old[field] != value:
            values = f"from {show_value(old[field])} to {show_value(value)}"
            yield Place(f"{path}.{field}", f"{title}: {field} changes {values}")


@COMPARISONS.rule("version_not_increased", Severity.ERROR)
def compare_versions(proposed: Config, in_force: Config) -> Iterator[Place]:
    """Find a version that daemons would not take, since theirs is as new."""
    if proposed.version <= in_force.version:
        sentence = f"version {proposed.version} must be above {in_force.version}, which is in force"
        yield Place("version", sentence)


@COMPARISONS.rule("entry_added", Severity.INFO)
def compare_added(proposed: Config, in_force: Config) -> Iterator[Place]:
    """Find routes, services and tenants that are new."""
    return list_missing(proposed, in_force, "added")


@COMPARISONS.rule("entry_removed", Severity.WARNING)
def compare_removed(proposed: Config, in_force: Config) -> Iterator[Place]:
    """Find routes, services and tenants that are left out; paths are those of the one in force."""
    return list_missing(in_force, proposed, "removed")


@COMPARISONS.rule("field_changed", Severity.INFO)
def compare_fields(proposed: Config, in_force: Config) -> Iterator[Place]:
    """Find changed fields of routes, services, tenants and limits."""
    before = collect_entries(in_force)
    for key, (path, fields) in collect_entries(proposed).items():
        if key in before:
            yield from list_changes(path, f"{key[0]} {key[1]!r}", before[key][1], fields)
    old, new = in_force.limits.model_dump(), proposed.limits.model_dump()
    yield from list_changes("limits", "limits", old, new)


@COMPARISONS.rule("keys_added", Severity.INFO)
def compare_added_keys(proposed: Config, in_force: Config) -> Iterator[Place]:
    """Find tenants that gain keys."""
    return list_missing_keys(proposed, in_force, "gains")


@COMPARISONS.rule("keys_removed", Severity.WARNING)
def compare_removed_keys(proposed: Config, in_force: Config) -> Iterator[Place]:
    """Find tenants that lose keys, also by being removed; paths are those of the one in force."""
    return list_missing_keys(in_force, proposed, "loses")
