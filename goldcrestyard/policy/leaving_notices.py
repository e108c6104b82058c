"""Which runs of a target have said in an answer that they leave.

An answer does not name the run that gave it.  A process that is cut off from
the leader may take the answer of a run that it does not know yet for one of
the run before, under the same id.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """An answer in which a target said that it leaves."""

    incarnation: str
    """The run that was known when the request was sent."""
    asked_at: float
    """Unix time in seconds at which the request was sent."""


def latest(known: LeavingNotice | None, notice: LeavingNotice) -> LeavingNotice:
    """Return what holds after a further notice of the same target."""
    if known is None or _started_at_ms(known) < _started_at_ms(notice):
        return notice
    if known.incarnation != notice.incarnation:
        return known
    return LeavingNotice(known.incarnation, max(known.asked_at, notice.asked_at))


def applies_to(notice: LeavingNotice, incarnation: str) -> bool:
    """Return whether a run of the target is one that leaves.

    A run that started after the request was sent has not answered it.  One
    that started before, but after the run that was known, is the one that
    did: runs under one id follow one another.
    """
    if incarnation == notice.incarnation:
        return True
    started_at_ms = _milliseconds(incarnation)
    return _started_at_ms(notice) < started_at_ms <= notice.asked_at * 1000


def _started_at_ms(notice: LeavingNotice) -> int:
    return _milliseconds(notice.incarnation)


def _milliseconds(incarnation: str) -> int:
    return int(incarnation) if incarnation.isdecimal() else 0
