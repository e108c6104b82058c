"""Token counts of attempts, as the engine reports them or estimated."""

from dataclasses import dataclass
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from goldcrestyard.core.attempts import Answered, AttemptOutcome, TokenCount
from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.plugins.engines.requests import InferenceRequest, prompt_tokens

ReportedTokens = Annotated[int, Meta(ge=0, lt=2**31)]
"""A number of tokens that one answer can have."""


@dataclass(frozen=True, slots=True)
class _Usage:
    prompt_tokens: ReportedTokens
    completion_tokens: ReportedTokens


@dataclass(frozen=True, slots=True)
class _AnswerWithUsage:
    usage: _Usage | None = None


def token_count_of_answer(outcome: AttemptOutcome) -> TokenCount | None:
    """Return the token count that a plain answer reports, or None."""
    if not isinstance(outcome, Answered) or outcome.status >= 400:
        return None
    answer = decode_json(outcome.body, _AnswerWithUsage)
    return None if isinstance(answer, Malformed) else _to_count(answer.usage)


class StreamTokenCounter:
    """Counts the tokens of a stream.

    The engine reports its counts at the end of a complete stream.  Until
    then each event counts as one token, and the prompt is estimated by its
    length.
    """

    def __init__(self, request: InferenceRequest) -> None:
        self.count = TokenCount(prompt_tokens(request), 0)
        self._asked_for_usage = request.asks_for_usage

    def add(self, data: dict[str, Any]) -> None:
        """Update the count with the data of an event."""
        reported = data.get("usage")
        if isinstance(reported, dict):
            try:
                self.count = _to_count(msgspec.convert(reported, _Usage)) or self.count
            except msgspec.ValidationError:
                pass
        elif data.get("choices"):
            self.count = TokenCount(self.count.prompt, self.count.generated + 1)

    def is_unrequested_usage(self, data: dict[str, Any]) -> bool:
        """Return whether an event has only counts that were not requested."""
        return (
            not self._asked_for_usage
            and not data.get("choices")
            and data.get("usage") is not None
        )


def _to_count(usage: _Usage | None) -> TokenCount | None:
    if usage is None:
        return None
    return TokenCount(usage.prompt_tokens, usage.completion_tokens)
