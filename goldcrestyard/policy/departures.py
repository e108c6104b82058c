"""Proof that a run goes on reporting after its departure was recorded.

A departure names only the id of a target, so that of an earlier run, delayed
until the next one has registered, ends the wrong run.  A run that leaves sends
no report after its departure, but one that it sent before may arrive seconds
later.  The leader therefore answers a report of a departed run with a token
that the sender has to repeat at once.  The first repeated token shows that the
sender was alive; a later report with a token that is repeated too was begun
after that, hence after the departure.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import ConfirmationToken


@dataclass(frozen=True, slots=True)
class DepartedRun:
    """What is known of a departed run that reports, on the leader."""

    incarnation: str
    asked: ConfirmationToken | None = None
    """The token that was sent last, if it has not been repeated."""
    asked_sequence: int = -1
    """Number of the report that was answered with it."""
    confirmed_sequence: int | None = None
    """Number of the first report whose token was repeated."""


@dataclass(frozen=True, slots=True)
class Ask:
    """The sender is to repeat the report with a new token."""


@dataclass(frozen=True, slots=True)
class Wait:
    """The report is accepted; it does not show that the run goes on."""

    run: DepartedRun


@dataclass(frozen=True, slots=True)
class GoesOn:
    """The run reports after its departure was recorded."""


Decision = Ask | Wait | GoesOn


def decide(
    run: DepartedRun, sequence: int, token: ConfirmationToken | None
) -> Decision:
    """Return what a report of a departed run shows.

    ``token`` is the one that came with the report, if any.
    """
    if token is not None and token == run.asked and sequence >= run.asked_sequence:
        if run.confirmed_sequence is None:
            return Wait(DepartedRun(run.incarnation, confirmed_sequence=sequence))
        return GoesOn()
    confirmed = -1 if run.confirmed_sequence is None else run.confirmed_sequence
    # A sender that does not repeat the token is not asked for it once more.
    if token is not None or sequence <= max(confirmed, run.asked_sequence):
        return Wait(run)
    return Ask()


def asked(run: DepartedRun, sequence: int, token: ConfirmationToken) -> DepartedRun:
    """Return the run after a report was answered with a token."""
    return DepartedRun(run.incarnation, token, sequence, run.confirmed_sequence)
