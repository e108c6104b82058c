"""Tests of the access to jobs through changes of the configuration."""

from dataclasses import dataclass, replace

from parameterized import parameterized

from goldcrestyard.core.ids import ConfigVersion, JobId, KeyHash, OrganisationId
from goldcrestyard.core.keys import hash_secret
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.serving import ServedOrganisation
from goldcrestyard.fleet.gateway.admission import Admission
from goldcrestyard.fleet.jobs.commands import EndJob, SubmitJob
from goldcrestyard.fleet.jobs.slices import JobsSlice
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.serving.former_keys import FORMER_KEY_SECONDS, MAX_FORMER_KEYS
from goldcrestyard.fleet.serving.slices import ServingSlice
from goldcrestyard.membership.view import EntryView
from goldcrestyard.state.commands import Accepted, Outcome
from goldcrestyard.wire.codec import Codec
from tests.fakes.member import apply, machine_of
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.serving import CONFIG, request
from tests.fleet.test_jobs_slice import JOB, job

Holders = dict[str, tuple[str, ...]]
"""Keys by organisation; empty if no organisation is configured."""

BOTH: Holders = {"a": ("ka",), "b": ("kb",)}
NONE: Holders = {}


@dataclass(frozen=True)
class Case:
    """Configurations and submitter, then who finds the job."""

    name: str
    submitted_under: tuple[Holders, ...]
    """The configurations up to the submission."""
    submitter: str | None
    later: tuple[Holders, ...]
    found_by: tuple[str | None, ...]
    not_found_by: tuple[str | None, ...]


CASES = [
    Case("unchanged", (BOTH,), "ka", (), ("ka",), ("kb",)),
    Case("none_configured_later", (BOTH,), "ka", (NONE,), ("ka", None), ("kb",)),
    Case("configured_again", (BOTH,), "ka", (NONE, BOTH), ("ka",), ("kb",)),
    Case("submitted_in_between", (BOTH, NONE), "ka", (BOTH,), ("ka",), ("kb",)),
    Case("read_in_between", (BOTH, NONE), "ka", (), ("ka", None), ("kb",)),
    Case("configured_for_the_first_time", (NONE,), "ka", (BOTH,), ("ka",), ("kb",)),
    Case(
        "key_replaced_in_between",
        (BOTH, NONE),
        "ka",
        ({"a": ("k2",), "b": ("kb",)},),
        ("k2",),
        ("kb",),
    ),
    Case("submitted_without_a_key", (BOTH, NONE), None, (BOTH,), ("ka", "kb"), ()),
    Case("key_of_nobody", (NONE,), "kx", (BOTH,), ("ka", "kb"), ()),
    Case(
        "another_key_of_the_organisation",
        ({"a": ("ka", "k2"), "b": ("kb",)},),
        "ka",
        ({"a": ("k2",), "b": ("kb",)},),
        ("k2",),
        ("kb",),
    ),
    Case("renamed", (BOTH,), "ka", ({"c": ("ka",), "b": ("kb",)},), ("ka",), ("kb",)),
    Case("taken_out", (BOTH,), "ka", ({"b": ("kb",)},), (), ("kb",)),
    Case("put_back", (BOTH,), "ka", ({"b": ("kb",)}, BOTH), ("ka",), ("kb",)),
    Case(
        "put_back_with_another_key",
        (BOTH,),
        "ka",
        ({"b": ("kb",)}, {"a": ("k2",), "b": ("kb",)}),
        ("k2",),
        ("kb",),
    ),
    Case(
        "key_moved",
        (BOTH,),
        "ka",
        ({"a": ("k2",), "b": ("kb", "ka")},),
        ("k2",),
        ("ka", "kb"),
    ),
    Case(
        "key_moved_while_none_was_configured",
        (BOTH,),
        "ka",
        (NONE, {"a": ("k2",), "b": ("kb", "ka")}),
        ("k2",),
        ("ka", "kb"),
    ),
]


class JobAccessTests(PausedClockTestCase):
    """Guards against accepted jobs that their trainer does not find any more.

    A configuration that named no organisation, or one again, made them
    unknown.  None of these changes may show a job to another organisation.
    """

    async def asyncSetUp(self) -> None:
        self.machine = machine_of(JobsSlice, ServingSlice)
        self.jobs = self.machine.get(JobsSlice)
        view = EntryView(self.machine, Codec(), self.clock())
        view.grant(self.clock().monotonic(), 10 * FORMER_KEY_SECONDS)
        self.admission = Admission(view, self.clock())
        self.version = 1

    def _configure(self, holders: Holders, time: float = 0.0) -> None:
        self.version += 1
        config = replace(
            CONFIG,
            version=ConfigVersion(self.version),
            organisations=tuple(
                ServedOrganisation(OrganisationId(name), keys)
                for name, keys in holders.items()
            ),
        )
        apply(self.machine, PutServing(config, b""), time=time)

    def _submit(self, key: str | None, name: str = JOB) -> Outcome:
        organisation = self.admission.authenticate(key)
        assert not isinstance(organisation, Refusal)
        submitted = replace(
            job(name),
            organisation=organisation,
            key_hash=hash_secret(key) if key else KeyHash(""),
        )
        return apply(self.machine, SubmitJob(submitted)).outcome

    def _is_found_by(self, key: str | None) -> bool:
        caller = self.admission.identify(key)
        assert not isinstance(caller, Refusal)
        return self.jobs.find(JOB, caller) is not None

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_access(self, _: str, case: Case) -> None:
        for holders in case.submitted_under:
            self._configure(holders)
        self._submit(case.submitter)
        for holders in case.later:
            self._configure(holders)
        found = {
            key: self._is_found_by(key) for key in (*case.found_by, *case.not_found_by)
        }
        expected = {key: key in case.found_by for key in found}
        self.assertEqual(found, expected)
        # The same holds after a restart from a snapshot.
        serving = self.machine.get(ServingSlice)
        serving.load_snapshot(serving.to_snapshot())
        self.jobs.load_snapshot(self.jobs.to_snapshot())
        found = {key: self._is_found_by(key) for key in found}
        self.assertEqual(found, expected)

    @parameterized.expand([("own", "ka", True), ("of_another", "kb", False)])
    async def test_submission_that_comes_again(
        self, _: str, key: str, accepted: bool
    ) -> None:
        """A trainer repeats a submission, then ends the job."""
        self._configure(BOTH)
        self._submit("ka")
        self._configure(NONE)
        self.assertEqual(self._submit(key) == Accepted(), accepted)
        caller = self.admission.identify(key)
        assert not isinstance(caller, Refusal)
        outcome = apply(self.machine, EndJob(JobId(JOB), caller)).outcome
        self.assertEqual(outcome == Accepted(), accepted)

    @parameterized.expand([("open_stream", "/stream/"), ("call", "/again/")])
    async def test_admitted_request_goes_on(self, _: str, prefix: str) -> None:
        """Guards against refusals because no key is required any more."""
        self._configure(BOTH)
        admitted = self.admission.admit(request(prefix, "ka"), 0.0)
        assert not isinstance(admitted, Refusal)
        self._configure(NONE)
        self.assertTrue(self.admission.is_still_authorised(admitted))
        again = self.admission.admit(request(prefix, "ka"), 0.0)
        assert not isinstance(again, Refusal)
        self.assertEqual(again.stream_owner, admitted.stream_owner)

    async def test_former_key_authenticates_nobody(self) -> None:
        self._configure(BOTH)
        self._configure({"b": ("kb",)})
        self.assertIsInstance(self.admission.authenticate("ka"), Refusal)
        self.assertIsInstance(self.admission.identify("ka"), Refusal)

    @parameterized.expand(
        [
            ("in_time", FORMER_KEY_SECONDS, 0, True),
            ("too_old", FORMER_KEY_SECONDS + 1, 0, False),
            ("too_many", 0.0, MAX_FORMER_KEYS, False),
        ]
    )
    async def test_former_keys_are_bounded(
        self, _: str, age: float, others: int, expected: bool
    ) -> None:
        self._configure({"a": ("ka",)})
        self._configure({"b": tuple(f"k{n}" for n in range(others + 1))})
        self._configure(NONE, time=age)
        self.assertEqual(self.admission.identify("ka") == "a", expected)
