"""Tests of plans and of the audit trail in the replicated state.

They guard against a change without confirmation, a confirmation of a plan
that is based on an outdated configuration, two plans with one number, and a
change that is applied twice after a repeated confirmation.
"""

import unittest
from dataclasses import dataclass, field, replace
from typing import Any

from parameterized import parameterized

from goldcrestyard.core.ids import (
    CorrelationId,
    KeyHash,
    KeyId,
    LogIndex,
    OrganisationId,
    PlanNumber,
    RequestId,
    Revision,
    Term,
)
from goldcrestyard.core.records import Key, Organisation
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.kernel import registry
from goldcrestyard.plugins.audit.records import (
    AuditQuery,
    chained_hash,
    first_broken_record,
)
from goldcrestyard.plugins.audit.slices import AuditSlice
from goldcrestyard.plugins.operators.commands import (
    MESSAGES,
    ConfirmPlan,
    PlanConfirmed,
    PlanStored,
    StorePlan,
)
from goldcrestyard.plugins.operators.declarations import (
    DeclarationFaults,
    compute_changes,
    read,
)
from goldcrestyard.plugins.operators.slices import MAX_STORED_PLANS, PlansSlice
from goldcrestyard.plugins.organisations.commands import GrantKey, PutOrganisation
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.policy.plans import MAX_PLAN_NUMBER
from goldcrestyard.state.commands import AppliedEntry, Envelope, Rejected
from goldcrestyard.state.declarations import DeclaredKind
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.codec import Codec

RAIL = "[organisations.rail]\nshare = 2.0\n"
PORT = "[organisations.port]\n"
NOTHING = "[organisations]\n"
SECRET = KeyHash("5ec4e7" * 10)


def kinds() -> list[DeclaredKind]:
    """Return the declared kind of organisations only."""
    registry.discover_plugins()
    return [kind for kind in registry.declared_kinds() if kind.table == "organisations"]


class Cluster:
    """Applies commands to a state machine, as the replicated log does."""

    def __init__(self) -> None:
        self.kinds = kinds()
        self.machine = self._new_machine()
        self.index = LogIndex(0)

    def apply(self, command: Any, author: str = "ana") -> AppliedEntry:
        """Apply a command as the next log entry."""
        self.index = LogIndex(self.index + 1)
        envelope = Envelope(command, author, CorrelationId("c-1"), 100.0 + self.index)
        return self.machine.apply(self.index, Term(1), envelope)

    def change_leader(self) -> None:
        """Continue with a new machine that is restored from a snapshot."""
        codec = Codec()
        codec.register(*MESSAGES)
        for plugin in registry.discover_plugins():
            if plugin.name in ("organisations", "audit"):
                codec.register(*plugin.messages)
        snapshots = {
            name: codec.decode(codec.encode(snapshot))
            for name, snapshot in self.machine.to_snapshots().items()
        }
        machine = self._new_machine()
        machine.load_snapshots(snapshots, self.index, self.machine.revision)
        self.machine = machine

    def plan(
        self,
        text: str,
        number: int | None = None,
        request: str = "",
        author: str = "ana",
        seen: int | None = None,
    ) -> Any:
        """Store the plan of a declaration; return the outcome."""
        declaration = read(text, self.kinds)
        assert not isinstance(declaration, DeclarationFaults), declaration
        changes, warnings = compute_changes(declaration, self.kinds, self.machine)
        revision = self.machine.revision if seen is None else Revision(seen)
        command = StorePlan(
            None if number is None else PlanNumber(number),
            RequestId(request or f"request-{self.index}"),
            f"digest of {text}",
            revision,
            changes,
            warnings,
        )
        return self.apply(command, author).outcome

    def confirm(
        self, outcome: PlanStored, author: str = "ana", digest: str = ""
    ) -> Any:
        """Confirm a stored plan; return the outcome."""
        command = ConfirmPlan(outcome.plan.number, digest or outcome.plan.digest)
        return self.apply(command, author).outcome

    @property
    def organisations(self) -> set[str]:
        """The ids of the organisations that exist."""
        return set(self.machine.get(OrganisationsSlice).organisations_by_id)

    def _new_machine(self) -> StateMachine:
        slices = [OrganisationsSlice(), PlansSlice(self.kinds), AuditSlice()]
        return StateMachine(slices)


@dataclass(frozen=True)
class FollowingPlan:
    """A plan that follows one with number 7, and its expected outcome."""

    name: str
    text: str = RAIL
    number: int | None = 7
    author: str = "ana"
    request: str = "another"
    same: bool = False
    refused: RefusalReason | None = None


FOLLOWING_PLANS = [
    FollowingPlan("resent_under_its_number", same=True),
    FollowingPlan("resent_with_its_request_id", request="first", same=True),
    FollowingPlan("other_declaration", text=PORT, refused=RefusalReason.CONFLICT),
    FollowingPlan("other_author", author="bea", refused=RefusalReason.CONFLICT),
    FollowingPlan("other_number", number=8),
    FollowingPlan("number_left_to_the_system", number=None),
    FollowingPlan("without_number_resent", number=None, request="first", same=True),
    FollowingPlan(
        "request_id_of_another_declaration",
        text=PORT,
        number=None,
        request="first",
        refused=RefusalReason.CONFLICT,
    ),
    FollowingPlan("number_zero", number=0, refused=RefusalReason.BAD_REQUEST),
    FollowingPlan(
        "number_too_high",
        number=MAX_PLAN_NUMBER + 1,
        refused=RefusalReason.BAD_REQUEST,
    ),
]


@dataclass(frozen=True)
class RepeatedConfirmation:
    """A second confirmation of a plan that "ana" has confirmed."""

    name: str
    author: str = "ana"
    digest: str = ""
    after_other_change: bool = False
    after_leader_change: bool = False
    same: bool = False
    detail: str = field(default="")


REPEATED_CONFIRMATIONS = [
    RepeatedConfirmation("resent", same=True),
    RepeatedConfirmation(
        "resent_after_leader_change", after_leader_change=True, same=True
    ),
    RepeatedConfirmation(
        "resent_after_another_change", after_other_change=True, same=True
    ),
    RepeatedConfirmation(
        "by_another_operator", author="bea", detail="confirmed by ana"
    ),
    RepeatedConfirmation("of_another_digest", digest="0" * 64, detail="has the digest"),
]


class PlansTests(unittest.TestCase):
    """Storing and confirming plans."""

    def setUp(self) -> None:
        self.cluster = Cluster()

    def test_nothing_changes_before_the_confirmation(self) -> None:
        stored = self.cluster.plan(RAIL)
        self.assertEqual(self.cluster.organisations, set())
        confirmed = self.cluster.confirm(stored)
        self.assertEqual(confirmed.confirmation.revision, self.cluster.index)
        self.assertEqual(self.cluster.organisations, {"rail"})

    def test_confirmed_changes_are_fanned_out_at_one_index(self) -> None:
        # Guards against an entry that applies only a part of a plan.
        stored = self.cluster.plan(RAIL + PORT)
        command = ConfirmPlan(stored.plan.number, stored.plan.digest)
        entry = self.cluster.apply(command)
        self.assertEqual(
            [type(command) for command in entry.fanned_out], [PutOrganisation] * 2
        )
        self.assertEqual(self.cluster.machine.revision, entry.index)

    @parameterized.expand([(case.name, case) for case in FOLLOWING_PLANS])
    def test_second_plan(self, _: str, case: FollowingPlan) -> None:
        first = self.cluster.plan(RAIL, 7, "first")
        self.cluster.change_leader()
        outcome = self.cluster.plan(case.text, case.number, case.request, case.author)
        if case.refused is not None:
            self.assertIsInstance(outcome, Rejected)
            self.assertIs(outcome.reason, case.refused)
        elif case.same:
            self.assertEqual(outcome, first)
        else:
            self.assertNotEqual(outcome.plan.number, first.plan.number)

    def test_plan_resent_after_changes_gets_the_first_answer(self) -> None:
        # The same declaration now makes different changes.
        first = self.cluster.plan(RAIL, 7)
        self.cluster.confirm(first)
        again = self.cluster.plan(RAIL, 7)
        self.assertEqual(again.plan.digest, first.plan.digest)

    @parameterized.expand([(case.name, case) for case in REPEATED_CONFIRMATIONS])
    def test_second_confirmation(self, _: str, case: RepeatedConfirmation) -> None:
        stored = self.cluster.plan(RAIL, 7)
        first = self.cluster.confirm(stored)
        if case.after_other_change:
            self.cluster.apply(PutOrganisation(Organisation(OrganisationId("port"))))
        if case.after_leader_change:
            self.cluster.change_leader()
        revision = self.cluster.machine.revision
        second = self.cluster.confirm(stored, case.author, case.digest)
        self.assertEqual(self.cluster.machine.revision, revision)
        if case.same:
            self.assertEqual(second, first)
        else:
            self.assertIsInstance(second, Rejected)
            self.assertIn(case.detail, second.detail)

    @parameterized.expand(
        [
            ("another_plan", lambda cluster: cluster.confirm(cluster.plan(PORT))),
            (
                "direct_change",
                lambda cluster: cluster.apply(
                    PutOrganisation(Organisation(OrganisationId("port"))), "bea"
                ),
            ),
        ]
    )
    def test_stale_plan_is_refused_with_what_changed(self, _: str, change: Any) -> None:
        stored = self.cluster.plan(RAIL)
        change(self.cluster)
        self.cluster.change_leader()
        outcome = self.cluster.confirm(stored)
        self.assertIs(outcome.reason, RefusalReason.STALE_PLAN)
        self.assertIn("PutOrganisation organisation/port", outcome.detail)
        self.assertNotIn("rail", self.cluster.organisations)

    def test_changes_that_are_not_declared_leave_a_plan_valid(self) -> None:
        # Otherwise every granted key would make all open plans stale.
        self.cluster.confirm(self.cluster.plan(RAIL))
        stored = self.cluster.plan(RAIL + PORT)
        key = Key(KeyId("k1"), OrganisationId("rail"), SECRET)
        self.cluster.apply(GrantKey(key))
        self.assertIsInstance(self.cluster.confirm(stored), PlanConfirmed)

    def test_plan_from_an_entry_that_is_behind_is_refused(self) -> None:
        # Guards against changes computed from an outdated state.
        self.cluster.confirm(self.cluster.plan(RAIL))
        outcome = self.cluster.plan(RAIL + PORT, seen=1)
        self.assertIs(outcome.reason, RefusalReason.STALE_PLAN)

    def test_plan_without_changes_names_a_revision_that_entries_have(self) -> None:
        # Entries never report a revision without a change, so waiting for one
        # would not end.
        self.cluster.confirm(self.cluster.plan(RAIL))
        revision = self.cluster.machine.revision
        confirmed = self.cluster.confirm(self.cluster.plan(RAIL))
        self.assertEqual(confirmed.confirmation.revision, revision)

    def test_number_of_a_forgotten_plan_is_not_used_again(self) -> None:
        first = self.cluster.plan(RAIL, 5)
        for _ in range(MAX_STORED_PLANS):
            self.cluster.plan(RAIL)
        plans = self.cluster.machine.get(PlansSlice).plans_by_number
        self.assertEqual(len(plans), MAX_STORED_PLANS)
        self.assertNotIn(first.plan.number, plans)
        outcome = self.cluster.plan(PORT, 5)
        self.assertIs(outcome.reason, RefusalReason.CONFLICT)

    def test_removal_warns_of_keys_that_stop_working(self) -> None:
        self.cluster.confirm(self.cluster.plan(RAIL))
        key = Key(KeyId("k1"), OrganisationId("rail"), SECRET)
        self.cluster.apply(GrantKey(key))
        stored = self.cluster.plan(NOTHING)
        self.assertIn("1 keys stop working", stored.plan.warnings[0])


class DeclarationTests(unittest.TestCase):
    """Guards against a misspelt field or table that is silently ignored."""

    @parameterized.expand(
        [
            ("not_toml", "[organisations", ["not valid TOML"]),
            ("unknown_table", "[organisation.a]\n", ["organisation: not a known"]),
            ("unknown_field", "[organisations.a]\nshar = 1\n", ["a.shar: is not"]),
            ("wrong_type", "[organisations.a]\nshare = 'x'\n", ["organisations.a:"]),
            ("key_given", "[organisations.a]\nid = 'b'\n", ["a.id: is given"]),
            (
                "all_at_once",
                "[frob]\n[organisations.a]\nx = 1\n[organisations.b]\nshare = ''\n",
                ["frob:", "a.x:", "organisations.b:"],
            ),
        ]
    )
    def test_all_faults_are_found(self, _: str, text: str, expected: list[str]) -> None:
        faults = read(text, kinds())
        assert isinstance(faults, DeclarationFaults)
        self.assertEqual(len(faults.messages), len(expected))
        for message, part in zip(faults.messages, expected, strict=True):
            self.assertIn(part, message)

    def test_table_left_out_is_not_touched(self) -> None:
        # Guards against a declaration of one kind that removes other kinds.
        cluster = Cluster()
        cluster.confirm(cluster.plan(RAIL))
        self.assertEqual(cluster.plan("").plan.changes, ())
        self.assertEqual(len(cluster.plan(NOTHING).plan.changes), 1)


class AuditTests(unittest.TestCase):
    """Guards against changes without a record, and altered records."""

    def setUp(self) -> None:
        self.cluster = Cluster()
        stored = self.cluster.plan(RAIL, 7)
        self.cluster.confirm(stored)
        self.cluster.confirm(stored, author="bea")
        key = Key(KeyId("k1"), OrganisationId("rail"), SECRET)
        self.cluster.apply(GrantKey(key), "bea")
        self.trail = self.cluster.machine.get(AuditSlice)

    def test_record_says_who_what_when_from_where_and_with_which_result(self) -> None:
        records = [
            (r.index, r.previous, r.author, r.action, r.subject, r.result)
            for r in self.trail.records
        ]
        self.assertEqual(
            records,
            [
                (1, 0, "ana", "StorePlan", "plan/7", "accepted"),
                (2, 1, "ana", "ConfirmPlan", "plan/7", "accepted"),
                (2, 2, "ana", "PutOrganisation", "organisation/rail", "accepted"),
                (3, 2, "bea", "ConfirmPlan", "plan/7", "conflict"),
                (4, 3, "bea", "GrantKey", "key/k1", "accepted"),
            ],
        )
        self.assertEqual(self.trail.records[0].time, 101.0)
        self.assertEqual(self.trail.records[0].correlation_id, "c-1")

    def test_trail_holds_no_hash_of_a_secret(self) -> None:
        self.assertNotIn(SECRET, str(self.trail.records))

    @parameterized.expand(
        [
            ("all", AuditQuery(), [1, 2, 3, 4, 5]),
            ("since", AuditQuery(since=LogIndex(3)), [4, 5]),
            ("author", AuditQuery(author="bea"), [4, 5]),
            ("subject", AuditQuery(subject="plan/"), [1, 2, 4]),
            ("both", AuditQuery(author="bea", subject="plan/7"), [4]),
            ("newest", AuditQuery(limit=2), [4, 5]),
        ]
    )
    def test_filters(self, _: str, query: AuditQuery, expected: list[int]) -> None:
        found = [record.number for record in self.trail.find(query)]
        self.assertEqual(found, expected)

    def test_chain_shows_a_changed_record_and_goes_on_with_a_new_leader(self) -> None:
        self.cluster.change_leader()
        self.cluster.plan(PORT)
        records = list(self.cluster.machine.get(AuditSlice).records)
        self.assertIsNone(first_broken_record(records))
        changed = replace(records[2], author="eve")
        self.assertEqual(
            first_broken_record([*records[:2], changed, *records[3:]]), changed
        )
        # An altered record with a recomputed hash breaks the chain at the
        # record that follows.
        hashed = replace(changed, chain=chained_hash(records[1].chain, changed))
        self.assertEqual(
            first_broken_record([*records[:2], hashed, *records[3:]]), records[3]
        )
        self.assertEqual(first_broken_record([*records[:2], *records[3:]]), records[3])

    def test_trail_is_bounded(self) -> None:
        trail = AuditSlice(self.trail._subjects_by_command, kept=3)
        trail.load_snapshot(self.trail.to_snapshot())
        self.assertEqual([record.number for record in trail.records], [3, 4, 5])
        self.assertEqual(trail.chain, self.trail.chain)
