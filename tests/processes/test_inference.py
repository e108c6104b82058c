"""Inference through real processes with the official ``openai`` client."""

import openai

from demo.deployment import wait_for
from tests.fakes.deployments import DeploymentTestCase

MODEL = "inspect-lm"
MESSAGES = [{"role": "user", "content": "Describe joint 7."}]


class InferenceTests(DeploymentTestCase):
    """Guards the path from a caller through an entry to an engine.

    Streamed and plain answers must agree, a key must not reach an engine, a
    withdrawn key must be refused, and an answer that was cut off must end
    with an error.
    """

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        near = self.deployment.instances[1]
        self.engine = await self.deployment.start_engine("engine-1", MODEL, near)
        self.key = await self.deployment.add_organisation("tejo")
        entry = self.deployment.instances[2]
        self.client = openai.AsyncOpenAI(
            base_url=f"http://{entry.public}/v1", api_key=self.key, max_retries=0
        )
        self.addAsyncCleanup(self.client.close)
        await wait_for(self._key_is_known, "the key to be known")

    async def _key_is_known(self, _: object) -> bool:
        try:
            await self.client.models.list()
        except openai.AuthenticationError:
            return False
        return True

    async def test_streamed_and_plain_answers_are_equal(self) -> None:
        plain = await self.client.chat.completions.create(
            model=MODEL, messages=MESSAGES
        )
        stream = await self.client.chat.completions.create(
            model=MODEL, messages=MESSAGES, stream=True
        )
        pieces = [piece.choices[0].delta.content async for piece in stream]
        self.assertEqual("".join(pieces), plain.choices[0].message.content)

    async def test_engine_never_sees_the_key(self) -> None:
        await self.client.chat.completions.create(model=MODEL, messages=MESSAGES)

        async def seen(session: object) -> bool:
            async with session.get(f"http://{self.engine}/fake/state") as answer:
                text = (await answer.text()).lower()
            self.assertNotIn(self.key.lower(), text)
            self.assertNotIn("authorization", text)
            return "x-request-id" in text

        await wait_for(seen, "the engine to have seen the request")

    async def test_withdrawn_key_is_refused_everywhere(self) -> None:
        await self.deployment.withdraw_key(self.key)

        async def refused(_: object) -> bool:
            try:
                await self.client.models.list()
            except openai.AuthenticationError as error:
                return error.code == "key_withdrawn"
            return False

        await wait_for(refused, "the withdrawal to reach the entry", 10.0)

    async def test_answer_of_a_killed_engine_ends_with_an_error(self) -> None:
        engine = await self.deployment.start_engine(
            "engine-2", "slow-lm", self.deployment.instances[2], token_seconds=0.05
        )
        self.assertTrue(engine)
        stream = await self.client.chat.completions.create(
            model="slow-lm", messages=MESSAGES, stream=True, max_tokens=200
        )
        with self.assertRaises(openai.APIError):
            received = 0
            async for _ in stream:
                received += 1
                if received == 3:
                    self.deployment.processes_by_name["engine-2"].kill()
