"""Bootstrap of a new cluster: its condition and its first log entry.

There are two rules.  With ``FoundingRule.ALL`` one member bootstraps the
cluster once all configured members have told that their disks are empty.
With ``FoundingRule.MAJORITY`` each founder starts with the same first entry,
and any majority of them elects the first leader.
"""

import hashlib
from collections.abc import Collection, Mapping
from enum import Enum

from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
)
from goldcrestyard.consensus.disk import FIRST_LOG_INDEX
from goldcrestyard.consensus.link import MemberIdentity
from goldcrestyard.consensus.messages import Entry, EntryKind
from goldcrestyard.consensus.persistent_state import Founding
from goldcrestyard.core.ids import InstanceId, Term

FOUNDER_INCARNATION = "founder"
"""Incarnation of a member on the disk with which its cluster was founded."""


class FoundingRule(Enum):
    """Which of the configured members must be there to form a cluster."""

    ALL = "all"
    MAJORITY = "majority"
    """Only for settings that name founders at the first start of a deployment
    alone: a founder that lost its disk must not be one again, as it could vote
    a second time."""


def make_founding(
    instance: InstanceId, addresses_by_instance: Mapping[InstanceId, str]
) -> Founding | None:
    """Return the state that a founder begins with; None for other instances.

    All founders with the same settings begin with the same cluster and the
    same entry, so that any of them may be missing, and none has to be asked.
    """
    if instance not in addresses_by_instance:
        return None
    records = tuple(
        MemberRecord(_founder_id(founder), founder, address, True)
        for founder, address in sorted(addresses_by_instance.items())
    )
    return Founding(
        _founder_id(instance),
        _founded_cluster(addresses_by_instance),
        _first_entry(Configuration(records)),
    )


def _founder_id(instance: InstanceId) -> MemberId:
    return MemberId(f"{instance}#{FOUNDER_INCARNATION}")


def _founded_cluster(founders: Collection[InstanceId]) -> str:
    return hashlib.sha256("\n".join(sorted(founders)).encode()).hexdigest()[:16]


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
    return _first_entry(Configuration(tuple(records)))


def _first_entry(configuration: Configuration) -> Entry:
    return Entry(Term(1), FIRST_LOG_INDEX, EntryKind.CONFIGURATION, b"", configuration)
