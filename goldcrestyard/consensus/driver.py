"""Runs a control member: storage, replication and the state machine."""

from pathlib import Path

from goldcrestyard.consensus.records import LoggedCommand, to_envelope
from goldcrestyard.consensus.results import Applied, ProposalResult
from goldcrestyard.core.ids import CorrelationId, InstanceId, LogIndex, Term
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.state.commands import Command
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.storage.log_segments import LogFile, LogRecord
from goldcrestyard.wire.codec import Codec


class ControlMember:
    """This instance's member of the replicated log (a single voter)."""

    def __init__(
        self,
        instance: InstanceId,
        data_folder: Path,
        machine: StateMachine,
        codec: Codec,
        clock: Clock,
    ) -> None:
        self.instance = instance
        self.machine = machine
        self.term = Term(1)
        self.leader: InstanceId | None = None
        self.leadership_started_at = 0.0
        self._path = data_folder / "log"
        self._codec = codec
        self._clock = clock
        self._log: LogFile | None = None
        self._last_index = LogIndex(0)
        self._last_time = 0.0

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it leads."""
        return self.leader == self.instance

    def holds_lease(self) -> bool:
        """Return whether no other member can lead at this moment."""
        return self.is_leader

    async def start(self) -> None:
        """Load the log and start to take part."""
        self._path.parent.mkdir(parents=True, exist_ok=True)
        for record in LogFile.read(self._path):
            self._apply(record)
            self._last_index = record.index
        self._log = LogFile(self._path)
        self.leader = self.instance
        self.leadership_started_at = self._clock.monotonic()

    async def stop(self) -> None:
        """Stop taking part and close the files."""
        if self._log is not None:
            self._log.close()

    async def propose(
        self, command: Command, author: str, correlation_id: CorrelationId
    ) -> ProposalResult:
        """Commit a command and return its outcome."""
        assert self._log is not None
        self._last_time = max(self._last_time, self._clock.wall())
        logged = LoggedCommand(
            self._codec.encode(command), author, correlation_id, self._last_time
        )
        index = LogIndex(self._last_index + 1)
        record = LogRecord(self.term, index, self._codec.encode(logged))
        self._log.append([record])
        self._last_index = index
        return self._apply(record)

    def _apply(self, record: LogRecord) -> Applied:
        envelope = to_envelope(self._codec, record.payload)
        self._last_time = max(self._last_time, envelope.time)
        entry = self.machine.apply(record.index, record.term, envelope)
        return Applied(record.index, entry.outcome)
