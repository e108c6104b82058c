"""The part of an inference request that the entry reads."""

from dataclasses import dataclass
from typing import Any

import msgspec

from goldcrestyard.core.ids import ModelName
from goldcrestyard.core.refusals import Refusal, RefusalReason


@dataclass(frozen=True, slots=True)
class InferenceFields:
    """Fields of a request body that the entry must understand."""

    model: ModelName
    stream: bool | None = False
    messages: list[dict[str, Any]] | None = None
    prompt: str | list[Any] | None = None
    max_tokens: int | None = None


@dataclass(frozen=True, slots=True)
class InferenceRequest:
    """A checked request: what the entry reads, and the body to forward."""

    path: str
    fields: InferenceFields
    body: dict[str, Any]


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
    return InferenceRequest(path, fields, body)
