"""Tests of who owns a job, and who may access it."""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import OrganisationId
from goldcrestyard.policy.job_access import may_access, owner_of

A, B = OrganisationId("a"), OrganisationId("b")


class OwnerTests(unittest.TestCase):
    """Guards against jobs that change their owner with a configuration."""

    @parameterized.expand(
        [
            ("configured", A, A, True, A),
            ("key_has_moved", A, B, True, A),
            ("renamed", A, B, False, B),
            ("taken_out", A, A, False, A),
            ("taken_out_and_key_forgotten", A, None, False, A),
            ("none_was_configured", None, A, True, A),
            ("nobody_held_the_key", None, None, True, None),
        ]
    )
    def test_owner(
        self,
        _: str,
        organisation: OrganisationId | None,
        key_holder: OrganisationId | None,
        is_configured: bool,
        expected: OrganisationId | None,
    ) -> None:
        owner = owner_of(organisation, key_holder, is_configured=is_configured)
        self.assertEqual(owner, expected)

    @parameterized.expand(
        [
            ("own", A, A, True),
            ("of_another", A, B, False),
            ("of_all", None, B, True),
            ("no_keys_required", A, None, True),
        ]
    )
    def test_access(
        self,
        _: str,
        owner: OrganisationId | None,
        caller: OrganisationId | None,
        expected: bool,
    ) -> None:
        self.assertEqual(may_access(owner, caller), expected)
