"""Targets that change their home, the entry at which they renew.

Guards against a live target that stays lost: when it is removed through its
old home, the new home must answer its renewals with 404, so that it announces
itself again.
"""

import aiohttp

from demo.deployment import wait_for
from tests.fakes.deployments import DeploymentTestCase

ANNOUNCEMENT = {
    "id": "engine-1",
    "kind": "engine",
    "address": "127.0.0.1:1",
    "data_centre": "lisboa-a",
    "region": "lisboa",
    "serves": ["inspect-lm"],
    "incarnation": "i1",
}


class TargetHomeTests(DeploymentTestCase):
    """Requests as a target sends them, without a real target."""

    async def send(self, method: str, entry: int, path: str, body: object) -> int:
        headers = {"authorization": f"Bearer {self.deployment.target_token}"}
        url = f"http://{self.deployment.entries[entry]}/targets/{path}"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.request(method, url, json=body) as answer,
        ):
            return answer.status

    async def test_removed_target_is_asked_to_announce_again(self) -> None:
        renewal = {"incarnation": "i1"}
        for entry in (0, 1):
            status = await self.send("POST", entry, "announce", ANNOUNCEMENT)
            self.assertEqual(status, 200)

        async def renews(_: object) -> bool:
            return await self.send("POST", 1, "engine-1/renew", renewal) == 200

        await wait_for(renews, "the new home to know the target")
        self.assertEqual(await self.send("DELETE", 0, "engine-1", renewal), 200)

        async def asked_again(_: object) -> bool:
            return await self.send("POST", 1, "engine-1/renew", renewal) == 404

        await wait_for(asked_again, "the target to be asked to announce again")
