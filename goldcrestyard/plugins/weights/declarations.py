"""Model lines as declared by operators, with their validation."""

from collections.abc import Iterable

from goldcrestyard.core.records import ModelLine
from goldcrestyard.plugins.weights.commands import PutModelLine, RemoveModelLine
from goldcrestyard.plugins.weights.slices import MAX_VERSIONS_PER_MODEL, WeightsSlice
from goldcrestyard.state.declarations import DeclaredKind


def declaration_errors(record: ModelLine) -> Iterable[str]:
    """Return the errors in the declaration of a model line."""
    if not 0 <= record.max_versions_behind < MAX_VERSIONS_PER_MODEL:
        yield f"max_versions_behind must be from 0 to {MAX_VERSIONS_PER_MODEL - 1}"


MODELS = DeclaredKind(
    table="models",
    record_class=ModelLine,
    key_field="name",
    current=lambda machine: machine.get(WeightsSlice).lines_by_name,
    put=PutModelLine,
    remove=RemoveModelLine,
    command_classes=(PutModelLine, RemoveModelLine),
    check=declaration_errors,
    served_by_targets=True,
)
