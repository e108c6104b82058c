"""Commands, records and snapshot of the usage slice."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.ids import InstanceId, OrderId, OrganisationId
from goldcrestyard.plugins.orders.commands import Receiver
from goldcrestyard.policy.usage_windows import WindowEnd


class WindowState(Enum):
    """State of the report of a closed window; ``EMPTY`` needs no report."""

    EMPTY = "empty"
    ORDERED = "ordered"
    REPORTED = "reported"
    REFUSED = "refused"
    IN_DOUBT = "in_doubt"


@dataclass(frozen=True, slots=True)
class UsageLine:
    """Usage of one model or service by one organisation."""

    organisation: OrganisationId
    name: str
    attempts: int
    tokens_in: int
    tokens_out: int
    late: bool = False
    """Measured in an earlier window that had already been closed."""


@dataclass(frozen=True, slots=True)
class MeasuredUsage:
    """Usage lines of one window."""

    window: WindowEnd
    lines: tuple[UsageLine, ...]


@dataclass(frozen=True, slots=True)
class RecordUsage:
    """Adds the totals that an entry measured since its last record.

    Entry, incarnation and sequence number identify a repeated record.
    """

    entry: InstanceId
    incarnation: str
    sequence: int
    window_seconds: int
    measured: tuple[MeasuredUsage, ...]


@dataclass(frozen=True, slots=True)
class CloseWindow:
    """Closes all windows up to an end and orders their report."""

    window: WindowEnd
    receiver: Receiver


@dataclass(frozen=True, slots=True)
class ClosedWindow:
    """A closed window; no later record changes its lines."""

    window: WindowEnd
    order: OrderId
    lines: tuple[UsageLine, ...]
    state: WindowState
    closed_at: float
    settled_at: float = 0.0


@dataclass(frozen=True, slots=True)
class EntrySequence:
    """Sequence number of the last record applied from one run of an entry."""

    entry: InstanceId
    incarnation: str
    sequence: int


@dataclass(frozen=True, slots=True)
class UsageSnapshot:
    """Snapshot of the usage slice."""

    last_closed: WindowEnd
    open: tuple[MeasuredUsage, ...]
    closed: tuple[ClosedWindow, ...]
    sequences: tuple[EntrySequence, ...]
