"""Replicated state: the evacuations of data centres."""

from dataclasses import replace

from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.states import EvacuationState
from goldcrestyard.fleet.evacuations.commands import (
    EndEvacuation,
    Evacuation,
    EvacuationsSnapshot,
    RequestEvacuation,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice

MAX_DATA_CENTRES = 256
"""Many times the number of data centres of the largest deployment.  Front ends
refuse data centres that are not in the settings, which a slice cannot read."""


class EvacuationsSlice(Slice):
    """The latest evacuation of each data centre that has had one.

    It is replicated, so that it is still in force after the loss of all
    processes, and fanned out, so that entries apply it to each request.
    """

    name = "evacuations"
    fan_out = True
    commands = (RequestEvacuation, EndEvacuation)

    def __init__(self) -> None:
        self.evacuations_by_data_centre: dict[DataCentre, Evacuation] = {}
        self.evacuated: frozenset[DataCentre] = frozenset()
        """Data centres whose evacuation is in force."""

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case RequestEvacuation():
                return self._request(command, context.time)
            case EndEvacuation(data_centre=data_centre):
                if data_centre in self.evacuated:
                    known = self.evacuations_by_data_centre[data_centre]
                    self._put(
                        replace(
                            known, state=EvacuationState.ENDED, ended_at=context.time
                        )
                    )
                return Accepted()
        raise TypeError(f"unexpected command {command!r}")

    def _request(self, command: RequestEvacuation, time: float) -> Outcome:
        data_centre = command.data_centre
        if data_centre in self.evacuated:
            return Accepted()
        known = self.evacuations_by_data_centre.get(data_centre)
        if known is None and len(self.evacuations_by_data_centre) >= MAX_DATA_CENTRES:
            return Rejected(RefusalReason.NO_ROOM, "too many data centres are known")
        self._put(
            Evacuation(
                data_centre,
                EvacuationState.IN_FORCE,
                command.requester,
                time,
                None if known is None else known.ended_at,
            )
        )
        return Accepted()

    def _put(self, evacuation: Evacuation) -> None:
        self.evacuations_by_data_centre[evacuation.data_centre] = evacuation
        self._find_evacuated()

    def _find_evacuated(self) -> None:
        self.evacuated = frozenset(
            evacuation.data_centre
            for evacuation in self.evacuations_by_data_centre.values()
            if evacuation.state is EvacuationState.IN_FORCE
        )

    @property
    def in_snapshots(self) -> bool:
        """Whether there has been an evacuation; there is always one since."""
        return bool(self.evacuations_by_data_centre)

    def to_snapshot(self) -> EvacuationsSnapshot:
        """Return all evacuations."""
        return EvacuationsSnapshot(tuple(self.evacuations_by_data_centre.values()))

    def load_snapshot(self, snapshot: EvacuationsSnapshot) -> None:
        """Replace all evacuations by those of a snapshot."""
        self.evacuations_by_data_centre = {
            evacuation.data_centre: evacuation for evacuation in snapshot.evacuations
        }
        self._find_evacuated()
