"""Whether this daemon reaches the upstreams over its own connections."""

__all__ = ["UpstreamLinks"]

from tanagertrail.gateway.upstream_table import UpstreamEntry


class UpstreamLinks:
    """This daemon's links to all upstreams.

    :ivar is_cut: whether this daemon is cut off from all upstreams
    """

    def __init__(self) -> None:
        self.is_cut = False

    def uses_own_links(self) -> bool:
        """Return whether the next request goes over this daemon's own connections."""
        return not self.is_cut

    async def settle(self) -> bool:
        """Wait for the probes under way and return whether this daemon is cut off."""
        return self.is_cut

    def note_reached(self, entry: UpstreamEntry) -> None:
        """Record that an upstream accepted a connection or answered."""

    def note_unreached(self, entry: UpstreamEntry, error: Exception) -> None:
        """Record that a connection could not be opened, broke or was silent."""
