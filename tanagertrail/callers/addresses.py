"""A WSGI layer that answers address questions before the full application."""

__all__ = ["AddressMiddleware"]

import json
from collections.abc import Callable

from tanagertrail.policy.membership import AddressAnswer

ADDRESSES_PATH = "/v1/addresses"
PREPARED_ANSWER_COUNT = 8


class AddressMiddleware:
    """Answer address questions from answers that the core prepares.

    :ivar bodies: prepared answers, given out in turn
    """

    def __init__(self, application: Callable, count: Callable[[str], None]) -> None:
        self.application = application
        self.count = count
        self.bodies: tuple[bytes, ...] = ()
        self.asked = 0

    def set_answers(self, answers: list[AddressAnswer]) -> None:
        """Take the answers to give out from now on."""
        self.bodies = tuple(
            json.dumps({"addresses": item.addresses, "keep_seconds": item.ttl_seconds}).encode()
            for item in answers
        )

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer a question, or pass the request on."""
        bodies = self.bodies
        if environ["PATH_INFO"] != ADDRESSES_PATH or not bodies:
            return self.application(environ, start_response)
        self.asked += 1
        body = bodies[self.asked % len(bodies)]
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        self.count("address_questions")
        return [body]
