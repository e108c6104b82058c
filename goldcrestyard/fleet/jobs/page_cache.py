"""Results that an entry has read, so that it need not ask for them again.

A listed result never changes its place or content, so what was read once is
true for as long as it is asked for.  Readers that begin anew would otherwise
have whole jobs sent over the link between regions each time.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from goldcrestyard.core.ids import JobId, OrganisationId
from goldcrestyard.core.jobs import ItemResult
from goldcrestyard.fleet.jobs.commands import ResultsPage

MAX_BYTES = 3 * 1024 * 1024
MAX_PAGE_BYTES = 900_000
"""Text in one answer; with the frame around it stays under 1 MB."""


@dataclass(slots=True)
class _Known:
    size: int
    results: list[ItemResult] = field(default_factory=list)
    bytes: int = 0


class ResultCache:
    """The beginnings of the jobs' lists, least recently used first out."""

    def __init__(self, max_bytes: int = MAX_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._known_by_job: OrderedDict[tuple[JobId, OrganisationId | None], _Known] = (
            OrderedDict()
        )

    def length(self, job: JobId, organisation: OrganisationId | None) -> int:
        """Return how many results of a job are known."""
        known = self._known_by_job.get((job, organisation))
        return len(known.results) if known is not None else 0

    def is_whole(self, job: JobId, organisation: OrganisationId | None) -> bool:
        """Return whether all results of a job are known."""
        known = self._known_by_job.get((job, organisation))
        return known is not None and len(known.results) >= known.size

    def page(
        self, job: JobId, organisation: OrganisationId | None, position: int
    ) -> ResultsPage | None:
        """Return results from a position on, or None if none is known."""
        known = self._known_by_job.get((job, organisation))
        if known is None or position >= len(known.results):
            return None
        self._known_by_job.move_to_end((job, organisation))
        results = page_of(known.results, position)
        return ResultsPage(known.size, results, position + len(results))

    def add(
        self,
        job: JobId,
        organisation: OrganisationId | None,
        position: int,
        page: ResultsPage,
    ) -> None:
        """Keep results that continue what is known of a job."""
        key = (job, organisation)
        known = self._known_by_job.setdefault(key, _Known(page.size))
        if position != len(known.results):
            return
        added = sum(len(result.text) for result in page.results)
        known.results.extend(page.results)
        known.bytes += added
        self._bytes += added
        self._known_by_job.move_to_end(key)
        while self._bytes > self._max_bytes and len(self._known_by_job) > 1:
            _, oldest = self._known_by_job.popitem(last=False)
            self._bytes -= oldest.bytes


def page_of(results: list[ItemResult], position: int) -> tuple[ItemResult, ...]:
    """Return results from a position on: at least one if there is one."""
    page: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += len(result.text)
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)
