"""Ids of batches and samples, derived from the step and the attempt."""

import hashlib
from typing import Any

import msgspec

from goldcrestyard.core.ids import BatchId, BodyDigest, GroupId, SampleId
from goldcrestyard.plugins.trainers.commands import StepKey

_ID_LENGTH = 32


def batch_id_of(key: StepKey, attempt: int) -> BatchId:
    """Return the id of the batch of an attempt; it has only one."""
    return BatchId("batch-" + _digest(_attempt_fields(key, attempt))[:_ID_LENGTH])


def sample_id_of(key: StepKey, attempt: int, group: GroupId, number: int) -> SampleId:
    """Return the id of a sample; ``number`` is its index within the group.

    All entries derive the same id for it.  The id is in one batch only, since
    an attempt has only one batch.
    """
    sample_fields = (*_attempt_fields(key, attempt), group, number)
    return SampleId("sample-" + _digest(sample_fields)[:_ID_LENGTH])


def question_digest(fields: dict[str, Any]) -> BodyDigest:
    """Return the digest by which questions are compared."""
    return BodyDigest(_digest(fields))


def _attempt_fields(key: StepKey, attempt: int) -> tuple[str | int, ...]:
    return (key.organisation, key.model, key.number, attempt)


def _digest(value: object) -> str:
    encoded = msgspec.json.encode(value, order="deterministic")
    return hashlib.sha256(encoded).hexdigest()
