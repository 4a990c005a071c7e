"""Calls to upstreams that must run at most once, keyed by idempotency key.

Before a call is sent, an intent record is created in the object store on condition that the key
has no record, or one that proves that the call did not run. The record then keeps the result, which
a resend through any daemon gets.
"""

__all__ = ["AtMostOnceCallHandler", "CallRecord", "CallState"]

import asyncio
import enum
import uuid
from typing import NamedTuple

import msgpack
import xxhash

from tanagertrail.core.context import NodeContext
from tanagertrail.core.members import MembershipManager
from tanagertrail.core.requests import CallerRequest
from tanagertrail.core.serving import RequestServer
from tanagertrail.errors import (
    ConflictError,
    PlatformError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from tanagertrail.objectapi.objects import MAX_VALUE_BYTES
from tanagertrail.outcomes import Answered, Failed, NotRun, Outcome, Step, Unknown

CALLS_PREFIX = "calls/"
READ_BACK_ATTEMPTS = 3
READ_BACK_INTERVAL_SECONDS = 0.2
IN_PROGRESS_RETRY_AFTER_SECONDS = 1.0
STORE_RETRY_AFTER_SECONDS = 2.0
RECORD_OVERHEAD_BYTES = 4096  # room in a stored value for the fields other than the body


class CallState(enum.StrEnum):
    """State of a recorded call.

    ``OPEN`` means that the intent is stored and there is no result yet. ``UNKNOWN`` means that the
    call may have run and that its answer is not available.
    """

    OPEN = "open"
    NOT_RUN = "not_run"
    DONE = "done"
    UNKNOWN = "unknown"


class CallRecord(NamedTuple):
    """The stored record of a call.

    :ivar request_hash: hash of method, path and body, which a resend must match
    :ivar holder: identity of the daemon incarnation that makes the call
    :ivar nonce: random identifier of one attempt to make the call
    :ivar status: HTTP status of the answer, 0 if there is none
    :ivar reason: why the call did not run, failed or has an unknown result
    """

    request_hash: str
    holder: str
    nonce: str
    state: CallState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    reason: str = ""


class AtMostOnceCallHandler:
    """Make calls at most once: an intent is stored before the call is sent.

    :ivar pending_writes: final records that could not be stored, by key, each with the version of
        the intent that it replaces, None if that version is not known
    """

    def __init__(
        self, context: NodeContext, members: MembershipManager, server: RequestServer
    ) -> None:
        self.context = context
        self.members = members
        self.server = server
        self.pending_writes: dict[str, tuple[CallRecord, int | None]] = {}

    async def serve(self, request: CallerRequest) -> Outcome:
        """Serve a call, identified by its customer, service and idempotency key."""
        key = build_call_key(request)
        request_hash = hash_request(request)
        nonce = uuid.uuid4().hex
        record = CallRecord(request_hash, self.context.holder, nonce, CallState.OPEN)
        try:
            version = await self.write_intent(key, record, 0)
        except ConflictError:
            return await self.serve_recorded(request, key, record)
        except StoreUnavailableError as error:
            return build_store_refusal(error)
        except StoreOutcomeUnknownError as error:
            self.pending_writes[key] = (record._replace(state=CallState.NOT_RUN), None)
            return build_store_refusal(error)
        return await self.execute(request, key, record, version)

    async def write_intent(self, key: str, record: CallRecord, expected: int) -> int:
        """Store an intent and return its version; read it back if the store's answer was lost.

        :raises ConflictError: if a different record is stored
        :raises StoreOutcomeUnknownError: if it is not known whether the intent was stored
        """
        try:
            return (await self.context.store.put(key, encode_call_record(record), expected)).version
        except StoreOutcomeUnknownError:
            return await self.read_back(key, record, expected)

    async def read_back(self, key: str, record: CallRecord, expected: int) -> int:
        """Return the version of an intent whose write got no answer, if it took effect.

        :raises ConflictError: if a different record, or none, is stored
        :raises StoreOutcomeUnknownError: if the store could not be read
        """
        for _ in range(READ_BACK_ATTEMPTS):
            try:
                stored = await self.context.store.get(key)
            except PlatformError:
                await asyncio.sleep(READ_BACK_INTERVAL_SECONDS)
                continue
            if stored is not None and decode_call_record(stored.value) == record:
                return stored.version
            stored_version = stored.version if stored else 0
            raise ConflictError(key, expected, stored_version)
        raise StoreOutcomeUnknownError(f"{key} could not be read back")

    async def serve_recorded(self, request: CallerRequest, key: str, record: CallRecord) -> Outcome:
        """Serve a call whose key already has a record."""
        try:
            stored = await self.context.store.get(key)
        except PlatformError as error:
            return Unknown(
                Step.RECORD, "store", str(error), 503, retry_after=STORE_RETRY_AFTER_SECONDS
            )
        if stored is None:
            return NotRun(Step.RECORD, "store", "the key's record is changing", 503, 0.5)
        stored_record = decode_call_record(stored.value)
        if stored_record.request_hash != record.request_hash:
            reason = "Idempotency-Key: was used with another request"
            return NotRun(Step.RECORD, self.context.daemon, reason, 422, None)
        if stored_record.state is CallState.NOT_RUN:
            return await self.retry_not_run(request, key, record, stored.version)
        return self.build_recorded_outcome(stored_record)

    async def retry_not_run(
        self, request: CallerRequest, key: str, record: CallRecord, version: int
    ) -> Outcome:
        """Make a call again whose record proves that it did not run."""
        try:
            new_version = await self.write_intent(key, record, version)
        except ConflictError:
            return Unknown(
                Step.RECORD,
                self.context.daemon,
                "another daemon has taken the call up",
                409,
                IN_PROGRESS_RETRY_AFTER_SECONDS,
            )
        except StoreUnavailableError as error:
            return build_store_refusal(error)
        except StoreOutcomeUnknownError as error:
            self.pending_writes[key] = (record._replace(state=CallState.NOT_RUN), None)
            return build_store_refusal(error)
        return await self.execute(request, key, record, new_version)

    def build_recorded_outcome(self, known: CallRecord) -> Outcome:
        """Return the outcome of a call that is in progress or has ended, from its record."""
        if known.state is CallState.DONE:
            return Answered(
                known.holder,
                Step.RECORD,
                known.status,
                known.body,
                known.content_type,
            )
        current = self.members.membership.is_current(known.holder)
        if known.state is CallState.UNKNOWN or not current:
            reason = known.reason or "the daemon that made the call was lost"
            return Unknown(Step.RECORD, known.holder, reason, 504)
        return Unknown(
            Step.RECORD,
            known.holder,
            "the call is being made",
            409,
            IN_PROGRESS_RETRY_AFTER_SECONDS,
        )

    async def execute(
        self, request: CallerRequest, key: str, record: CallRecord, version: int
    ) -> Outcome:
        """Make the call once and store its result over the intent.

        :param version: version of the stored intent
        """
        outcome = await self.server.serve(request._replace(repeatable=False))
        final_record = self.build_final_record(record, outcome)
        self.server.on_step(Step.RECORD, request)
        try:
            await self.context.store.put(key, encode_call_record(final_record), version)
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            self.pending_writes[key] = (final_record, version)
        except ConflictError:
            self.context.recorder.count("call_records_taken")
        return outcome

    def build_final_record(self, record: CallRecord, outcome: Outcome) -> CallRecord:
        """Return the record that replaces the intent after the call."""
        match outcome:
            case Answered() if len(outcome.body) < MAX_VALUE_BYTES - RECORD_OVERHEAD_BYTES:
                return record._replace(
                    state=CallState.DONE,
                    status=outcome.status,
                    content_type=outcome.content_type,
                    body=outcome.body,
                )
            case Answered():
                reason = "the call was made; its answer was too long to keep"
                return record._replace(state=CallState.UNKNOWN, reason=reason)
            case NotRun():
                return record._replace(state=CallState.NOT_RUN, reason=outcome.reason)
            case Failed() if outcome.status >= 500:
                return record._replace(
                    state=CallState.DONE,
                    status=outcome.status,
                    content_type="application/json",
                    reason=outcome.reason,
                )
            case _:
                return record._replace(state=CallState.UNKNOWN, reason=outcome.reason)

    async def repair(self) -> None:
        """Store the final records that could not be stored before."""
        for key, (record, version) in list(self.pending_writes.items()):
            try:
                await self.write_pending(key, record, version)
            except (ConflictError, StoreOutcomeUnknownError):
                continue
            except StoreUnavailableError:
                return
            self.pending_writes.pop(key, None)

    async def write_pending(self, key: str, record: CallRecord, version: int | None) -> None:
        """Store a final record if the stored one is still the open intent that it replaces."""
        stored = await self.context.store.get(key)
        if stored is None:
            return
        stored_record = decode_call_record(stored.value)
        if stored_record.nonce != record.nonce or stored_record.state is not CallState.OPEN:
            return
        if version is not None and stored.version != version:
            return
        await self.context.store.put(key, encode_call_record(record), stored.version)


def build_store_refusal(error: PlatformError) -> NotRun:
    """Return the outcome of a call that was not made because its intent could not be stored."""
    reason = f"the call could not be recorded: {error}"
    return NotRun(Step.RECORD, "store", reason, 503, STORE_RETRY_AFTER_SECONDS)


def build_call_key(request: CallerRequest) -> str:
    """Return the store key of a call's record."""
    key_fields = (request.customer, request.service, request.idempotency_key)
    digest = xxhash.xxh128_hexdigest("\x00".join(key_fields).encode())
    return f"{CALLS_PREFIX}{digest}"


def hash_request(request: CallerRequest) -> str:
    """Return the hash of the request's method, path and body."""
    head = f"{request.method}\x00{request.path}\x00".encode()
    return xxhash.xxh128_hexdigest(head + request.body)


def encode_call_record(record: CallRecord) -> bytes:
    """Encode a call's record for the store."""
    return msgpack.packb([*record[:3], str(record.state), *record[4:]])


def decode_call_record(value: bytes) -> CallRecord:
    """Decode a stored record of a call."""
    fields = msgpack.unpackb(value)
    return CallRecord(*fields[:3], CallState(fields[3]), *fields[4:])
