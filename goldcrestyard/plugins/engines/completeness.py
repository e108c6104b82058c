"""Check that an engine's answer is complete.

An answer is complete if it has as many choices as requested and each of them
ended with a finish reason.
"""

from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class ChoiceTracker:
    """Tracks which choices of an answer have started and ended."""

    expected: int = 1
    """Number of choices that the request asks for."""
    seen: set[int] = field(default_factory=set)
    finished: set[int] = field(default_factory=set)
    last_event_id: str | None = None

    def add(self, data: dict[str, Any], event_id: str | None = None) -> str | None:
        """Add an event's data or a plain answer.

        Returns a description of its fault, or None if it is valid.
        """
        if event_id is not None:
            if event_id == self.last_event_id:
                return "event id came twice"
            self.last_event_id = event_id
        # Events with the token counts have no choices.
        choices = data.get("choices") or []
        if not isinstance(choices, list):
            return "malformed choices"
        for choice in choices:
            if not isinstance(choice, dict):
                return "malformed choice"
            index = choice.get("index", 0)
            if index in self.finished:
                return "event after the finish reason"
            self.seen.add(index)
            if choice.get("finish_reason"):
                self.finished.add(index)
        return None

    def missing(self) -> str | None:
        """Describe what the answer still lacks; None if it is complete."""
        if self.seen - self.finished or not self.finished:
            return "no finish reason"
        if len(self.finished) < self.expected:
            return f"only {len(self.finished)} of {self.expected} choices"
        return None
