"""Decoding of the targets' heartbeats."""

import ipaddress
from typing import Literal

import msgspec

from goldcrestyard.core.decoding import (
    Count,
    Malformed,
    WholeNumber,
    decode_json,
    is_address,
    is_id,
)
from goldcrestyard.core.ids import (
    DataCentre,
    ModelName,
    SoftwareVersion,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Rental, TargetState
from goldcrestyard.policy.heartbeats import Heartbeat

MAX_SLOTS = 65536
"""Largest number of requests that a target may claim to run at a time.  One
that claims more has sent something else, and would get all requests."""


MAX_MODELS = 256
"""Largest number of models that a target may list.  The leader keeps them for
each target."""


MAX_COLD_SECONDS = 600.0
"""Longest time in seconds for which a heartbeat may keep a target cold.  The
next one, a second later, names the time anew."""


class _Model(msgspec.Struct):
    name: str
    version: Count


class _HeartbeatBody(msgspec.Struct):
    service: str
    addr: str
    zone: str
    version: str
    """Version of the target's software, not of its weights."""
    slots: WholeNumber
    state: Literal["ready", "draining"]
    seq: Count
    """Sequence number, which increases with each heartbeat.  In an engine's
    report the same field is the number of accepted orders."""
    born: Count = 0
    """Start of this run of the target, as Unix milliseconds."""
    models: list[_Model] = []
    spot: bool = False
    """Whether the platform may reclaim the target at any time."""
    leaves_ms: float | None = None
    cold_left_ms: float | None = None


def decode(target_id: str, body: bytes) -> Heartbeat | Refusal:
    """Return the heartbeat, or a refusal if the body is invalid."""
    beat = decode_json(body, _HeartbeatBody)
    if isinstance(beat, Malformed):
        return Refusal(
            RefusalReason.BAD_REQUEST, f"unreadable heartbeat: {beat.detail}"
        )
    if not all(map(is_id, (target_id, beat.service, beat.zone, beat.version))):
        return Refusal(RefusalReason.BAD_REQUEST, "an id or a name is not valid")
    if not _is_target_address(beat.addr):
        return Refusal(RefusalReason.BAD_REQUEST, f"{beat.addr!r} is not host:port")
    if beat.slots > MAX_SLOTS:
        return Refusal(RefusalReason.BAD_REQUEST, f"{beat.slots} slots")
    if len(beat.models) > MAX_MODELS or not all(is_id(m.name) for m in beat.models):
        return Refusal(RefusalReason.BAD_REQUEST, "too many models, or an odd name")
    return Heartbeat(
        TargetId(target_id),
        beat.born,
        beat.seq,
        beat.service,
        beat.addr,
        DataCentre(beat.zone),
        max(1, beat.slots),
        TargetState(beat.state),
        Rental.RECLAIMABLE if beat.spot else Rental.ON_DEMAND,
        {ModelName(m.name): WeightVersion(m.version) for m in beat.models},
        None if beat.leaves_ms is None else beat.leaves_ms / 1000,
        SoftwareVersion(beat.version),
        min(max(0.0, (beat.cold_left_ms or 0.0) / 1000), MAX_COLD_SECONDS),
    )


def _is_target_address(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port."""
    try:
        ipaddress.IPv4Address(text.rpartition(":")[0])
    except ValueError:
        return False
    return is_address(text)
