"""What operators are shown of a daemon."""

__all__ = ["build_status", "describe_ticket", "list_tickets"]

from typing import TypedDict

from tanagertrail.core.configuration import TICKETS_PREFIX, build_ticket_key
from tanagertrail.core.node import Node
from tanagertrail.model import Service
from tanagertrail.policy.tickets import Ticket, list_changed_items, parse_ticket


class UpstreamView(TypedDict):
    """An upstream as one daemon sees it."""

    version: str
    failure_domain: str
    address: str
    block: int
    in_flight: int
    bound: int
    slots: int
    excluded: bool


class ServiceView(TypedDict):
    """A service with its versions' shares and its move, if one is under way."""

    kind: str
    shares: dict[str, float]
    move: str
    move_reason: str
    upstreams: dict[str, UpstreamView]


class DaemonView(TypedDict):
    """A daemon as another sees it."""

    state: str
    incarnation: int
    failure_domain: str
    caller_address: str
    operator_address: str


class StatusView(TypedDict):
    """The status of one daemon."""

    daemon: str
    ready: bool
    ticket: int
    missing_ticket: int
    services: dict[str, ServiceView]
    failure_domains: dict[str, str]
    daemons: dict[str, DaemonView]
    duties: list[int]
    ledgers: int
    counters: dict[str, int]


class TicketView(TypedDict):
    """A ticket and how far it has come."""

    number: int
    operator: str
    touches: list[str]
    in_force: bool
    moves: dict[str, str]


def build_status(node: Node) -> StatusView:
    """Describe what a daemon knows."""
    configuration = node.configuration.current
    domains = {name: domain.state for name, domain in configuration.failure_domains.items()}
    return StatusView(
        daemon=node.context.daemon,
        ready=node.ready,
        ticket=configuration.number,
        missing_ticket=node.configuration.missing_ticket_number,
        services={
            name: view_service(node, name, service)
            for name, service in configuration.services.items()
        },
        failure_domains=domains,
        daemons=view_daemons(node),
        duties=sorted(node.duties.held_leases),
        ledgers=len(node.limiter.ledgers),
        counters=dict(node.recorder.counters),
    )


def view_service(node: Node, name: str, service: Service) -> ServiceView:
    """Describe one service."""
    state = node.traffic.find_rollout(name, service)
    upstreams: dict[str, UpstreamView] = {}
    for version_name, version in service.versions.items():
        for upstream in version.upstreams:
            entry = node.limiter.slot_holder.held[upstream.name]
            upstreams[upstream.name] = UpstreamView(
                version=version_name,
                failure_domain=upstream.failure_domain,
                address=upstream.address,
                block=entry.block,
                in_flight=entry.in_flight,
                bound=entry.bound,
                slots=entry.slots,
                excluded=upstream.name in node.limiter.excluded_upstreams,
            )
    return ServiceView(
        kind=str(service.kind),
        shares=node.traffic.compute_shares(name, service),
        move=f"{state.new}: {state.phase}" if state else "",
        move_reason=state.reason if state else "",
        upstreams=upstreams,
    )


def view_daemons(node: Node) -> dict[str, DaemonView]:
    """Describe the daemons known."""
    views = {}
    for name, member in sorted(node.members.membership.members.items()):
        record = node.members.records[name]
        views[name] = DaemonView(
            state=str(member.state),
            incarnation=member.incarnation,
            failure_domain=member.failure_domain,
            caller_address=member.caller_address,
            operator_address=record.operator_address,
        )
    return views


def describe_ticket(node: Node, number: int) -> TicketView | None:
    """Describe one ticket, None if it is not known here."""
    row = node.shared.get(build_ticket_key(number))
    return view_ticket(node, parse_ticket(row.value)) if row else None


def list_tickets(node: Node) -> list[TicketView]:
    """Describe the tickets known, oldest first."""
    rows = node.shared.list_rows(TICKETS_PREFIX)
    return [view_ticket(node, parse_ticket(row.value)) for row in rows]


def view_ticket(node: Node, ticket: Ticket) -> TicketView:
    """Describe a ticket."""
    return TicketView(
        number=ticket.number,
        operator=ticket.operator,
        touches=list_changed_items(ticket),
        in_force=node.configuration.current.number >= ticket.number,
        moves={
            name: describe_move(node, name, ticket.number)
            for name, service in ticket.services.items()
            if service is not None and service.target is not None
        },
    )


def describe_move(node: Node, service: str, number: int) -> str:
    """Say where the move stands that a ticket asked for."""
    state = node.traffic.rollout_states.get(service)
    origin = node.traffic.get_service_ticket(service)
    if state is not None and state.ticket == number:
        return f"{state.phase}" + (f" ({state.reason})" if state.reason else "")
    if origin > number:
        return f"replaced by ticket {origin}"
    return "waiting"
