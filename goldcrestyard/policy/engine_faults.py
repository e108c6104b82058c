"""Engines whose answers to job items are invalid or exceed their bounds.

Pattern: an engine in trouble sends events without end at once, so that its
slots are free again before those of the sound engines.  If each item learned
this by itself, all items of a job would run there before they end elsewhere.
What the items have seen counts for the engine.
"""

from dataclasses import dataclass, field

from goldcrestyard.policy.crashing_requests import TargetRun
from goldcrestyard.policy.job_schedule import EngineTrust, ItemKey

AVOIDED_AFTER_ITEMS = 2
"""Number of items with a fault, without a complete text between them, from
which an engine is avoided.  A single item may be the cause itself, and would
otherwise take one engine after another from all items."""

FIRST_AVOIDANCE_SECONDS = 2.0
MAX_AVOIDANCE_SECONDS = 30.0
"""Shortest and longest time in seconds for which an engine gets no items.  The
time doubles with each failed trial."""

FAULT_EXPIRY_SECONDS = 120.0
"""Time in seconds after which a fault no longer counts."""


@dataclass(slots=True)
class _Faults:
    last_at: float
    items: set[ItemKey] = field(default_factory=set)
    avoidances: int = 0
    avoided_until: float = float("-inf")


class EngineFaults:
    """Faults of runs of engines since their last complete text.

    All times are monotonic times in seconds.
    """

    def __init__(self) -> None:
        self._faults_by_run: dict[TargetRun, _Faults] = {}

    def note_fault(self, run: TargetRun, item: ItemKey, now: float) -> None:
        """Record that a run of an engine gave an item an invalid answer."""
        self._discard_old(now)
        faults = self._faults_by_run.setdefault(run, _Faults(now))
        faults.last_at = now
        if len(faults.items) < AVOIDED_AFTER_ITEMS:
            faults.items.add(item)
        # Items that ran there at the same time end one after another; their
        # faults are one failed trial.
        if len(faults.items) < AVOIDED_AFTER_ITEMS or now < faults.avoided_until:
            return
        faults.avoided_until = now + min(
            MAX_AVOIDANCE_SECONDS, FIRST_AVOIDANCE_SECONDS * 2.0**faults.avoidances
        )
        faults.avoidances += 1

    def note_text(self, run: TargetRun) -> None:
        """Record that a run of an engine completed the text of an item."""
        self._faults_by_run.pop(run, None)

    def trust(self, run: TargetRun, now: float) -> EngineTrust:
        """Return how far a run of an engine is to be trusted."""
        faults = self._faults_by_run.get(run)
        if (
            faults is None
            or len(faults.items) < AVOIDED_AFTER_ITEMS
            or now - faults.last_at > FAULT_EXPIRY_SECONDS
        ):
            return EngineTrust.TRUSTED
        if now < faults.avoided_until:
            return EngineTrust.AVOIDED
        return EngineTrust.ON_TRIAL

    def _discard_old(self, now: float) -> None:
        self._faults_by_run = {
            run: faults
            for run, faults in self._faults_by_run.items()
            if now - faults.last_at <= FAULT_EXPIRY_SECONDS
        }
