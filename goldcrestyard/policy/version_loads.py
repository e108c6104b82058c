"""Which engines load which weight version, and when."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, TargetId, WeightVersion


@dataclass(frozen=True, slots=True)
class LoadableEngine:
    """An engine, as far as the choice of its loads depends on it."""

    id: TargetId
    versions_by_model: Mapping[ModelName, WeightVersion]
    busy: bool
    """An order is in progress, or its fate is open."""


@dataclass(frozen=True, slots=True)
class Load:
    """An engine is to load a version of a model."""

    target: TargetId
    model: ModelName
    version: WeightVersion


def share_out(
    engines: Iterable[TargetId],
    weights_by_model: Mapping[ModelName, float],
    before: Mapping[TargetId, ModelName],
) -> dict[TargetId, ModelName]:
    """Give each engine the one model whose new versions it loads.

    Each load is paid for, and throws away what the engine has cached, so an
    engine follows one model.  Engines keep their model where the shares allow.
    """
    ids = sorted(engines)
    if not ids or not weights_by_model:
        return {}
    quotas = _quotas(len(ids), weights_by_model)
    shared: dict[TargetId, ModelName] = {}
    for target in ids:
        model = before.get(target)
        if model is not None and quotas.get(model, 0) > 0:
            shared[target] = model
            quotas[model] -= 1
    for target in ids:
        if target in shared:
            continue
        model = max(quotas, key=lambda name: (quotas[name], name))
        shared[target] = model
        quotas[model] -= 1
    return shared


def _quotas(
    count: int, weights_by_model: Mapping[ModelName, float]
) -> dict[ModelName, int]:
    """Split a number of engines by weight; each model gets one if it can."""
    total = sum(weights_by_model.values()) or 1.0
    exact = {
        model: count * weight / total for model, weight in weights_by_model.items()
    }
    quotas = {model: int(share) for model, share in exact.items()}
    if count >= len(exact):
        quotas = {model: max(1, quota) for model, quota in quotas.items()}
    while sum(quotas.values()) < count:
        model = max(exact, key=lambda name: (exact[name] - quotas[name], name))
        quotas[model] += 1
    while sum(quotas.values()) > count:
        model = max(quotas, key=lambda name: (quotas[name] - exact[name], name))
        quotas[model] -= 1
    return quotas


def next_loads(
    engines: Sequence[LoadableEngine],
    models_by_target: Mapping[TargetId, ModelName],
    newest_by_model: Mapping[ModelName, WeightVersion],
    at_once: int,
) -> list[Load]:
    """Return the loads to order now.

    Each takes longer while more than a few engines load, so they are bounded.
    """
    room = at_once - sum(engine.busy for engine in engines)
    loads: list[Load] = []
    for engine in engines:
        model = models_by_target.get(engine.id)
        if room <= 0:
            break
        if model is None or engine.busy:
            continue
        newest = newest_by_model.get(model, WeightVersion(0))
        if engine.versions_by_model.get(model, WeightVersion(0)) < newest:
            loads.append(Load(engine.id, model, newest))
            room -= 1
    return loads
