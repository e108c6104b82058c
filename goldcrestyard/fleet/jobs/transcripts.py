"""The text that an item's runs have generated so far."""

from dataclasses import dataclass, field
from enum import Enum

from goldcrestyard.core.calls import StreamEvent
from goldcrestyard.core.ids import (
    EventNumber,
    ServiceName,
    SoftwareVersion,
    WeightVersion,
)
from goldcrestyard.core.jobs import Progress
from goldcrestyard.kernel.byte_room import ByteLease
from goldcrestyard.policy.job_sizes import EVENT_BYTES, progress_size

MAX_TEXT_BYTES = 900_000
"""Largest text of an item.  A page of results, of at most 1 MB, must hold it
and the item's ids."""


class TextShortage(Enum):
    """Why there is no room for a further event of a text."""

    TEXT = f"the text exceeds {MAX_TEXT_BYTES} bytes"
    ROOM = "no room for the text beside those of other items"


@dataclass(slots=True)
class Transcript:
    """An item's stream events without gaps, and their weight versions.

    ``lease`` is the memory that the events take; None counts none.
    """

    events: list[bytes] = field(default_factory=list)
    last_event: EventNumber | None = None
    """Number of the latest event; None before the first."""
    versions: set[WeightVersion] = field(default_factory=set)
    """All weight versions that generated a part of the text."""
    software: SoftwareVersion = SoftwareVersion("")
    """Software of the engine that generated the first event, and the only one
    that may go on; empty if it is unknown or before the first event."""
    current_version: WeightVersion | None = None
    """The version that generates the coming events; None if unknown."""
    saved_count: int = 0
    """Number of leading events that are saved in the replicated state."""
    may_be_saved: bool = False
    """Whether the replicated state may hold events of the item, also such
    that were discarded since."""
    drop_unsaved: bool = False
    """Whether the replicated state may hold events that were discarded."""
    drops: int = 0
    """Number of times that the events were discarded."""
    lease: ByteLease | None = None
    size: int = 0
    """Size of the events in bytes, with an allowance for each."""
    service: ServiceName = ServiceName("")
    """Service of the engine that generated the first event; empty if it is
    unknown or before the first event."""

    @classmethod
    def restore(
        cls, progress: Progress | None, lease: ByteLease | None = None
    ) -> "Transcript":
        """Return a transcript of saved progress, or an empty one for None."""
        if progress is None:
            return cls(lease=lease)
        size = progress_size(progress)
        if lease is not None:
            lease.add(size)
        return cls(
            list(progress.events),
            progress.last,
            set(progress.versions),
            progress.software,
            progress.current_version,
            len(progress.events),
            may_be_saved=True,
            lease=lease,
            size=size,
            service=progress.service,
        )

    def begin_run(
        self,
        version: WeightVersion | None,
        software: SoftwareVersion,
        service: ServiceName = ServiceName(""),  # noqa: B008 - immutable
    ) -> None:
        """Set the weight version of the coming events, None if unknown.

        ``software`` and ``service`` are those of the engine; they become those
        of the text unless an earlier run began it.
        """
        self.current_version = version
        if not self.events:
            self.software, self.service = software, service

    @property
    def required_software(self) -> SoftwareVersion | None:
        """The software that may go on; None if there is no text yet."""
        return self.software if self.events else None

    @property
    def begun_by(self) -> ServiceName | None:
        """The service that began the text; None if unknown or without text."""
        return (self.service or None) if self.events else None

    def take_room(self, event: StreamEvent) -> TextShortage | None:
        """Take the memory for an event; return why there is none, or None."""
        size = EVENT_BYTES + len(event.data)
        if self.size + size > MAX_TEXT_BYTES:
            return TextShortage.TEXT
        if self.lease is not None and not self.lease.grow(size):
            return TextShortage.ROOM
        self.size += size
        return None

    def add(self, event: StreamEvent) -> str | None:
        """Add an event; return why it was refused, or None if it was added."""
        expected = (
            EventNumber(self.last_event + 1) if self.last_event is not None else None
        )
        if expected is not None and event.number != expected:
            return f"got event {event.number}, expected event {expected}"
        if event.version is not None:
            self.current_version = event.version
        if self.current_version is None:
            return "the weight version is not known"
        self.events.append(event.data)
        self.last_event = event.number
        self.versions.add(self.current_version)
        return None

    def discard(self) -> None:
        """Drop all events, so that the item starts again from its prompt."""
        self.events.clear()
        self.versions.clear()
        self.last_event = None
        self.software, self.service = SoftwareVersion(""), ServiceName("")
        self.current_version = None
        self.saved_count = 0
        self.drops += 1
        self.drop_unsaved = self.may_be_saved
        self.release()

    def added_since(self, drops: int, length: int) -> int:
        """Return the number of events added since there were ``length``.

        ``drops`` is the number of drops at that time.
        """
        return len(self.events) - (length if self.drops == drops else 0)

    def release(self) -> None:
        """Give back the memory of the events, which are not used any more."""
        self.size = 0
        if self.lease is not None:
            self.lease.release()

    def record_saved(self, progress: Progress) -> None:
        """Record that the replicated state holds the unsaved progress."""
        self.saved_count = progress.kept + len(progress.events)
        self.may_be_saved = self.saved_count > 0
        self.drop_unsaved = False

    def unsaved_progress(self) -> Progress:
        """Return the progress that the replicated state lacks."""
        return Progress(
            self.saved_count,
            tuple(self.events[self.saved_count :]),
            self.last_event,
            tuple(sorted(self.versions)),
            self.current_version,
            self.software,
            self.service,
        )
