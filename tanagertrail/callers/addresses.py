"""WSGI middleware that serves ``/v1/addresses`` without entering the CherryPy application."""

__all__ = ["AddressMiddleware"]

import json
from collections.abc import Callable

from tanagertrail.policy.membership import AddressAnswer

ADDRESSES_PATH = "/v1/addresses"
PREPARED_ANSWER_COUNT = 8


class AddressMiddleware:
    """Serve the caller addresses from precomputed response bodies.

    :ivar application: the wrapped WSGI application, which serves every other path
    :ivar increment_counter: increments the counter of the given name
    :ivar encoded_answers: JSON bodies, served round-robin
    :ivar request_count: number of requests served from ``encoded_answers``
    """

    def __init__(self, application: Callable, increment_counter: Callable[[str], None]) -> None:
        self.application = application
        self.increment_counter = increment_counter
        self.encoded_answers: tuple[bytes, ...] = ()
        self.request_count = 0

    def set_answers(self, answers: list[AddressAnswer]) -> None:
        """Encode the answers and replace those served so far."""
        self.encoded_answers = tuple(
            json.dumps({"addresses": answer.addresses, "keep_seconds": answer.ttl_seconds}).encode()
            for answer in answers
        )

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Serve an address request; pass others to the application.

        The application also serves address requests until the first answers are set.
        """
        encoded_answers = self.encoded_answers
        if environ["PATH_INFO"] != ADDRESSES_PATH or not encoded_answers:
            return self.application(environ, start_response)
        self.request_count += 1
        body = encoded_answers[self.request_count % len(encoded_answers)]
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        self.increment_counter("address_questions")
        return [body]
