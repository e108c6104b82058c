"""Addresses of the control members that this process knows."""

from collections.abc import Iterator, Mapping

import structlog

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.wire.client import PeerAddress
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)


class ControlAddresses(Mapping[InstanceId, PeerAddress]):
    """Peer addresses by instance, extended while the process runs.

    Addresses received from other members are added to those in the settings,
    since the members that the settings name may have been replaced.  For a
    member named in the settings, the address there takes precedence, because
    instances may reach that member at different addresses.
    """

    def __init__(self, addresses_by_id: Mapping[InstanceId, str]) -> None:
        self._configured = frozenset(addresses_by_id)
        self._addresses_by_id = {
            instance: PeerAddress.parse(address)
            for instance, address in addresses_by_id.items()
        }

    def __getitem__(self, instance: InstanceId) -> PeerAddress:
        return self._addresses_by_id[instance]

    def __iter__(self) -> Iterator[InstanceId]:
        return iter(tuple(self._addresses_by_id))

    def __len__(self) -> int:
        return len(self._addresses_by_id)

    def learn_leader(self, reply: NotLeader) -> InstanceId | None:
        """Return the leader that a member reported, and store its address."""
        if reply.leader is not None and reply.address:
            self.add_address(reply.leader, reply.address)
        return reply.leader

    def add_address(self, instance: InstanceId, address: str) -> None:
        """Store a member's address, unless the settings name the member."""
        if instance in self._configured:
            return
        parsed = PeerAddress.parse(address)
        if self._addresses_by_id.get(instance) != parsed:
            logger.info(
                "control member address received", member=instance, address=address
            )
            self._addresses_by_id[instance] = parsed
