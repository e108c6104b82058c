"""Tests of the bound on what jobs make the control members keep."""

import itertools
import math
import random
import unittest
from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import (
    EventNumber,
    GroupId,
    JobId,
    ModelName,
    OrganisationId,
    RequestId,
    StepNumber,
    Term,
    WeightVersion,
)
from goldcrestyard.core.jobs import (
    EndedItem,
    ItemOutcome,
    Job,
    JobItem,
    Progress,
    RewardCall,
)
from goldcrestyard.fleet.jobs.admission import JobAdmission
from goldcrestyard.fleet.jobs.commands import (
    EndJob,
    JobHeld,
    KeepProgress,
    ListResults,
    StageJobPart,
    SubmitJob,
)
from goldcrestyard.fleet.jobs.slices import (
    RESULT_RETENTION_SECONDS,
    JobsSlice,
    JobState,
)
from goldcrestyard.fleet.jobs.staging import STAGING_SECONDS, encode_job, split_job
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.policy.job_sizes import job_size
from goldcrestyard.policy.memory import ADMISSION_SHARE, control_shares
from goldcrestyard.state.commands import Accepted, Command, Rejected
from tests.fakes.member import apply, machine_of
from tests.fakes.quiet_logs import quiet_logs
from tests.fakes.serving import item_id

OWNER = OrganisationId("tejo")
BODY_BYTES = 100_000
ITEMS = 4


def job(name: str = "job", body_bytes: int = BODY_BYTES, first_item: int = 0) -> Job:
    """Return a job whose items have a body and a reward call of a size."""
    source = random.Random(f"{name}{body_bytes}")
    items = tuple(
        JobItem(
            item_id(number),
            f"/jobs/{number}",
            (("X-Model", "m"),),
            source.randbytes(body_bytes),
            ModelName("m"),
            GroupId("g"),
            RewardCall(RequestId(f"r{number}"), "h", "/score", b"rubric"),
        )
        for number in range(first_item, first_item + ITEMS)
    )
    return Job(
        JobId(name),
        OWNER,
        "h.example",
        "/jobs/",
        ModelName("m"),
        StepNumber(1),
        WeightVersion(1),
        1,
        items,
    )


def progress(kept: int, *events: bytes) -> Progress:
    last = EventNumber(kept + len(events))
    return Progress(kept, events, last, (WeightVersion(2),), WeightVersion(2))


def listed(job_name: str, number: int, text: bytes) -> ListResults:
    ended = EndedItem(item_id(number), ItemOutcome.COMPLETE, progress(0, text), "s")
    return ListResults(JobId(job_name), (ended,))


class ReleasedContentTests(unittest.TestCase):
    """What is held of items that need no further run."""

    def setUp(self) -> None:
        self.machine = machine_of(JobsSlice, ServingSlice)
        self.jobs = self.machine.get(JobsSlice)

    @parameterized.expand(
        [
            ("none", [], ITEMS),
            ("one_listed", [listed("job", 0, b"text")], ITEMS - 1),
            ("all_listed", [listed("job", n, b"text") for n in range(ITEMS)], 0),
            ("ended", [EndJob(JobId("job"), OWNER)], 0),
        ]
    )
    def test_bodies_of_items_that_have_ended_are_not_kept(
        self, _: str, commands: list[Command], held: int
    ) -> None:
        """Guards against ended jobs that fill the members' memory."""
        apply(self.machine, SubmitJob(job()))
        for command in commands:
            apply(self.machine, command)
        kept = sum(len(item.body) for item in self._state().job.items)
        self.assertEqual(kept, held * BODY_BYTES)
        self.assertLess(self.jobs.held_bytes(0.0), held * BODY_BYTES + 20_000)
        self.assertLess(self._snapshot_size(), held * BODY_BYTES + 20_000)

    def test_sizes_are_those_of_what_is_held(self) -> None:
        """Guards against a sum that drifts from the state through commands."""
        source = random.Random(36)
        for number in range(6):
            apply(self.machine, SubmitJob(job(f"job{number}", 500 * number)))
        for step in range(400):
            name = f"job{source.randrange(6)}"
            item = source.randrange(ITEMS)
            command: Command = source.choice(
                [
                    listed(name, item, source.randbytes(source.randrange(900))),
                    KeepProgress(
                        JobId(name),
                        {item_id(item): progress(source.randrange(3), b"x" * 50)},
                    ),
                    SubmitJob(job(f"{name}-again-{step}", 700)),
                    EndJob(JobId(name), OWNER),
                ]
            )
            apply(self.machine, command, time=step)
            copy = JobsSlice()
            copy.load_snapshot(self.jobs.to_snapshot())
            self.assertEqual(copy.held_bytes(step), self.jobs.held_bytes(step))
        self.assertEqual(copy.jobs_by_id, self.jobs.jobs_by_id)

    @parameterized.expand(
        [
            ("same", {}, True),
            ("other_body", {"body": b"x"}, False),
            ("other_headers", {"headers": (("X-Model", "n"),)}, False),
            ("other_reward", {"reward": None}, False),
            ("other_group", {"group": GroupId("h")}, True),
        ]
    )
    def test_released_item_is_recognised_when_it_comes_again(
        self, _: str, change: dict[str, object], expected: bool
    ) -> None:
        apply(self.machine, SubmitJob(job()))
        apply(self.machine, listed("job", 0, b"text"))
        first, *rest = job().items
        changed = replace(first, **change)  # type: ignore[arg-type]
        again = replace(job(), id=JobId("next"), items=(changed, *rest))
        apply(self.machine, SubmitJob(again))
        results = self.jobs.jobs_by_id[JobId("next")].results
        self.assertEqual([result.text for result in results], [b"text"] * expected)

    def _state(self) -> JobState:
        return self.jobs.jobs_by_id[JobId("job")]

    def _snapshot_size(self) -> int:
        record = self.jobs.to_snapshot().records[0]
        return job_size(record.job) + sum(len(r.text) for r in record.results)


@dataclass(frozen=True)
class Arrival:
    """An order in which the parts of a job arrive, by their positions.

    ``times`` are those of the arrivals; the job is complete or not.
    """

    name: str
    positions: tuple[int, ...]
    complete: bool = True
    times: tuple[float, ...] = ()


class StagedJobTests(unittest.TestCase):
    """Jobs that arrive in parts."""

    def setUp(self) -> None:
        self.machine = machine_of(JobsSlice, ServingSlice)
        self.jobs = self.machine.get(JobsSlice)
        self.job = job(body_bytes=300_000)
        self.parts = list(split_job(self.job, encode_job(self.job)))

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                Arrival("in_order", (0, 1, 2, 3, 4)),
                Arrival("out_of_order", (0, 4, 2, 1, 3)),
                Arrival("each_twice", (0, 0, 1, 1, 2, 2, 3, 3, 4, 4, 4)),
                Arrival("one_missing", (0, 1, 2, 4), complete=False),
                Arrival("first_missing", (1, 2, 3, 4), complete=False),
                Arrival("first_last", (1, 2, 3, 4, 0), complete=False),
                Arrival("begun_again", (0, 1, 0, 1, 2, 3, 4)),
                Arrival(
                    "first_dropped",
                    (0, 1, 2, 3, 4),
                    complete=False,
                    times=(0, 1, 2 + STAGING_SECONDS, 13, 14),
                ),
            )
        ]
    )
    def test_job_is_submitted_once_it_is_complete(self, _: str, case: Arrival) -> None:
        """Guards against a job that is lost, cut or run in part."""
        outcomes = []
        for position, time in itertools.zip_longest(case.positions, case.times):
            part = self.parts[position]
            outcomes.append(apply(self.machine, part, time=time or 0.0).outcome)
            # A member that restarts in between goes on from its snapshot.
            snapshot = self.jobs.to_snapshot()
            self.jobs.load_snapshot(snapshot)
        held = [state.job for state in self.jobs.jobs_by_id.values()]
        self.assertEqual(held, [self.job] if case.complete else [])
        self.assertEqual(JobHeld() in outcomes, case.complete)
        if case.complete:
            self.assertEqual(self.jobs.staged_by_key, {})

    @parameterized.expand(
        [
            ("other_digest", {"digest": b"x"}),
            ("negative_offset", {"offset": -1}),
            ("after_the_end", {"offset": 10**9}),
            ("other_size", {"size": 7}),
            ("empty", {"data": b""}),
            ("other_bytes", {"data": b"x" * 1000}),
        ]
    )
    def test_part_that_does_not_fit_adds_nothing(
        self, _: str, change: dict[str, object]
    ) -> None:
        for part in self.parts[:-1]:
            apply(self.machine, part)
        changed = replace(self.parts[-1], **change)  # type: ignore[arg-type]
        self.assertNotIsInstance(apply(self.machine, changed).outcome, JobHeld)
        self.assertEqual(self.jobs.jobs_by_id, {})

    def test_part_of_a_stranger_does_not_reach_the_job(self) -> None:
        apply(self.machine, SubmitJob(self.job))
        stranger = replace(self.parts[0], organisation=OrganisationId("other"))
        self.assertIsInstance(apply(self.machine, stranger).outcome, Rejected)
        self.assertEqual(apply(self.machine, self.parts[0]).outcome, JobHeld())

    def test_arriving_job_counts_with_its_whole_size(self) -> None:
        apply(self.machine, self.parts[0])
        self.assertGreaterEqual(self.jobs.held_bytes(0.0), 4 * 300_000)
        self.assertEqual(self.jobs.held_bytes(1 + STAGING_SECONDS), 0)


class AdmissionTests(unittest.TestCase):
    """Jobs for which the members have room, and others."""

    def setUp(self) -> None:
        quiet_logs(self)
        self.machine = machine_of(JobsSlice, ServingSlice)
        self.term = Term(1)
        self.now = 0.0
        self.room = 3 * job_size(job()) + 20_000
        self.admission = JobAdmission(
            self.machine.get(JobsSlice),
            replace(
                control_shares(0),
                jobs=math.ceil(self.room / ADMISSION_SHARE),
                large_jobs=self.room,
            ),
            lambda: self.term,
            Clock(lambda: self.now),
        )
        self.machine.listen(self.admission.on_applied)

    def test_no_job_is_admitted_beyond_the_room(self) -> None:
        """Guards against jobs that together exceed the members' memory."""
        for number in range(3):
            self.assertIsNone(self._submit(f"job{number}"))
        self.assertIsNotNone(self._submit("one_more"))
        self.assertIsNone(self._submit("job0"), "a known job has its room")

    def test_proposed_jobs_count_before_they_are_applied(self) -> None:
        for number in range(3):
            command = SubmitJob(job(f"job{number}"))
            self.assertIsNone(self.admission.check(command))
        self.assertIsNotNone(self.admission.check(SubmitJob(job("one_more"))))
        self.term = Term(2)
        self.assertIsNone(self.admission.check(SubmitJob(job("one_more"))))

    @parameterized.expand(
        [
            ("end", EndJob(JobId("job0"), OWNER), 0.0),
            ("time", None, RESULT_RETENTION_SECONDS + 3600.0),
        ]
    )
    def test_room_comes_back(self, _: str, command: Command, seconds: float) -> None:
        for number in range(3):
            self._submit(f"job{number}")
        if command is not None:
            apply(self.machine, command)
        self.now += seconds
        self.assertIsNone(self._submit("one_more"))

    def test_parts_of_several_submissions_under_one_id_count_each(self) -> None:
        """Guards against a sum that one id keeps at the size of one job."""
        admitted = 0
        for number in range(8):
            one = replace(job("same"), step=StepNumber(number))
            part = next(iter(split_job(one, encode_job(one))))
            admitted += self.admission.check(part) is None
        self.assertEqual(admitted, 3)

    @parameterized.expand([("fits", 200, True), ("too_many_items", 2_000, False)])
    def test_parts_count_by_the_items_of_their_job(
        self, _: str, count: int, admitted: bool
    ) -> None:
        """Guards against tiny items that exceed the memory of the members."""
        items = tuple(
            replace(job(body_bytes=0).items[0], id=item_id(number))
            for number in range(count)
        )
        tiny = replace(job("tiny"), items=items)
        encoded = encode_job(tiny)
        self.assertLess(len(encoded), self.room / 2)
        part = next(split_job(tiny, encoded))
        self.assertEqual(self.admission.check(part) is None, admitted)
        if admitted:
            part = replace(part, size=part.size + 1)
            apply(self.machine, part)
            jobs = self.machine.get(JobsSlice)
            copy = JobsSlice()
            copy.load_snapshot(jobs.to_snapshot())
            for held in (jobs, copy):
                self.assertEqual(held.held_bytes(0.0), job_size(tiny))

    def test_a_job_that_has_begun_may_end(self) -> None:
        parts = list(split_job(job("begun"), encode_job(job("begun"))))
        self.assertGreater(len(parts), 1)
        apply(self.machine, parts[0])
        for number in range(3):
            self._submit(f"job{number}")
        self.assertIsNone(self.admission.check(parts[1]))
        command = StageJobPart(JobId("new"), OWNER, b"d", self.room, 0, b"x")
        self.assertIsNotNone(self.admission.check(command))

    def _submit(self, name: str) -> str | None:
        command = SubmitJob(job(name))
        refusal = self.admission.check(command)
        if refusal is None:
            outcome = apply(self.machine, command, time=self.now).outcome
            self.assertEqual(outcome, Accepted())
        return refusal
