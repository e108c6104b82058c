"""Expected length of the texts of job items, in events of a stream.

A trainer may estimate the number of tokens of each text.  How many tokens an
event carries is learned from texts that are complete.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName

DEFAULT_EVENTS = 30.0
"""Expected number of events of an item without an estimate."""

EXPECTED_TOKENS_PER_EVENT = 50.0
"""Assumed number of tokens in an event, before any text is complete."""

HISTORY_WEIGHT = 0.98
"""Weight that earlier texts keep with each text that is added."""

MIN_REMAINING_SHARE = 0.5
"""Least expected remainder, as a share of the events so far.  The lengths have
a long tail: a text that outgrows its estimate goes on for long."""


@dataclass(slots=True)
class _Totals:
    tokens: float = 0.0
    events: float = 0.0


class ItemLengths:
    """Learns the number of tokens in an event, and estimates lengths."""

    def __init__(self) -> None:
        self._totals_by_model: dict[ModelName, _Totals] = {}

    def observe(self, model: ModelName, estimated_tokens: int, events: int) -> None:
        """Record a complete text and the estimate that the trainer gave."""
        if estimated_tokens <= 0 or events <= 0:
            return
        totals = self._totals_by_model.setdefault(model, _Totals())
        totals.tokens = HISTORY_WEIGHT * totals.tokens + estimated_tokens
        totals.events = HISTORY_WEIGHT * totals.events + events

    def remaining_events(
        self, model: ModelName, estimated_tokens: int, events_so_far: int
    ) -> float:
        """Return the expected number of further events of a text."""
        expected = DEFAULT_EVENTS
        if estimated_tokens > 0:
            expected = estimated_tokens / self._tokens_per_event(model)
        return max(expected - events_so_far, MIN_REMAINING_SHARE * events_so_far, 1.0)

    def text_tokens(
        self,
        model: ModelName,
        estimated_tokens: int,
        events_so_far: int,
        max_tokens_per_event: int = 0,
    ) -> float:
        """Return the expected number of tokens of a complete text.

        ``max_tokens_per_event`` is 0 if it is not known.
        """
        events = events_so_far + self.remaining_events(
            model, estimated_tokens, events_so_far
        )
        per_event = self._tokens_per_event(model)
        if max_tokens_per_event > 0:
            per_event = min(per_event, max_tokens_per_event)
        return events * per_event

    def _tokens_per_event(self, model: ModelName) -> float:
        totals = self._totals_by_model.get(model)
        if totals is None:
            return EXPECTED_TOKENS_PER_EVENT
        return totals.tokens / totals.events
