"""What became of a proposal."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, LogIndex
from goldcrestyard.state.commands import Outcome


@dataclass(frozen=True, slots=True)
class Applied:
    """The command is committed and applied."""

    index: LogIndex
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NotProposed:
    """The command is provably not in the log and never will be."""

    detail: str
    leader: InstanceId | None = None


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The command may or may not be committed; ask again by its own id."""

    detail: str


ProposalResult = Applied | NotProposed | InDoubt
