"""Trainers' calls: submitting, reading and ending jobs."""

from http import HTTPStatus

import structlog
from aiohttp import web

from goldcrestyard.consensus.results import Applied, InDoubt, NotProposed
from goldcrestyard.core.ids import CorrelationId, ItemId, JobId, OrganisationId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.fleet.gateway.admission import RETRY_SECONDS, Admission
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    ItemBody,
    NoSuchJob,
    ReadItem,
    ReadResults,
    ResultsPage,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.page_cache import ResultCache
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.platform import submissions
from goldcrestyard.platform.answers import json_answer, json_bytes, refuse
from goldcrestyard.platform.callers.requests import host_of, key_of, path_of
from goldcrestyard.platform.names import ITEM_PATH, REQUEST_ID, RESULTS_PATH, WAIT
from goldcrestyard.state.commands import Command, Rejected

logger = structlog.get_logger(__name__)

COMMIT_SECONDS = 2.0
READ_SECONDS = 1.0
LONGEST_WAIT_SECONDS = 1.0

NO_JOB = Refusal(RefusalReason.NOT_FOUND, "no such job")
UNSURE = Refusal(
    RefusalReason.NO_LEADER,
    "the leader cannot be asked",
    retry_after_seconds=RETRY_SECONDS,
)


class JobCalls:
    """Decodes trainers' calls and passes them to the leader."""

    def __init__(self, admission: Admission, link: LeaderLink) -> None:
        self._admission = admission
        self._link = link
        self._cache = ResultCache()

    async def submit(self, request: web.BaseRequest, body: bytes) -> web.Response:
        """Have a job kept; only then is it acknowledged."""
        organisation = self._admission.authenticate(key_of(request))
        if isinstance(organisation, Refusal):
            return refuse(organisation)
        job = submissions.decode(
            request.headers.get(REQUEST_ID, ""),
            organisation,
            host_of(request),
            path_of(request),
            body,
        )
        if isinstance(job, Refusal):
            logger.warning("job refused", reason=job.detail)
            return refuse(job)
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
            return refuse(refusal)
        return json_answer({}, HTTPStatus.ACCEPTED)

    async def results(self, request: web.BaseRequest) -> web.Response:
        """Answer with results, or end the job."""
        organisation = self._admission.authenticate(key_of(request))
        if isinstance(organisation, Refusal):
            return refuse(organisation)
        job = JobId(path_of(request).removeprefix(RESULTS_PATH))
        if request.method == "DELETE":
            return await self._end(job, organisation)
        position = request.query.get("after", "0")
        if not position.isdigit():
            return refuse(Refusal(RefusalReason.BAD_REQUEST, "no such position"))
        return await self._read(
            job, organisation, int(position), _wait_seconds(request)
        )

    async def _read(
        self,
        job: JobId,
        organisation: OrganisationId | None,
        position: int,
        wait: float,
    ) -> web.Response:
        """Answer from what is known, and what the leader adds to it.

        What was listed stays true without the leader.
        """
        known = self._cache.length(job, organisation)
        if position < known and self._cache.is_whole(job, organisation):
            return self._known_page(job, organisation, position)
        first = max(position, known)
        wait = 0.0 if position < known else wait
        read = ReadResults(job, organisation, first, wait)
        match await self._link.request(read, READ_SECONDS + wait):
            case ResultsPage() as page:
                self._cache.add(job, organisation, first, page)
                if position < known:
                    return self._known_page(job, organisation, position)
                return json_bytes(submissions.encode(page))
            case NoSuchJob():
                return refuse(NO_JOB)
            case reply:
                logger.info("results not read", job=job, reply=str(reply))
                if position < known:
                    return self._known_page(job, organisation, position)
                return refuse(UNSURE)

    def _known_page(
        self, job: JobId, organisation: OrganisationId | None, position: int
    ) -> web.Response:
        page = self._cache.page(job, organisation, position)
        return refuse(UNSURE) if page is None else json_bytes(submissions.encode(page))

    async def item(self, request: web.BaseRequest) -> web.Response:
        """Answer with the body of an item that is not listed."""
        organisation = self._admission.authenticate(key_of(request))
        if isinstance(organisation, Refusal):
            return refuse(organisation)
        job = JobId(path_of(request).removeprefix(ITEM_PATH))
        read = ReadItem(job, organisation, ItemId(request.query.get("id", "")))
        match await self._link.request(read, READ_SECONDS):
            case ItemBody(body=body):
                return web.Response(body=body)
            case NoSuchJob():
                return refuse(NO_JOB)
            case reply:
                logger.info("item not read", job=job, reply=str(reply))
                return refuse(UNSURE)

    async def _end(
        self, job: JobId, organisation: OrganisationId | None
    ) -> web.Response:
        refusal = await self._commit(EndJob(job, organisation), job)
        logger.info(
            "job ended",
            job=job,
            refusal=None if refusal is None else refusal.detail,
        )
        return json_answer({}) if refusal is None else refuse(refusal)

    async def _commit(self, command: Command, job: JobId) -> Refusal | None:
        """Commit a command, or say what is known of it."""
        result = await self._link.propose(
            command, correlation_id=CorrelationId(job), timeout=COMMIT_SECONDS
        )
        match result:
            case Applied(outcome=Rejected(reason=reason, detail=detail)):
                return Refusal(reason, detail)
            case Applied():
                return None
            case NotProposed(detail=detail):
                return Refusal(
                    RefusalReason.NO_LEADER, detail, retry_after_seconds=RETRY_SECONDS
                )
            case InDoubt(detail=detail):
                return Refusal(
                    RefusalReason.UNKNOWN_OUTCOME, detail, Verdict.MAY_HAVE_RUN
                )


def _wait_seconds(request: web.BaseRequest) -> float:
    text = request.headers.get(WAIT, "")
    return min(LONGEST_WAIT_SECONDS, int(text) / 1000) if text.isdigit() else 0.0
