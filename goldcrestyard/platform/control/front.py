"""The front end for operators, trainers and targets."""

from http import HTTPStatus

import msgspec
import structlog
from aiohttp import web

from goldcrestyard.consensus.driver import ControlMember
from goldcrestyard.consensus.results import Applied
from goldcrestyard.core.ids import ModelName, TargetId, WeightVersion
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.fleet.assembly.keeper import MembershipManager
from goldcrestyard.fleet.directory.directory import Directory
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.fleet.versions.commands import NameVersion
from goldcrestyard.platform import documents, heartbeats
from goldcrestyard.platform.answers import NO_PATH, json_answer, json_bytes, refuse
from goldcrestyard.platform.bodies import read_body
from goldcrestyard.platform.names import (
    CONFIG_PATH,
    DIRECTORY_PATH,
    HEARTBEAT_PATH,
    RETIRE_PATH,
    VERSION_PATH,
)
from goldcrestyard.state.commands import Command

logger = structlog.get_logger(__name__)

MOST_BODY_BYTES = 64 * 1024 * 1024
MOST_ADDRESSES = 64

UNCOMMITTED = Refusal(RefusalReason.NO_LEADER, "not committed; send it again")


class _Version(msgspec.Struct):
    model: str
    version: int


class ControlFront:
    """Serves what only the leader may answer; others say where it is."""

    def __init__(
        self,
        member: ControlMember,
        keeper: MembershipManager,
        tracker: TargetTracker,
        own_address: str,
    ) -> None:
        self._member = member
        self._keeper = keeper
        self._tracker = tracker
        self._own_address = own_address
        self._serving = member.machine.get(ServingSlice)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a call, or send it to the leader."""
        if not self._member.holds_lease():
            return self._redirect(request)
        body = await read_body(request, MOST_BODY_BYTES)
        if isinstance(body, Refusal):
            return refuse(body)
        match request.method, request.path:
            case "PUT", path if path == CONFIG_PATH:
                return await self._put_config(body)
            case "GET", path if path == CONFIG_PATH:
                return self._get_config()
            case "POST", path if path == VERSION_PATH:
                return await self._name_version(body)
            case "PUT", path if path.startswith(HEARTBEAT_PATH):
                return await self._heartbeat(path.removeprefix(HEARTBEAT_PATH), body)
            case "DELETE", path if path.startswith(HEARTBEAT_PATH):
                return await self._leave(path.removeprefix(HEARTBEAT_PATH))
            case "POST", path if path.startswith(RETIRE_PATH):
                return await self._retire(path.removeprefix(RETIRE_PATH))
            case "GET", path if path.startswith(RETIRE_PATH):
                return self._retirement(path.removeprefix(RETIRE_PATH))
            case _:
                return refuse(NO_PATH)

    def _redirect(self, request: web.BaseRequest) -> web.Response:
        leader = self._member.leader_address
        own_host, _, own_port = self._own_address.rpartition(":")
        host = leader.rpartition(":")[0]
        if not host or host == own_host:
            return refuse(UNCOMMITTED)
        # Ports are the same on all machines.
        location = f"http://{host}:{own_port}{request.raw_path}"
        return web.Response(
            status=HTTPStatus.TEMPORARY_REDIRECT, headers={"Location": location}
        )

    async def _put_config(self, body: bytes) -> web.Response:
        config = documents.decode(body)
        if isinstance(config, Refusal):
            logger.warning("configuration refused", reason=config.detail)
            return refuse(config)
        table = self._serving.table
        held = table.config.version if table is not None else None
        if held is None or config.version > held:
            put = PutServing(config, documents.pack(body))
            if not await self._commit(put):
                return refuse(UNCOMMITTED)
        logger.info("configuration accepted", version=config.version, held=held)
        return json_answer({})

    def _get_config(self) -> web.Response:
        if self._serving.table is None or not self._member.holds_lease():
            return refuse(UNCOMMITTED)
        return json_bytes(documents.unpack(self._serving.source))

    async def _name_version(self, body: bytes) -> web.Response:
        try:
            named = msgspec.json.decode(body, type=_Version)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            logger.warning("version refused", reason=str(error))
            return refuse(Refusal(RefusalReason.BAD_REQUEST, str(error)))
        command = NameVersion(ModelName(named.model), WeightVersion(named.version))
        if not await self._commit(command):
            return refuse(UNCOMMITTED)
        logger.info("version named", model=named.model, version=named.version)
        return json_answer({})

    async def _heartbeat(self, target_id: str, body: bytes) -> web.Response:
        beat = heartbeats.decode(target_id, body)
        if isinstance(beat, Refusal):
            logger.warning("heartbeat refused", target=target_id, reason=beat.detail)
            return refuse(beat)
        refusal = await self._tracker.heartbeat(beat)
        if refusal is not None:
            return refuse(refusal)
        return json_answer({"beat_addr": self._own_address})

    async def _leave(self, target_id: str) -> web.Response:
        refusal = await self._tracker.leave(TargetId(target_id))
        return json_answer({}) if refusal is None else refuse(refusal)

    async def _retire(self, machine: str) -> web.Response:
        refusal = await self._keeper.retire(machine)
        logger.info(
            "retirement ordered",
            machine=machine,
            refusal=None if refusal is None else refusal.detail,
        )
        return json_answer({}) if refusal is None else refuse(refusal)

    def _retirement(self, machine: str) -> web.Response:
        retired = self._keeper.is_retired(machine)
        if retired is None:
            return refuse(Refusal(RefusalReason.NOT_FOUND, f"{machine} stays"))
        return json_answer({"state": "complete" if retired else "running"})

    async def _commit(self, command: Command) -> bool:
        result = await self._member.propose(command)
        return isinstance(result, Applied)


class DirectoryFront:
    """Tells callers which entries to use."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer with the entries near the caller."""
        if request.path != DIRECTORY_PATH:
            return refuse(NO_PATH)
        answer = self._directory.look_up(
            request.query.get("zone", ""),
            request.query.get("region", ""),
            MOST_ADDRESSES,
        )
        if answer is None:
            return refuse(UNCOMMITTED)
        return json_answer({"addrs": answer.addresses, "ttl_s": answer.ttl_seconds})
