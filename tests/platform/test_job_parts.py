"""Tests of submitting a job in parts, against a scripted leader."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from parameterized import parameterized

from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.core.ids import LogIndex, OrganisationId
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.fleet.jobs.commands import JobHeld, StageJobPart, SubmitJob
from goldcrestyard.fleet.jobs.staging import MAX_PART_BYTES
from goldcrestyard.platform.callers.jobs import JobEndpoints
from goldcrestyard.state.commands import Accepted, Rejected
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.quiet_logs import quiet_logs
from tests.platform.test_submissions import ITEM, LOT

ACCEPTED, NOT_RUN, MAY_HAVE_RUN = 202, 503, 504

APPLIED = Applied(LogIndex(1), Accepted())
HELD = Applied(LogIndex(1), JobHeld())
IN_DOUBT = InDoubt("the connection was lost")
NO_LEADER = NotProposed("no leader is known")
NO_ROOM = NotProposed("no room", reason=RefusalReason.NO_ROOM)

LARGE_BODY = "A" * (6 * MAX_PART_BYTES)
"""Base64 of a body that takes several parts."""


class _Admission:
    def authenticate(self, _: str | None) -> OrganisationId:
        return OrganisationId("tejo")


class _Leader:
    """Answers each proposal by a script, by number and by whether it ends."""

    def __init__(self, answer: Callable[[int, bool], ProposalResult]) -> None:
        self._answer = answer
        self.proposed: list[object] = []

    async def propose(self, command: object, **_: Any) -> ProposalResult:
        self.proposed.append(command)
        is_last = isinstance(command, StageJobPart) and (
            command.offset + len(command.data) == command.size
        )
        return self._answer(len(self.proposed), is_last)


@dataclass(frozen=True)
class PartsCase:
    """A leader's answers, the status of the submission and the proposals."""

    name: str
    answer: Callable[[int, bool], ProposalResult]
    status: int
    most_proposals: int | None = None
    large: bool = True


class JobPartsTests(PausedClockTestCase):
    """Guards against a 503 for a job that runs and a 202 for a lost one."""

    @parameterized.expand(
        [
            (case.name, case)
            for case in (
                PartsCase("small", lambda _, __: APPLIED, ACCEPTED, 1, large=False),
                PartsCase("whole", lambda _, last: HELD if last else APPLIED, ACCEPTED),
                PartsCase("known_already", lambda _, __: HELD, ACCEPTED, 1),
                PartsCase("no_room", lambda _, __: NO_ROOM, NOT_RUN, 1),
                PartsCase("no_leader", lambda _, __: NO_LEADER, NOT_RUN, 1),
                PartsCase(
                    "leader_lost_midway",
                    lambda n, _: APPLIED if n < 3 else NO_LEADER,
                    NOT_RUN,
                ),
                PartsCase(
                    "parts_dropped_midway",
                    lambda n, _: (
                        APPLIED
                        if n < 3
                        else Applied(
                            LogIndex(1), Rejected(RefusalReason.NO_ROOM, "missing")
                        )
                    ),
                    NOT_RUN,
                ),
                PartsCase(
                    "each_part_in_doubt_once",
                    lambda n, last: IN_DOUBT if n % 2 else (HELD if last else APPLIED),
                    ACCEPTED,
                ),
                PartsCase(
                    "last_part_in_doubt_then_no_leader",
                    lambda n, last: (
                        (IN_DOUBT if n < 8 else NO_LEADER) if last else APPLIED
                    ),
                    MAY_HAVE_RUN,
                ),
                PartsCase(
                    "last_part_in_doubt_then_no_room",
                    lambda n, last: (
                        (IN_DOUBT if n < 8 else NO_ROOM) if last else APPLIED
                    ),
                    MAY_HAVE_RUN,
                ),
                PartsCase("never_whole", lambda _, __: APPLIED, MAY_HAVE_RUN),
                PartsCase("always_in_doubt", lambda _, __: IN_DOUBT, MAY_HAVE_RUN),
            )
        ]
    )
    async def test_answer_tells_what_is_certain(self, _: str, case: PartsCase) -> None:
        quiet_logs(self)
        leader = _Leader(case.answer)
        endpoints = JobEndpoints(cast(Any, _Admission()), cast(Any, leader))
        item = {**ITEM, "body": LARGE_BODY} if case.large else ITEM
        body = json.dumps({**LOT, "requests": [item]}).encode()
        request = make_mocked_request(
            "POST",
            "/jobs/j1",
            headers={"Host": "h.example", "X-Goldcrestyard-Attempt-Id": "j1"},
        )
        response = await endpoints.submit(cast(web.BaseRequest, request), body)
        self.assertEqual(response.status, case.status, response.body)
        if case.status == NOT_RUN:
            self.assertIn("Retry-After", response.headers)
        if case.most_proposals is not None:
            self.assertLessEqual(len(leader.proposed), case.most_proposals)
        kind = StageJobPart if case.large else SubmitJob
        self.assertTrue(all(isinstance(command, kind) for command in leader.proposed))
