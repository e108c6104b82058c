"""Declared kind of organisations, with its validation and warnings."""

from collections.abc import Iterable

from goldcrestyard.core.decoding import MAX_WHOLE_NUMBER
from goldcrestyard.core.records import Organisation
from goldcrestyard.plugins.organisations.commands import (
    PutOrganisation,
    RemoveOrganisation,
)
from goldcrestyard.plugins.organisations.slices import OrganisationsSlice
from goldcrestyard.state.declarations import DeclaredKind
from goldcrestyard.state.machine import StateMachine


def warnings(
    machine: StateMachine, name: str, record: Organisation | None
) -> Iterable[str]:
    """Warn of keys that stop working and of a lower token limit."""
    organisations = machine.get(OrganisationsSlice)
    known = organisations.organisations_by_id
    before = next((item for item in known.values() if item.id == name), None)
    if record is None:
        keys = sum(
            key.organisation == name for key in organisations.keys_by_id.values()
        )
        if keys:
            yield (
                f"organisations.{name}: its {keys} keys stop working and requests "
                "that run with them are ended"
            )
        return
    if before is None or record.tokens_per_minute is None:
        return
    if (before.tokens_per_minute or float("inf")) > record.tokens_per_minute:
        yield (
            f"organisations.{name}: the bound is lowered to "
            f"{record.tokens_per_minute} tokens a minute; requests above it are "
            "refused"
        )


def declaration_errors(record: Organisation) -> Iterable[str]:
    """Return the errors in an organisation's share and limits."""
    if not 0 < record.share < float("inf"):
        yield "share must be a number above 0"
    if record.tokens_per_minute is not None and not (
        0 < record.tokens_per_minute <= MAX_WHOLE_NUMBER
    ):
        yield "tokens_per_minute must be above 0; leave it out for no limit"


ORGANISATIONS = DeclaredKind(
    table="organisations",
    record_class=Organisation,
    key_field="id",
    current=lambda machine: machine.get(OrganisationsSlice).organisations_by_id,
    put=PutOrganisation,
    remove=RemoveOrganisation,
    command_classes=(PutOrganisation, RemoveOrganisation),
    warn=warnings,
    check=declaration_errors,
)
