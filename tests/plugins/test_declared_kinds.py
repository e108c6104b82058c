"""Tests of the kinds of records that plug-ins let operators declare.

They guard against a plan with a change that a slice would reject, and against
a harmful change without a warning in the plan.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import (
    CorrelationId,
    DataCentre,
    InstanceId,
    LogIndex,
    Region,
    TargetId,
    Term,
)
from goldcrestyard.core.records import Target
from goldcrestyard.core.states import TargetKind
from goldcrestyard.kernel import registry
from goldcrestyard.plugins.operators import declarations
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.plugins.services.slices import ServicesSlice
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.plugins.weights.slices import MAX_VERSIONS_PER_MODEL, WeightsSlice
from goldcrestyard.state.commands import Envelope, Rejected
from goldcrestyard.state.machine import StateMachine

FAULTS = [
    ("organisations.a", "share = 0.0", "share must be"),
    ("organisations.a", "share = inf", "share must be"),
    ("organisations.a", "tokens_per_minute = 0", "tokens_per_minute must be"),
    ("models.m", "max_versions_behind = -1", "max_versions_behind must be"),
    (
        "models.m",
        f"max_versions_behind = {MAX_VERSIONS_PER_MODEL}",
        "max_versions_behind",
    ),
    ("services.s", 'routes = [{prefix = "a"}]', "must begin with '/'"),
    ("services.s", 'routes = [{prefix = "/"}, {prefix = "/"}]', "more than once"),
    ("services.s", 'routes = [{prefix = "/", opne = true}]', "routes[0].opne"),
]

WARNINGS = [
    ("model_line_with_engines", "[models.m]", "[models]", "targets that serve it: t"),
    ("service_with_targets", "[services.m]", "[services]", "targets that serve it: t"),
    (
        "lower_bound",
        "[organisations.a]",
        "[organisations.a]\ntokens_per_minute = 5",
        "the bound is lowered to 5",
    ),
    (
        "open_route",
        "[services.s]",
        '[services.s]\nroutes = [{prefix = "/x", open = true}]',
        "/x becomes open",
    ),
]


class DeclaredKindTests(unittest.TestCase):
    """The declared kinds of all registered plug-ins."""

    def setUp(self) -> None:
        registry.discover_plugins()
        self.kinds = registry.declared_kinds()
        self.machine = StateMachine(
            [OrganisationsSlice(), ServicesSlice(), WeightsSlice(), TargetsSlice()]
        )
        self.index = 0

    def apply(self, command: object) -> None:
        """Apply a command that must not be rejected."""
        self.index += 1
        envelope = Envelope(command, "ana", CorrelationId(""), 0.0)
        entry = self.machine.apply(LogIndex(self.index), Term(1), envelope)
        self.assertNotIsInstance(entry.outcome, Rejected)

    def declare(self, text: str) -> tuple[str, ...]:
        """Apply a declaration; return the warnings of its plan."""
        declaration = declarations.read(text, self.kinds)
        assert isinstance(declaration, declarations.Declaration), declaration
        changes, warnings = declarations.compute_changes(
            declaration, self.kinds, self.machine
        )
        by_table = {kind.table: kind for kind in self.kinds}
        for change in changes:
            kind = by_table[change.table]
            if change.after is None:
                self.apply(kind.remove(change.name))
            else:
                record = declaration.records_by_table[change.table][change.name]
                self.apply(kind.put(record))
        return warnings

    def test_kinds_come_from_the_plugins(self) -> None:
        tables = {kind.table for kind in self.kinds}
        self.assertEqual(tables, {"organisations", "services", "models"})
        for plugin in registry.discover_plugins():
            for kind in plugin.declared_kinds:
                slice_names = {command for s in plugin.slices for command in s.commands}
                self.assertLessEqual(set(kind.command_classes), slice_names)
                self.assertLessEqual(set(kind.command_classes), set(plugin.audited))

    @parameterized.expand(FAULTS)
    def test_fault_is_found_before_the_plan(
        self, table: str, fields: str, expected: str
    ) -> None:
        faults = declarations.read(f"[{table}]\n{fields}\n", self.kinds)
        assert isinstance(faults, declarations.DeclarationFaults)
        self.assertIn(expected, faults.messages[0])

    @parameterized.expand(WARNINGS)
    def test_plan_warns(self, _: str, before: str, after: str, expected: str) -> None:
        target = Target(
            TargetId("t"),
            TargetKind.ENGINE,
            "127.0.0.1:1",
            DataCentre("lisboa-a"),
            Region("lisboa"),
            ("m",),
        )
        self.apply(AnnounceTarget(target, InstanceId("lisboa-a-1")))
        self.assertEqual(self.declare(before), ())
        warnings = self.declare(after)
        self.assertEqual(len(warnings), 1)
        self.assertIn(expected, warnings[0])

    def test_declaration_brought_about_leaves_no_difference(self) -> None:
        # Guards against changes that reappear in every new plan.
        text = (
            "[organisations.a]\n[models.m]\ntrainer = 'a'\n"
            "[services.s]\nroutes = [{prefix = '/', open = true}]\n"
        )
        self.declare(text)
        declaration = declarations.read(text, self.kinds)
        assert isinstance(declaration, declarations.Declaration)
        changes, _ = declarations.compute_changes(declaration, self.kinds, self.machine)
        self.assertEqual(changes, ())
