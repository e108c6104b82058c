"""What came of sending a request to a target once."""

from collections.abc import Mapping
from dataclasses import dataclass

from goldcrestyard.core.verdicts import Verdict


@dataclass(frozen=True, slots=True)
class Unreached:
    """No byte of the request left the entry."""

    detail: str


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """The target answered that it has not run the request."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The request was sent, but no whole and matching answer came.

    ``target_answers`` says that the target answered a probe on a new
    connection afterwards, so the request may be sent to it again.
    """

    detail: str
    target_answers: bool = False


@dataclass(frozen=True, slots=True)
class Answered:
    """The target's whole answer."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class TokenCount:
    """Tokens that an attempt took in and generated."""

    prompt: int
    generated: int


AttemptFailure = Unreached | TurnedAway | Broken
AttemptOutcome = AttemptFailure | Answered


NOT_RUN_HEADER = "x-not-run"
NOT_RUN_STATUSES = frozenset({429, 503})


def says_not_run(status: int, headers: Mapping[str, str]) -> bool:
    """Return whether a target's answer proves that it has not run a request.

    The header counts only with a status that refuses the request, since a
    proxy or a faulty target might send it with any.
    """
    return status in NOT_RUN_STATUSES and headers.get(NOT_RUN_HEADER) == "true"


def describe_error(error: Exception) -> str:
    """Return a text for an error that may have none of its own."""
    return str(error) or type(error).__name__


def describe_failure(failure: AttemptFailure) -> str:
    """Return the kind of a failure and its detail, for the log."""
    return f"{type(failure).__name__}: {failure.detail}"


def verdict_on(outcome: AttemptOutcome) -> Verdict:
    """Return whether the attempt may have run the request."""
    match outcome:
        case Unreached() | TurnedAway():
            return Verdict.NOT_RUN
        case Broken():
            return Verdict.MAY_HAVE_RUN
        case Answered():
            return Verdict.RAN
