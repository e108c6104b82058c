"""Messages between entries and the leader about suspected requests."""

from dataclasses import dataclass

from goldcrestyard.core.ids import RequestDigest
from goldcrestyard.policy.crashing_requests import TargetRun


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A run of a target that ended while it had a request to answer."""

    request: RequestDigest
    run: TargetRun
    age_seconds: float
    """Time between the crash and the sending of this record."""


@dataclass(frozen=True, slots=True)
class AnswerRecord:
    """A target has answered a request that was suspected."""

    request: RequestDigest
    age_seconds: float


@dataclass(frozen=True, slots=True)
class SuspectRecords:
    """Digest of an entry, or summary of the leader."""

    crashes: tuple[CrashRecord, ...]
    answers: tuple[AnswerRecord, ...]


MESSAGES = (TargetRun, CrashRecord, AnswerRecord, SuspectRecords)
