"""Logs, metrics, errors and audit trail of a run with real processes.

They guard against secrets in these outputs, against a correlation id that is
lost between the caller and the target, and against metrics that do not count
the requests.
"""

import re
from typing import Any

import aiohttp

from demo.deployment import sha256
from goldcrestyard.core import keys
from tests.processes.test_operators import ONE_ORGANISATION, OperatorsTestCase

MODEL = "inspect-lm"
REQUEST_BODY = {"model": MODEL, "messages": [{"role": "user", "content": "Joint 7?"}]}
CORRELATION_ID = "caller-4711"


class ObservabilityTests(OperatorsTestCase):
    """One request with a valid key and two with refused keys."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        near = self.deployment.instances[0]
        self.engine = await self.deployment.start_engine("engine-1", MODEL, near)
        self.entry = self.deployment.instances[-1]
        await self.apply(ONE_ORGANISATION)
        granted = await self.goldcrest("key", "grant", "tejo-rail")
        self.key, self.key_id = granted["key"], granted["id"]
        self.headers_seen: list[str] = []
        self.texts = [await self.call(self.key, 200)]
        await self.goldcrest("key", "withdraw", self.key_id)
        self.texts.append(await self.call(self.key, 401))
        self.texts.append(await self.call("gcy_unknown", 401))

    async def call(self, key: str, status: int) -> str:
        """Send a request through an entry; return the answer."""
        url = f"http://{self.entry.public}/v1/chat/completions"
        headers = {
            "authorization": f"Bearer {key}",
            "x-correlation-id": CORRELATION_ID,
        }
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json=REQUEST_BODY) as answer,
        ):
            self.assertEqual(answer.status, status)
            self.headers_seen.append(answer.headers["x-correlation-id"])
            return f"{dict(answer.headers)} {await answer.text()}"

    async def get(self, url: str) -> str:
        """Return the text under a URL."""
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            self.assertEqual(answer.status, 200)
            return await answer.text()

    async def outputs(self) -> dict[str, str]:
        """Return all outputs of the run by their place."""
        outputs = {"answers": "\n".join(self.texts)}
        for instance in self.deployment.instances:
            log = self.folder / f"{instance.id}.log"
            outputs[f"log of {instance.id}"] = log.read_text()
            outputs[f"metrics of {instance.id}"] = await self.get(
                f"http://{instance.admin}/metrics"
            )
        for command in ("audit", "key list", "plans list"):
            code, output, errors = await self.run_tool(*command.split(), "--json")
            self.assertEqual(code, 0)
            outputs[command] = output + errors
        return outputs

    async def test_no_output_holds_a_key_or_its_hash(self) -> None:
        parsed = keys.parse(self.key)
        assert parsed is not None
        secrets: dict[str, Any] = {
            "caller's key": self.key,
            "secret of the key": self.key.split("_", 2)[2],
            "hash of the key": parsed.secret_hash,
            "operator key": self.deployment.operator_key,
            "hash of the operator key": sha256(self.deployment.operator_key),
            "target token": self.deployment.target_token,
            "cluster secret": (self.folder / "secret").read_text().strip(),
        }
        for place, text in (await self.outputs()).items():
            for name, secret in secrets.items():
                with self.subTest(place=place, secret=name):
                    self.assertNotIn(secret, text)

    async def test_one_correlation_id_from_the_caller_to_the_target_and_back(
        self,
    ) -> None:
        self.assertEqual(set(self.headers_seen), {CORRELATION_ID})
        self.assertIn(
            CORRELATION_ID, await self.get(f"http://{self.engine}/fake/state")
        )
        log = (self.folder / f"{self.entry.id}.log").read_text()
        refused = [line for line in log.splitlines() if CORRELATION_ID in line]
        self.assertEqual(len(refused), 2)

    async def test_metrics_count_what_happened(self) -> None:
        text = await self.get(f"http://{self.entry.admin}/metrics")

        def value(name: str) -> float:
            found = re.search(rf"^{re.escape(name)} (\S+)$", text, re.MULTILINE)
            assert found is not None, f"{name} is missing in\n{text}"
            return float(found[1])

        requests = 'goldcrest_requests_total{route_kind="inference",status="%s",%s}'
        self.assertEqual(value(requests % (200, 'verdict="ran"')), 1)
        self.assertEqual(value(requests % (401, 'verdict="not_run"')), 2)
        self.assertEqual(value('goldcrest_targets{state="ready"}'), 1)
        self.assertGreater(value("goldcrest_entry_lease_seconds"), 0)
        self.assertGreater(value("goldcrest_entry_revision"), 0)
        self.assertGreater(value('goldcrest_proposals_total{result="Applied"}'), 0)
