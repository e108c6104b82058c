"""Results of a proposal to the replicated log."""

from dataclasses import dataclass

from goldcrestyard.core.ids import InstanceId, LogIndex
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.state.commands import Outcome


@dataclass(frozen=True, slots=True)
class Applied:
    """The command has been committed and applied to the state machine.

    ``index`` is its log index and ``outcome`` the state machine's result.
    """

    index: LogIndex
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class NotProposed:
    """The command is not in the log and will not be added to it.

    It can be proposed again, at ``leader`` if that is not None.
    """

    detail: str
    leader: InstanceId | None = None
    reason: RefusalReason = RefusalReason.NO_LEADER


@dataclass(frozen=True, slots=True)
class InDoubt:
    """The command may or may not be committed.

    The proposer repeats the command with the same id, so that it is not
    executed twice.
    """

    detail: str


ProposalResult = Applied | NotProposed | InDoubt
