"""Identity of rollout orders, when operators replace one by another in the same entry."""

__all__ = [
    "RolloutEntry",
    "RolloutOrder",
    "RolloutReport",
    "find_withdrawn",
    "identify_order",
]

from collections.abc import Iterable
from typing import NamedTuple

from tanagertrail.policy.canary import CanaryState

MAX_WITHDRAWN = 8  # versions remembered for a service, the newest last


class RolloutReport(NamedTuple):
    """The state that was last reported in an entry, perhaps for an earlier order.

    :ivar state: empty if there is none
    :ivar version: version that it was reported for
    :ivar seconds: seconds that its order gave, None from releases that don't tell
    :ivar order_id: identity of its order, likewise
    :ivar served: versions that were in service when its order was given, None if unknown
    :ivar withdrawn: versions that were ordered before and not completed
    """

    state: str = ""
    version: str = ""
    seconds: float | None = None
    order_id: int | None = None
    served: tuple[str, ...] | None = None
    withdrawn: tuple[str, ...] = ()

    @property
    def completed(self) -> bool:
        """Whether the version was rolled out completely."""
        return self.state == CanaryState.COMPLETED


class RolloutEntry(NamedTuple):
    """The stored entry of a service's rollout.

    :ivar version: version that is ordered
    :ivar seconds: seconds within which its rollout has to end
    :ivar revision: revision of the stored object
    :ivar created: revision at which it was created, which outlives each order
    """

    service: str
    version: str
    seconds: float
    report: RolloutReport
    revision: int
    created: int

    @property
    def is_reported(self) -> bool:
        """Whether the report is that of the order in the entry.

        A version that has all requests already needs no second rollout.
        """
        report = self.report
        if report.version != self.version:
            return False
        return report.seconds in (None, self.seconds) or report.completed


class RolloutOrder(NamedTuple):
    """An order to roll out a version of a service.

    :ivar version: the new version
    :ivar seconds: seconds within which the rollout has to end
    :ivar state: state that was reported last, empty if there is none
    :ivar reported_version: version that this state was reported for
    :ivar revision: revision of the stored object
    :ivar order_id: revision at which the order was first seen, the same at all daemons
    :ivar is_report_lost: whether the store has lost the state, so that it has to be reported again
    :ivar served: versions that were in service when the order was given, None if unknown
    """

    service: str
    version: str
    seconds: float
    state: str
    reported_version: str
    revision: int
    order_id: int
    is_report_lost: bool = False
    served: tuple[str, ...] | None = None

    @property
    def ended(self) -> bool:
        """Whether the end of the rollout was reported."""
        ends = (CanaryState.COMPLETED, CanaryState.ROLLED_BACK)
        return self.reported_version == self.version and self.state in ends

    @property
    def completed(self) -> bool:
        """Whether the new version was rolled out completely."""
        return self.ended and self.state == CanaryState.COMPLETED

    @property
    def is_return(self) -> bool:
        """Whether the version was in service before, so that the order withdraws another one."""
        return self.served is not None and self.version in self.served

    def equals_request(self, other: "RolloutOrder") -> bool:
        """Return whether both ask for the same."""
        return (self.version, self.seconds) == (other.version, other.seconds)


def identify_order(entry: RolloutEntry, former: RolloutOrder | None) -> RolloutOrder:
    """Return the order in an entry, with the state that was reported for this order.

    The first report of an order depends on the entry's revision and names it, so that all daemons
    know the order by the same number, whichever changes they have seen.

    :param former: order that was known before
    """
    report = entry.report
    request = RolloutOrder(
        entry.service, entry.version, entry.seconds, "", "", entry.revision, entry.revision
    )
    if entry.is_reported:
        order_id = entry.created if report.order_id is None else report.order_id
        return request._replace(
            state=report.state,
            reported_version=report.version,
            order_id=order_id,
            served=report.served,
        )
    request = request._replace(
        served=(report.version,) if report.completed else report.served,
    )
    if former is not None and not former.reported_version and former.equals_request(request):
        return request._replace(order_id=former.order_id)
    return request


def find_withdrawn(
    entry: RolloutEntry, former: RolloutOrder | None, known: Iterable[str]
) -> tuple[str, ...]:
    """Return the versions that were ordered before the order in an entry and not completed.

    :param former: order that was known before
    :param known: such versions that were known before
    """
    report = entry.report
    versions = dict.fromkeys((*known, *report.withdrawn))
    served = (entry.report.served or ()) if not report.completed else (report.version,)
    if report.version and not report.completed:
        versions[report.version] = None
    if former is not None and not (former.completed or former.is_return):
        versions[former.version] = None
    for version in (entry.version, *served):
        versions.pop(version, None)
    return tuple(versions)[-MAX_WITHDRAWN:]
