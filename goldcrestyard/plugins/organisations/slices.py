"""Replicated state of organisations and their keys."""

from goldcrestyard.core.ids import KeyId, OrganisationId
from goldcrestyard.core.records import Key, Organisation
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.plugins.organisations.commands import (
    GrantKey,
    OrganisationsSnapshot,
    PutOrganisation,
    RemoveOrganisation,
    WithdrawKey,
)
from goldcrestyard.state.commands import (
    Accepted,
    Command,
    CommandContext,
    Outcome,
    Rejected,
)
from goldcrestyard.state.slices import Slice


class OrganisationsSlice(Slice):
    """Stores organisations, valid keys, and the ids of withdrawn keys."""

    name = "organisations"
    fan_out = True
    commands = (PutOrganisation, RemoveOrganisation, GrantKey, WithdrawKey)

    def __init__(self) -> None:
        self.organisations_by_id: dict[OrganisationId, Organisation] = {}
        self.keys_by_id: dict[KeyId, Key] = {}
        # Kept so that a delayed or repeated grant cannot make a withdrawn key
        # valid again.
        self.withdrawn: set[KeyId] = set()

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case PutOrganisation(organisation=organisation):
                self.organisations_by_id[organisation.id] = organisation
                return Accepted()
            case RemoveOrganisation(id=organisation_id):
                return self._remove(organisation_id)
            case GrantKey(key=key):
                return self._grant(key)
            case WithdrawKey(id=key_id):
                return self._withdraw(key_id)
        raise TypeError(f"unexpected command {command!r}")

    def _remove(self, organisation_id: OrganisationId) -> Outcome:
        if self.organisations_by_id.pop(organisation_id, None) is None:
            return Rejected(
                RefusalReason.NOT_FOUND, f"no organisation {organisation_id}"
            )
        for key in list(self.keys_by_id.values()):
            if key.organisation == organisation_id:
                self._withdraw(key.id)
        return Accepted()

    def _grant(self, key: Key) -> Outcome:
        if key.organisation not in self.organisations_by_id:
            return Rejected(
                RefusalReason.NOT_FOUND, f"no organisation {key.organisation}"
            )
        if key.id in self.withdrawn:
            return Rejected(RefusalReason.CONFLICT, f"key {key.id} was withdrawn")
        known = self.keys_by_id.setdefault(key.id, key)
        if known != key:
            return Rejected(
                RefusalReason.CONFLICT, f"key id {key.id} is already in use"
            )
        return Accepted()

    def _withdraw(self, key_id: KeyId) -> Outcome:
        if key_id in self.withdrawn:
            return Accepted()
        if self.keys_by_id.pop(key_id, None) is None:
            return Rejected(RefusalReason.NOT_FOUND, f"no key {key_id}")
        self.withdrawn.add(key_id)
        return Accepted()

    def to_snapshot(self) -> OrganisationsSnapshot:
        """Return the snapshot of all organisations and keys."""
        return OrganisationsSnapshot(
            tuple(self.organisations_by_id.values()),
            tuple(self.keys_by_id.values()),
            tuple(sorted(self.withdrawn)),
        )

    def load_snapshot(self, snapshot: OrganisationsSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.organisations_by_id = {item.id: item for item in snapshot.organisations}
        self.keys_by_id = {key.id: key for key in snapshot.keys}
        self.withdrawn = set(snapshot.withdrawn)
