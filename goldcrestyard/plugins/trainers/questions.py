"""What a trainer asks for."""

import dataclasses
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import msgspec

from goldcrestyard.core.ids import BodyDigest, GroupId, ModelName, SampleId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.engines.requests import InferenceFields, InferenceRequest
from goldcrestyard.plugins.trainers.commands import StepKey
from goldcrestyard.plugins.trainers.identifiers import question_digest, sample_id_of

MAX_SAMPLES = 65_536
MAX_STEP_NUMBER = 2**53 - 1
"""Largest integer that every JSON reader keeps exactly."""

DEFAULT_WAIT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Prompt:
    """The prompt of a group of samples, as messages or as text."""

    group: GroupId
    messages: list[dict[str, Any]] | None = None
    prompt: str | None = None


@dataclass(frozen=True, slots=True)
class Question:
    """The body of a request for the samples of a step."""

    model: ModelName
    prompts: list[Prompt]
    samples_per_prompt: int
    max_tokens: int
    attempt: int = 0
    wait_seconds: float = DEFAULT_WAIT_SECONDS
    temperature: float | None = None
    top_p: float | None = None
    top_k: int | None = None
    min_p: float | None = None
    presence_penalty: float | None = None
    frequency_penalty: float | None = None
    stop: str | list[str] | None = None

    @property
    def count(self) -> int:
        """The number of samples asked for."""
        return len(self.prompts) * self.samples_per_prompt

    @property
    def digest(self) -> BodyDigest:
        """Digest of what is asked, whatever the attempt and the wait."""
        fields = dataclasses.asdict(self)
        del fields["attempt"], fields["wait_seconds"]
        return question_digest(fields)

    def sampling(self) -> dict[str, Any]:
        """Return the sampling parameters to forward."""
        return {
            name: value
            for name in SAMPLING_FIELDS
            if (value := getattr(self, name)) is not None
        }


SAMPLING_FIELDS = (
    "temperature",
    "top_p",
    "top_k",
    "min_p",
    "presence_penalty",
    "frequency_penalty",
    "stop",
)


@dataclass(frozen=True, slots=True)
class SampleTask:
    """One sample to be generated."""

    id: SampleId
    prompt: Prompt
    number: int


def parse_question(body: dict[str, Any]) -> Question | Refusal:
    """Check the body of a request for samples."""
    known = {field.name for field in dataclasses.fields(Question)}
    unknown = sorted(body.keys() - known)
    if unknown:
        # An ignored sampling parameter would yield samples that the trainer
        # did not ask for.
        return _bad(f"unknown fields: {', '.join(unknown)}")
    try:
        question = msgspec.convert(body, Question)
    except msgspec.ValidationError as error:
        return _bad(str(error))
    return _check(question) or question


def _check(question: Question) -> Refusal | None:
    if question.samples_per_prompt < 1 or question.max_tokens < 1:
        return _bad("'samples_per_prompt' and 'max_tokens' must be positive")
    if not 0 < question.count <= MAX_SAMPLES:
        return _bad(f"a step has from 1 to {MAX_SAMPLES} samples")
    if question.attempt < 0:
        return _bad("'attempt' must not be negative")
    if not 0 <= question.wait_seconds < float("inf"):
        return _bad("'wait_seconds' must not be negative")
    groups = {prompt.group for prompt in question.prompts}
    if len(groups) < len(question.prompts):
        return _bad("two prompts have the same 'group'")
    for prompt in question.prompts:
        if (prompt.prompt is None) == (not prompt.messages):
            return _bad("each prompt has either 'messages' or 'prompt'")
    return None


def _bad(detail: str) -> Refusal:
    return Refusal(RefusalReason.BAD_REQUEST, detail)


def sample_tasks(key: StepKey, question: Question) -> Iterator[SampleTask]:
    """Yield every sample of a step."""
    for prompt in question.prompts:
        for number in range(question.samples_per_prompt):
            sample_id = sample_id_of(key, question.attempt, prompt.group, number)
            yield SampleTask(sample_id, prompt, number)


def inference_request(
    question: Question, prompt: Prompt, text: str, tokens: int
) -> InferenceRequest:
    """Return the request that generates a sample, or the rest of one.

    ``text`` and ``tokens`` are what was generated so far; engines continue
    the last message when ``continue_final_message`` is set.
    """
    body: dict[str, Any] = {
        "model": question.model,
        "stream": True,
        "max_tokens": question.max_tokens - tokens,
        **question.sampling(),
    }
    if prompt.messages is None:
        path = "/v1/completions"
        body["prompt"] = (prompt.prompt or "") + text
    else:
        path = "/v1/chat/completions"
        body["messages"] = prompt.messages
        if text:
            body["messages"] = [
                *prompt.messages,
                {"role": "assistant", "content": text},
            ]
            body["add_generation_prompt"] = False
            body["continue_final_message"] = True
    return InferenceRequest(path, msgspec.convert(body, InferenceFields), body)
