"""Bootstrap of a new cluster: its condition and its first log entry."""

from collections.abc import Mapping

from goldcrestyard.consensus.configuration import Configuration, MemberRecord
from goldcrestyard.consensus.disk import FIRST_LOG_INDEX
from goldcrestyard.consensus.link import MemberIdentity
from goldcrestyard.consensus.messages import Entry, EntryKind
from goldcrestyard.core.ids import InstanceId, Term


def make_bootstrap_entry(
    addresses_by_instance: Mapping[InstanceId, str],
    identities_by_instance: Mapping[InstanceId, MemberIdentity],
) -> Entry | None:
    """Return the first log entry, or None if no cluster may be formed.

    Every configured member must have reported that it belongs to no cluster
    and that its settings name the same members.  A member that lost its disk
    receives the cluster id of the others, and waits to be replaced.
    """
    named = tuple(sorted(addresses_by_instance))
    records = []
    for instance in named:
        identity = identities_by_instance.get(instance)
        if identity is None or identity.cluster or identity.named != named:
            return None
        address = addresses_by_instance[instance]
        records.append(MemberRecord(identity.member, instance, address, True))
    return Entry(
        Term(1),
        FIRST_LOG_INDEX,
        EntryKind.CONFIGURATION,
        b"",
        Configuration(tuple(records)),
    )
