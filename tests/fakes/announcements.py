"""Announcement of targets directly to their slice, without a log."""

from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, Term
from goldcrestyard.core.records import Target
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.state.commands import CommandContext, Envelope


def announce(targets: TargetsSlice, target: Target) -> None:
    """Apply the command that announces a target at entry ``entry``."""
    command = AnnounceTarget(target, InstanceId("entry"))
    envelope = Envelope(command, "entry", CorrelationId(""), 0.0)
    targets.apply(command, CommandContext(LogIndex(1), Term(1), envelope))
