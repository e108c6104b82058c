"""Tests of the replicated state of jobs."""

import unittest
from dataclasses import replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    EventNumber,
    GroupId,
    JobId,
    ModelName,
    OrganisationId,
    SoftwareVersion,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.jobs import EndedItem, ItemOutcome, Job, JobItem, Progress
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    KeepProgress,
    ListResults,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.slices import RESULT_RETENTION_SECONDS, JobsSlice
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.state.commands import Accepted, Rejected
from tests.fakes.member import apply, machine_of
from tests.fakes.serving import item_id

JOB = JobId("job")
OWNER, STRANGER = OrganisationId("tejo"), OrganisationId("other")


def job(name: str = "job", owner: OrganisationId = OWNER, items: int = 3) -> Job:
    return Job(
        JobId(name),
        owner,
        "h.example",
        "/jobs/",
        ModelName("m"),
        StepNumber(1),
        WeightVersion(1),
        1,
        tuple(
            JobItem(item_id(n), f"/jobs/{n}", (), b"body", ModelName("m"), GroupId("g"))
            for n in range(items)
        ),
    )


def progress(kept: int, *events: bytes) -> Progress:
    last = EventNumber(kept + len(events))
    versions, software = (WeightVersion(2),), SoftwareVersion("v1")
    return Progress(kept, events, last, versions, versions[0], software)


def complete(number: int, kept: int, *events: bytes) -> EndedItem:
    return EndedItem(
        item_id(number), ItemOutcome.COMPLETE, progress(kept, *events), "score"
    )


class JobsSliceTests(unittest.TestCase):
    """Guards against results that are lost, listed twice or moved."""

    def setUp(self) -> None:
        self.machine = machine_of(JobsSlice, ServingSlice)
        self.slice = self.machine.get(JobsSlice)
        apply(self.machine, SubmitJob(job()))

    def _texts(self) -> list[tuple[str, bytes]]:
        return [(r.item, r.text) for r in self.slice.jobs_by_id[JOB].results]

    def test_resubmission_changes_nothing(self) -> None:
        apply(self.machine, ListResults(JOB, (complete(0, 0, b"a"),)))
        outcome = apply(self.machine, SubmitJob(job())).outcome
        self.assertEqual(outcome, Accepted())
        self.assertEqual(self._texts(), [("item-0", b"a")])

    def test_id_of_another_organisation_is_refused(self) -> None:
        outcome = apply(self.machine, SubmitJob(job(owner=STRANGER))).outcome
        self.assertIsInstance(outcome, Rejected)

    def test_item_is_listed_once(self) -> None:
        apply(self.machine, ListResults(JOB, (complete(1, 0, b"a"),)))
        apply(
            self.machine, ListResults(JOB, (complete(1, 0, b"b"), complete(0, 0, b"c")))
        )
        self.assertEqual(self._texts(), [("item-1", b"a"), ("item-0", b"c")])

    @parameterized.expand(
        [
            ("one_after_another", [(0, b"a"), (1, b"b")], b"a\nb\nc"),
            ("the_same_twice", [(0, b"a"), (1, b"b"), (1, b"b")], b"a\nb\nc"),
            ("started_again", [(0, b"x"), (1, b"y"), (0, b"a"), (1, b"b")], b"a\nb\nc"),
        ]
    )
    def test_text_of_kept_progress(
        self, _: str, kept: list[tuple[int, bytes]], expected: bytes
    ) -> None:
        for position, event in kept:
            by_item = {item_id(0): progress(position, event)}
            apply(self.machine, KeepProgress(JOB, by_item))
        apply(self.machine, ListResults(JOB, (complete(0, 2, b"c"),)))
        self.assertEqual(self._texts(), [("item-0", expected)])
        self.assertEqual(self.slice.jobs_by_id[JOB].progress_by_item, {})

    def test_ended_job_keeps_its_list_and_takes_no_more(self) -> None:
        apply(self.machine, ListResults(JOB, (complete(0, 0, b"a"),)))
        apply(self.machine, EndJob(JOB, OWNER))
        apply(self.machine, ListResults(JOB, (complete(1, 0, b"b"),)))
        self.assertEqual(self._texts(), [("item-0", b"a")])
        self.assertEqual(self.slice.open_jobs(), [])
        self.assertEqual(apply(self.machine, EndJob(JOB, OWNER)).outcome, Accepted())

    def test_stranger_neither_finds_nor_ends_a_job(self) -> None:
        self.assertIsNone(self.slice.find(JOB, STRANGER))
        outcome = apply(self.machine, EndJob(JOB, STRANGER)).outcome
        self.assertIsInstance(outcome, Rejected)

    @parameterized.expand(
        [
            ("kept", RESULT_RETENTION_SECONDS - 1, 2),
            ("gone", RESULT_RETENTION_SECONDS + 1, 1),
        ]
    )
    def test_results_are_kept_for_their_time(
        self, _: str, age: float, expected: int
    ) -> None:
        apply(self.machine, EndJob(JOB, OWNER))
        apply(self.machine, SubmitJob(job("next")), time=age)
        self.assertEqual(len(self.slice.jobs_by_id), expected)

    @parameterized.expand(
        [
            ("same_weights", 2, "/jobs/0", True),
            ("older_than_allowed", 3, "/jobs/0", False),
            ("another_request_under_its_id", 2, "/jobs/other", False),
        ]
    )
    def test_finished_item_that_comes_again(
        self, _: str, oldest: int, path: str, expected: bool
    ) -> None:
        apply(self.machine, ListResults(JOB, (complete(0, 0, b"a"),)))
        apply(self.machine, EndJob(JOB, OWNER))
        apply(self.machine, SubmitJob(self._resubmitted_job(oldest, path)))
        listed = self.slice.jobs_by_id[JobId("next")].results
        self.assertEqual([result.text for result in listed], [b"a"] * expected)

    @parameterized.expand([("same_weights", 2, True), ("too_old", 3, False)])
    def test_begun_item_that_comes_again(
        self, _: str, oldest: int, expected: bool
    ) -> None:
        saved = progress(0, b"a", b"b")
        apply(self.machine, KeepProgress(JOB, {item_id(0): saved}))
        apply(self.machine, EndJob(JOB, OWNER))
        apply(self.machine, SubmitJob(self._resubmitted_job(oldest, "/jobs/0")))
        carried = self.slice.jobs_by_id[JobId("next")].progress_by_item
        self.assertEqual(carried, {item_id(0): saved} if expected else {})

    def test_nothing_is_carried_over_to_a_stranger(self) -> None:
        apply(self.machine, ListResults(JOB, (complete(0, 0, b"a"),)))
        apply(self.machine, SubmitJob(job("next", STRANGER)))
        self.assertEqual(self.slice.jobs_by_id[JobId("next")].results, [])

    def _resubmitted_job(self, oldest: int, path: str) -> Job:
        resubmitted = job("next")
        changed_item = replace(resubmitted.items[0], path=path)
        return replace(
            resubmitted,
            oldest_version=WeightVersion(oldest),
            items=(changed_item, *resubmitted.items[1:]),
        )

    def test_snapshot_holds_all(self) -> None:
        apply(self.machine, ListResults(JOB, (complete(0, 0, b"a"),)))
        apply(self.machine, KeepProgress(JOB, {item_id(1): progress(0, b"b")}))
        copy = JobsSlice()
        copy.load_snapshot(self.slice.to_snapshot())
        self.assertEqual(copy.jobs_by_id, self.slice.jobs_by_id)
