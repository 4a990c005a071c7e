"""Decoding and encoding of the operators' rollout orders and of their states."""

__all__ = ["ROLLOUTS", "decode_rollout", "encode_rollout_status"]

from collections.abc import Mapping
from typing import Annotated, Any

from pydantic import ConfigDict, Field, ValidationError

from tanagertrail.decoding import MAX_NAME_LENGTH, MAX_REVISION, MAX_SECONDS
from tanagertrail.errors import InvalidInputError, Violation
from tanagertrail.platform.records import MAX_SHOWN, Document, Name, convert_validation_error
from tanagertrail.platform.store import StoredObject
from tanagertrail.policy.rollout_orders import RolloutEntry, RolloutOrder, RolloutReport

ROLLOUTS = "rollouts"  # kind of objects in the store
MAX_REPORTED_VERSIONS = 64  # in each list of a rollout's status


class RolloutDocument(Document):
    """An order to roll out the version ``target`` of a service."""

    service: Name
    target: str = Field(max_length=MAX_NAME_LENGTH)
    duration_s: float = Field(ge=0, le=MAX_SECONDS)


Versions = Annotated[
    list[Annotated[str, Field(max_length=MAX_NAME_LENGTH)]], Field(max_length=MAX_REPORTED_VERSIONS)
]


class ReportedOrderDocument(Document):
    """The order that the status of an entry was reported for."""

    model_config = ConfigDict(strict=True)

    revision: int = Field(ge=0, le=MAX_REVISION)
    duration_s: float = Field(ge=0, le=MAX_SECONDS)
    served: Versions | None = None
    withdrawn: Versions = Field(default_factory=list)


def decode_rollout(item: StoredObject) -> RolloutEntry:
    """Decode an order to roll out a version, with the state that was last reported in its entry.

    :raises InvalidInputError: if it is malformed
    """
    try:
        document = RolloutDocument.model_validate(item.content)
    except ValidationError as error:
        raise convert_validation_error(error) from error
    if document.service != item.name:
        shown = document.service[:MAX_SHOWN]
        raise InvalidInputError([Violation("service", "must be the order's name", shown)])
    return RolloutEntry(
        document.service,
        document.target,
        document.duration_s,
        decode_rollout_report(item.report),
        item.revision,
        item.created,
    )


def decode_rollout_report(status: Any) -> RolloutReport:
    """Decode the status of a rollout; parts that cannot be read are left out."""
    if not isinstance(status, Mapping):
        return RolloutReport()
    report = RolloutReport(read_text(status, "state"), read_text(status, "target"))
    try:
        order = ReportedOrderDocument.model_validate(status.get("order"))
    except ValidationError:
        return report
    served = None if order.served is None else tuple(order.served)
    return report._replace(
        seconds=order.duration_s,
        order_id=order.revision,
        served=served,
        withdrawn=tuple(order.withdrawn),
    )


def read_text(table: Mapping[str, Any], name: str) -> str:
    """Return a text of a table, empty if it is missing or of another type."""
    value = table.get(name)
    return value if isinstance(value, str) else ""


def encode_rollout_status(
    order: RolloutOrder, state: str, withdrawn: tuple[str, ...]
) -> dict[str, Any]:
    """Encode the state of a rollout as the status of its entry.

    :param withdrawn: versions that were ordered before and not completed
    """
    reported = ReportedOrderDocument(
        revision=order.order_id,
        duration_s=order.seconds,
        served=None if order.served is None else list(order.served),
        withdrawn=list(withdrawn),
    )
    return {"state": state, "target": order.version, "order": reported.model_dump()}
