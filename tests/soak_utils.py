"""Builders of what a run of the soak has shown."""

from tanagertrail.soak.callers import Call
from tanagertrail.soak.checks import build_events, find_broken
from tanagertrail.soak.evidence import Evidence, RunSeen
from tanagertrail.soak.workload import ORDER_ROUTES
from tanagertrail.standins.documents import CUSTOMERS

GUILD = CUSTOMERS[0]
NARROW = CUSTOMERS[1]


def build_call(number, route="book", status=200, sent_at=10.0, customer=GUILD, **changes):
    """Return a call that went well, with changes."""
    body = b"order" if route in ORDER_ROUTES else b""
    answer = build_events() if route == "talk" else b"answer of up-1"
    call = Call(f"r{number}", route, customer, body, 1000, sent_at, sent_at + 0.1)
    call = call._replace(status=status, stamp=f"up-1.r{number}", answer=answer, whole=True)
    return call._replace(**changes)


def build_run(number, route="book", at=10.05, customer=GUILD, **changes):
    """Return what an upstream saw of a call that went well."""
    body = b"order" if route in ORDER_ROUTES else b""
    run = RunSeen(f"r{number}", customer.name, "up-1", "north", f"/{route}/x", body, at, False)
    return run._replace(**changes)


def build_evidence(calls, runs, **changes):
    """Return the evidence of a calm run."""
    evidence = Evidence(0.0, 60.0, [], calls, runs, [], [], [], [])
    return evidence._replace(**changes)


def name_broken(evidence):
    """Return the names of the checks that found something."""
    return {text.partition(":")[0] for text in find_broken(evidence)}
