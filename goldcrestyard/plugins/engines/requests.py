"""The part of an inference request that the entry reads."""

from dataclasses import dataclass
from typing import Any

import msgspec

from goldcrestyard.core.ids import ModelName
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.policy.routing import RequestNeeds, prefix_blocks

CHARACTERS_PER_TOKEN = 4
PREFILL_WEIGHT = 0.1
"""Cost of a prompt token next to that of a generated one."""
DEFAULT_MAX_TOKENS = 256
"""Estimate for requests that set no limit."""


@dataclass(frozen=True, slots=True)
class InferenceFields:
    """Fields of a request body that the entry must understand."""

    model: ModelName
    stream: bool | None = False
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[Any] | None = None
    max_tokens: int | None = None
    n: int | None = None


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """A checked request: what the entry reads, and the body to forward."""

    path: str
    fields: InferenceFields
    body: dict[str, Any]

    @property
    def asks_for_usage(self) -> bool:
        """Whether the caller wants the token figures of a stream."""
        options = self.body.get("stream_options")
        return isinstance(options, dict) and bool(options.get("include_usage"))

    def with_usage(self) -> "InferenceRequest":
        """Return a request whose stream ends with the token figures.

        They are needed for correct bills: a piece may hold several tokens.
        """
        options = self.body.get("stream_options")
        known = options if isinstance(options, dict) else {}
        body = {**self.body, "stream_options": {**known, "include_usage": True}}
        return InferenceRequest(self.path, self.fields, body)


def parse(path: str, body: dict[str, Any]) -> InferenceRequest | Refusal:
    """Check a request body; unknown fields are forwarded as they are."""
    try:
        fields = msgspec.convert(body, InferenceFields)
    except msgspec.ValidationError as error:
        return Refusal(RefusalReason.BAD_REQUEST, str(error))
    if path.endswith("/chat/completions") and not fields.messages:
        return Refusal(RefusalReason.BAD_REQUEST, "'messages' must not be empty")
    if path.endswith("/v1/completions") and fields.prompt is None:
        return Refusal(RefusalReason.BAD_REQUEST, "'prompt' is missing")
    if fields.max_tokens is not None and fields.max_tokens < 1:
        return Refusal(RefusalReason.BAD_REQUEST, "'max_tokens' must be positive")
    if fields.n is not None and fields.n < 1:
        return Refusal(RefusalReason.BAD_REQUEST, "'n' must be positive")
    return InferenceRequest(path, fields, body)


def needs_of(request: InferenceRequest, priority: Priority) -> RequestNeeds:
    """Return what a request needs from an engine, as an estimate."""
    text = _prompt_text(request.fields)
    prompt = len(text) / CHARACTERS_PER_TOKEN
    tokens = request.fields.max_tokens or DEFAULT_MAX_TOKENS
    return RequestNeeds(
        tokens + PREFILL_WEIGHT * prompt,
        priority,
        prefix_blocks(text),
        # An interactive caller would see its stream break off.
        survives_reclaim=priority is Priority.ROLLOUT,
    )


def prompt_tokens(request: InferenceRequest) -> int:
    """Return the tokens of a prompt, estimated from its length."""
    return len(_prompt_text(request.fields)) // CHARACTERS_PER_TOKEN


def _prompt_text(fields: InferenceFields) -> str:
    if fields.messages is not None:
        return "\n".join(str(message.get("content")) for message in fields.messages)
    return str(fields.prompt or "")


def shows_key(body: dict[str, Any], key: str) -> bool:
    """Return whether a body would show the caller's key to an engine.

    The body is encoded again, so that escapes cannot hide the key.
    """
    return key.encode() in msgspec.json.encode(body)
