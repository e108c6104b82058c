"""Targets that report though the leader does not use them."""

from collections import OrderedDict
from collections.abc import Container
from dataclasses import dataclass

import structlog

from goldcrestyard.core.ids import ConfirmationToken, TargetId, Term
from goldcrestyard.core.states import TargetState
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.departures import (
    Ask,
    DepartedRun,
    GoesOn,
    Wait,
    asked,
    decide,
)
from goldcrestyard.policy.heartbeats import Heartbeat

logger = structlog.get_logger(__name__)

MAX_TARGETS = 1024
"""Maximum number of targets that are followed; beyond it the oldest one is
forgotten."""


@dataclass(frozen=True, slots=True)
class Confirm:
    """Asks the sender of a heartbeat to repeat it with a token."""

    token: ConfirmationToken


class DepartedTargets:
    """Follows the heartbeats of targets whose departure is recorded."""

    def __init__(self) -> None:
        self._runs_by_id: OrderedDict[TargetId, DepartedRun] = OrderedDict()
        self._tokens_issued = 0

    def forget(self, target_id: TargetId) -> None:
        """Drop what a target's heartbeats before a departure have shown."""
        self._runs_by_id.pop(target_id, None)

    def decide(
        self, beat: Heartbeat, token: ConfirmationToken | None, term: Term
    ) -> Confirm | Wait | GoesOn:
        """Return what a heartbeat of a departed run shows, and remember it.

        ``term`` is that of the leader, whose tokens differ from those of other
        leaders.
        """
        incarnation = str(beat.started_at_ms)
        run = self._runs_by_id.pop(beat.id, None)
        if run is None or run.incarnation != incarnation:
            run = DepartedRun(incarnation)
        decision = (
            Wait(run)
            if beat.state is TargetState.DRAINING
            else decide(run, beat.sequence, token)
        )
        logger.info(
            "heartbeat of a departed target",
            target=beat.id,
            incarnation=incarnation,
            sequence=beat.sequence,
            decision=type(decision).__name__,
        )
        match decision:
            case Ask():
                self._tokens_issued += 1
                issued = ConfirmationToken(f"{term}-{self._tokens_issued}")
                self._remember(beat.id, asked(run, beat.sequence, issued))
                return Confirm(issued)
            case Wait(run=waiting):
                self._remember(beat.id, waiting)
                return decision
            case GoesOn():
                return decision

    def _remember(self, target_id: TargetId, run: DepartedRun) -> None:
        self._runs_by_id[target_id] = run
        if len(self._runs_by_id) > MAX_TARGETS:
            self._runs_by_id.popitem(last=False)


class UnusedTargets:
    """Counts the targets that report and get no requests."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard_at_by_id: OrderedDict[TargetId, float] = OrderedDict()

    def note(self, target_id: TargetId) -> None:
        """Record a heartbeat of a target that is not used."""
        self._heard_at_by_id.pop(target_id, None)
        self._heard_at_by_id[target_id] = self._clock.monotonic()
        if len(self._heard_at_by_id) > MAX_TARGETS:
            self._heard_at_by_id.popitem(last=False)

    def count(self, seconds: float, used: Container[TargetId]) -> int:
        """Return how many were heard within a time and are not ``used``."""
        heard_after = self._clock.monotonic() - seconds
        return sum(
            heard_at > heard_after and target_id not in used
            for target_id, heard_at in self._heard_at_by_id.items()
        )
