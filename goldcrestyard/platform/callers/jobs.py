"""HTTP endpoints for trainers: submitting, reading and ending jobs."""

import asyncio
from http import HTTPStatus
from itertools import islice

import structlog
from aiohttp import web

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.ids import CorrelationId, ItemId, JobId, OrganisationId
from goldcrestyard.core.jobs import Job
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import RETRY_AFTER_SECONDS, Admission
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    ItemBody,
    NoSuchJob,
    ReadItem,
    ReadResults,
    ResultsPage,
    StageJobPart,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.residency import JobHomes
from goldcrestyard.fleet.jobs.result_cache import ResultCache
from goldcrestyard.fleet.jobs.staging import MAX_PART_BYTES, encode_job, split_job
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.platform import submissions
from goldcrestyard.platform.answers import (
    encoded_json_response,
    json_response,
    refusal_response,
)
from goldcrestyard.platform.callers.requests import host_of, key_of, path_of
from goldcrestyard.platform.names import (
    ITEM_PATH,
    REQUEST_ID_HEADER,
    RESULTS_PATH,
    WAIT_HEADER,
)
from goldcrestyard.plugins.listeners.bodies import NO_ROOM
from goldcrestyard.plugins.listeners.connections import lease_of
from goldcrestyard.policy.memory import decoded_job_bytes
from goldcrestyard.state.commands import Accepted, Command, Rejected

logger = structlog.get_logger(__name__)

COMMIT_TIMEOUT_SECONDS = 2.0
STAGING_TIMEOUT_SECONDS = 5.0
"""Longest time in seconds for the commit of a job in parts."""

PART_RETRY_SECONDS = 0.1
"""Pause in seconds before a part whose outcome is in doubt is sent again."""

MAX_CONCURRENT_PARTS = 4
"""Number of parts of a job that are committed at a time.  More of them would
only wait at the leader, where they take memory."""

READ_TIMEOUT_SECONDS = 1.0
MAX_RESULT_WAIT_SECONDS = 1.0

UNKNOWN_JOB = Refusal(RefusalReason.NOT_FOUND, "no such job")
NO_ROOM_RETRY_SECONDS = 1.0
"""Advice to a trainer whose job finds no room.  A trainer ends a job, which
makes room, every few seconds."""

LEADER_UNAVAILABLE = Refusal(
    RefusalReason.NO_LEADER,
    "the leader did not answer",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)


def submission_seconds(body_bytes: int) -> float:
    """Return the longest time until a submitted job is answered."""
    large = body_bytes > MAX_PART_BYTES
    return STAGING_TIMEOUT_SECONDS if large else COMMIT_TIMEOUT_SECONDS


class JobEndpoints:
    """Decodes trainers' requests and passes them to the leader."""

    def __init__(
        self, admission: Admission, link: LeaderLink, homes: JobHomes | None = None
    ) -> None:
        """Create the endpoints; without ``homes`` all jobs may be stored."""
        self._admission = admission
        self._homes = homes
        self._link = link
        self._cache = ResultCache()

    async def submit(self, request: web.BaseRequest, body: bytes) -> web.Response:
        """Commit a job, then acknowledge it."""
        organisation = self._admission.authenticate(key_of(request))
        if isinstance(organisation, Refusal):
            return refusal_response(organisation)
        if not lease_of(request).grow(decoded_job_bytes(body)):
            logger.warning("job refused", reason=NO_ROOM.detail)
            return refusal_response(NO_ROOM)
        job = submissions.decode(
            request.headers.get(REQUEST_ID_HEADER, ""),
            organisation,
            host_of(request),
            path_of(request),
            body,
            key_of(request),
        )
        if isinstance(job, Refusal):
            logger.warning("job refused", reason=job.detail)
            return refusal_response(job)
        unstorable = None if self._homes is None else self._homes.refusal(job)
        if unstorable is not None:
            logger.warning("job refused", reason=unstorable.detail)
            return refusal_response(unstorable)
        encoded = encode_job(job)
        refusal = (
            await self._commit(SubmitJob(job), job.id)
            if len(encoded) <= MAX_PART_BYTES
            else await self._commit_parts(job, encoded)
        )
        logger.info(
            "job submitted",
            job=job.id,
            organisation=organisation,
            model=job.model,
            step=job.step,
            oldest_version=job.oldest_version,
            items=len(job.items),
            size=len(encoded),
            refusal=None if refusal is None else refusal.detail,
        )
        if refusal is not None:
            return refusal_response(refusal)
        return json_response({}, HTTPStatus.ACCEPTED)

    async def results(self, request: web.BaseRequest) -> web.Response:
        """Return a page of results, or end the job if the method is DELETE."""
        organisation = self._admission.identify(key_of(request))
        if isinstance(organisation, Refusal):
            return refusal_response(organisation)
        job = JobId(path_of(request).removeprefix(RESULTS_PATH))
        if request.method == "DELETE":
            return await self._end(job, organisation)
        position = parse_count(request.query.get("after", "0"))
        if position is None:
            return refusal_response(
                Refusal(RefusalReason.BAD_REQUEST, "parameter 'after' is not a number")
            )
        page = await self._read(job, organisation, position, _wait_seconds(request))
        if isinstance(page, Refusal):
            return refusal_response(page)
        body = submissions.encode(page)
        if not lease_of(request).grow(len(body)):
            return refusal_response(NO_ROOM)
        return encoded_json_response(body)

    async def _read(
        self,
        job: JobId,
        organisation: OrganisationId | None,
        position: int,
        wait: float,
    ) -> ResultsPage | Refusal:
        """Return cached results, requesting further ones from the leader.

        Listed results never change, so cached ones are returned even if the
        leader does not answer.
        """
        cached_count = self._cache.count(job, organisation)
        if position < cached_count and self._cache.is_complete(job, organisation):
            return self._cached_page(job, organisation, position)
        first = max(position, cached_count)
        wait = 0.0 if position < cached_count else wait
        read = ReadResults(job, organisation, first, wait)
        match await self._link.request(read, READ_TIMEOUT_SECONDS + wait):
            case ResultsPage() as page:
                self._cache.add(job, organisation, first, page)
                if position < cached_count:
                    return self._cached_page(job, organisation, position)
                return page
            case NoSuchJob():
                return UNKNOWN_JOB
            case reply:
                logger.info(
                    "leader did not return the results", job=job, reply=str(reply)
                )
                if position < cached_count:
                    return self._cached_page(job, organisation, position)
                return LEADER_UNAVAILABLE

    def _cached_page(
        self, job: JobId, organisation: OrganisationId | None, position: int
    ) -> ResultsPage | Refusal:
        page = self._cache.page(job, organisation, position)
        return LEADER_UNAVAILABLE if page is None else page

    async def item(self, request: web.BaseRequest) -> web.Response:
        """Answer with the body of an item that has no result yet."""
        organisation = self._admission.identify(key_of(request))
        if isinstance(organisation, Refusal):
            return refusal_response(organisation)
        job = JobId(path_of(request).removeprefix(ITEM_PATH))
        item = ItemId(request.query.get("id", ""))
        body = bytearray()
        while True:
            read = ReadItem(job, organisation, item, len(body))
            match await self._link.request(read, READ_TIMEOUT_SECONDS):
                case ItemBody(body=part, size=size):
                    if not lease_of(request).grow(len(part)):
                        return refusal_response(NO_ROOM)
                    body += part
                    if len(body) >= size:
                        return web.Response(body=bytes(body))
                case NoSuchJob():
                    # An item that was listed meanwhile has no body any more.
                    return refusal_response(UNKNOWN_JOB)
                case reply:
                    logger.info(
                        "leader did not return the item", job=job, reply=str(reply)
                    )
                    return refusal_response(LEADER_UNAVAILABLE)

    async def _end(
        self, job: JobId, organisation: OrganisationId | None
    ) -> web.Response:
        refusal = await self._commit(EndJob(job, organisation), job)
        logger.info(
            "job ended",
            job=job,
            refusal=None if refusal is None else refusal.detail,
        )
        return json_response({}) if refusal is None else refusal_response(refusal)

    async def _commit_parts(self, job: Job, encoded: bytes) -> Refusal | None:
        """Commit a job that is too large for one log entry.

        The leader decides with the first part whether it has room for all.
        """
        parts = split_job(job, encoded)
        first = next(parts)
        try:
            async with asyncio.timeout(STAGING_TIMEOUT_SECONDS):
                result = await self._propose_part(first)
                while _needs_more_parts(result) and (
                    following := list(islice(parts, MAX_CONCURRENT_PARTS))
                ):
                    results = await asyncio.gather(*map(self._propose_part, following))
                    result = min(results, key=_needs_more_parts)
            if _needs_more_parts(result):
                result = InDoubt("the job is not whole after its last part")
        except TimeoutError:
            result = InDoubt(f"not committed within {STAGING_TIMEOUT_SECONDS} s")
        return _refusal_of(result)

    async def _propose_part(self, part: StageJobPart) -> ProposalResult:
        """Commit a part of a job, again while it is in doubt.

        After that a refusal of the part does not show that the job has not
        run: the first copy of the part may have completed it.
        """
        in_doubt = False
        while True:
            result = await self._link.propose(
                part,
                correlation_id=CorrelationId(part.job),
                timeout=COMMIT_TIMEOUT_SECONDS,
            )
            if isinstance(result, Applied) or not (
                in_doubt or isinstance(result, InDoubt)
            ):
                return result
            in_doubt = True
            await asyncio.sleep(PART_RETRY_SECONDS)

    async def _commit(self, command: Command, job: JobId) -> Refusal | None:
        """Commit a command; return a refusal, or None if it was accepted."""
        result = await self._link.propose(
            command, correlation_id=CorrelationId(job), timeout=COMMIT_TIMEOUT_SECONDS
        )
        return _refusal_of(result)


def _needs_more_parts(result: ProposalResult) -> bool:
    """Return whether a job is still incomplete after a part, and can go on."""
    return isinstance(result, Applied) and result.outcome == Accepted()


def _refusal_of(result: ProposalResult) -> Refusal | None:
    """Return the refusal of a commit, or None if it was accepted."""
    match result:
        case (
            NotProposed(detail=detail, reason=RefusalReason.NO_ROOM)
            | Applied(outcome=Rejected(reason=RefusalReason.NO_ROOM, detail=detail))
        ):
            return Refusal(
                RefusalReason.NO_ROOM,
                detail,
                retry_after_seconds=NO_ROOM_RETRY_SECONDS,
            )
        case Applied(outcome=Rejected(reason=reason, detail=detail)):
            return Refusal(reason, detail)
        case Applied():
            return None
        case NotProposed(detail=detail):
            return Refusal(
                RefusalReason.NO_LEADER,
                detail,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        case InDoubt(detail=detail):
            return Refusal(RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN)


def _wait_seconds(request: web.BaseRequest) -> float:
    milliseconds = parse_count(request.headers.get(WAIT_HEADER, ""))
    return min(MAX_RESULT_WAIT_SECONDS, (milliseconds or 0) / 1000)
