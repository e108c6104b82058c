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


MAX_STEP_SECONDS = 5.0
"""Longest time in seconds by which one command makes records older.  The log's
time jumps when a leader whose clock is ahead takes over, which must not make
the records of moments ago look old."""


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
        self._age = 0.0
        self._time = 0.0

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
                self._advance(context.time)
                for stream, origin in streams_of(groups):
                    known = self._kept_by_stream.pop(stream, None)
                    merged = merge_origins(known.origin if known else None, origin)
                    self._kept_by_stream[stream] = _Kept(merged, self._age)
                self._forget_old()
            case _:
                raise TypeError(f"unexpected command {command!r}")
        return Accepted()

    def _advance(self, time: float) -> None:
        if self._kept_by_stream:
            self._age += min(max(0.0, time - self._time), MAX_STEP_SECONDS)
        self._time = time

    def _forget_old(self) -> None:
        while self._kept_by_stream:
            stream, kept = next(iter(self._kept_by_stream.items()))
            if (
                self._age - kept.at <= TAKE_UP_SECONDS
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
            ),
            self._age,
            self._time,
        )

    def load_snapshot(self, snapshot: OriginsSnapshot) -> None:
        """Replace all streams by those of a snapshot."""
        self._age, self._time = snapshot.age, snapshot.time
        self._kept_by_stream = OrderedDict(
            (stream, _Kept(origin, kept.at))
            for kept in snapshot.kept
            for stream, origin in streams_of(kept.groups)
        )
