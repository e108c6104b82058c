"""Whether an answer is whole: each choice has ended, and none goes on."""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class ChoiceTracker:
    """Follows the choices of one answer, piece by piece."""

    expected: int = 1
    """How many choices the request asks for."""
    seen: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)
    last_event_id: str | None = None

    def add(self, data: dict[str, Any], event_id: str | None = None) -> str | None:
        """Take a piece into account; return what is wrong with it, if any."""
        if event_id is not None:
            if event_id == self.last_event_id:
                return "piece came twice"
            self.last_event_id = event_id
        # Pieces with the usage figures have no choices.
        choices = data.get("choices") or []
        if not isinstance(choices, list):
            return "malformed choices"
        for choice in choices:
            if not isinstance(choice, dict):
                return "malformed choice"
            index = choice.get("index", 0)
            if index in self.finished:
                return "piece after the finish reason"
            self.seen.add(index)
            if choice.get("finish_reason"):
                self.finished.add(index)
        return None

    def missing(self) -> str | None:
        """Return what an answer that ends now would lack, if anything."""
        if self.seen - self.finished or not self.finished:
            return "no finish reason"
        if len(self.finished) < self.expected:
            return f"{len(self.finished)} of {self.expected} choices"
        return None
