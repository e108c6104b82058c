"""Encoded payloads of command entries and of snapshots."""

from dataclasses import dataclass

from goldcrestyard.core.ids import CorrelationId, Revision
from goldcrestyard.state.commands import Envelope
from goldcrestyard.wire.codec import Codec


@dataclass(frozen=True, slots=True)
class LoggedCommand:
    """Payload of a command entry.

    ``command`` is the encoded command, ``author`` its proposer, and ``time``
    the leader's wall time in seconds.
    """

    command: bytes
    author: str
    correlation_id: CorrelationId
    time: float


def decode_envelope(codec: Codec, payload: bytes) -> Envelope:
    """Decode the payload of a command entry."""
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
    """Data of a snapshot: the state machine, with each slice encoded.

    ``last_time`` is the latest time of a command, in seconds of wall time.
    """

    revision: Revision
    last_time: float
    snapshots_by_name: dict[str, bytes]
