"""Settings of the tasks that the leader performs at outside systems.

A duty is a task, such as renting targets or reporting usage, that only one
member may perform at a time.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from goldcrestyard.core.ids import InstanceId, Term
from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to call an outside system, as the leader of one term.

    A client checks ``holds`` at the last moment before a call leaves, since
    the process may have been paused, or the lead may have passed to another
    member, after the call was decided.
    """

    fence: Term
    """The leader's term, which lets receivers reject an earlier leader."""
    holds: Callable[[], bool]


class Leader(Protocol):
    """What a permit needs to know of the control member."""

    @property
    def term(self) -> Term:
        """Latest term of the member."""
        ...

    def holds_lease(self) -> bool:
        """Return whether the member leads and no other member can."""
        ...


def permit_of(leader: Leader) -> Permit:
    """Return the permit of the present term."""
    fence = leader.term
    return Permit(fence, lambda: leader.holds_lease() and leader.term == fence)


@dataclass(frozen=True)
class DutySettings:
    """Identity and timing of the leader's calls to outside systems."""

    holder_name: InstanceId = setting(
        "Name that identifies this process to outside systems as holder of a duty."
    )
    quiet_seconds: float = setting(
        "How long a new leader waits before its first call to an outside system.",
        1.0,
    )
    usage_window_seconds: float = setting("Length of a usage window.", 5.0)
    rents_targets: bool = setting("Whether targets are rented on demand.", True)
