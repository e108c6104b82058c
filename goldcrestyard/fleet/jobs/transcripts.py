"""What the runs of an item have generated so far."""

from dataclasses import dataclass, field

from goldcrestyard.core.calls import StreamEvent
from goldcrestyard.core.ids import EventNumber, WeightVersion


@dataclass(slots=True)
class Transcript:
    """Events of an item, with the versions that generated them."""

    events: list[bytes] = field(default_factory=list)
    last: EventNumber | None = None
    versions: set[WeightVersion] = field(default_factory=set)
    current_version: WeightVersion | None = None

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

    @property
    def text(self) -> bytes:
        """The data of all events."""
        return b"\n".join(self.events)
