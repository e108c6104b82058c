"""Commands, records and snapshot of the usage slice."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import InstanceId, OrderId, OrganisationId
from goldcrestyard.plugins.orders.commands import Receiver
from goldcrestyard.policy.usage_windows import WindowEnd


class WindowState(Enum):
    """What is known of the report of a closed window."""

    EMPTY = "empty"
    ORDERED = "ordered"
    REPORTED = "reported"
    REFUSED = "refused"
    IN_DOUBT = "in_doubt"


@dataclass(frozen=True, slots=True)
class UsageLine:
    """What one organisation used of one model or service."""

    organisation: OrganisationId
    name: str
    attempts: int
    tokens_in: int
    tokens_out: int
    late: bool = False
    """Measured in an earlier window that was closed already."""


@dataclass(frozen=True, slots=True)
class MeasuredUsage:
    """Lines that an entry measured in one window."""

    window: WindowEnd
    lines: tuple[UsageLine, ...]


@dataclass(frozen=True, slots=True)
class RecordUsage:
    """Totals of an entry since its last record.

    A repetition is known by entry, incarnation and sequence number.
    """

    entry: InstanceId
    incarnation: str
    sequence: int
    window_seconds: int
    measured: tuple[MeasuredUsage, ...]


@dataclass(frozen=True, slots=True)
class CloseWindow:
    """Fixes the figures of all windows up to an end and orders the report."""

    window: WindowEnd
    receiver: Receiver


@dataclass(frozen=True, slots=True)
class ClosedWindow:
    """Figures that no later record changes."""

    window: WindowEnd
    order: OrderId
    lines: tuple[UsageLine, ...]
    state: WindowState
    closed_at: float
    settled_at: float = 0.0


@dataclass(frozen=True, slots=True)
class EntrySequence:
    """The last record taken from one run of an entry."""

    entry: InstanceId
    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """The whole slice."""

    last_closed: WindowEnd
    open: tuple[MeasuredUsage, ...]
    closed: tuple[ClosedWindow, ...]
    sequences: tuple[EntrySequence, ...]
