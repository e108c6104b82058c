"""Validation of inference requests and estimates of their cost."""

from dataclasses import dataclass
from typing import Any

import msgspec

from goldcrestyard.core.decoding import WholeNumber
from goldcrestyard.core.ids import ModelName
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Priority
from goldcrestyard.policy.routing import RequestNeeds, prefix_blocks

CHARACTERS_PER_TOKEN = 4
PROMPT_TOKEN_WEIGHT = 0.1
"""Cost of a prompt token in proportion to that of a generated token."""
ASSUMED_ANSWER_TOKENS = 256
"""Assumed for requests without ``max_tokens``."""


@dataclass(frozen=True, slots=True)
class InferenceFields:
    """Fields of a request body that the entry reads."""

    model: ModelName
    stream: bool | None = False
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[Any] | None = None
    max_tokens: WholeNumber | None = None
    n: WholeNumber | None = None


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """A valid request: the fields that the entry reads, and the whole body.

    The body is forwarded with all its fields.
    """

    path: str
    fields: InferenceFields
    body: dict[str, Any]

    @property
    def asks_for_usage(self) -> bool:
        """Whether the caller requested token counts at the end of a stream."""
        options = self.body.get("stream_options")
        return isinstance(options, dict) and bool(options.get("include_usage"))

    def with_usage(self) -> "InferenceRequest":
        """Return the request with token counts at the end of the stream.

        Billing needs the engine's counts, since one event may carry several
        tokens.
        """
        options = self.body.get("stream_options")
        known = options if isinstance(options, dict) else {}
        body = {**self.body, "stream_options": {**known, "include_usage": True}}
        return InferenceRequest(self.path, self.fields, body)


def parse_request(path: str, body: dict[str, Any]) -> InferenceRequest | Refusal:
    """Validate a request body; unknown fields are not checked."""
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


def estimate_needs(request: InferenceRequest, priority: Priority) -> RequestNeeds:
    """Return the estimated needs of a request for scheduling."""
    text = _prompt_text(request.fields)
    prompt = len(text) / CHARACTERS_PER_TOKEN
    tokens = request.fields.max_tokens or ASSUMED_ANSWER_TOKENS
    return RequestNeeds(
        tokens + PROMPT_TOKEN_WEIGHT * prompt,
        priority,
        prefix_blocks(text),
        # The stream of an interactive caller would be cut off.
        survives_reclaim=priority is Priority.ROLLOUT,
    )


def prompt_tokens(request: InferenceRequest) -> int:
    """Return the number of prompt tokens, estimated from the text length."""
    return len(_prompt_text(request.fields)) // CHARACTERS_PER_TOKEN


def _prompt_text(fields: InferenceFields) -> str:
    if fields.messages is not None:
        return "\n".join(str(message.get("content")) for message in fields.messages)
    return str(fields.prompt or "")


def contains_key(body: dict[str, Any], key: str) -> bool:
    """Return whether a body contains the caller's key.

    The decoded body is searched in a new encoding, so that JSON escapes
    cannot hide the key.
    """
    return key.encode() in msgspec.json.encode(body)
