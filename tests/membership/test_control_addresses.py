"""Tests of the addresses at which an entry asks control members."""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.wire.client import PeerAddress

A, B = InstanceId("a"), InstanceId("b")


class ControlAddressesTests(unittest.TestCase):
    """Guards against asking a member over another instance's way to it.

    With the address that the cluster's founder has for the leader, an entry
    could not reach it while only the founder was cut off.
    """

    @parameterized.expand(
        [
            ("named_in_the_settings", A, "a:1"),
            ("new", B, "other:2"),
        ]
    )
    def test_learned_address(self, _: str, instance: InstanceId, expected: str) -> None:
        addresses = ControlAddresses({A: "a:1"})
        addresses.learn(instance, "other:2")
        self.assertEqual(addresses[instance], PeerAddress.parse(expected))
