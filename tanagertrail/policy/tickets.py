"""Numbered change tickets: parsing, validation, and application in order."""

__all__ = [
    "Ticket",
    "TicketRefusal",
    "apply_ticket",
    "check_ticket",
    "list_changed_items",
    "parse_ticket",
    "serialize_ticket",
]

import json
from dataclasses import dataclass

from pydantic import Field, ValidationError

from tanagertrail.errors import TicketError, Violation
from tanagertrail.model import (
    Configuration,
    FailureDomain,
    FrozenModel,
    Service,
    iter_upstreams,
)

MAX_TICKET_BYTES = 1_000_000
MAX_INPUT_CHARACTERS = 80


class Ticket(FrozenModel):
    """A numbered change that carries the complete new state of each item it changes.

    :ivar number: position in the order of tickets, 0 until it is assigned
    :ivar nonce: identifies a submission, so that its outcome can be looked up after a lost answer
    :ivar based_on: number of the configuration on which the change is based, None to skip the
        check for conflicting changes
    :ivar services: new state by service, None to remove one
    :ivar failure_domains: new state by failure domain, None to remove one
    """

    number: int = Field(default=0, ge=0)
    nonce: str = Field(default="", max_length=64)
    operator: str = Field(default="", max_length=64)
    based_on: int | None = Field(default=None, ge=0)
    services: dict[str, Service | None] = Field(default_factory=dict)
    failure_domains: dict[str, FailureDomain | None] = Field(default_factory=dict)


@dataclass(frozen=True)
class TicketRefusal:
    """Refusal of a ticket, with all of its violations."""

    violations: tuple[Violation, ...]

    def __str__(self) -> str:
        return "; ".join(str(violation) for violation in self.violations)


def parse_ticket(body: bytes) -> Ticket:
    """Parse a ticket from JSON.

    :raises TicketError: if the body is too large, is not JSON or violates a field's rule
    """
    if len(body) > MAX_TICKET_BYTES:
        rule = f"must be at most {MAX_TICKET_BYTES} bytes"
        raise TicketError([Violation("ticket", rule, f"{len(body)} bytes")])
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise TicketError([Violation("ticket", "must be JSON", str(error))]) from error
    try:
        return Ticket.model_validate(document)
    except ValidationError as error:
        raise TicketError(list_violations(error)) from error


def list_violations(error: ValidationError) -> list[Violation]:
    """Convert a validation error to violations with field, rule and input."""
    return [
        Violation(
            ".".join(str(part) for part in item["loc"]) or "ticket",
            item["msg"],
            repr(item["input"])[:MAX_INPUT_CHARACTERS],
        )
        for item in error.errors()
    ]


def serialize_ticket(ticket: Ticket) -> bytes:
    """Serialize a ticket to JSON."""
    return ticket.model_dump_json(exclude_defaults=True).encode()


def list_changed_items(ticket: Ticket) -> list[str]:
    """Return the items that a ticket changes, as ``service/NAME`` or ``failure_domain/NAME``."""
    services = [f"service/{name}" for name in ticket.services]
    domains = [f"failure_domain/{name}" for name in ticket.failure_domains]
    return services + domains


def check_ticket(ticket: Ticket, configuration: Configuration) -> TicketRefusal | None:
    """Check a ticket against the configuration that it would change.

    All violations are reported together.
    """
    violations = list(iter_conflict_violations(ticket, configuration))
    if not list_changed_items(ticket):
        violations.append(Violation("ticket", "must touch a service or failure domain", "none"))
    merged = merge_ticket(ticket, configuration)
    for name, service in merged.services.items():
        if name in ticket.services:
            violations.extend(iter_service_violations(name, service, merged))
    violations.extend(iter_name_violations(merged))
    return TicketRefusal(tuple(violations)) if violations else None


def iter_conflict_violations(ticket: Ticket, configuration: Configuration):
    """Yield a violation for a wrong number, and for each item changed after ``based_on``."""
    if ticket.number and ticket.number != configuration.number + 1:
        rule = f"must be the next number, {configuration.number + 1}"
        yield Violation("number", rule, str(ticket.number))
    if ticket.based_on is None:
        return
    for item in list_changed_items(ticket):
        origin = configuration.origins.get(item, 0)
        if origin > ticket.based_on:
            rule = f"{item} was changed by ticket {origin}, which came first"
            yield Violation("based_on", rule, str(ticket.based_on))


def iter_service_violations(name: str, service: Service, configuration: Configuration):
    """Yield the violations in one service."""
    where = f"services.{name}"
    if service.current not in service.versions:
        yield Violation(f"{where}.current", "must name a version", service.current)
    if service.target is not None:
        yield from iter_target_violations(where, service)
    for version_name, upstream in iter_upstreams(service):
        upstream_path = f"{where}.versions.{version_name}.{upstream.name}"
        if upstream.failure_domain not in configuration.failure_domains:
            rule = "must name a failure domain"
            yield Violation(f"{upstream_path}.failure_domain", rule, upstream.failure_domain)
        if upstream.cold_slots > upstream.slots:
            rule = f"must be at most slots ({upstream.slots})"
            yield Violation(f"{upstream_path}.cold_slots", rule, str(upstream.cold_slots))
        if int(upstream.address.rpartition(":")[2]) > 65535:
            yield Violation(
                f"{upstream_path}.address", "port must be at most 65535", upstream.address
            )


def iter_target_violations(where: str, service: Service):
    """Yield the violations in a service's target.

    :param where: path of the service's field
    """
    target = service.target
    if target.version not in service.versions:
        yield Violation(f"{where}.target.version", "must name a version", target.version)
    stages = target.stages
    is_rising = all(low < high for low, high in zip(stages, stages[1:], strict=False))
    if not stages or not is_rising or stages[0] <= 0 or stages[-1] != 1.0:
        yield Violation(f"{where}.target.stages", "must rise from above 0 to 1", str(stages))


def iter_name_violations(configuration: Configuration):
    """Yield a violation for each upstream name or address that is used more than once."""
    seen: set[str] = set()
    for service_name, service in configuration.services.items():
        for _, upstream in iter_upstreams(service):
            for value in (upstream.name, upstream.address):
                if value in seen:
                    yield Violation(f"services.{service_name}", "upstream must be unique", value)
                seen.add(value)


def merge_ticket(ticket: Ticket, configuration: Configuration) -> Configuration:
    """Return the configuration with the ticket's changes applied."""
    services = dict(configuration.services)
    domains = dict(configuration.failure_domains)
    replace_items(services, ticket.services)
    replace_items(domains, ticket.failure_domains)
    origins = dict(configuration.origins)
    origins.update(dict.fromkeys(list_changed_items(ticket), ticket.number))
    return Configuration(
        number=ticket.number, services=services, failure_domains=domains, origins=origins
    )


def replace_items(items: dict, changes: dict) -> None:
    """Replace the changed items in place, and remove those whose new state is None."""
    for name, value in changes.items():
        if value is None:
            items.pop(name, None)
        else:
            items[name] = value


def apply_ticket(configuration: Configuration, ticket: Ticket) -> Configuration:
    """Return the configuration after a ticket; a ticket that was already applied has no effect.

    :raises ValueError: if the ticket is not the next one
    """
    if ticket.number <= configuration.number:
        return configuration
    if ticket.number != configuration.number + 1:
        raise ValueError(f"ticket {configuration.number + 1} is missing before {ticket.number}")
    return merge_ticket(ticket, configuration)
