"""Tests of the distribution of a step over entries, over real connections.

They guard against a batch that lacks a sample or contains it twice after
helpers die, refuse or hang, and against a step that waits for a helper
without end.
"""

import asyncio
import unittest
import unittest.mock
from collections import Counter, deque
from collections.abc import Awaitable
from dataclasses import dataclass, replace
from itertools import repeat
from typing import cast

from parameterized import parameterized

from demo.deployment import free_port, wait_for
from goldcrestyard.core.ids import (
    BodyDigest,
    CorrelationId,
    DataCentre,
    GroupId,
    InstanceId,
    ModelName,
    OrganisationId,
    Region,
    SampleId,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.records import ModelLine
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.addresses.commands import Entry, PutEntry
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.trainers import parts
from goldcrestyard.plugins.trainers.chunks import ChunkWriter
from goldcrestyard.plugins.trainers.commands import Batch, OpenStep, StepKey
from goldcrestyard.plugins.trainers.commits import Committer
from goldcrestyard.plugins.trainers.dependencies import GenerationDependencies
from goldcrestyard.plugins.trainers.generation import Generation
from goldcrestyard.plugins.trainers.manifests import (
    PlacedSample,
    StoredSample,
    decode_manifest,
)
from goldcrestyard.plugins.trainers.parts import (
    PART_MESSAGES,
    GeneratePart,
    PartGenerated,
    PartServer,
    build_part,
    helper_addresses,
    part_sample_tasks,
)
from goldcrestyard.plugins.trainers.questions import Prompt, Question, sample_tasks
from goldcrestyard.plugins.trainers.slices import StepsSlice
from goldcrestyard.plugins.weights.commands import PutModelLine
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.policy import stragglers
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.wire.client import PeerDialer
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, NoAnswer, PeerConnection
from goldcrestyard.wire.handshake import Identity
from goldcrestyard.wire.messages import MESSAGES, Failure
from goldcrestyard.wire.server import PeerServer
from tests.fakes.engines import ScriptedDispatcher, complete_stream, targets_with_engine
from tests.fakes.state import apply
from tests.plugins.trainers.test_generation import (
    FakeBodyClient,
    FakeCommitter,
    publish,
)

MODEL = ModelName("inspect-lm")
TEJO = OrganisationId("tejo")
KEY = StepKey(TEJO, MODEL, StepNumber(1))
SAMPLES = 40
TOKEN_SECONDS = 0.1
"""Time for each token.  Three rounds of 16 samples must last longer than
connecting to a helper: with 0.01 s, a busy machine generates all samples
before."""


@dataclass(frozen=True)
class Case:
    """Behaviour of each helper, and whether helpers provide any samples."""

    name: str
    helpers: tuple[str, str]
    by_helpers: bool = True


CASES = [
    Case("both_work", ("works", "works")),
    Case("one_is_down", ("down", "works")),
    Case("one_dies", ("dies", "works")),
    Case("one_stops", ("stops", "works")),
    Case("one_hangs", ("hangs", "works")),
    Case("none_works", ("dies", "down"), by_helpers=False),
    Case("all_hang", ("hangs", "hangs"), by_helpers=False),
]


async def _result(answer: Awaitable[object]) -> object:
    return await answer


class PartTests(unittest.IsolatedAsyncioTestCase):
    """A step of 40 samples on an entry that generates 16 at a time."""

    def setUp(self) -> None:
        self.bodies = FakeBodyClient()
        self.machine = StateMachine([WeightsSlice(), StepsSlice(), EntriesSlice()])
        line = PutModelLine(ModelLine(MODEL, TEJO))
        for command in (line, publish(1)):
            apply(self.machine, command)
        for module, name, value in (
            (parts, "SAMPLES_PER_PART", 4),
            (stragglers, "MIN_HELPER_WAIT_SECONDS", 0.5),
        ):
            self.enterContext(unittest.mock.patch.object(module, name, value))

    def dependencies(self, instance: str, text: str) -> GenerationDependencies:
        """Return the dependencies of an entry whose engines return a text."""
        dispatcher = ScriptedDispatcher(
            repeat(complete_stream(text, seconds=TOKEN_SECONDS))
        )
        codec = Codec()
        codec.register(*MESSAGES, *PART_MESSAGES)
        identity = Identity("test", InstanceId(instance), b"s" * 16)
        return GenerationDependencies(
            InstanceId(instance),
            cast(Dispatcher, dispatcher),
            cast(BodyClient, self.bodies),
            cast(Committer, FakeCommitter(self.machine)),
            self.machine.get(WeightsSlice),
            self.machine.get(EntriesSlice),
            targets_with_engine(MODEL),
            PeerDialer(identity, codec, Handlers()),
            Clock(),
            concurrent_samples=16,
            step_seconds=60.0,
        )

    async def start_helper(self, name: str, behaviour: str) -> None:
        """Add an entry to the list and start it with the given behaviour."""
        port = free_port()
        entry = Entry(
            InstanceId(name),
            "",
            "",
            DataCentre("lisboa-a"),
            Region("lisboa"),
            peer_address=f"127.0.0.1:{port}",
        )
        apply(self.machine, PutEntry(entry))
        if behaviour == "down":
            return
        handlers = Handlers()
        part_server = PartServer(self.dependencies(name, "helped"))
        part_server.register(handlers)
        if behaviour == "stops":
            await part_server.drain()

        async def die(_: GeneratePart, connection: PeerConnection) -> object:
            await connection.close()
            return None

        async def hang(_: GeneratePart, __: PeerConnection) -> object:
            await asyncio.Event().wait()
            return None

        if behaviour == "dies":
            handlers.add(GeneratePart, die)
        if behaviour == "hangs":
            handlers.add(GeneratePart, hang)
        codec = Codec()
        codec.register(*MESSAGES, *PART_MESSAGES)
        identity = Identity("test", InstanceId(name), b"s" * 16)
        server = PeerServer(identity, codec, handlers)
        await server.start("127.0.0.1", port)
        self.addAsyncCleanup(server.stop)

    @parameterized.expand([(case.name, case) for case in CASES])
    async def test_step_is_whole(self, _: str, case: Case) -> None:
        for number, behaviour in enumerate(case.helpers):
            await self.start_helper(f"helper-{number}", behaviour)
        prompt = Prompt(GroupId("g"), prompt="q")
        question = Question(MODEL, [prompt], SAMPLES, max_tokens=16)
        apply(self.machine, OpenStep(KEY, 0, question.digest, InstanceId("entry")))
        dependencies = self.dependencies("entry", "own")
        generation = Generation(KEY, question, dependencies, "tejo", CorrelationId("c"))
        async with asyncio.timeout(30):
            batch = await generation.run()
        assert isinstance(batch, Batch)
        manifest = decode_manifest(self.bodies.bodies_by_digest[batch.manifest])
        expected = {task.id for task in sample_tasks(KEY, question)}
        self.assertEqual({sample.id for sample in manifest.samples}, expected)
        self.assertEqual(len(manifest.samples), SAMPLES)
        texts = Counter(
            b"helped" in self.bodies.bodies_by_digest[sample.chunk]
            for sample in manifest.samples
        )
        self.assertEqual(texts[True] > 0, case.by_helpers)

    async def test_part_ends_with_the_connection_of_its_asker(self) -> None:
        helper = self.dependencies("helper-0", "x")
        endless = ScriptedDispatcher(repeat(complete_stream("x" * 10_000, seconds=0.1)))
        helper = replace(helper, dispatcher=cast(Dispatcher, endless))
        with unittest.mock.patch.object(self, "dependencies", lambda *_: helper):
            await self.start_helper("helper-0", "works")
        prompt = Prompt(GroupId("g"), prompt="q")
        question = Question(MODEL, [prompt], 4, max_tokens=16)
        part = build_part(
            KEY, question, list(sample_tasks(KEY, question)), CorrelationId("c")
        )
        dependencies = self.dependencies("entry", "own")
        (address,) = helper_addresses(
            InstanceId("entry"), self.machine.get(EntriesSlice), "", 1
        ).values()

        async def all_run(_: object) -> bool:
            return endless.running == 4

        async def none_runs(_: object) -> bool:
            return endless.running == 0

        async with dependencies.dialer.connect(address) as connection:
            asking = asyncio.create_task(connection.request(part, 60.0))
            await wait_for(all_run, "the helper to generate")
        self.assertIsInstance(await asking, NoAnswer)
        await wait_for(none_runs, "the helper to stop")

    async def test_draining_entry_refuses_parts_and_waits_for_running_ones(
        self,
    ) -> None:
        helper = self.dependencies("helper-0", "x")
        server, handlers = PartServer(helper), Handlers()
        server.register(handlers)
        question = Question(MODEL, [Prompt(GroupId("g"), prompt="q")], 2, 16)
        tasks = list(sample_tasks(KEY, question))
        part = build_part(KEY, question, tasks, CorrelationId("c"))
        handler = handlers.find(part)
        assert handler is not None
        connection = cast(PeerConnection, None)
        running = asyncio.create_task(_result(handler(part, connection)))
        await asyncio.sleep(0)
        draining = asyncio.create_task(server.drain())
        await asyncio.sleep(0)
        refused = await handler(part, connection)
        self.assertFalse(draining.done())
        assert isinstance(refused, Failure)
        self.assertIs(refused.reason, RefusalReason.DRAINING)
        self.assertIsInstance(await running, PartGenerated)
        await draining

    def test_sample_of_two_parts_counts_once(self) -> None:
        writer = ChunkWriter(cast(BodyClient, self.bodies))
        first, second = (
            PlacedSample(
                StoredSample(SampleId("s"), BodyDigest(chunk), 0, 1),
                (WeightVersion(1),),
            )
            for chunk in ("first", "second")
        )
        writer.add_placed([first])
        writer.add_placed([second])
        self.assertEqual(list(writer.placed_by_id.values()), [first])

    def test_part_names_the_same_samples_as_the_step(self) -> None:
        prompts = [Prompt(GroupId(f"g{n}"), prompt=f"q{n}") for n in range(5)]
        question = Question(MODEL, prompts, 3, max_tokens=16, attempt=2)
        tasks = deque(sample_tasks(KEY, question))
        chosen = [tasks[0], tasks[7], tasks[8]]
        part = build_part(KEY, question, chosen, CorrelationId("c"))
        self.assertEqual(part_sample_tasks(part), chosen)
        self.assertEqual(len(part.question.prompts), 2)

    def test_helpers_are_few_and_differ_between_steps(self) -> None:
        for number in range(200):
            entry = Entry(
                InstanceId(f"entry-{number}"),
                "",
                "",
                DataCentre("lisboa-a"),
                Region("lisboa"),
                draining=number == 7,
                peer_address=f"10.0.0.{number}:1",
            )
            apply(self.machine, PutEntry(entry))
        entries = self.machine.get(EntriesSlice)
        own = InstanceId("entry-0")
        chosen = [set(helper_addresses(own, entries, str(n), 99)) for n in range(50)]
        self.assertEqual(
            {len(helpers) for helpers in chosen}, {parts.MAX_HELPERS_PER_STEP}
        )
        everyone = set().union(*chosen)
        self.assertNotIn(own, everyone)
        self.assertNotIn(InstanceId("entry-7"), everyone)
        self.assertGreater(len(everyone), 150)
