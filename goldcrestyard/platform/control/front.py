"""The HTTP front ends of control members.

Only the leader answers operators, trainers and targets; the other members
redirect them to it.  Every member answers service discovery.
"""

from http import HTTPStatus

import msgspec
import structlog
from aiohttp import web

from goldcrestyard.consensus.control_member import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.decoding import Count, Malformed, decode_json, is_id
from goldcrestyard.core.ids import (
    ConfirmationToken,
    DataCentre,
    ModelName,
    Region,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.assembly.manager import MembershipManager
from goldcrestyard.fleet.directory.directory import Directory
from goldcrestyard.fleet.evacuations.orders import EvacuationOrders
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.departed import Confirm
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.commands import NameVersion
from goldcrestyard.platform import documents, heartbeats
from goldcrestyard.platform.answers import (
    UNKNOWN_PATH,
    encoded_json_response,
    json_response,
    refusal_response,
)
from goldcrestyard.platform.bodies import read_body
from goldcrestyard.platform.names import (
    CONFIG_PATH,
    DIRECTORY_PATH,
    EVACUATE_PATH,
    HEARTBEAT_PATH,
    RETIRE_PATH,
    TOKEN_PARAMETER,
    VERSION_PATH,
)
from goldcrestyard.plugins.listeners.bodies import NO_ROOM
from goldcrestyard.plugins.listeners.connections import lease_of
from goldcrestyard.policy.memory import decoded_config_bytes
from goldcrestyard.state.commands import Command, Rejected

logger = structlog.get_logger(__name__)

MAX_BODY_BYTES = 2 * 1024 * 1024
"""Largest configuration; every process keeps it, decoded and as sent."""

MAX_HEARTBEAT_BYTES = 1024 * 1024
"""Largest heartbeat, which has some dozens of bytes for each model."""

BODY_IDLE_SECONDS = 5.0
"""Time in seconds without a byte of a body after which it is refused."""

MAX_DIRECTORY_ADDRESSES = 64

UNCOMMITTED = Refusal(
    RefusalReason.NO_LEADER, "no leader, or not committed; send the request again"
)


class _Version(msgspec.Struct):
    model: str
    version: Count


class ControlFront:
    """Answers requests on the leader, or redirects them to the leader."""

    def __init__(
        self,
        member: ControlMember,
        manager: MembershipManager,
        tracker: TargetTracker,
        evacuations: EvacuationOrders,
        own_address: str,
        regions: frozenset[Region] | None = None,
    ) -> None:
        """Create the front; ``regions`` are those that may be homes."""
        self._member = member
        self._manager = manager
        self._tracker = tracker
        self._evacuations = evacuations
        self._own_address = own_address
        self._regions = regions
        self._serving = member.machine.get(ServingSlice)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request as the leader, or redirect it to the leader."""
        if not self._member.holds_lease():
            return self._redirect(request)
        is_heartbeat = request.path.startswith(HEARTBEAT_PATH)
        body = await read_body(
            request,
            MAX_HEARTBEAT_BYTES if is_heartbeat else MAX_BODY_BYTES,
            BODY_IDLE_SECONDS,
        )
        if isinstance(body, Refusal):
            return refusal_response(body)
        match request.method, request.path:
            case "PUT", path if path == CONFIG_PATH:
                return await self._put_config(request, body)
            case "GET", path if path == CONFIG_PATH:
                return self._get_config(request)
            case "POST", path if path == VERSION_PATH:
                return await self._name_version(body)
            case "PUT", path if path.startswith(HEARTBEAT_PATH):
                return await self._heartbeat(request, body)
            case "DELETE", path if path.startswith(HEARTBEAT_PATH):
                return await self._leave(path.removeprefix(HEARTBEAT_PATH))
            case "POST", path if path.startswith(RETIRE_PATH):
                return await self._retire(path.removeprefix(RETIRE_PATH))
            case "GET", path if path.startswith(RETIRE_PATH):
                return self._retirement_state(path.removeprefix(RETIRE_PATH))
            case method, path if path.startswith(EVACUATE_PATH):
                data_centre = DataCentre(path.removeprefix(EVACUATE_PATH))
                return await self._evacuate(method, data_centre, request.remote or "")
            case _:
                return refusal_response(UNKNOWN_PATH)

    def _redirect(self, request: web.BaseRequest) -> web.Response:
        leader = self._member.leader_address
        own_host, _, own_port = self._own_address.rpartition(":")
        host = leader.rpartition(":")[0]
        if not host or host == own_host:
            return refusal_response(UNCOMMITTED)
        # Each control member listens on the same port.
        location = f"http://{host}:{own_port}{request.raw_path}"
        return web.Response(
            status=HTTPStatus.TEMPORARY_REDIRECT, headers={"Location": location}
        )

    async def _put_config(self, request: web.BaseRequest, body: bytes) -> web.Response:
        # The decoded configuration is kept until it is committed.
        lease = lease_of(request)
        if not lease.grow(decoded_config_bytes(body, lease.capacity)):
            logger.warning("configuration refused", reason=NO_ROOM.detail)
            return refusal_response(NO_ROOM)
        config = documents.decode(body, self._regions)
        if isinstance(config, Refusal):
            logger.warning("configuration refused", reason=config.detail)
            return refusal_response(config)
        table = self._serving.table
        held = table.config.version if table is not None else None
        if held is None or config.version > held:
            put = PutServing(config, documents.pack(body))
            if not await self._commit(put):
                return refusal_response(UNCOMMITTED)
        logger.info("configuration accepted", version=config.version, held=held)
        return json_response({})

    def _get_config(self, request: web.BaseRequest) -> web.Response:
        if self._serving.table is None or not self._member.holds_lease():
            return refusal_response(UNCOMMITTED)
        document = documents.unpack(self._serving.source)
        if not lease_of(request).grow(len(document)):
            return refusal_response(NO_ROOM)
        return encoded_json_response(document)

    async def _name_version(self, body: bytes) -> web.Response:
        named = decode_json(body, _Version)
        if isinstance(named, Malformed):
            logger.warning("weight version refused", reason=named.detail)
            return refusal_response(Refusal(RefusalReason.BAD_REQUEST, named.detail))
        if not is_id(named.model):
            return refusal_response(
                Refusal(RefusalReason.BAD_REQUEST, "the name of the model is not valid")
            )
        command = NameVersion(ModelName(named.model), WeightVersion(named.version))
        if not await self._commit(command):
            return refusal_response(UNCOMMITTED)
        logger.info("weight version accepted", model=named.model, version=named.version)
        return json_response({})

    async def _heartbeat(self, request: web.BaseRequest, body: bytes) -> web.Response:
        target_id = request.path.removeprefix(HEARTBEAT_PATH)
        beat = heartbeats.decode(target_id, body)
        if isinstance(beat, Refusal):
            logger.warning("heartbeat refused", target=target_id, reason=beat.detail)
            return refusal_response(beat)
        token = request.query.get(TOKEN_PARAMETER)
        match await self._tracker.heartbeat(
            beat, None if token is None else ConfirmationToken(token)
        ):
            case Refusal() as refusal:
                return refusal_response(refusal)
            case Confirm(token=issued):
                # The sender follows the redirect only if it still waits.
                location = f"http://{self._own_address}{request.rel_url.raw_path}"
                return web.Response(
                    status=HTTPStatus.TEMPORARY_REDIRECT,
                    headers={"Location": f"{location}?{TOKEN_PARAMETER}={issued}"},
                )
        return json_response({"beat_addr": self._own_address})

    async def _leave(self, target_id: str) -> web.Response:
        refusal = await self._tracker.leave(TargetId(target_id))
        return json_response({}) if refusal is None else refusal_response(refusal)

    async def _retire(self, machine: str) -> web.Response:
        refusal = await self._manager.retire(machine)
        logger.info(
            "retirement ordered",
            machine=machine,
            refusal=None if refusal is None else refusal.detail,
        )
        return json_response({}) if refusal is None else refusal_response(refusal)

    def _retirement_state(self, machine: str) -> web.Response:
        retired = self._manager.is_retired(machine)
        if retired is None:
            return refusal_response(
                Refusal(RefusalReason.NOT_FOUND, f"machine {machine} is not retiring")
            )
        return json_response({"state": "complete" if retired else "running"})

    async def _evacuate(
        self, method: str, data_centre: DataCentre, requester: str
    ) -> web.Response:
        match method:
            case "POST":
                refusal = await self._evacuations.request(data_centre, requester)
            case "DELETE":
                refusal = await self._evacuations.end(data_centre, requester)
            case "GET":
                return self._evacuation_state(data_centre)
            case _:
                refusal = UNKNOWN_PATH
        return json_response({}) if refusal is None else refusal_response(refusal)

    def _evacuation_state(self, data_centre: DataCentre) -> web.Response:
        report = self._evacuations.report(data_centre)
        if isinstance(report, Refusal):
            return refusal_response(report)
        evacuation = report.evacuation
        if evacuation is None:
            return json_response({"state": "none"})
        return json_response(
            {
                "state": evacuation.state.value,
                "requester": evacuation.requester,
                "requested_at": evacuation.requested_at,
                "ended_at": evacuation.ended_at,
                "running": report.running,
            }
        )

    async def _commit(self, command: Command) -> bool:
        result = await self._member.propose(command)
        return isinstance(result, Applied) and not isinstance(result.outcome, Rejected)


class DirectoryFront:
    """Serves service discovery: returns addresses of entries to callers."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the entries near the caller of a host."""
        if request.path != DIRECTORY_PATH:
            return refusal_response(UNKNOWN_PATH)
        answer = self._directory.look_up(
            request.query.get("zone", ""),
            request.query.get("region", ""),
            MAX_DIRECTORY_ADDRESSES,
            request.query.get("name", ""),
            request.remote or "",
        )
        if answer is None:
            return refusal_response(UNCOMMITTED)
        return json_response({"addrs": answer.addresses, "ttl_s": answer.ttl_seconds})
