"""What the runs of an item have generated so far."""

from dataclasses import dataclass, field

from goldcrestyard.core.calls import StreamEvent
from goldcrestyard.core.ids import EventNumber, WeightVersion
from goldcrestyard.core.jobs import Progress


@dataclass(slots=True)
class Transcript:
    """Events of an item, with the versions that generated them."""

    events: list[bytes] = field(default_factory=list)
    last: EventNumber | None = None
    versions: set[WeightVersion] = field(default_factory=set)
    current_version: WeightVersion | None = None
    saved: int = 0
    """Number of events that the replicated state has."""

    @classmethod
    def restore(cls, progress: Progress | None) -> "Transcript":
        """Return what the replicated state has of an item."""
        if progress is None:
            return cls()
        return cls(
            list(progress.events),
            progress.last,
            set(progress.versions),
            progress.current_version,
            len(progress.events),
        )

    def begin_run(self, version: WeightVersion | None) -> None:
        """Note the version with which a run begins."""
        self.current_version = version

    def add(self, event: StreamEvent) -> str | None:
        """Add an event, or return why it does not follow."""
        expected = EventNumber(self.last + 1) if self.last is not None else None
        if expected is not None and event.number != expected:
            return f"event {event.number} came where {expected} was due"
        if event.version is not None:
            self.current_version = event.version
        if self.current_version is None:
            return "the weight version is not known"
        self.events.append(event.data)
        self.last = event.number
        self.versions.add(self.current_version)
        return None

    def discard(self) -> None:
        """Forget everything: the item starts again from its prompt."""
        self.events.clear()
        self.versions.clear()
        self.last = None
        self.current_version = None
        self.saved = 0

    def unsaved(self) -> Progress:
        """Return what the replicated state lacks."""
        return Progress(
            self.saved,
            tuple(self.events[self.saved :]),
            self.last,
            tuple(sorted(self.versions)),
            self.current_version,
        )
