"""Tests of the order in which client addresses get scarce room."""

import unittest
from dataclasses import dataclass

from parameterized import parameterized

from goldcrestyard.policy.room_order import ASK_SECONDS, MAX_ASKS, RoomOrder

ASKED_BYTES = 100


@dataclass(frozen=True)
class Ask:
    """What two addresses hold: one has asked in vain, the other asks."""

    name: str
    refused_holds: int
    asking_holds: int
    reserved: int
    age: float = ASK_SECONDS / 2
    served: bool = False
    later_asks: int = 0


class RoomOrderTests(unittest.TestCase):
    """Guards against one address that gets all room.

    Also against keeping out clients in favour of others that hold no less.
    """

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                Ask("refused_holds_less", 0, 1, ASKED_BYTES),
                Ask("both_hold_nothing", 0, 0, 0),
                Ask("refused_holds_as_much", 5, 5, 0),
                Ask("refused_holds_more", 6, 5, 0),
                Ask("asked_long_ago", 0, 1, 0, age=ASK_SECONDS),
                Ask("served_since", 0, 1, 0, served=True),
                Ask("many_asked_since", 0, 1, MAX_ASKS, later_asks=MAX_ASKS),
            )
        ]
    )
    def test_what_an_address_leaves_to_others(self, _: str, case: Ask) -> None:
        order = RoomOrder()
        order.add("refused", case.refused_holds)
        order.add("asking", case.asking_holds)
        order.refused("refused", ASKED_BYTES, 0.0)
        if case.served:
            order.served("refused")
        for number in range(case.later_asks):
            order.refused(f"other-{number}", 1, 0.0)
        self.assertEqual(order.reserved("asking", case.age), case.reserved)


if __name__ == "__main__":
    unittest.main()
