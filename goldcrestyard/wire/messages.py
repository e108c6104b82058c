"""Messages of the handshake, of proposals and of entries' subscriptions.

Plug-ins define further messages.  Class and field names are part of the
encoding.
"""

from dataclasses import dataclass, field

from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, Revision
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.state.commands import Change


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the handshake, sent by the client."""

    cluster: str
    instance: InstanceId
    nonce: bytes


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Reply to ``Hello`` with the server's nonce and proof."""

    instance: InstanceId
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class HelloProof:
    """Last message of the handshake, with the client's proof."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """Reply to a request that a process could not serve.

    ``verdict`` states whether the request may have taken effect.
    """

    reason: RefusalReason
    detail: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class NotLeader:
    """Reply of a control member that is not the leader.

    ``leader`` and ``address`` name the leader if it is known.
    """

    leader: InstanceId | None
    address: str = ""


@dataclass(frozen=True, slots=True)
class Propose:
    """Asks the leader to commit an encoded command."""

    command: bytes
    author: str
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """Reply to ``Propose``: the command's log index and encoded outcome."""

    index: LogIndex
    outcome: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """An entry's request for all changes after a revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class SubscribeReply:
    """Reply to ``Subscribe`` with the leader's revision; changes follow."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangesPush:
    """Push of committed changes to an entry, in order of their revisions."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SnapshotPush:
    """Push of complete slices to an entry that has missed too many changes.

    ``snapshots_by_name`` holds the encoded snapshots by slice name.
    """

    revision: Revision
    snapshots_by_name: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class Renew:
    """An entry's lease renewal, with the last revision that it has applied."""

    revision: Revision
    draining: bool = False
    digests_by_name: dict[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RenewReply:
    """Reply to ``Renew``; the lease begins when ``Renew`` was sent.

    0 in ``lease_seconds`` means that no lease was granted.
    """

    lease_seconds: float
    revision: Revision
    summaries_by_name: dict[str, bytes] = field(default_factory=dict)


MESSAGES = (
    Hello,
    HelloReply,
    HelloProof,
    Failure,
    NotLeader,
    Propose,
    ProposeReply,
    Subscribe,
    SubscribeReply,
    ChangesPush,
    SnapshotPush,
    Renew,
    RenewReply,
)
