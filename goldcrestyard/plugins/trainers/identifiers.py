"""Ids of batches and samples, derived from what the trainer asked."""

import hashlib
from typing import Any

import msgspec

from goldcrestyard.core.ids import BatchId, BodyDigest, GroupId, SampleId
from goldcrestyard.plugins.trainers.commands import StepKey

_ID_LENGTH = 32


def batch_id_of(key: StepKey, attempt: int) -> BatchId:
    """Return the id of the only batch of an attempt at a step."""
    return BatchId("batch-" + _digest(_parts(key, attempt))[:_ID_LENGTH])


def sample_id_of(key: StepKey, attempt: int, group: GroupId, number: int) -> SampleId:
    """Return the id of a sample.

    It is the same on every entry that generates it, so that an id is in one
    batch only: an attempt has no second batch.
    """
    parts = (*_parts(key, attempt), group, number)
    return SampleId("sample-" + _digest(parts)[:_ID_LENGTH])


def question_digest(fields: dict[str, Any]) -> BodyDigest:
    """Return the digest by which two questions are compared."""
    return BodyDigest(_digest(fields))


def _parts(key: StepKey, attempt: int) -> tuple[str | int, ...]:
    return (key.organisation, key.model, key.number, attempt)


def _digest(value: object) -> str:
    encoded = msgspec.json.encode(value, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()
