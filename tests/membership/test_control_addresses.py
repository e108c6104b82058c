"""Tests of the addresses under which an entry reaches control members."""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import InstanceId
from goldcrestyard.membership.control_addresses import ControlAddresses
from goldcrestyard.wire.client import PeerAddress

A, B = InstanceId("a"), InstanceId("b")


class ControlAddressesTests(unittest.TestCase):
    """Guards against replacing a configured address by another member's.

    Addresses differ between instances.  An entry that used the address that
    the cluster's founder has for the leader could not reach the leader while
    only the founder was cut off.
    """

    @parameterized.expand(
        [
            ("named_in_the_settings", A, "a:1"),
            ("new", B, "other:2"),
        ]
    )
    def test_learned_address(self, _: str, instance: InstanceId, expected: str) -> None:
        addresses = ControlAddresses({A: "a:1"})
        addresses.add_address(instance, "other:2")
        self.assertEqual(addresses[instance], PeerAddress.parse(expected))
