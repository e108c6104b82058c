"""Dependencies of sample generation, and the checks of weight versions."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcrestyard.core.ids import CorrelationId, InstanceId, ModelName, WeightVersion
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.addresses.slices import EntriesSlice
from goldcrestyard.plugins.engines.dispatch import Dispatcher
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.plugins.trainers.commands import StepKey
from goldcrestyard.plugins.trainers.commits import Committer
from goldcrestyard.plugins.trainers.questions import Question
from goldcrestyard.plugins.trainers.samples import (
    AvoidedEngines,
    GenerationContext,
    VersionChecks,
)
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.policy import hand_out
from goldcrestyard.wire.client import PeerDialer


@dataclass(frozen=True, slots=True)
class GenerationDependencies:
    """Objects and settings that all generations on this entry share.

    ``concurrent_samples`` limits the samples of a step on this entry at a
    time; ``step_seconds`` limits the duration of a generation.
    """

    instance: InstanceId
    dispatcher: Dispatcher
    bodies: BodyClient
    committer: Committer
    weights: WeightsSlice
    entries: EntriesSlice
    targets: TargetsSlice
    dialer: PeerDialer
    clock: Clock
    concurrent_samples: int
    step_seconds: float


def version_checks(model: ModelName, weights: WeightsSlice) -> VersionChecks:
    """Return the checks of a model's weight versions on this entry.

    They use the entry's view, which may lag behind the log, so ``FixBatch``
    checks the versions again when it is applied.
    """

    def behind(version: WeightVersion) -> int | None:
        return weights.versions_behind(model, version)

    def max_versions_behind() -> int:
        line = weights.lines_by_name.get(model)
        # If the model line has been removed, FixBatch refuses the step.
        return line.max_versions_behind if line is not None else 0

    def barred(versions: Iterable[WeightVersion]) -> tuple[WeightVersion, ...]:
        return hand_out.barred_versions(versions, behind, max_versions_behind())

    def too_old(versions: Iterable[WeightVersion]) -> tuple[WeightVersion, ...]:
        return hand_out.too_old_versions(versions, behind, max_versions_behind())

    return VersionChecks(too_old, barred)


def generation_context(
    key: StepKey,
    question: Question,
    dependencies: GenerationDependencies,
    correlation_id: CorrelationId,
) -> GenerationContext:
    """Return the context that the samples of a generation share."""
    return GenerationContext(
        question,
        key.organisation,
        dependencies.dispatcher,
        lambda: {target.id for target in dependencies.targets.serving(key.model)},
        version_checks(key.model, dependencies.weights),
        AvoidedEngines(dependencies.clock),
        dependencies.clock,
        correlation_id,
    )
