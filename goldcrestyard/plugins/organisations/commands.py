"""Commands and snapshot of the organisations slice."""

from dataclasses import dataclass

from goldcrestyard.core.ids import KeyId, OrganisationId
from goldcrestyard.core.records import Key, Organisation


@dataclass(frozen=True, slots=True)
class PutOrganisation:
    """Creates an organisation, or replaces its share and limits."""

    organisation: Organisation


@dataclass(frozen=True, slots=True)
class RemoveOrganisation:
    """Removes an organisation and all its keys."""

    id: OrganisationId


@dataclass(frozen=True, slots=True)
class GrantKey:
    """Grants a key to its organisation."""

    key: Key


@dataclass(frozen=True, slots=True)
class WithdrawKey:
    """Withdraws a key permanently; its id is never granted again."""

    id: KeyId


@dataclass(frozen=True, slots=True)
class OrganisationsSnapshot:
    """Snapshot of ``OrganisationsSlice``."""

    organisations: tuple[Organisation, ...]
    keys: tuple[Key, ...]
    withdrawn: tuple[KeyId, ...]
