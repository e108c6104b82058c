"""Training steps while a control member is killed, with real processes."""

from tests.fakes.trainers import TrainerTestCase, question


class QuorumTests(TrainerTestCase):
    """Guards batches when one of three control members is lost."""

    control_members = 3

    async def test_batch_survives_the_loss_of_a_control_member(self) -> None:
        await self.start_engine()
        first = await self.client.ask(1, question())
        self.assertEqual(first.status, 200, first.body)
        await self.kill_first_member()
        again = await self.client.obtain(1, question())
        self.assertEqual(again.status, 200, again.body)
        self.assertEqual(again.raw, first.raw)
        acknowledged = await self.client.acknowledge(again.body["batch"])
        self.assertEqual(acknowledged.status, 200, acknowledged.body)

    async def test_step_is_completed_when_a_control_member_dies(self) -> None:
        engine = await self.start_engine(token_seconds=0.03)
        asking = self.asking(entry=1, max_tokens=60)
        await self.wait_running(engine, count=4)
        await self.kill_first_member()
        answer = await asking
        if answer.status != 200:
            # The entry refuses if it lost its lease during the election.
            answer = await self.client.obtain(1, question(max_tokens=60))
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(len(answer.body["samples"]), 4)

    async def kill_first_member(self) -> None:
        """Kill a member, perhaps the leader, and use the other entries."""
        member = self.deployment.instances[0].process
        assert member is not None
        member.kill()
        await member.wait()
        self.client.entries = self.deployment.entries[1:]
