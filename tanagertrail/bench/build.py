"""Builders of what bench commands send."""

__all__ = ["build_chat_body", "build_model_ticket"]

import json

from tanagertrail.model import FailureDomain, Service, Upstream, Version
from tanagertrail.policy.tickets import Ticket

PROMPT = "Draft a report on a radium dial with worn print."


def build_chat_body(service: str, tokens: int, prompt: str = PROMPT) -> bytes:
    """Build the body of a streamed chat request."""
    message = {"role": "user", "content": prompt}
    document = {"model": service, "stream": True, "max_tokens": tokens, "messages": [message]}
    return json.dumps(document).encode()


def build_model_ticket(upstreams: tuple[Upstream, ...]) -> Ticket:
    """Build a ticket that creates one model service."""
    service = Service(versions={"v1": Version(upstreams=upstreams)}, current="v1")
    domains = {upstream.failure_domain: FailureDomain() for upstream in upstreams}
    return Ticket(operator="bench", services={"dial": service}, failure_domains=domains)
