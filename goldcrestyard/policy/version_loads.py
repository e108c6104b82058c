"""Distribution of models and weight versions over engines.

Each engine loads the versions of one model.  ``assign_models`` divides the
engines between the models in proportion to the models' shares, and
``next_loads`` limits how many engines load a new version at the same time.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from goldcrestyard.core.ids import ModelName, TargetId, WeightVersion


@dataclass(frozen=True, slots=True)
class LoadableEngine:
    """State of an engine that decides which version it loads next."""

    id: TargetId
    versions_by_model: Mapping[ModelName, WeightVersion]
    busy: bool
    """A load order is in progress or its outcome is unknown."""


@dataclass(frozen=True, slots=True)
class VersionLoad:
    """The decision that an engine loads a version of a model."""

    target: TargetId
    model: ModelName
    version: WeightVersion


def assign_models(
    engines: Iterable[TargetId],
    shares_by_model: Mapping[ModelName, float],
    previous: Mapping[TargetId, ModelName],
) -> dict[TargetId, ModelName]:
    """Assign each engine the one model whose new versions it loads.

    A load costs money and clears the engine's cache, so an engine loads the
    versions of only one model.  ``previous`` is the previous assignment;
    engines keep their model as far as the shares allow.
    """
    ids = sorted(engines)
    if not ids or not shares_by_model:
        return {}
    quotas = _quotas(len(ids), shares_by_model)
    assigned: dict[TargetId, ModelName] = {}
    for target in ids:
        model = previous.get(target)
        if model is not None and quotas.get(model, 0) > 0:
            assigned[target] = model
            quotas[model] -= 1
    for target in ids:
        if target in assigned:
            continue
        model = max(quotas, key=lambda name: (quotas[name], name))
        assigned[target] = model
        quotas[model] -= 1
    return assigned


def _quotas(
    count: int, shares_by_model: Mapping[ModelName, float]
) -> dict[ModelName, int]:
    """Return the number of engines for each model, in proportion to shares.

    Each model gets at least one engine if there are enough engines.
    """
    total = sum(shares_by_model.values()) or 1.0
    exact_shares = {
        model: count * share / total for model, share in shares_by_model.items()
    }
    quotas = {model: int(exact) for model, exact in exact_shares.items()}
    if count >= len(exact_shares):
        quotas = {model: max(1, quota) for model, quota in quotas.items()}
    while sum(quotas.values()) < count:
        model = max(
            exact_shares, key=lambda name: (exact_shares[name] - quotas[name], name)
        )
        quotas[model] += 1
    while sum(quotas.values()) > count:
        model = max(quotas, key=lambda name: (quotas[name] - exact_shares[name], name))
        quotas[model] -= 1
    return quotas


def next_loads(
    engines: Sequence[LoadableEngine],
    models_by_target: Mapping[TargetId, ModelName],
    newest_by_model: Mapping[ModelName, WeightVersion],
    max_concurrent_loads: int,
) -> list[VersionLoad]:
    """Return the loads to order now.

    At most ``max_concurrent_loads`` engines load at a time, since each load
    takes longer while many are in progress.
    """
    free_loads = max_concurrent_loads - sum(engine.busy for engine in engines)
    loads: list[VersionLoad] = []
    for engine in engines:
        model = models_by_target.get(engine.id)
        if free_loads <= 0:
            break
        if model is None or engine.busy:
            continue
        newest = newest_by_model.get(model, WeightVersion(0))
        if engine.versions_by_model.get(model, WeightVersion(0)) < newest:
            loads.append(VersionLoad(engine.id, model, newest))
            free_loads -= 1
    return loads
