"""Tests of the join requests that the leader acts on.

Guards against the addition of a member that is gone: a later member of its
instance would count as lost.
"""

import unittest

from parameterized import parameterized

from goldcrestyard.consensus.configuration import MemberId
from goldcrestyard.consensus.progress import NEVER
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.status import MemberStatus
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.assembly.join_requests import (
    EARLIER_ID_SECONDS,
    JoinRequest,
    JoinRequests,
)
from goldcrestyard.policy.membership import Joiner

X = InstanceId("x")
LATE = EARLIER_ID_SECONDS

Step = tuple[float, str, dict[str, float]]
"""Time, the id that asks to join if any, and the times at which the members of
the instance answered last."""


class JoinRequestsTests(unittest.TestCase):
    """Members of one instance, each on a disk of its own."""

    @parameterized.expand(
        [
            ("new_machine", [(0.0, "1", {})], "1"),
            ("lost_disk", [(9.0, "2", {"1": 8.0})], "2"),
            ("lost_disk_under_a_new_leader", [(9.0, "2", {"1": NEVER})], "2"),
            ("expired", [(0.0, "1", {}), (3.0, "", {})], ""),
            ("member_runs", [(9.0, "1", {"2": 8.9})], ""),
            ("member_answers", [(9.0, "1", {"2": 8.5}), (9.1, "", {"2": 9.05})], ""),
            ("earlier_id_asked", [(0.0, "1", {}), (9.0, "2", {}), (9.1, "1", {})], "2"),
            ("earlier_id_on_the_link", [(9.0, "2", {}), (8.5, "1", {})], "2"),
            ("earlier_member", [(8.0, "2", {"1": 0.0}), (9.0, "1", {"2": 8.2})], ""),
            (
                "new_leader",
                [(8.0, "", {"1": NEVER, "2": 8.0}), (9.0, "1", {"2": 8.2})],
                "",
            ),
            ("disk_put_back", [(0.0, "2", {"1": NEVER}), (LATE, "1", {"2": 1.0})], "1"),
            ("removed_after_asking", [(0.0, "1", {"1": 0.0}), (2.9, "", {})], ""),
            ("removed", [(0.0, "1", {}), (1.0, "", {"1": NEVER}), (2.9, "", {})], ""),
            ("asks_after_its_removal", [(0.0, "", {"1": 0.0}), (4.0, "1", {})], "1"),
        ]
    )
    def test_added_id(self, _: str, steps: list[Step], added: str) -> None:
        requests = JoinRequests()
        pending: list[JoinRequest] = []
        for now, asking, answered_at in steps:
            members = [
                MemberStatus(
                    MemberId(member), X, "x:1", Role.FOLLOWER, None, now - answered
                )
                for member, answered in answered_at.items()
            ]
            if asking:
                joiner = Joiner(MemberId(asking), X, "x:1")
                requests.record(JoinRequest(joiner, "", now), members)
            pending = requests.pending(members, now)
        self.assertEqual("".join(request.joiner.id for request in pending), added)
