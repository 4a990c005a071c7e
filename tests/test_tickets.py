"""Tests of tickets: parsing, validation, application in order."""

import json

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.errors import TicketError
from tanagertrail.model import Configuration, FailureDomain, Target
from tanagertrail.policy.tickets import (
    MAX_TICKET_BYTES,
    apply_ticket,
    check_ticket,
    parse_ticket,
    serialize_ticket,
)
from tests.utils import build_service, build_ticket, build_upstream, raises

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=10,
)


def test_round_trip():
    ticket = build_ticket(number=3, nonce="n", operator="mika")
    assert parse_ticket(serialize_ticket(ticket)) == ticket


@given(st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_body_is_parsed_or_refused_with_a_rule(body):
    try:
        parse_ticket(body)
    except TicketError as error:
        assert all(violation.field and violation.rule for violation in error.violations)


def test_oversized_body_is_refused():
    with raises(TicketError) as caught:
        parse_ticket(b" " * (MAX_TICKET_BYTES + 1))
    assert "at most" in str(caught[0])


def test_unknown_field_is_named():
    with raises(TicketError) as caught:
        parse_ticket(b'{"servces": {}}')
    assert caught[0].violations[0].field == "servces"


def test_every_violation_is_reported():
    service = build_service(
        build_upstream(failure_domain="nowhere", slots=2, cold_slots=4),
        target=Target(version="v9", within=10, stages=(0.5, 0.2)),
    )
    refusal = check_ticket(build_ticket(services={"dial": service}), Configuration())
    text = str(refusal)
    for part in ("failure domain", "at most slots", "target.version", "must rise"):
        assert part in text, part


def test_upstream_of_two_services_is_refused():
    refusal = check_ticket(
        build_ticket(
            services={"a": build_service(build_upstream()), "b": build_service(build_upstream())}
        ),
        Configuration(),
    )
    assert "must be unique" in str(refusal)


def test_empty_ticket_is_refused():
    assert "must touch" in str(check_ticket(parse_ticket(b"{}"), Configuration()))


def test_conflict_names_the_earlier_ticket():
    configuration = apply_ticket(Configuration(), build_ticket(number=1))
    conflicting_ticket = build_ticket(based_on=0)
    assert "changed by ticket 1" in str(check_ticket(conflicting_ticket, configuration))
    assert check_ticket(build_ticket(based_on=1), configuration) is None


def test_old_ticket_changes_nothing():
    configuration = apply_ticket(Configuration(), build_ticket(number=1))
    old_ticket = build_ticket(number=1, failure_domains={"sapporo": FailureDomain(state="out")})
    assert apply_ticket(configuration, old_ticket) is configuration


def test_missing_ticket_is_an_error():
    with raises(ValueError):
        apply_ticket(Configuration(), build_ticket(number=2))


def test_ticket_replaces_only_the_items_it_changes():
    configuration = apply_ticket(Configuration(), build_ticket(number=1))
    ticket = build_ticket(
        number=2, services={}, failure_domains={"otaru": FailureDomain(state="out")}
    )
    changed_configuration = apply_ticket(configuration, ticket)
    assert changed_configuration.services == configuration.services
    assert set(changed_configuration.failure_domains) == {"sapporo", "otaru"}
