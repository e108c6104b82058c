"""Requests of operators that begin and end evacuations, on the leader."""

from collections.abc import Collection
from dataclasses import dataclass

import structlog

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import DataCentre
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.evacuations.commands import (
    EndEvacuation,
    Evacuation,
    RequestEvacuation,
)
from goldcrestyard.fleet.evacuations.running import RunningMerger
from goldcrestyard.fleet.evacuations.slices import EvacuationsSlice
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.state.commands import Command, Rejected

logger = structlog.get_logger(__name__)

UNCOMMITTED = Refusal(
    RefusalReason.NO_LEADER, "no leader, or not committed; send the request again"
)


@dataclass(frozen=True, slots=True)
class EvacuationReport:
    """The latest evacuation of a data centre and what still runs there."""

    evacuation: Evacuation | None
    """None if the data centre has not been evacuated yet."""
    running: int
    """Requests of all processes at its targets while it is in force."""


class EvacuationOrders:
    """Commits evacuations and their ends, and reports on them."""

    def __init__(
        self,
        member: ControlMember,
        data_centres: Collection[DataCentre],
        running: RunningMerger,
    ) -> None:
        self._member = member
        self._data_centres = data_centres
        self._running = running
        self._evacuations = member.machine.get(EvacuationsSlice)
        self._serving = member.machine.get(ServingSlice)

    async def request(self, data_centre: DataCentre, requester: str) -> Refusal | None:
        """Request an evacuation; return None once it is committed."""
        refusal = self._check(data_centre)
        if refusal is not None:
            return refusal
        repeated = data_centre in self._evacuations.evacuated
        refusal = await self._commit(RequestEvacuation(data_centre, requester))
        if refusal is None:
            logger.warning(
                "evacuation requested",
                data_centre=data_centre,
                requester=requester,
                repeated=repeated,
            )
        return refusal

    async def end(self, data_centre: DataCentre, requester: str) -> Refusal | None:
        """End an evacuation; return None once that is committed."""
        refusal = self._check(data_centre)
        if refusal is not None:
            return refusal
        repeated = data_centre not in self._evacuations.evacuated
        refusal = await self._commit(EndEvacuation(data_centre))
        if refusal is None:
            logger.warning(
                "evacuation ended",
                data_centre=data_centre,
                requester=requester,
                repeated=repeated,
            )
        return refusal

    def report(self, data_centre: DataCentre) -> EvacuationReport | Refusal:
        """Return the state of the latest evacuation of a data centre."""
        refusal = self._check(data_centre)
        if refusal is not None:
            return refusal
        return EvacuationReport(
            self._evacuations.evacuations_by_data_centre.get(data_centre),
            self._running.count(data_centre),
        )

    def _check(self, data_centre: DataCentre) -> Refusal | None:
        if data_centre in self._data_centres:
            return None
        if self._serving.table is None:
            return UNCOMMITTED
        return Refusal(RefusalReason.NOT_FOUND, f"no data centre {data_centre}")

    async def _commit(self, command: Command) -> Refusal | None:
        match await self._member.propose(command):
            case Applied(outcome=Rejected(reason=reason, detail=detail)):
                return Refusal(reason, detail)
            case Applied():
                return None
        return UNCOMMITTED
