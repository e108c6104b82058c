"""Decisions on peer connections that have not proved the cluster secret.

Load: crowds of strangers that hold such connections, or open them again and
again, while instances of the deployment connect.
"""

from collections import Counter
from collections.abc import Hashable

MAX_UNPROVED_BYTES = 16 * 1024
"""Most bytes that are taken from a peer before it has proved the secret, with
the head of the opening request.  With short names 377 bytes were measured up
to the last message of the handshake, which has some 60."""

MAX_UNPROVED_CONNECTIONS = 512
"""Most connections without the proof.  All 370 instances of the design size
may connect at once after a change of the leader.  One takes 32 kB with its
parser, its task and the bytes that it may send (measured with 512)."""

DESCRIPTOR_SHARE = 0.25
MIN_UNPROVED_CONNECTIONS = 16


def max_unproved(descriptors: int) -> int:
    """Return how many connections without the proof a process may have."""
    by_descriptors = int(DESCRIPTOR_SHARE * descriptors)
    return max(MIN_UNPROVED_CONNECTIONS, min(by_descriptors, MAX_UNPROVED_CONNECTIONS))


class UnprovedPeers:
    """The open connections without the proof, oldest first, by address.

    A connection beyond the limit displaces the oldest one of the address that
    has the most.  Strangers at one address thus displace each other.  A crowd
    of many addresses, or at the peer's own, displaces a peer only if as many
    connections as the limit come while it proves the secret; of several from
    one peer, the older ones go first.  Refusing new connections instead would
    let strangers that hold all places keep peers out.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._addresses_by_connection: dict[Hashable, str] = {}
        self._counts_by_address: Counter[str] = Counter()

    def add(self, connection: Hashable, address: str) -> Hashable | None:
        """Add a connection; return the one to close for it, if any."""
        self._addresses_by_connection[connection] = address
        self._counts_by_address[address] += 1
        if len(self._addresses_by_connection) <= self._limit:
            return None
        most = max(self._counts_by_address.values())
        displaced = next(
            known
            for known, its_address in self._addresses_by_connection.items()
            if self._counts_by_address[its_address] == most
        )
        self.remove(displaced)
        return displaced

    def remove(self, connection: Hashable) -> None:
        """Remove a connection that has proved the secret or is closed."""
        address = self._addresses_by_connection.pop(connection, None)
        if address is None:
            return
        self._counts_by_address[address] -= 1
        if not self._counts_by_address[address]:
            del self._counts_by_address[address]
