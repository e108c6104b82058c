"""The operators' tool ``goldcrest`` against real processes.

The tests guard against a change that is lost, made twice or reported as in
force too early, also when instances fail meanwhile.
"""

import asyncio
import json
import shutil
import signal
import sys
from pathlib import Path
from typing import Any

import aiohttp

from demo.deployment import OPERATOR_NAME, wait_for
from goldcrestyard.cli.exit_codes import ExitCode
from tests.fakes.deployments import DeploymentTestCase

TWO_ORGANISATIONS = """
[organisations.tejo-rail]
share = 2.0
[organisations.tejo-port]
tokens_per_minute = 6000
"""
ONE_ORGANISATION = "[organisations.tejo-rail]\nshare = 2.0\n"


class OperatorsTestCase(DeploymentTestCase):
    """Runs the tool as a process of its own against a deployment."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.folder = Path(self.deployment.folder)
        (self.folder / "operator.key").write_text(self.deployment.operator_key)

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    async def run_tool(
        self, *arguments: str, servers: list[str] | None = None
    ) -> tuple[int, str, str]:
        """Run the tool; return its exit code, output and error output."""
        if servers is None:
            servers = [instance.admin for instance in self.deployment.instances]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "goldcrestyard.cli",
            *arguments,
            *(f"--server={server}" for server in servers),
            f"--key-file={self.folder / 'operator.key'}",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        assert process.returncode is not None
        return process.returncode, output.decode(), errors.decode()

    async def goldcrest(self, *arguments: str, **options: Any) -> Any:
        """Run a command that must succeed and return its JSON output."""
        code, output, errors = await self.run_tool(*arguments, "--json", **options)
        self.assertEqual((code, errors), (ExitCode.DONE, ""))
        return json.loads(output)

    async def plan(self, text: str, *arguments: str, **options: Any) -> Any:
        """Make a plan from a declaration and return it."""
        path = self.write("declaration.toml", text)
        return (await self.goldcrest("plan", path, *arguments, **options))["plan"]

    async def apply(self, text: str) -> Any:
        """Make a plan from a declaration, confirm it and return the answer."""
        plan = await self.plan(text)
        return await self.goldcrest("confirm", f"{plan['number']}@{plan['digest']}")


class MembersTests(OperatorsTestCase):
    """Guards plans and membership when a control member is lost."""

    control_members = 3

    async def test_resends_after_the_leader_died_get_the_first_answer(self) -> None:
        plan = await self.plan(TWO_ORGANISATIONS, "--number", "7")
        named = f"7@{plan['digest']}"
        answer = await self.goldcrest("confirm", named)
        old = (await self.goldcrest("status"))["leader"]
        leader = next(item for item in self.deployment.instances if item.id == old)
        assert leader.process is not None
        leader.process.kill()
        await leader.process.wait()
        # The killed instance is still among the servers given to the tool.
        again = await self.plan(TWO_ORGANISATIONS, "--number", "7")
        self.assertEqual(again["digest"], plan["digest"])
        resent = await self.goldcrest("confirm", named)
        self.assertEqual(resent["confirmation"], answer["confirmation"])
        self.assertTrue(resent["in_force"])
        self.assertNotEqual((await self.goldcrest("status"))["leader"], old)
        trail = await self.goldcrest("audit", "--subject", "organisation/")
        self.assertEqual(len(trail["records"]), 2)

    async def test_member_with_a_new_disk_is_replaced_once(self) -> None:
        listed = await self.goldcrest("members", "list")
        lost = next(
            member for member in listed["members"] if member["role"] == "follower"
        )
        instance = next(
            item for item in self.deployment.instances if item.id == lost["instance"]
        )
        assert instance.process is not None
        instance.process.kill()
        await instance.process.wait()
        shutil.rmtree(self.folder / instance.id)
        await self.deployment.start_instance(instance)
        await self.goldcrest("members", "replace", instance.id)
        listed = await self.goldcrest("members", "list")
        self.assertEqual(
            sorted(member["role"] for member in listed["members"]),
            ["follower", "follower", "leader"],
        )
        self.assertNotIn(lost["id"], [member["id"] for member in listed["members"]])
        trail = await self.goldcrest("audit", "--subject", f"member/{instance.id}")
        self.assertEqual(
            [record["result"] for record in trail["records"]], ["started", "accepted"]
        )


class PlanAndConfirmTests(OperatorsTestCase):
    """Guards a change on its path from a declaration to every entry."""

    async def test_confirmed_plan_is_in_force_and_in_the_trail(self) -> None:
        plan = await self.plan(TWO_ORGANISATIONS, "--number", "40")
        listed = await self.goldcrest("organisations", "list")
        self.assertEqual(listed["organisations"], [])
        answer = await self.goldcrest("confirm", f"40@{plan['digest']}")
        self.assertTrue(answer["in_force"])
        for instance in self.deployment.instances:
            # "In force" means that no entry still has an older revision.
            listed = await self.goldcrest(
                "organisations", "list", servers=[instance.admin]
            )
            self.assertEqual(
                {item["id"] for item in listed["organisations"]},
                {"tejo-rail", "tejo-port"},
            )
        trail = await self.goldcrest("audit", "--author", OPERATOR_NAME)
        actions = [(record["action"], record["subject"]) for record in trail["records"]]
        self.assertEqual(
            actions,
            [
                ("StorePlan", "plan/40"),
                ("ConfirmPlan", "plan/40"),
                ("PutOrganisation", "organisation/tejo-port"),
                ("PutOrganisation", "organisation/tejo-rail"),
            ],
        )

    async def test_resend_through_another_instance_gets_the_first_answer(
        self,
    ) -> None:
        first, *others = [instance.admin for instance in self.deployment.instances]
        plan = await self.plan(TWO_ORGANISATIONS, "--number", "7", servers=[first])
        named = f"7@{plan['digest']}"
        answer = await self.goldcrest("confirm", named, servers=[first])
        for other in others:
            again = await self.plan(TWO_ORGANISATIONS, "--number", "7", servers=[other])
            self.assertEqual(again["digest"], plan["digest"])
            resent = await self.goldcrest("confirm", named, servers=[other])
            self.assertEqual(resent["confirmation"], answer["confirmation"])

    async def test_next_instance_is_asked_when_one_does_not_answer(self) -> None:
        last = self.deployment.instances[-1].admin
        status = await self.goldcrest("status", servers=["127.0.0.1:1", last])
        self.assertEqual(status["instance"], "porto-a-1")

    async def test_stale_plan_is_refused_with_what_changed(self) -> None:
        stale = await self.plan(TWO_ORGANISATIONS)
        await self.apply(ONE_ORGANISATION)
        code, output, errors = await self.run_tool(
            "confirm", f"{stale['number']}@{stale['digest']}"
        )
        self.assertEqual((code, output), (ExitCode.REFUSED, ""))
        self.assertIn("PutOrganisation organisation/tejo-rail", errors)

    async def test_equal_numbers_race_and_one_declaration_wins(self) -> None:
        paths = [
            self.write("one.toml", ONE_ORGANISATION),
            self.write("two.toml", TWO_ORGANISATIONS),
        ]
        results = await asyncio.gather(
            *(
                self.run_tool("plan", path, "--number", "9", servers=[instance.admin])
                for path, instance in zip(
                    paths, self.deployment.instances, strict=False
                )
            )
        )
        self.assertEqual(
            sorted(code for code, _, _ in results), [ExitCode.DONE, ExitCode.REFUSED]
        )

    async def test_withdrawn_key_is_answered_when_it_is_in_force(self) -> None:
        await self.apply(ONE_ORGANISATION)
        granted = await self.goldcrest("key", "grant", "tejo-rail")
        listed = await self.goldcrest("key", "list")
        self.assertEqual(
            listed["keys"], [{"id": granted["id"], "organisation": "tejo-rail"}]
        )
        answer = await self.goldcrest("key", "withdraw", granted["id"])
        self.assertTrue(answer["in_force"])
        for instance in self.deployment.instances:
            url = f"http://{instance.public}/v1/models"
            headers = {"authorization": f"Bearer {granted['key']}"}

            async def refused(
                session: Any, url: str = url, headers: dict[str, str] = headers
            ) -> bool:
                async with session.get(url, headers=headers) as answer:
                    self.assertEqual(answer.status, 401)
                    return True

            await wait_for(refused, "the answer")

    async def test_suspended_entry_refuses_a_key_withdrawn_meanwhile(self) -> None:
        # "In force" must also hold for an entry that the change cannot reach.
        await self.apply(ONE_ORGANISATION)
        granted = await self.goldcrest("key", "grant", "tejo-rail")
        leader, *_, suspended = self.deployment.instances
        assert suspended.process is not None
        suspended.process.send_signal(signal.SIGSTOP)
        answer = await self.goldcrest(
            "key", "withdraw", granted["id"], servers=[leader.admin]
        )
        self.assertTrue(answer["in_force"])
        suspended.process.send_signal(signal.SIGCONT)
        url = f"http://{suspended.public}/v1/models"
        headers = {"authorization": f"Bearer {granted['key']}"}
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(url) as response,
        ):
            self.assertIn(response.status, (401, 503))

    async def test_target_is_drained(self) -> None:
        await self.deployment.start_engine(
            "engine-1", "inspect-lm", self.deployment.instances[0]
        )
        await self.goldcrest("targets", "drain", "engine-1")
        listed = await self.goldcrest("targets", "list")
        self.assertEqual(listed["targets"][0]["target"]["state"], "draining")
