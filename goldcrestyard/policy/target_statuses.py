"""Statuses that the answers of targets may have.

The HTTP library passes on any number.  A target in trouble sent an answer with
the status 000, and a caller received it as the answer to its request.
"""

from enum import Enum

INTERIM_STATUSES = frozenset({100, 102, 103})
"""Interim statuses that may precede an answer.  No request asks for another
protocol, so 101 answers none."""

LOWEST_FINAL_STATUS, HIGHEST_FINAL_STATUS = 200, 599


class AnswerKind(Enum):
    """What a status makes of an answer."""

    INTERIM = "interim"
    FINAL = "final"
    INVALID = "invalid"


def kind_of_answer(status: int) -> AnswerKind:
    """Return whether an answer with a status is final, interim or malformed.

    Source: RFC 9110, section 15, and the registered interim statuses.
    """
    if LOWEST_FINAL_STATUS <= status <= HIGHEST_FINAL_STATUS:
        return AnswerKind.FINAL
    if status in INTERIM_STATUSES:
        return AnswerKind.INTERIM
    return AnswerKind.INVALID
