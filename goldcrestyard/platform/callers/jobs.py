"""HTTP endpoints for trainers: submitting, reading and ending jobs."""

from http import HTTPStatus

import structlog
from aiohttp import web

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.decoding import parse_count
from goldcrestyard.core.ids import CorrelationId, ItemId, JobId, OrganisationId
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
    SubmitJob,
)
from goldcrestyard.fleet.jobs.result_cache import ResultCache
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
from goldcrestyard.state.commands import Command, Rejected

logger = structlog.get_logger(__name__)

COMMIT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 1.0
MAX_RESULT_WAIT_SECONDS = 1.0

UNKNOWN_JOB = Refusal(RefusalReason.NOT_FOUND, "no such job")
LEADER_UNAVAILABLE = Refusal(
    RefusalReason.NO_LEADER,
    "the leader did not answer",
    retry_after_seconds=RETRY_AFTER_SECONDS,
)


class JobEndpoints:
    """Decodes trainers' requests and passes them to the leader."""

    def __init__(self, admission: Admission, link: LeaderLink) -> None:
        self._admission = admission
        self._link = link
        self._cache = ResultCache()

    async def submit(self, request: web.BaseRequest, body: bytes) -> web.Response:
        """Commit a job, then acknowledge it."""
        organisation = self._admission.authenticate(key_of(request))
        if isinstance(organisation, Refusal):
            return refusal_response(organisation)
        job = submissions.decode(
            request.headers.get(REQUEST_ID_HEADER, ""),
            organisation,
            host_of(request),
            path_of(request),
            body,
        )
        if isinstance(job, Refusal):
            logger.warning("job refused", reason=job.detail)
            return refusal_response(job)
        refusal = await self._commit(SubmitJob(job), job.id)
        logger.info(
            "job submitted",
            job=job.id,
            organisation=organisation,
            model=job.model,
            step=job.step,
            oldest_version=job.oldest_version,
            items=len(job.items),
            refusal=None if refusal is None else refusal.detail,
        )
        if refusal is not None:
            return refusal_response(refusal)
        return json_response({}, HTTPStatus.ACCEPTED)

    async def results(self, request: web.BaseRequest) -> web.Response:
        """Return a page of results, or end the job if the method is DELETE."""
        organisation = self._admission.authenticate(key_of(request))
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
        return await self._read(job, organisation, position, _wait_seconds(request))

    async def _read(
        self,
        job: JobId,
        organisation: OrganisationId | None,
        position: int,
        wait: float,
    ) -> web.Response:
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
                return encoded_json_response(submissions.encode(page))
            case NoSuchJob():
                return refusal_response(UNKNOWN_JOB)
            case reply:
                logger.info(
                    "leader did not return the results", job=job, reply=str(reply)
                )
                if position < cached_count:
                    return self._cached_page(job, organisation, position)
                return refusal_response(LEADER_UNAVAILABLE)

    def _cached_page(
        self, job: JobId, organisation: OrganisationId | None, position: int
    ) -> web.Response:
        page = self._cache.page(job, organisation, position)
        return (
            refusal_response(LEADER_UNAVAILABLE)
            if page is None
            else encoded_json_response(submissions.encode(page))
        )

    async def item(self, request: web.BaseRequest) -> web.Response:
        """Answer with the body of an item that has no result yet."""
        organisation = self._admission.authenticate(key_of(request))
        if isinstance(organisation, Refusal):
            return refusal_response(organisation)
        job = JobId(path_of(request).removeprefix(ITEM_PATH))
        read = ReadItem(job, organisation, ItemId(request.query.get("id", "")))
        match await self._link.request(read, READ_TIMEOUT_SECONDS):
            case ItemBody(body=body):
                return web.Response(body=body)
            case NoSuchJob():
                return refusal_response(UNKNOWN_JOB)
            case reply:
                logger.info("leader did not return the item", job=job, reply=str(reply))
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

    async def _commit(self, command: Command, job: JobId) -> Refusal | None:
        """Commit a command; return a refusal, or None if it was accepted."""
        result = await self._link.propose(
            command, correlation_id=CorrelationId(job), timeout=COMMIT_TIMEOUT_SECONDS
        )
        match result:
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
                return Refusal(
                    RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN
                )


def _wait_seconds(request: web.BaseRequest) -> float:
    milliseconds = parse_count(request.headers.get(WAIT_HEADER, ""))
    return min(MAX_RESULT_WAIT_SECONDS, (milliseconds or 0) / 1000)
