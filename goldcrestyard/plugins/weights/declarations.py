"""What operators declare of model lines."""

from collections.abc import Iterable

from goldcrestyard.core.records import ModelLine
from goldcrestyard.plugins.weights.commands import PutModelLine, RemoveModelLine
from goldcrestyard.plugins.weights.slices import KEPT_VERSIONS, WeightsSlice
from goldcrestyard.state.declarations import DeclaredKind


def faults(record: ModelLine) -> Iterable[str]:
    """Return what is wrong with a model line's terms."""
    if not 0 <= record.max_versions_behind < KEPT_VERSIONS:
        yield f"max_versions_behind must be from 0 to {KEPT_VERSIONS - 1}"


MODELS = DeclaredKind(
    table="models",
    record_class=ModelLine,
    key_field="name",
    current=lambda machine: machine.get(WeightsSlice).lines_by_name,
    put=PutModelLine,
    remove=RemoveModelLine,
    command_classes=(PutModelLine, RemoveModelLine),
    check=faults,
    served_by_targets=True,
)
