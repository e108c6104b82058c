"""The verdict: whether a request may have had an effect on a target."""

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request.

    ``NOT_RUN`` is only used where it can be proved, since callers resend
    non-idempotent requests on the strength of it.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


def combine(first: Verdict, second: Verdict) -> Verdict:
    """Return the verdict on a request from the verdicts of two attempts."""
    if Verdict.RAN in (first, second):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
