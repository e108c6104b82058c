"""Payloads of log entries and snapshots."""

from dataclasses import dataclass

from goldcrestyard.core.ids import CorrelationId, Revision
from goldcrestyard.state.commands import Envelope
from goldcrestyard.wire.codec import Codec


@dataclass(frozen=True, slots=True)
class LoggedCommand:
    """An encoded command with who proposed it and the leader's wall time."""

    command: bytes
    author: str
    correlation_id: CorrelationId
    time: float


def to_envelope(codec: Codec, payload: bytes) -> Envelope:
    """Decode the payload of a log entry."""
    logged = codec.decode(payload)
    assert isinstance(logged, LoggedCommand)
    return Envelope(
        codec.decode(logged.command),
        logged.author,
        logged.correlation_id,
        logged.time,
    )


@dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """The state machine's state, each slice encoded."""

    revision: Revision
    last_time: float
    snapshots_by_name: dict[str, bytes]
