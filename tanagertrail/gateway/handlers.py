"""What each kind of stored object changes in a daemon's beliefs."""

__all__ = [
    "ConfigHandler",
    "EvacuationHandler",
    "RolloutHandler",
    "UpstreamHandler",
    "take_document",
]

import asyncio
import json

from tanagertrail.errors import InvalidInputError
from tanagertrail.gateway.beliefs import Beliefs
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.watching import BaseKindHandler
from tanagertrail.platform.records import (
    decode_configuration,
    decode_rollout,
    decode_upstream,
)
from tanagertrail.platform.store import StoredObject

MAIN_CONFIG = "main"
RETURN_SECONDS = 2.3  # entries that lapsed in an outage are back about 2 s after its end


def take_document(beliefs: Beliefs, log: EventLog, document: bytes, source: str) -> bool:
    """Take a stored configuration; one that cannot be read changes nothing."""
    try:
        config = decode_configuration(json.loads(document))
    except (ValueError, InvalidInputError) as error:
        log.write("config_refused", source=source, error=str(error)[:500])
        return False
    taken = beliefs.take_config(config, document)
    if taken:
        log.write("config_in_force", version=config.version, source=source)
    return taken


class ConfigHandler(BaseKindHandler):
    """Follow the operator's configuration."""

    def __init__(self, beliefs: Beliefs, log: EventLog) -> None:
        self.beliefs = beliefs
        self.log = log
        self.unreadable = False

    def replace_all(self, objects: list[StoredObject], recovered: bool) -> None:
        """Take the configuration that is stored."""
        for item in objects:
            self.apply_change(item, False)

    def apply_change(self, item: StoredObject, deleted: bool) -> None:
        """Take a new version."""
        if item.name != MAIN_CONFIG or deleted:
            return
        document = json.dumps(item.content).encode()
        take_document(self.beliefs, self.log, document, "store")
        stored = item.content.get("version") if isinstance(item.content, dict) else None
        known = self.beliefs.config.version if self.beliefs.config else 0
        self.unreadable = not isinstance(stored, int) or stored > known

    def note_current(self, at: float) -> None:
        """Note when the version in force was the newest."""
        if self.beliefs.config is not None and not self.unreadable:
            self.beliefs.prove(self.beliefs.config.version, at)


class UpstreamHandler(BaseKindHandler):
    """Follow the registrations of upstreams."""

    def __init__(self, beliefs: Beliefs, log: EventLog) -> None:
        self.beliefs = beliefs
        self.log = log
        self.missing: dict[str, asyncio.TimerHandle] = {}

    @property
    def table(self):
        """Return the table of upstreams."""
        return self.beliefs.upstreams

    def replace_all(self, objects: list[StoredObject], recovered: bool) -> None:
        """Take all registrations; after an outage missing ones have some time to return."""
        present = {item.name for item in objects}
        for name in [name for name in self.table.entries if name not in present]:
            if recovered:
                self.await_return(name)
            else:
                self.remove(name, "not listed")
        for item in objects:
            self.apply_change(item, False)
        self.beliefs.upstreams_known = True

    def await_return(self, name: str) -> None:
        """Remove an upstream unless it registers again within some seconds."""
        if name not in self.missing:
            loop = asyncio.get_running_loop()
            self.missing[name] = loop.call_later(RETURN_SECONDS, self.give_up, name)
            self.log.write("upstream_missing", upstream=name, kept_s=RETURN_SECONDS)

    def give_up(self, name: str) -> None:
        """Remove an upstream that has not returned."""
        self.missing.pop(name, None)
        self.remove(name, "has not returned")

    def remove(self, name: str, reason: str) -> None:
        """Remove an upstream."""
        if self.table.remove(name) is not None:
            self.log.write("upstream_removed", upstream=name, reason=reason)

    def apply_change(self, item: StoredObject, deleted: bool) -> None:
        """Take a change of a registration; one that cannot be read names no upstream."""
        if deleted or item.deleting:
            self.remove(item.name, "deregistered")
            return
        timer = self.missing.pop(item.name, None)
        if timer is not None:
            timer.cancel()
        try:
            record = decode_upstream(item)
        except InvalidInputError as error:
            self.log.write("upstream_refused", upstream=item.name, error=str(error)[:200])
            self.remove(item.name, "unreadable")
            return
        now = asyncio.get_running_loop().time()
        if self.table.put(record, now):
            self.log.write(
                "upstream_registered",
                upstream=record.id,
                service=record.service,
                address=record.address,
                failure_domain=record.failure_domain,
                version=record.version,
                draining=record.draining,
                cold_s=record.cold_for,
                reclaimable=record.reclaimable,
                leaves_s=record.leaves_in,
                revision=item.revision,
            )


class EvacuationHandler(BaseKindHandler):
    """Follow the failure domains that get no work."""

    def __init__(self, beliefs: Beliefs, log: EventLog) -> None:
        self.beliefs = beliefs
        self.log = log

    def replace_all(self, objects: list[StoredObject], recovered: bool) -> None:
        """Take all evacuated failure domains."""
        present = {item.name for item in objects if not item.deleting}
        if present != self.beliefs.evacuated:
            self.log.write("domains_out", failure_domains=sorted(present))
        self.beliefs.evacuated = present

    def apply_change(self, item: StoredObject, deleted: bool) -> None:
        """Take a failure domain out or back in."""
        out = not (deleted or item.deleting)
        self.log.write("domain", failure_domain=item.name, out=out, revision=item.revision)
        if out:
            self.beliefs.evacuated.add(item.name)
        else:
            self.beliefs.evacuated.discard(item.name)


class RolloutHandler(BaseKindHandler):
    """Follow the orders to move services to versions."""

    def __init__(self, beliefs: Beliefs, log: EventLog) -> None:
        self.beliefs = beliefs
        self.log = log

    def replace_all(self, objects: list[StoredObject], recovered: bool) -> None:
        """Take all orders."""
        present = {item.name for item in objects}
        for name in [name for name in self.beliefs.rollouts if name not in present]:
            del self.beliefs.rollouts[name]
        for item in objects:
            self.apply_change(item, False)

    def apply_change(self, item: StoredObject, deleted: bool) -> None:
        """Take a change of an order."""
        if deleted or item.deleting:
            self.beliefs.rollouts.pop(item.name, None)
            return
        try:
            order = decode_rollout(item)
        except InvalidInputError as error:
            self.log.write("rollout_refused", service=item.name, error=str(error)[:200])
            return
        self.beliefs.rollouts[item.name] = order
        self.log.write(
            "rollout",
            service=order.service,
            version=order.version,
            state=order.state,
            revision=order.revision,
        )
