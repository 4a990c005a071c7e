"""States received from other daemons, and totals over them."""

__all__ = [
    "STATE_MAX_AGE_SECONDS",
    "FleetTotals",
    "ReceivedState",
    "complete_state",
    "is_newer",
    "pack_liveness",
    "pack_relayed_states",
]

from collections import Counter
from collections.abc import Iterable, Mapping

from tanagertrail.daemons.peer_messages import (
    DaemonState,
    FleetSummary,
    LivenessRecord,
    pack_rows,
)
from tanagertrail.daemons.releases import CARRIER_RELEASE, COMPLETED_RELEASE, ReleaseForm
from tanagertrail.gateway.peer_rows import encode_liveness, encode_state

STATE_MAX_AGE_SECONDS = 4.5  # older states are neither relayed nor counted


class ReceivedState:
    """A state received from another daemon.

    :ivar reported_at: event-loop time in seconds at which the daemon reported the state
    :ivar direct: whether the daemon itself sent the state, rather than a hub that relayed it
    :ivar in_totals: whether the state is included in the :class:`FleetTotals`
    """

    def __init__(self, state: DaemonState, reported_at: float, direct: bool) -> None:
        self.state = state
        self.reported_at = reported_at
        self.direct = direct
        self.in_totals = False


class FleetTotals:
    """Totals of requests in flight and of quota rates over many daemons.

    Updated incrementally as states arrive and expire: computing the totals from scratch for each
    request would cost a hub time quadratic in the size of the fleet.
    """

    def __init__(self) -> None:
        self.daemon_count = 0
        self.in_flight: Counter[str] = Counter()
        self.rates: Counter[str] = Counter()

    def add(self, known: ReceivedState) -> None:
        """Add a state to the totals."""
        known.in_totals = True
        self.accumulate(known.state, 1)

    def remove(self, known: ReceivedState) -> None:
        """Remove a state from the totals if it is included."""
        if known.in_totals:
            known.in_totals = False
            self.accumulate(known.state, -1)

    def accumulate(self, state: DaemonState, factor: int) -> None:
        """Add a state to the totals, or subtract it.

        :param factor: 1 to add, -1 to subtract
        """
        self.daemon_count += factor
        for upstream_id, count in state.in_flight:
            self.in_flight[upstream_id] += factor * count
            if not self.in_flight[upstream_id]:
                del self.in_flight[upstream_id]
        for customer, _, rate in state.quota:
            self.rates[customer] += factor * rate

    def remove_outdated(self, states: Iterable[ReceivedState], now: float) -> None:
        """Remove the states that are too old to count."""
        for known in states:
            if known.in_totals and now - known.reported_at > STATE_MAX_AGE_SECONDS:
                self.remove(known)

    def summarize(
        self, own: DaemonState, receiver: ReceivedState | None, quota_used: Counter[str]
    ) -> FleetSummary:
        """Return the totals over all daemons except the receiver.

        :param own: the state of this daemon, which the totals include
        :param receiver: last state of the receiver, or None
        :param quota_used: units by customer that all other daemons reported
        """
        in_flight = self.in_flight + Counter(dict(own.in_flight))
        rates = self.rates + Counter({customer: rate for customer, _, rate in own.quota})
        used = quota_used + Counter({customer: total for customer, total, _ in own.quota})
        daemons = self.daemon_count + 1
        if receiver is not None:
            used.subtract({customer: total for customer, total, _ in receiver.state.quota})
        if receiver is not None and receiver.in_totals:
            daemons -= 1
            in_flight -= Counter(dict(receiver.state.in_flight))
            rates.subtract({customer: rate for customer, _, rate in receiver.state.quota})
        quota = tuple(
            (customer, total, max(rates[customer], 0.0)) for customer, total in used.items()
        )
        return FleetSummary(daemons, tuple(in_flight.items()), quota)


def is_newer(state: DaemonState, known: DaemonState) -> bool:
    """Return whether a state is newer than another one of the same daemon."""
    return (state.incarnation, state.counter) > (known.incarnation, known.counter)


def complete_state(state: DaemonState, known: DaemonState | None) -> DaemonState:
    """Complete a state that an older hub has passed on without the fields that it does not know.

    What holds until it is told anew is taken from the last state; rows with ages are not.

    :param known: last state of the same daemon, or None
    """
    if known is None or known.incarnation != state.incarnation or known.release <= state.release:
        return state
    if state.release < COMPLETED_RELEASE:
        state = state._replace(completed=known.completed)
    if state.release < CARRIER_RELEASE:
        state = state._replace(reaches_upstreams=known.reaches_upstreams, carrier=known.carrier)
    return state._replace(release=known.release)


def pack_relayed_states(
    states: Mapping[str, ReceivedState], excluded: str, form: ReleaseForm, now: float
) -> bytes:
    """Pack the states that a hub received directly, for another hub that reads a form.

    States relayed by other hubs are left out, so that no state circulates between hubs. What
    upstreams state or is learned of them is left out too, because the sender's own state holds all
    that it knows of that.

    :param excluded: daemon that gets the states and so does not need its own
    :param now: event-loop time in seconds
    """
    return pack_rows(
        encode_state(
            known.state._replace(
                age_ms=int((now - known.reported_at) * 1000),
                limits=(),
                leaving=(),
                brittle=(),
                paces=(),
            ),
            form,
        )
        for name, known in states.items()
        if known.direct and name != excluded and now - known.reported_at <= STATE_MAX_AGE_SECONDS
    )


def pack_liveness(
    states: Mapping[str, ReceivedState], excluded: str, form: ReleaseForm, now: float
) -> bytes:
    """Pack liveness records of all other daemons, for a daemon that reads a form.

    :param excluded: daemon that gets the records
    :param now: event-loop time in seconds
    """
    return pack_rows(
        encode_liveness(
            LivenessRecord(
                name,
                known.state.incarnation,
                known.state.serving,
                known.state.lease_fencing,
                int((now - known.reported_at) * 1000),
                known.state.reaches_upstreams,
                known.state.release,
            ),
            form,
        )
        for name, known in states.items()
        if name != excluded and now - known.reported_at <= STATE_MAX_AGE_SECONDS
    )
