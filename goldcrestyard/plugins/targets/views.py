"""The interface by which targets announce themselves, renew and leave."""

import hashlib
import hmac
from dataclasses import dataclass

from aiohttp import web

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import DataCentre, InstanceId, Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Rental, TargetKind, TargetState
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.bodies import json_answer, read_json
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import correlation_id_of
from goldcrestyard.plugins.targets.commands import (
    AnnounceTarget,
    DrainTarget,
    RemoveTarget,
)
from goldcrestyard.plugins.targets.homes import TargetHome
from goldcrestyard.plugins.targets.settings import TargetSettings
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import Command, Rejected


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a target says of itself."""

    id: TargetId
    kind: TargetKind
    address: str
    data_centre: DataCentre
    region: Region
    serves: tuple[str, ...]
    incarnation: str
    rental: Rental = Rental.ON_DEMAND
    checks_fencing: bool = False
    max_concurrency: int = 16

    def to_target(self) -> Target:
        """Return the record of the target, ready for work."""
        return Target(
            self.id,
            self.kind,
            self.address,
            self.data_centre,
            self.region,
            self.serves,
            self.rental,
            self.checks_fencing,
            self.max_concurrency,
            TargetState.READY,
            self.incarnation,
        )


@dataclass(frozen=True, slots=True)
class Renewal:
    """A target's sign of life."""

    incarnation: str


class TargetViews:
    """Serves ``/targets``."""

    def __init__(
        self,
        instance: InstanceId,
        settings: TargetSettings,
        view: EntryView,
        link: LeaderLink,
        home: TargetHome,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._slice = view.machine.get(TargetsSlice)
        self._link = link
        self._home = home

    async def announce(self, request: web.Request) -> web.StreamResponse:
        """Record a target and start to track its renewals."""
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        announcement = await read_json(request, Announcement)
        if isinstance(announcement, Refusal):
            return refuse(announcement)
        command = AnnounceTarget(announcement.to_target(), self._instance)
        refusal = await self._propose(command, request)
        if refusal is not None:
            return refuse(refusal)
        self._home.adopt(announcement.id, announcement.incarnation)
        return json_answer(
            {
                "renew_seconds": self._settings.renew_seconds,
                "lost_seconds": self._settings.lost_seconds,
            }
        )

    async def renew(self, request: web.Request) -> web.StreamResponse:
        """Note a renewal; 404 asks the target to announce itself again."""
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        renewal = await read_json(request, Renewal)
        if isinstance(renewal, Refusal):
            return refuse(renewal)
        target_id = TargetId(request.match_info["target"])
        if not self._home.renew(target_id, renewal.incarnation):
            return refuse(Refusal(RefusalReason.NOT_FOUND, "announce again"))
        target = self._slice.find(target_id)
        if target is None:
            # Reported lost meanwhile, although it still renews.
            return refuse(Refusal(RefusalReason.NOT_FOUND, "announce again"))
        return json_answer({"state": target.state.value})

    async def drain(self, request: web.Request) -> web.StreamResponse:
        """Stop giving new work to a target."""
        return await self._end(request, drain=True)

    async def leave(self, request: web.Request) -> web.StreamResponse:
        """Remove a target that has finished its work."""
        return await self._end(request, drain=False)

    async def _end(self, request: web.Request, *, drain: bool) -> web.StreamResponse:
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        renewal = await read_json(request, Renewal)
        if isinstance(renewal, Refusal):
            return refuse(renewal)
        target_id = TargetId(request.match_info["target"])
        command: Command = (
            DrainTarget(target_id, renewal.incarnation)
            if drain
            else RemoveTarget(target_id, renewal.incarnation, TargetState.LEFT)
        )
        refusal = await self._propose(command, request)
        if refusal is not None:
            return refuse(refusal)
        if not drain:
            self._home.forget(target_id)
        return json_answer({})

    async def _propose(self, command: Command, request: web.Request) -> Refusal | None:
        result = await self._link.propose(
            command, correlation_id=correlation_id_of(request)
        )
        match result:
            case Applied(outcome=Rejected(reason=reason, detail=detail)):
                return Refusal(reason, detail)
            case Applied():
                return None
            case NotProposed(detail=detail):
                return Refusal(RefusalReason.NO_LEADER, detail)
            case InDoubt(detail=detail):
                return Refusal(
                    RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN
                )

    def _check_token(self, request: web.Request) -> Refusal | None:
        _, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        if hmac.compare_digest(digest, self._settings.token_sha256.lower()):
            return None
        return Refusal(RefusalReason.INVALID_KEY, "unknown target token")
