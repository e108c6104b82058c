"""Messages between the system's own processes."""

from dataclasses import dataclass, field

from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, Revision
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.state.commands import Change


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of the connecting side."""

    cluster: str
    instance: InstanceId
    nonce: bytes


@dataclass(frozen=True, slots=True)
class HelloReply:
    """The accepting side's nonce, and its proof over both nonces."""

    instance: InstanceId
    nonce: bytes
    proof: bytes


@dataclass(frozen=True, slots=True)
class HelloProof:
    """The connecting side's proof over both nonces."""

    proof: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """Answer of a handler that could not serve the request."""

    reason: RefusalReason
    detail: str
    verdict: Verdict


@dataclass(frozen=True, slots=True)
class NotLeader:
    """The asked member is not the leader; it may know who is, and where."""

    leader: InstanceId | None
    address: str = ""


@dataclass(frozen=True, slots=True)
class Propose:
    """Asks the leader to commit a command."""

    command: bytes
    author: str
    correlation_id: CorrelationId


@dataclass(frozen=True, slots=True)
class ProposeReply:
    """The committed command's log index and encoded outcome."""

    index: LogIndex
    outcome: bytes


@dataclass(frozen=True, slots=True)
class Subscribe:
    """An entry asks for all changes after a revision."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class SubscribeReply:
    """The leader's current revision; changes follow as pushes."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class ChangesPush:
    """Changes in the order of their revisions."""

    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class SnapshotPush:
    """The fanned-out slices whole, for an entry that was away too long."""

    revision: Revision
    snapshots_by_name: dict[str, bytes]


@dataclass(frozen=True, slots=True)
class Renew:
    """An entry renews its lease and says what it has applied."""

    revision: Revision
    draining: bool = False
    digests_by_name: dict[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class RenewReply:
    """The lease granted, counted from the sending of the request."""

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
