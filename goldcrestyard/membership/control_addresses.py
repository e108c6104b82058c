"""The control members that an entry knows."""

from collections.abc import Iterator, Mapping

import structlog

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.wire.client import PeerAddress
from goldcrestyard.wire.messages import NotLeader

logger = structlog.get_logger(__name__)


class ControlAddresses(Mapping[InstanceId, PeerAddress]):
    """Peer addresses by instance; it grows while the process runs.

    What was learned is kept beside the addresses of the settings, which may
    be of members that have long been replaced.  For a member that the
    settings name, they go first: each instance may have its own way to it.
    """

    def __init__(self, addresses_by_id: Mapping[InstanceId, str]) -> None:
        self._named = frozenset(addresses_by_id)
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
        """Return who leads, by a member's word, and keep its address."""
        if reply.leader is not None and reply.address:
            self.learn(reply.leader, reply.address)
        return reply.leader

    def learn(self, instance: InstanceId, address: str) -> None:
        """Keep the address of a further member."""
        if instance in self._named:
            return
        parsed = PeerAddress.parse(address)
        if self._addresses_by_id.get(instance) != parsed:
            logger.info("control member learned", member=instance, address=address)
            self._addresses_by_id[instance] = parsed
