"""Refusals: values returned in place of a result, with a reason code."""

from dataclasses import dataclass
from enum import Enum

from goldcrestyard.core.verdicts import Verdict


class RefusalReason(Enum):
    """Why a request was refused; the value is the error code for callers."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CAPACITY = "capacity"
    CONFLICT = "conflict"
    DEADLINE = "deadline_exceeded"
    DRAINING = "draining"
    ENTRY_LEASE = "entry_lease_expired"
    FORBIDDEN = "forbidden"
    RESIDENCY = "residency"
    INCOMPLETE_ANSWER = "incomplete_answer"
    INVALID_KEY = "invalid_key"
    KEY_WITHDRAWN = "key_withdrawn"
    LIMIT = "limit_exceeded"
    NO_LEADER = "no_leader"
    NO_ROOM = "no_room"
    NO_TARGET = "no_target"
    NOT_FOUND = "not_found"
    SAMPLES_TOO_OLD = "samples_too_old"
    STALE_PLAN = "stale_plan"
    TARGET_FAILED = "target_failed"
    TARGETS_CRASHED = "targets_crashed"
    UNKNOWN_ORIGIN = "unknown_origin"
    UNKNOWN_MODEL = "model_not_found"
    UNKNOWN_OUTCOME = "unknown_outcome"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a request was not served, and whether it may have been executed.

    ``retry_after_seconds`` is the delay after which the caller may retry; None
    gives no advice.
    """

    reason: RefusalReason
    detail: str
    verdict: Verdict = Verdict.NOT_RUN
    retry_after_seconds: float | None = None
