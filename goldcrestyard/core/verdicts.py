"""Verdicts: whether a target has, may have or has not run a request."""

from enum import Enum


class Verdict(Enum):
    """What is known about the execution of a request.

    ``NOT_RUN`` is used only with proof, since callers rely on it to resend
    non-idempotent requests.
    """

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


def combine_verdicts(first: Verdict, second: Verdict) -> Verdict:
    """Combine the verdicts of two attempts into one for the request."""
    if Verdict.RAN in (first, second):
        return Verdict.RAN
    if Verdict.MAY_HAVE_RUN in (first, second):
        return Verdict.MAY_HAVE_RUN
    return Verdict.NOT_RUN
