"""Cache of job results on an entry.

A listed result never changes its position or content, so a cached one never
becomes stale.  Without the cache, each reader that starts from the first
result would have the whole job sent over the link between regions again.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from goldcrestyard.core.ids import JobId, OrganisationId
from goldcrestyard.core.jobs import ItemResult
from goldcrestyard.fleet.jobs.commands import ResultsPage

MAX_CACHE_BYTES = 3 * 1024 * 1024
MAX_PAGE_BYTES = 900_000
"""Maximum size of the result text in one page.  The message, with its frame,
stays under 1 MB."""


@dataclass(slots=True)
class _CachedResults:
    size: int
    """Number of the job's items."""
    results: list[ItemResult] = field(default_factory=list)
    text_bytes: int = 0


class ResultCache:
    """Caches the first results of each job, without gaps, by organisation.

    The least recently used jobs are evicted beyond ``max_bytes`` of text.
    """

    def __init__(self, max_bytes: int = MAX_CACHE_BYTES) -> None:
        self._max_bytes = max_bytes
        self._bytes = 0
        self._cached_by_job: OrderedDict[
            tuple[JobId, OrganisationId | None], _CachedResults
        ] = OrderedDict()

    def count(self, job: JobId, organisation: OrganisationId | None) -> int:
        """Return how many results of a job are cached."""
        cached = self._cached_by_job.get((job, organisation))
        return len(cached.results) if cached is not None else 0

    def is_complete(self, job: JobId, organisation: OrganisationId | None) -> bool:
        """Return whether all results of a job are cached."""
        cached = self._cached_by_job.get((job, organisation))
        return cached is not None and len(cached.results) >= cached.size

    def page(
        self, job: JobId, organisation: OrganisationId | None, position: int
    ) -> ResultsPage | None:
        """Return cached results from a position on; None if there are none."""
        cached = self._cached_by_job.get((job, organisation))
        if cached is None or position >= len(cached.results):
            return None
        self._cached_by_job.move_to_end((job, organisation))
        results = page_from(cached.results, position)
        return ResultsPage(cached.size, results, position + len(results))

    def add(
        self,
        job: JobId,
        organisation: OrganisationId | None,
        position: int,
        page: ResultsPage,
    ) -> None:
        """Cache a page that starts right after the job's cached results."""
        key = (job, organisation)
        cached = self._cached_by_job.setdefault(key, _CachedResults(page.size))
        if position != len(cached.results):
            return
        added = sum(len(result.text) for result in page.results)
        cached.results.extend(page.results)
        cached.text_bytes += added
        self._bytes += added
        self._cached_by_job.move_to_end(key)
        while self._bytes > self._max_bytes and len(self._cached_by_job) > 1:
            _, evicted = self._cached_by_job.popitem(last=False)
            self._bytes -= evicted.text_bytes


def page_from(results: list[ItemResult], position: int) -> tuple[ItemResult, ...]:
    """Return results from a position on, up to the size limit of a page.

    The first is returned even if it alone exceeds the limit.
    """
    page: list[ItemResult] = []
    size = 0
    for result in results[position:]:
        size += len(result.text)
        if page and size > MAX_PAGE_BYTES:
            break
        page.append(result)
    return tuple(page)
