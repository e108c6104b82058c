"""Tests of the cache of job results on an entry."""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import JobId, OrganisationId
from goldcrestyard.core.jobs import ItemOutcome, ItemResult
from goldcrestyard.fleet.jobs.commands import ResultsPage
from goldcrestyard.fleet.jobs.result_cache import MAX_PAGE_BYTES, ResultCache
from tests.fakes.serving import item_id

JOB, OWNER = JobId("job"), OrganisationId("tejo")


def page(first: int, count: int, size: int = 10) -> ResultsPage:
    results = tuple(
        ItemResult(item_id(n), ItemOutcome.COMPLETE, b"x" * size)
        for n in range(first, first + count)
    )
    return ResultsPage(20, results, first + count)


class ResultCacheTests(unittest.TestCase):
    """Guards against pages with gaps or results of another organisation."""

    def setUp(self) -> None:
        self.cache = ResultCache(max_bytes=1000)
        self.cache.add(JOB, OWNER, 0, page(0, 3))

    @parameterized.expand(
        [
            ("from_the_start", 0, [0, 1, 2]),
            ("from_within", 2, [2]),
            ("at_the_end", 3, None),
            ("beyond", 7, None),
        ]
    )
    def test_page(self, _: str, position: int, expected: list[int] | None) -> None:
        found = self.cache.page(JOB, OWNER, position)
        if expected is None:
            self.assertIsNone(found)
        else:
            assert found is not None
            items = [result.item for result in found.results]
            self.assertEqual(items, [item_id(number) for number in expected])
            self.assertEqual((found.size, found.next_position), (20, 3))

    def test_whole_once_all_is_known(self) -> None:
        self.assertEqual(self.cache.count(JOB, OWNER), 3)
        self.assertFalse(self.cache.is_complete(JOB, OWNER))
        self.cache.add(JOB, OWNER, 3, page(3, 17))
        self.assertTrue(self.cache.is_complete(JOB, OWNER))

    def test_stranger_finds_nothing(self) -> None:
        self.assertIsNone(self.cache.page(JOB, OrganisationId("other"), 0))

    def test_what_does_not_continue_the_list_is_not_kept(self) -> None:
        self.cache.add(JOB, OWNER, 5, page(5, 2))
        self.assertIsNone(self.cache.page(JOB, OWNER, 5))
        self.cache.add(JOB, OWNER, 3, page(3, 2))
        found = self.cache.page(JOB, OWNER, 0)
        assert found is not None
        self.assertEqual(found.next_position, 5)

    def test_size_is_bounded(self) -> None:
        for number in range(20):
            self.cache.add(JobId(f"j{number}"), OWNER, 0, page(0, 3, 100))
        kept = [n for n in range(20) if self.cache.page(JobId(f"j{n}"), OWNER, 0)]
        self.assertEqual(kept, [17, 18, 19])

    def test_page_is_bounded(self) -> None:
        cache = ResultCache()
        cache.add(JOB, OWNER, 0, page(0, 4, MAX_PAGE_BYTES // 2))
        found = cache.page(JOB, OWNER, 0)
        assert found is not None
        self.assertEqual(found.next_position, 2)
