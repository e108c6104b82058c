"""What the generations on an entry use, and their checks of versions."""

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
    Maker,
    VersionChecks,
)
from goldcrestyard.plugins.weights.slices import WeightsSlice
from goldcrestyard.policy import hand_out
from goldcrestyard.wire.client import PeerDialer


@dataclass(frozen=True, slots=True)
class Tools:
    """What every generation on this entry uses."""

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


def checks_for(model: ModelName, weights: WeightsSlice) -> VersionChecks:
    """Return the checks of versions against this entry's view.

    The view may lag behind the log, so ``FixBatch`` checks them again.
    """

    def behind(version: WeightVersion) -> int | None:
        return weights.versions_behind(model, version)

    def bound() -> int:
        line = weights.lines_by_name.get(model)
        # Without its line, the step is refused when its batch is to be fixed.
        return line.max_versions_behind if line is not None else 0

    def barred(versions: Iterable[WeightVersion]) -> tuple[WeightVersion, ...]:
        return hand_out.barred_versions(versions, behind, bound())

    def too_old(versions: Iterable[WeightVersion]) -> tuple[WeightVersion, ...]:
        return hand_out.too_old_versions(versions, behind, bound())

    return VersionChecks(too_old, barred)


def maker_for(
    key: StepKey, question: Question, tools: Tools, correlation_id: CorrelationId
) -> Maker:
    """Return what the samples of a generation have in common."""
    return Maker(
        question,
        key.organisation,
        tools.dispatcher,
        lambda: {target.id for target in tools.targets.serving(key.model)},
        checks_for(key.model, tools.weights),
        AvoidedEngines(tools.clock),
        tools.clock,
        correlation_id,
    )
