"""Status reports that gateway daemons exchange."""

__all__ = ["MemberRow", "PeerReport"]

from typing import NamedTuple

from tanagertrail.daemons.messages import MESSAGES


class MemberRow(NamedTuple):
    """What a daemon knows of a member.

    :ivar incarnation: Unix time in milliseconds of its start
    :ivar address: its address for traffic between daemons
    :ivar front: its address for callers
    :ivar age_ms: time since it was last heard of, by whatever way
    """

    daemon: str
    incarnation: int
    address: str
    front: str
    failure_domain: str
    serving: bool
    age_ms: int


@MESSAGES.register("peer_report")
class PeerReport(NamedTuple):
    """The state of a daemon that its peers reckon with.

    :ivar counter: number of this report in its incarnation
    :ivar config_version: version of the configuration in force, 0 for none
    :ivar proof_age_ms: time since that version was known to be the newest, -1 for never
    :ivar configuration: the stored configuration as JSON, empty if the receiver has it
    :ivar flights: (upstream, requests of the sender that are there)
    :ivar quota: (customer, units used since the sender's start, units per second now)
    :ivar usage: (window, ((customer, requests begun), ...))
    :ivar leading: fencing number of the lease that the sender holds, 0 for none
    :ivar members: rows of :class:`MemberRow`
    """

    daemon: str
    incarnation: int
    counter: int
    address: str
    front: str
    failure_domain: str
    serving: bool
    config_version: int
    proof_age_ms: int
    configuration: bytes
    flights: tuple
    quota: tuple
    usage: tuple
    leading: int
    members: tuple
