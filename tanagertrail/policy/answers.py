"""Decisions on what an upstream's answer proves about the request that awaits one."""

__all__ = ["PROCESSING_STATUS", "AnswerFacts", "Claim", "Judgement", "judge_answer"]

import enum
from typing import NamedTuple

MISDIRECTED_STATUS = 421
PROCESSING_STATUS = 102
REFUSAL_STATUSES = frozenset({400, 408, MISDIRECTED_STATUS, 429, 503})
PROMISING_STATUSES = frozenset({408, 429, 503})  # callers read them as "not run"


class Claim(enum.StrEnum):
    """What an answer is to the request that awaits one.

    ``REFUSAL`` and ``MISDIRECTED`` prove that the request was not run. ``OTHER`` belongs to another
    request. ``UNPROVEN`` and ``DOUBTFUL_REFUSAL`` cannot be attributed or contradict themselves:
    the request may have run, and nothing else on its connection can be attributed either.
    """

    RESULT = "result"
    REFUSAL = "refusal"
    MISDIRECTED = "misdirected"
    OTHER = "other"
    DOUBTFUL_REFUSAL = "doubtful refusal"
    UNPROVEN = "unproven"


class AnswerFacts(NamedTuple):
    """What the head of an answer states.

    :ivar request_ids: ids of the requests that it names
    :ivar not_run: whether it states that the request was not run
    :ivar signed: whether it has an upstream's signature
    :ivar upstream: id of the upstream that it names, empty if it names none
    :ivar was_processing: whether an interim answer announced that the request is being processed
    """

    status: int
    request_ids: frozenset[str]
    not_run: bool
    signed: bool
    upstream: str
    was_processing: bool = False

    @property
    def is_refusal(self) -> bool:
        """Whether it says that its request was not run."""
        return self.not_run or self.status == MISDIRECTED_STATUS


class Judgement(NamedTuple):
    """The claim of an answer, with the reason if it proves nothing."""

    claim: Claim
    reason: str = ""


def judge_answer(request_id: str, upstream: str, facts: AnswerFacts, is_first: bool) -> Judgement:
    """Judge what an answer proves about a request.

    An answer without an id may be a copy of an earlier one. Only as the first answer of a
    connection can it be a refusal of this request.

    :param request_id: id of the request, empty if it has none
    :param upstream: id of the upstream that it was sent to
    :param is_first: whether nothing else was sent or received on the connection
    """
    unproven = Claim.DOUBTFUL_REFUSAL if facts.is_refusal else Claim.UNPROVEN
    if len(facts.request_ids) > 1:
        return Judgement(unproven, "the answer names several requests")
    named = "".join(facts.request_ids)
    if named and named != request_id:
        return Judgement(Claim.OTHER)
    if not named and not (is_first and (facts.is_refusal or not request_id)):
        return Judgement(unproven, "the answer names no request")
    if facts.is_refusal:
        return judge_refusal(facts)
    return judge_result(upstream, facts)


def judge_refusal(facts: AnswerFacts) -> Judgement:
    """Judge an answer that says that its request was not run."""
    if facts.status not in REFUSAL_STATUSES:
        return Judgement(
            Claim.DOUBTFUL_REFUSAL, f"status {facts.status} of a request that was not run"
        )
    if facts.was_processing:
        return Judgement(Claim.DOUBTFUL_REFUSAL, "a refusal of a request in progress")
    if facts.status == MISDIRECTED_STATUS:
        return Judgement(Claim.MISDIRECTED)
    return Judgement(Claim.REFUSAL)


def judge_result(upstream: str, facts: AnswerFacts) -> Judgement:
    """Judge an answer that does not say that its request was not run."""
    if not facts.signed:
        return Judgement(Claim.UNPROVEN, f"unsigned status {facts.status}")
    if facts.upstream and facts.upstream != upstream:
        return Judgement(Claim.UNPROVEN, "another upstream has signed the answer")
    if facts.status in PROMISING_STATUSES:
        return Judgement(Claim.UNPROVEN, f"status {facts.status} without the mark of a refusal")
    return Judgement(Claim.RESULT)
