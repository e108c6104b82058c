"""Outcomes of a single attempt to send a request to a target.

``verdict_for`` derives from an outcome whether the target may have run the
request, which decides whether the request may be sent again.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from goldcrestyard.core.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class Unreached:
    """No connection was made, so no byte of the request was sent."""

    detail: str


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The target rejected the request and stated that it did not run it."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Withheld:
    """The request was not sent: the target's request limit is used up."""

    detail: str
    retry_after_seconds: float
    """Time after which the limit is expected to allow a request."""


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent, but no complete and matching answer arrived.

    ``target_answers`` is true if the target answered a probe on a new
    connection afterwards, so the request may be sent to it again.
    ``malformed`` is true if the target sent bytes that are no answer, or more
    than an answer may have, rather than none or too few.
    """

    detail: str
    target_answers: bool = False
    malformed: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The target's complete answer, whatever its status."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class TokenCount:
    """Numbers of prompt tokens and generated tokens of one attempt."""

    prompt: int
    generated: int


AttemptFailure = Unreached | TurnedAway | Withheld | Broken
AttemptOutcome = AttemptFailure | Answered


NOT_RUN_HEADER = "x-not-run"
"""Set to ``true`` by a target that has not run the request."""
NOT_RUN_STATUSES = frozenset({429, 503})


def proves_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a target's answer proves that it has not run a request.

    The header is ignored unless the status rejects the request, since a
    proxy or a faulty target might send the header with any status.
    """
    return status in NOT_RUN_STATUSES and headers.get(NOT_RUN_HEADER) == "true"


def describe_error(error: Exception) -> str:
    """Return the error's message, or its class name if it has none."""
    return str(error) or type(error).__name__


def describe_failure(failure: AttemptFailure) -> str:
    """Return the failure's class name and detail, for the log."""
    return f"{type(failure).__name__}: {failure.detail}"


def verdict_for(outcome: AttemptOutcome) -> Verdict:
    """Return whether the target may have run the request."""
    match outcome:
        case Unreached() | TurnedAway() | Withheld():
            return Verdict.NOT_RUN
        case Broken():
            return Verdict.MAY_HAVE_RUN
        case Answered():
            return Verdict.RAN
