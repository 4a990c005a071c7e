"""Attribution of upstreams' responses to the requests that await them."""

__all__ = ["AnswerReader", "UnprovenAnswerError", "may_reuse"]

from typing import NoReturn

from tanagertrail.errors import UpstreamProtocolError
from tanagertrail.gateway.eventlog import EventLog
from tanagertrail.gateway.exchange import AttemptResult, Exchange
from tanagertrail.gateway.upstream_stream import ResponseHead, UpstreamStream
from tanagertrail.gateway.upstream_table import UpstreamEntry
from tanagertrail.platform.header_fields import UpstreamFields, decode_upstream_fields
from tanagertrail.policy.answers import (
    PROCESSING_STATUS,
    AnswerFacts,
    Claim,
    Judgement,
    judge_answer,
)

MAX_SKIPPED_RESPONSES = 4  # late responses to other requests that are discarded


class UnprovenAnswerError(UpstreamProtocolError):
    """A response cannot be attributed to the request, or contradicts itself.

    :ivar result: how the attempt ended
    """

    def __init__(self, result: AttemptResult, reason: str) -> None:
        super().__init__(reason)
        self.result = result


class AnswerReader:
    """Read the heads of responses and attribute them to requests.

    :ivar most_bytes: largest body of a response that is not streamed
    :ivar unproven_count: responses so far that could not be attributed
    :ivar skipped_count: responses so far that belonged to other requests
    """

    def __init__(self, log: EventLog, most_bytes: int) -> None:
        self.log = log
        self.most_bytes = most_bytes
        self.unproven_count = 0
        self.skipped_count = 0

    async def read_head(
        self, exchange: Exchange, entry: UpstreamEntry, stream: UpstreamStream
    ) -> tuple[ResponseHead, UpstreamFields, Claim]:
        """Read the head of this request's response, discarding late responses to others.

        :raises UnprovenAnswerError: if a response cannot be attributed
        :raises UpstreamProtocolError: if there are too many to other requests
        """
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            head = await stream.read_head()
            fields = decode_upstream_fields(head.headers)
            facts = collect_facts(head, fields)
            if facts.is_refusal and not facts.request_ids:
                entry.names_refused_requests = False
            judgement = judge_answer(
                exchange.fields.request_id, entry.record.id, facts, stream.has_only_one_exchange
            )
            if judgement.claim in (Claim.UNPROVEN, Claim.DOUBTFUL_REFUSAL):
                self.reject(exchange, entry, judgement)
            if judgement.claim is not Claim.OTHER:
                return head, fields, judgement.claim
            self.skipped_count += 1
            await stream.read_remaining_body(self.most_bytes)
            stream.skip_response()
        raise UpstreamProtocolError(f"more than {MAX_SKIPPED_RESPONSES} answers to other requests")

    def reject(self, exchange: Exchange, entry: UpstreamEntry, judgement: Judgement) -> NoReturn:
        """Log a response that proves nothing about its request, and end the attempt.

        :raises UnprovenAnswerError: always
        """
        self.unproven_count += 1
        self.log.write_routine(
            "answer_unproven",
            request=exchange.fields.request_id,
            upstream=entry.record.id,
            claim=judgement.claim,
            reason=judgement.reason,
        )
        is_refusal = judgement.claim is Claim.DOUBTFUL_REFUSAL
        result = AttemptResult.DOUBTFUL if is_refusal else AttemptResult.BROKEN
        raise UnprovenAnswerError(result, judgement.reason)


def collect_facts(head: ResponseHead, fields: UpstreamFields) -> AnswerFacts:
    """Collect what the head of a response states about its request."""
    return AnswerFacts(
        head.status,
        fields.request_ids,
        fields.not_run,
        fields.signed,
        fields.upstream,
        PROCESSING_STATUS in head.interim_statuses,
    )


def may_reuse(exchange: Exchange, entry: UpstreamEntry) -> bool:
    """Return whether a request may be sent on a connection that has carried others.

    Its answer must be attributable there. That of a request without an id never is, nor is a
    refusal without an id.
    """
    if not exchange.fields.request_id:
        return False
    return exchange.route.idempotent or entry.names_refused_requests
