"""Tests of the generation of a complete step.

They guard against a batch that contains samples that are too old, that lacks
a sample or contains it twice, and against a step delayed by one slow engine.
"""

import unittest.mock
from dataclasses import dataclass, field
from itertools import chain, repeat
from typing import Any, cast

from goldcrestyard.core.ids import (
    BodyDigest,
    CorrelationId,
    GroupId,
    InstanceId,
    ModelName,
    OrganisationId,
    StepNumber,
    WeightVersion,
)
from goldcrestyard.core.records import ModelLine
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.trainers import manifests
from goldcrestyard.plugins.trainers.batch_response import open_response
from goldcrestyard.plugins.trainers.commands import Batch, FixBatch, OpenStep, StepKey
from goldcrestyard.plugins.trainers.commits import Committer
from goldcrestyard.plugins.trainers.dependencies import GenerationDependencies
from goldcrestyard.plugins.trainers.generation import Generation
from goldcrestyard.plugins.trainers.questions import Prompt, Question
from goldcrestyard.plugins.trainers.slices import StepsSlice
from goldcrestyard.plugins.weights.commands import PublishWeights, PutModelLine
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.state.commands import Command, Outcome, Rejected
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.storage.bodies import compute_digest
from goldcrestyard.wire.client import PeerDialer
from tests.fakes.engines import (
    Script,
    ScriptedDispatcher,
    complete_stream,
    targets_with_engine,
)
from tests.fakes.paused_clock import PausedClockTestCase
from tests.fakes.state import apply

MODEL = ModelName("inspect-lm")
TEJO = OrganisationId("tejo")
KEY = StepKey(TEJO, MODEL, StepNumber(1))


@dataclass
class FakeBodyClient:
    """Body client with a store in memory; ``failing`` refuses to store."""

    bodies_by_digest: dict[BodyDigest, bytes] = field(default_factory=dict)
    failing: bool = False

    async def put(self, body: bytes, keep_seconds: float) -> BodyDigest | Refusal:
        """Store a body."""
        if self.failing:
            return Refusal(RefusalReason.UNKNOWN_OUTCOME, "no quorum")
        self.bodies_by_digest[compute_digest(body)] = body
        return compute_digest(body)

    async def get(self, digest: BodyDigest) -> bytes | None:
        """Return a body."""
        return self.bodies_by_digest.get(digest)


@dataclass
class FakeCommitter:
    """Committer that applies commands at once.

    The commands in ``before_fix`` are applied just before the next batch is
    fixed; ``fixes`` counts the attempts to fix one.
    """

    machine: StateMachine
    before_fix: list[Command] = field(default_factory=list)
    fixes: int = 0

    async def commit(self, command: Command, *_: Any) -> Outcome | Refusal:
        """Apply a command."""
        if isinstance(command, FixBatch):
            self.fixes += 1
            while self.before_fix:
                apply(self.machine, self.before_fix.pop(0))
        match apply(self.machine, command):
            case Rejected(reason=reason, detail=detail):
                return Refusal(reason, detail)
            case outcome:
                return outcome


def publish(version: int) -> PublishWeights:
    """Return the command that publishes a weight version."""
    return PublishWeights(MODEL, WeightVersion(version), "", "")


class GenerationTests(PausedClockTestCase):
    """Generation of a step on scripted engines."""

    def setUp(self) -> None:
        # Unless a test changes it, the entry's view stays at version 1 and so
        # lags behind the log.
        self.view, self.log = self.machine(), FakeCommitter(self.machine())
        self.bodies = FakeBodyClient()

    def machine(self) -> StateMachine:
        """Return a state machine with a model line at version 1."""
        machine = StateMachine([WeightsSlice(), StepsSlice()])
        line = ModelLine(MODEL, TEJO, max_versions_behind=1)
        for command in (PutModelLine(line), publish(1)):
            apply(machine, command)
        return machine

    def generation(
        self, dispatcher: ScriptedDispatcher, samples: int, concurrent: int = 4
    ) -> Generation:
        """Return a generation of a step that is open in the log."""
        prompt = Prompt(GroupId("g"), prompt="q")
        question = Question(MODEL, [prompt], samples, max_tokens=16)
        apply(self.log.machine, OpenStep(KEY, 0, question.digest, InstanceId("entry")))
        dependencies = GenerationDependencies(
            InstanceId("entry"),
            cast(Dispatcher, dispatcher),
            cast(BodyClient, self.bodies),
            cast(Committer, self.log),
            self.view.get(WeightsSlice),
            EntriesSlice(),
            targets_with_engine(MODEL),
            cast(PeerDialer, None),
            self.clock(),
            concurrent,
            step_seconds=1800.0,
        )
        return Generation(KEY, question, dependencies, "tejo", CorrelationId("c"))

    async def samples_of(self, batch: Batch | Refusal) -> list[dict[str, Any]]:
        """Return the samples as the trainer receives them."""
        assert isinstance(batch, Batch)
        answer = await open_response(KEY, 0, batch, cast(BodyClient, self.bodies))
        assert not isinstance(answer, Refusal)
        parts = [cast(bytes, part) async for part in answer.parts()]
        body = b"".join(parts)
        self.assertEqual(len(body), answer.length)
        samples: list[dict[str, Any]] = manifests.msgspec.json.decode(body)["samples"]
        self.assertEqual(len(samples), batch.count)
        self.assertEqual(len({sample["id"] for sample in samples}), batch.count)
        return samples

    async def test_samples_are_packed_into_chunks(self) -> None:
        with unittest.mock.patch.object(manifests, "CHUNK_FLUSH_BYTES", 500):
            generation = self.generation(
                ScriptedDispatcher(repeat(complete_stream("abc"))), 20
            )
            samples = await self.samples_of(await generation.run())
        self.assertEqual({sample["text"] for sample in samples}, {"abc"})
        self.assertGreater(len(self.bodies.bodies_by_digest), 2)
        self.assertLess(len(self.bodies.bodies_by_digest), 20)

    async def test_over_age_samples_are_made_again_before_the_batch_is_fixed(
        self,
    ) -> None:
        self.log.before_fix = [publish(2), publish(3)]
        for command in (publish(2), publish(3)):
            apply(self.view, command)
        apply(self.view, PutModelLine(ModelLine(MODEL, TEJO, max_versions_behind=9)))
        scripts: list[Script] = [complete_stream("old", 1), complete_stream("new", 3)]
        dispatcher = ScriptedDispatcher(
            chain(scripts, repeat(complete_stream("mid", 2)))
        )
        generation = self.generation(dispatcher, 3)
        samples = await self.samples_of(await generation.run())
        self.assertEqual(sorted(s["text"] for s in samples), ["mid", "mid", "new"])
        self.assertEqual(self.log.fixes, 2)

    async def test_late_generation_hands_out_the_first_batch(self) -> None:
        generation = self.generation(
            ScriptedDispatcher(repeat(complete_stream("abc"))), 4
        )
        first = await self.samples_of(await generation.run())
        late = self.generation(ScriptedDispatcher(repeat(complete_stream("xyz"))), 4)
        self.assertEqual(await self.samples_of(await late.run()), first)

    async def test_straggler_is_hedged_and_its_stream_cancelled(self) -> None:
        slow = complete_stream("slow", seconds=1000.0)
        scripts = chain([slow], repeat(complete_stream("fast")))
        dispatcher = ScriptedDispatcher(scripts)
        generation = self.generation(dispatcher, 20)
        samples = await self.samples_of(await generation.run())
        # The hedge continues from the text of the slow run.
        texts = sorted(sample["text"] for sample in samples)
        self.assertEqual(texts, [*["fast"] * 19, "sfast"])
        self.assertEqual(len(dispatcher.bodies), 21)
        self.assertEqual(dispatcher.cancelled, 1)

    async def test_hedge_that_fails_leaves_the_first_run(self) -> None:
        slow = complete_stream("slow", seconds=100.0)
        refused = Refusal(RefusalReason.BAD_REQUEST, "not here")
        fast: list[Script] = [complete_stream("fast")] * 19
        dispatcher = ScriptedDispatcher(chain([slow], fast, repeat(refused)))
        samples = await self.samples_of(await self.generation(dispatcher, 20).run())
        self.assertEqual([s["text"] for s in samples].count("slow"), 1)

    async def test_store_without_a_quorum_yields_no_batch(self) -> None:
        self.bodies.failing = True
        generation = self.generation(
            ScriptedDispatcher(repeat(complete_stream("abc"))), 4
        )
        result = await generation.run()
        assert isinstance(result, Refusal)
        self.assertEqual(self.log.fixes, 0)
