"""HTTP interface on which targets announce themselves, renew and leave."""

import hashlib
import hmac
from dataclasses import dataclass

from aiohttp import web

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.decoding import (
    Count,
    WholeNumber,
    bytes_of,
    is_id,
    split_address,
)
from goldcrestyard.core.ids import DataCentre, InstanceId, Region, TargetId
from goldcrestyard.core.records import Target
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.states import Rental, TargetKind, TargetState
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
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
from goldcrestyard.plugins.targets.homes import Load, TargetHome
from goldcrestyard.plugins.targets.settings import TargetSettings
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import Command, Rejected


@dataclass(frozen=True, slots=True)
class Announcement:
    """Body of the request by which a target announces itself."""

    id: TargetId
    kind: TargetKind
    address: str
    data_centre: DataCentre
    region: Region
    serves: tuple[str, ...]
    incarnation: str
    rental: Rental = Rental.ON_DEMAND
    checks_fencing: bool = False
    max_concurrency: WholeNumber = 16

    def is_valid(self) -> bool:
        """Return whether requests and orders can be sent to the target.

        Port 0 is accepted: a connection to it fails like one to a closed port.
        """
        names = (self.id, self.incarnation, self.data_centre, self.region)
        address = split_address(self.address)
        return address is not None and all(map(is_id, (*names, *self.serves)))

    def to_target(self) -> Target:
        """Return the target's record, in state ``READY``."""
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
class ReportedLoad:
    """Load in a renewal; its time is given as an age, since clocks differ."""

    queue_length: Count = 0
    running_tokens: Count = 0
    cache_use: float = 0.0
    age_seconds: float = 0.0
    running_requests: Count = 0
    resumable_requests: Count = 0

    def to_load(self, now: float) -> Load:
        """Return the load with its time on this entry's clock."""
        return Load(
            self.queue_length,
            self.running_tokens,
            self.cache_use,
            now - max(0.0, self.age_seconds),
            self.running_requests,
            self.resumable_requests,
        )


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """Body of a target's renewal, drain or leave request."""

    incarnation: str
    load: ReportedLoad | None = None


@dataclass(frozen=True, slots=True)
class ReclaimNotice:
    """Body of a reclaim request; the current run if none is given."""

    incarnation: str = ""


class TargetViews:
    """Serves ``/targets``."""

    def __init__(
        self,
        instance: InstanceId,
        settings: TargetSettings,
        view: EntryView,
        link: LeaderLink,
        home: TargetHome,
        clock: Clock,
    ) -> None:
        self._instance = instance
        self._settings = settings
        self._slice = view.machine.get(TargetsSlice)
        self._link = link
        self._home = home
        self._clock = clock

    async def announce(self, request: web.Request) -> web.StreamResponse:
        """Record a target and start tracking its renewals."""
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        announcement = await read_json(request, Announcement)
        if isinstance(announcement, Refusal):
            return refuse(announcement)
        if not announcement.is_valid():
            return refuse(
                Refusal(
                    RefusalReason.BAD_REQUEST,
                    "the address is not host:port, or a name is not valid",
                )
            )
        command = AnnounceTarget(announcement.to_target(), self._instance)
        refusal = await self._propose(command, request)
        if refusal is not None:
            return refuse(refusal)
        self._home.track(announcement.id, announcement.incarnation)
        return json_answer(
            {
                "renew_seconds": self._settings.renew_seconds,
                "lost_seconds": self._settings.lost_seconds,
            }
        )

    async def renew(self, request: web.Request) -> web.StreamResponse:
        """Record a renewal; 404 tells the target to announce itself again."""
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        body = await read_json(request, TargetRequest)
        if isinstance(body, Refusal):
            return refuse(body)
        target_id = TargetId(request.match_info["target"])
        load = body.load.to_load(self._clock.monotonic()) if body.load else None
        known = self._home.renew(target_id, body.incarnation, load)
        target = self._slice.find(target_id)
        if not known or target is None or target.incarnation != body.incarnation:
            return refuse(
                Refusal(RefusalReason.NOT_FOUND, "not tracked here; announce again")
            )
        return json_answer({"state": target.state.value})

    async def reclaim(self, request: web.Request) -> web.StreamResponse:
        """Drain a target that the platform is about to take back."""
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        notice = await read_json(request, ReclaimNotice)
        if isinstance(notice, Refusal):
            return refuse(notice)
        target_id = TargetId(request.match_info["target"])
        target = self._slice.find(target_id)
        if target is None:
            return refuse(Refusal(RefusalReason.NOT_FOUND, f"no target {target_id}"))
        command = DrainTarget(target_id, notice.incarnation or target.incarnation)
        refusal = await self._propose(command, request)
        return refuse(refusal) if refusal is not None else json_answer({})

    async def drain(self, request: web.Request) -> web.StreamResponse:
        """Drain a target: it gets no new work."""
        return await self._drain_or_leave(request, drain=True)

    async def leave(self, request: web.Request) -> web.StreamResponse:
        """Remove a target that has finished its work."""
        return await self._drain_or_leave(request, drain=False)

    async def _drain_or_leave(
        self, request: web.Request, *, drain: bool
    ) -> web.StreamResponse:
        if (refusal := self._check_token(request)) is not None:
            return refuse(refusal)
        body = await read_json(request, TargetRequest)
        if isinstance(body, Refusal):
            return refuse(body)
        target_id = TargetId(request.match_info["target"])
        command: Command = (
            DrainTarget(target_id, body.incarnation)
            if drain
            else RemoveTarget(target_id, body.incarnation, TargetState.LEFT)
        )
        refusal = await self._propose(command, request)
        if refusal is not None:
            return refuse(refusal)
        if not drain:
            self._home.untrack(target_id)
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
        digest = hashlib.sha256(bytes_of(token.strip())).hexdigest()
        if hmac.compare_digest(digest, self._settings.token_sha256.lower()):
            return None
        return Refusal(RefusalReason.INVALID_KEY, "unknown target token")
