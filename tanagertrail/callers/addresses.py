"""A WSGI layer that answers address questions before the full application."""

__all__ = ["AddressMiddleware"]

import json
from collections.abc import Callable

from tanagertrail.policy.membership import AddressAnswer

ADDRESSES_PATH = "/v1/addresses"
PREPARED_ANSWER_COUNT = 8


class AddressMiddleware:
    """Answer address questions from answers that the core prepares.

    :ivar encoded_answers: prepared answers, given out in turn
    """

    def __init__(self, application: Callable, increment_counter: Callable[[str], None]) -> None:
        self.application = application
        self.increment_counter = increment_counter
        self.encoded_answers: tuple[bytes, ...] = ()
        self.request_count = 0

    def set_answers(self, answers: list[AddressAnswer]) -> None:
        """Take the answers to give out from now on."""
        self.encoded_answers = tuple(
            json.dumps({"addresses": answer.addresses, "keep_seconds": answer.ttl_seconds}).encode()
            for answer in answers
        )

    def __call__(self, environ: dict, start_response: Callable) -> list[bytes]:
        """Answer a question, or pass the request on."""
        encoded_answers = self.encoded_answers
        if environ["PATH_INFO"] != ADDRESSES_PATH or not encoded_answers:
            return self.application(environ, start_response)
        self.request_count += 1
        body = encoded_answers[self.request_count % len(encoded_answers)]
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        self.increment_counter("address_questions")
        return [body]
