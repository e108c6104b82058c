"""Tests of the leader's preferred region."""

import unittest

from parameterized import parameterized

from goldcrestyard.core.ids import DataCentre, Region
from goldcrestyard.policy.leader_places import (
    OTHER_REGION_DELAY_SECONDS,
    election_delay,
)

NORTH, SOUTH = Region("north"), Region("south")


class ElectionDelayTests(unittest.TestCase):
    """Guards against a leader in another region than most of its callers."""

    @parameterized.expand(
        [
            ("most", NORTH, {"a": NORTH, "b": NORTH, "c": SOUTH}, 0.0),
            (
                "fewer",
                SOUTH,
                {"a": NORTH, "b": NORTH, "c": SOUTH},
                OTHER_REGION_DELAY_SECONDS,
            ),
            ("as_many", SOUTH, {"a": NORTH, "c": SOUTH}, 0.0),
            ("alone", NORTH, {"a": NORTH}, 0.0),
        ]
    )
    def test_delay(
        self, _: str, region: Region, regions: dict[str, Region], expected: float
    ) -> None:
        by_data_centre = {DataCentre(name): value for name, value in regions.items()}
        self.assertEqual(election_delay(region, by_data_centre), expected)
