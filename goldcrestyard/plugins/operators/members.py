"""Control members and the state of this instance, for operators."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from dataclasses import dataclass

from aiohttp import web

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.kernel.application import Application
from goldcrestyard.kernel.default_settings import InstanceSettings
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.membership.view import EntryView
from goldcrestyard.plugins.listeners.bodies import json_answer
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.operators.planning import Author


class MemberReplacement(ABC):
    """Replaces a control member that lost its disk; see ``Members``."""

    @abstractmethod
    async def replace(self, member: InstanceId, author: Author) -> Refusal | None:
        """Readmit a member as a learner, then as a voter."""


@dataclass(frozen=True, slots=True)
class MemberStatus:
    """A control member as this instance knows it."""

    id: InstanceId
    peer_address: str
    leader: bool


class Members:
    """The control members named in the settings."""

    def __init__(
        self, addresses_by_id: Mapping[InstanceId, str], link: LeaderLink
    ) -> None:
        self._addresses_by_id = addresses_by_id
        self._link = link

    def list(self) -> list[MemberStatus]:
        """Return the members, and which of them leads."""
        return [
            MemberStatus(member, address, member == self._link.leader)
            for member, address in self._addresses_by_id.items()
        ]


class MemberViews:
    """Serves ``/operator/v1/members`` and ``/operator/v1/status``."""

    def __init__(
        self, app: Application, members: Members, view: EntryView, link: LeaderLink
    ) -> None:
        self._app = app
        self._members = members
        self._view = view
        self._link = link

    async def members(self, request: web.Request, _: Author) -> web.StreamResponse:
        """List the control members."""
        return json_answer({"members": self._members.list()})

    async def replace(self, request: web.Request, author: Author) -> web.StreamResponse:
        """Replace a control member that lost its disk."""
        replacement = self._app.find(MemberReplacement)  # type: ignore[type-abstract]
        if replacement is None:
            return refuse(
                Refusal(
                    RefusalReason.NOT_FOUND,
                    "not available: this release cannot replace control members",
                )
            )
        member = InstanceId(request.match_info["member"])
        refusal = await replacement.replace(member, author)
        return json_answer({}) if refusal is None else refuse(refusal)

    async def status(self, request: web.Request, _: Author) -> web.StreamResponse:
        """Return the state of this instance."""
        instance = self._app.settings.section(InstanceSettings)
        return json_answer(
            {
                "instance": instance.id,
                "data_centre": instance.data_centre,
                "region": instance.region,
                "state": self._app.state.value,
                "leader": self._link.leader,
                "revision": self._view.revision,
                "lease_seconds": round(self._view.lease_remaining(), 3),
            }
        )
