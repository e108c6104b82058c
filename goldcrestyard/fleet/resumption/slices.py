"""Replicated state: the origins of the streams that began lately."""

from collections import OrderedDict
from dataclasses import dataclass
from itertools import groupby

from goldcrestyard.core.ids import StreamDigest
from goldcrestyard.fleet.resumption.commands import (
    KeepOrigins,
    KeptOrigins,
    OriginsSnapshot,
    streams_of,
    to_groups,
)
from goldcrestyard.policy.stream_origins import (
    TAKE_UP_SECONDS,
    StreamOrigin,
    merge_origins,
)
from goldcrestyard.state.commands import Accepted, Command, CommandContext, Outcome
from goldcrestyard.state.slices import Slice

MAX_STREAMS = 65_536
"""Maximum number of recorded streams; beyond it the oldest one is forgotten.
They take at most 16 MB, and are 1,000 new streams a second for a minute."""


@dataclass(frozen=True, slots=True)
class _Kept:
    origin: StreamOrigin
    at: float


class StreamOriginsSlice(Slice):
    """Origins by the digest of the stream, kept on control members only."""

    name = "stream_origins"
    commands = (KeepOrigins,)

    def __init__(self) -> None:
        self._kept_by_stream: OrderedDict[StreamDigest, _Kept] = OrderedDict()

    def find(self, stream: StreamDigest) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is not recorded."""
        kept = self._kept_by_stream.get(stream)
        return kept.origin if kept is not None else None

    def count(self) -> int:
        """Return the number of recorded streams."""
        return len(self._kept_by_stream)

    def apply(self, command: Command, context: CommandContext) -> Outcome:
        """Apply one committed command."""
        match command:
            case KeepOrigins(groups=groups):
                for stream, origin in streams_of(groups):
                    known = self._kept_by_stream.pop(stream, None)
                    merged = merge_origins(known.origin if known else None, origin)
                    self._kept_by_stream[stream] = _Kept(merged, context.time)
                self._forget_old(context.time)
            case _:
                raise TypeError(f"unexpected command {command!r}")
        return Accepted()

    def _forget_old(self, time: float) -> None:
        while self._kept_by_stream:
            stream, kept = next(iter(self._kept_by_stream.items()))
            if (
                time - kept.at <= TAKE_UP_SECONDS
                and len(self._kept_by_stream) <= MAX_STREAMS
            ):
                return
            del self._kept_by_stream[stream]

    def to_snapshot(self) -> OriginsSnapshot:
        """Return the streams grouped by the time of their record."""
        return OriginsSnapshot(
            tuple(
                KeptOrigins(
                    at, to_groups((stream, kept.origin) for stream, kept in streams)
                )
                for at, streams in groupby(
                    self._kept_by_stream.items(), key=lambda item: item[1].at
                )
            )
        )

    def load_snapshot(self, snapshot: OriginsSnapshot) -> None:
        """Replace all streams by those of a snapshot."""
        self._kept_by_stream = OrderedDict(
            (stream, _Kept(origin, kept.at))
            for kept in snapshot.kept
            for stream, origin in streams_of(kept.groups)
        )
