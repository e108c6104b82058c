"""The control member that runs on this instance.

``ControlMember`` drives the Raft logic in ``member``: one task passes it
messages, proposals and timer ticks, one event at a time, and performs the
effects.  State to persist is written in a worker thread first; then messages
are sent and committed entries are applied to the state machine.
"""

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, TypeVar, get_args

import structlog

from goldcrestyard.consensus.applied import AppliedState
from goldcrestyard.consensus.bootstrap import (
    FoundingRule,
    make_bootstrap_entry,
    make_founding,
)
from goldcrestyard.consensus.compression import CompressionError
from goldcrestyard.consensus.configuration import MemberId, MemberRecord
from goldcrestyard.consensus.disk import MemberDisk
from goldcrestyard.consensus.disk_outages import DiskOutages
from goldcrestyard.consensus.early_entries import EarlyEntries
from goldcrestyard.consensus.events import (
    AddLearner,
    Appended,
    Apply,
    Effect,
    Event,
    LoadSnapshot,
    Promote,
    Propose,
    Receive,
    Refused,
    Remove,
    Replace,
    Send,
    SnapshotTaken,
    Tick,
)
from goldcrestyard.consensus.link import (
    RESPONSE_TIMEOUT_SECONDS,
    Dialer,
    MemberBatch,
    MemberIdentity,
    MemberLink,
    Received,
)
from goldcrestyard.consensus.links import MemberLinks
from goldcrestyard.consensus.member import MAX_PROMOTION_LAG_ENTRIES, Member
from goldcrestyard.consensus.member_report import (
    MemberReport,
    make_member_report,
    make_member_state,
)
from goldcrestyard.consensus.messages import (
    InstallSnapshot,
    MemberMessage,
    PreVoteReply,
    find_fault,
    make_transfer_key,
)
from goldcrestyard.consensus.missing_votes import ANSWER_SECONDS
from goldcrestyard.consensus.persistent_state import (
    PersistentState,
    select_save_effects,
)
from goldcrestyard.consensus.proposals import PendingProposals
from goldcrestyard.consensus.records import LoggedCommand
from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.status import MemberStatus, make_member_status
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.ids import (
    CorrelationId,
    InstanceId,
    LogIndex,
    Revision,
    Term,
)
from goldcrestyard.core.refusals import RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.kernel.default_settings import MemorySettings
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.policy.membership_waits import LogFacts
from goldcrestyard.policy.memory import ControlShares, control_shares
from goldcrestyard.state.commands import Accepted, Command
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.storage.exceptions import (
    DISK_FULL_ERRNOS,
    CorruptFileError,
    CorruptLogError,
    DiskError,
)
from goldcrestyard.storage.files import DiskFiles, Files
from goldcrestyard.storage.folder_lock import FolderLock
from goldcrestyard.storage.folders import make_folder
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure, NotLeader

logger = structlog.get_logger(__name__)

MAX_PENDING_PROPOSALS = 10_000
"""Maximum number of proposals that are not yet in the log; further ones are
refused.  At 4,100 claims a second this holds more than two seconds of claims.
"""

MIN_LOG_SHARE = 0.5
"""Share of the room for the log from which a snapshot is taken, unless the
state itself is large: then at twice its size, so that encoding it costs no
more than a share of what writing the log costs, or at the latest when the room
for the log is full."""

DEFAULT_SHARES = control_shares(MemorySettings().process_bytes)

MEMBER_CHANGE_POLL_SECONDS = 0.1

MIN_DISK_RETRY_SECONDS = 0.25
MAX_DISK_RETRY_SECONDS = 0.5
"""Bounds in seconds of the delay between two tests of a failed disk.  A member
that is tested rarely stays away while the next disk fails, and the cluster has
no majority until the next test."""


@dataclass(frozen=True, slots=True)
class _ClusterDiscovered:
    """A cluster member has contacted this member, which is in no cluster."""

    cluster: str


@dataclass(frozen=True, slots=True)
class _Barrier:
    """Sets ``reached`` once all events queued before it are processed."""

    reached: asyncio.Event


@dataclass(frozen=True, slots=True)
class _BootstrapCheck:
    """Bootstraps the cluster if all configured members are known by now."""


@dataclass(frozen=True, slots=True)
class _Leadership:
    """Who leads, as this member knows it; ``ready`` is about this member."""

    term: Term
    leader: MemberId | None
    role: Role
    ready: bool


def _single_thread_executor() -> Executor:
    return ThreadPoolExecutor(1, "control")


T = TypeVar("T")

ProposalCheck = Callable[[Command], str | None]
"""Returns why there is no room for what a command would add, or None."""


class ControlMember:
    """This instance's member of the replicated log.

    Plug-ins propose commands through it and check whether this member leads.
    """

    def __init__(
        self,
        instance: InstanceId,
        data_folder: Path,
        machine: StateMachine,
        codec: Codec,
        clock: Clock,
        dialer: Dialer,
        addresses_by_instance: Mapping[InstanceId, str],
        *,
        own_address: str = "",
        founding_rule: FoundingRule = FoundingRule.ALL,
        timing: Timing = Timing(),  # noqa: B008 - immutable
        snapshot_entries: int = 10_000,
        shares: ControlShares = DEFAULT_SHARES,
        files: Files | None = None,
        make_executor: Callable[[], Executor] = _single_thread_executor,
        random_source: random.Random | None = None,
    ) -> None:
        self.instance = instance
        self.machine = machine
        self._state = AppliedState(machine, codec)
        self._folder = data_folder
        self._codec = codec
        self._clock = clock
        self._configured_addresses = dict(addresses_by_instance)
        self._own_address = self._configured_addresses.get(instance, own_address)
        self._founding_rule = founding_rule
        self._timing = timing
        self._snapshot_entries = snapshot_entries
        self._shares = shares
        self._rng = random_source or random.Random(secrets.randbits(64))
        self._disk = MemberDisk(data_folder, files or DiskFiles(), codec)
        self.disk_outages = DiskOutages(clock)
        self._lock: FolderLock | None = None
        # The Raft logic; None before the start and after a stop or failure.
        self._core: Member | None = None
        self._early_entries = EarlyEntries()
        self._stop_reason = ""
        # Events for the Raft logic, barriers, and notices about other members.
        self._queue: asyncio.Queue[Any] = asyncio.Queue()
        # One thread each, so that encoding a snapshot does not delay a sync.
        self._disk_executor = make_executor()
        self._snapshot_executor = make_executor()
        self._barriers: list[_Barrier] = []
        # Replies to a member are collected here while its batch is processed.
        self._replies_by_member: dict[MemberId, list[bytes]] = {}
        # Term and index of the snapshot transfer last logged for each member.
        self._logged_transfers: dict[MemberId, tuple[Term, LogIndex]] = {}
        self._vote_refused_at: dict[MemberId, float] = {}
        self._links = MemberLinks(
            instance,
            self._configured_addresses,
            dialer,
            self._identity,
            self._on_identity,
            self._on_messages,
            self._run_link,
        )
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # Receives the exception of the first task that fails.
        self._task_failure: asyncio.Future[None] | None = None
        self._proposals = PendingProposals()
        self._proposal_checks: list[ProposalCheck] = []
        self._snapshot_running = False
        self._ready_to_lead = False
        """Whether this member leads and has committed an entry of its term,
        and has therefore applied all entries of earlier terms."""
        # None without a core.
        self._last_leadership: _Leadership | None = None
        self._leadership_changed = asyncio.Event()
        # Learners that answer, and whether they have caught up: this leader
        # could give them a vote.
        self._able_learners: frozenset[tuple[MemberId, bool]] = frozenset()
        self._membership_listeners: list[Callable[[], None]] = []

    # Leadership.

    @property
    def is_leader(self) -> bool:
        """Whether this member leads according to its own state.

        Another member may already lead a later term; see ``holds_lease``.
        The time is checked on each call, so that a leader whose process was
        paused for longer than the election timeout does not count as leader.
        """
        core = self._core
        return (
            core is not None
            and core.role is Role.LEADER
            and self._clock.monotonic() < core.step_down_at
        )

    def holds_lease(self) -> bool:
        """Return whether this member leads and no other member can.

        While this is true, reads of the state machine are current without a
        round trip to a quorum.
        """
        core = self._core
        return (
            core is not None
            and self._ready_to_lead
            and self._clock.monotonic() < core.lease_expires_at
        )

    @property
    def is_ready_to_lead(self) -> bool:
        """Whether this member leads and has committed an entry of its term."""
        return self._ready_to_lead

    @property
    def leader(self) -> InstanceId | None:
        """The instance of the current leader, or None if it is not known."""
        core = self._core
        if core is None or core.leader is None:
            return None
        return self._instance_of(core.leader)

    @property
    def leader_address(self) -> str:
        """The leader's peer address; empty if it is not known."""
        core = self._core
        if core is None or core.leader is None:
            return ""
        record = core.configuration.find(core.leader)
        return record.address if record is not None else ""

    def make_not_leader_reply(self) -> NotLeader:
        """Return the reply to a request that only the leader can serve."""
        return NotLeader(self.leader, self.leader_address)

    @property
    def member_id(self) -> MemberId:
        """This member's id, which its disk stores."""
        return self._disk.member_id

    @property
    def cluster(self) -> str:
        """The cluster that this member's disk belongs to; empty if none."""
        return self._disk.cluster

    @property
    def is_member(self) -> bool:
        """Whether this member is in its latest configuration."""
        core = self._core
        return core is not None and core.configuration.find(core.id) is not None

    @property
    def is_suspended(self) -> bool:
        """Whether this member takes no part because its disk fails.

        It acknowledges, leads and votes again once the disk accepts writes.
        """
        return self._core is None and bool(self._stop_reason)

    @property
    def proposals_bytes(self) -> int:
        """Size of the proposals on this member that have no result yet."""
        return self._proposals.held_bytes

    @property
    def log_bytes(self) -> int:
        """Size of the entries applied since the latest snapshot."""
        return self._state.log_bytes

    @property
    def term(self) -> Term:
        """Latest term that this member has received."""
        return self._core.term if self._core is not None else Term(0)

    @property
    def leadership_started_at(self) -> float:
        """Time on the monotonic clock at which this member last became leader.

        Minus infinity if this member has not led since its start.
        """
        if self._core is None:
            return float("-inf")
        return self._core.leadership_started_at

    async def wait_leadership_change(self) -> None:
        """Wait until the term, the leader, its readiness or the role changes.

        A leader is ready once it has committed an entry of its term.
        """
        await self._leadership_changed.wait()

    def add_restore_listener(self, listener: Callable[[Revision], None]) -> None:
        """Register a function to call after a snapshot has replaced the state.

        Its argument is the revision of the restored state.
        """
        self._state.add_restore_listener(listener)

    # Life cycle.

    def register(self, handlers: Handlers) -> None:
        """Add handlers for the messages of other members."""
        handlers.add(MemberIdentity, self._handle_identity)
        handlers.add(MemberBatch, self._handle_batch)

    async def start(self) -> None:
        """Load the durable state, and start the links and the Raft task.

        If the disk is full, the member starts as suspended.  Raises
        ``StorageError`` if the data folder is damaged or in use.
        """
        self._task_failure = asyncio.get_running_loop().create_future()
        started_at = self._clock.monotonic()
        try:
            saved = await self._run_on_disk(self._load)
        except (DiskError, OSError) as error:
            if isinstance(error, OSError) and error.errno not in DISK_FULL_ERRNOS:
                raise  # Such as a folder that this process may not use.
            self._suspend_after(error)
        else:
            self._start_core(saved)
            logger.info(
                "control log loaded",
                seconds=round(self._clock.monotonic() - started_at, 3),
                entries=len(saved.entries),
                snapshot_index=self._state.snapshot_index,
            )
        self._spawn("control member", self._run())

    async def wait_for_failure(self) -> None:
        """Wait for a task of this member to fail, and raise its error."""
        assert self._task_failure is not None
        await self._task_failure

    async def stop(self) -> None:
        """Cancel all tasks, end pending proposals and close the files."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._shut_down("the member has stopped")
        self._disk_executor.shutdown(wait=True)
        self._snapshot_executor.shutdown(wait=True)
        self._disk.close()
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    async def _run_on_disk(self, operation: Callable[..., T], *arguments: Any) -> T:
        loop = asyncio.get_running_loop()
        with self.disk_outages.operation():
            return await loop.run_in_executor(
                self._disk_executor, operation, *arguments
            )

    def _load(self) -> PersistentState:
        make_folder(self._folder)
        if self._lock is None:
            self._lock = FolderLock(self._folder)
        founding = None
        if self._founding_rule is FoundingRule.MAJORITY:
            founding = make_founding(self.instance, self._configured_addresses)
        try:
            return self._disk.load(self.instance, founding)
        except (CorruptLogError, CorruptFileError) as error:
            # The process ends, and so does each that is started after it.
            logger.error("control log cannot be loaded", error=str(error))
            raise

    def _start_core(self, saved: PersistentState) -> None:
        if self._disk.cut_bytes:
            logger.warning(
                "torn write cut from the control log", cut_bytes=self._disk.cut_bytes
            )
        snapshot = saved.snapshot
        if snapshot is not None and snapshot.index > self._state.index:
            self._state.restore(snapshot)
        self._early_entries = EarlyEntries()
        self._logged_transfers.clear()
        self._core = Member(
            self._disk.member_id,
            saved,
            self._timing,
            self._rng,
            self._clock.monotonic(),
            max_log_bytes=self._shares.log,
        )
        for instance, address in self._configured_addresses.items():
            self._links.get_or_create(instance, address)
        self._queue.put_nowait(_BootstrapCheck())

    def _spawn(self, name: str, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine, name=name)
        self._tasks[name] = task
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task.get_name(), None)
        if task.cancelled() or task.exception() is None:
            return
        self._shut_down("the member has failed; see its log")
        if self._task_failure is not None and not self._task_failure.done():
            error = task.exception()
            assert error is not None
            self._task_failure.set_exception(error)

    def _shut_down(self, detail: str) -> None:
        """Stop the protocol and end all pending proposals.

        From then on proposals and messages of other members are refused with
        ``detail``.
        """
        self._stop_reason = detail
        self._core = None
        self._proposals.resolve_all(detail)
        self._update_leadership()

    # Proposals.

    async def propose(
        self,
        command: Command,
        author: str = "",
        correlation_id: CorrelationId = CorrelationId(""),  # noqa: B008 - immutable
    ) -> ProposalResult:
        """Commit a command and return its outcome.

        ``author`` is recorded with the command and defaults to this
        instance.
        """
        if not self.is_leader:
            return NotProposed("this member does not lead", self.leader)
        if not self._ready_to_lead:
            return NotProposed("this leader has not applied the log yet", self.leader)
        if self._proposals.queued >= MAX_PENDING_PROPOSALS:
            return NotProposed("too many proposals are waiting", self.instance)
        logged = LoggedCommand(
            self._codec.encode(command),
            author or self.instance,
            correlation_id,
            self._state.advance_time(self._clock.wall()),
        )
        payload = self._codec.encode(logged)
        if self._proposals.held_bytes + len(payload) > self._shares.proposals:
            return NotProposed(
                "the waiting proposals leave no room",
                self.instance,
                RefusalReason.NO_ROOM,
            )
        for check in self._proposal_checks:
            detail = check(command)
            if detail is not None:
                return NotProposed(detail, self.instance, RefusalReason.NO_ROOM)
        return await self._submit(
            lambda number: Propose(((number, payload),)), len(payload)
        )

    def add_proposal_check(self, check: ProposalCheck) -> None:
        """Register a check of the commands proposed on this leader."""
        self._proposal_checks.append(check)

    async def _submit(
        self, make_event: Callable[[int], Event], size: int = 0
    ) -> ProposalResult:
        if self._core is None:
            return NotProposed(self._stop_reason or "the member has not started")
        number, future = self._proposals.add(size)
        self._queue.put_nowait(make_event(number))
        return await future

    # Members.

    def member_statuses(self) -> list[MemberStatus]:
        """Return the members of the latest configuration known here.

        Empty if this member has stopped.
        """
        core = self._core
        if core is None:
            return []
        now = self._clock.monotonic()
        return [
            make_member_status(core, member, now)
            for member in core.configuration.members
        ]

    def report(self) -> MemberReport | None:
        """Return what this member knows; None if it has stopped."""
        core = self._core
        if core is None:
            return None
        now = self._clock.monotonic()
        return make_member_report(
            core,
            bool(self._disk.was_empty),
            self._links.answers(now),
            {
                member
                for member, refused_at in self._vote_refused_at.items()
                if now - refused_at <= ANSWER_SECONDS
            },
        )

    def log_facts(self) -> LogFacts | None:
        """Return what the members store of the log; None unless this leads."""
        core = self._core
        if core is None or core.role is not Role.LEADER:
            return None
        matched = {id: p.match_index for id, p in core.progress_by_id.items()}
        matched[core.id] = core.log.last_index
        return LogFacts(
            core.log.last_index,
            core.commit_index,
            core.log.configuration_index,
            core.configuration.voter_groups,
            matched,
            MAX_PROMOTION_LAG_ENTRIES,
        )

    def settled_instances(self) -> frozenset[InstanceId]:
        """Return the instances of which a member may still be needed.

        These are the instances in the committed configuration and in the
        latest one: a removal that is not committed may never be.
        """
        core = self._core
        if core is None:
            return frozenset()
        return frozenset(
            member.instance
            for configuration in (core.committed_configuration, core.configuration)
            for member in configuration.members
        )

    async def add_learner(
        self, instance: InstanceId, address: str, timeout: float = 10.0
    ) -> ProposalResult:
        """Add the member that runs on an instance as a learner.

        A learner receives the log but does not vote.  ``timeout`` in seconds
        bounds the wait for the member's identity.
        """
        deadline = self._clock.monotonic() + timeout
        while self._core is not None and self._clock.monotonic() < deadline:
            identity = self.contact(instance, address)
            if identity is not None and self.can_be_added(
                identity.member, identity.cluster
            ):
                return await self.add_known_learner(identity.member, instance, address)
            await asyncio.sleep(MEMBER_CHANGE_POLL_SECONDS)
        return NotProposed(f"no new member answers at {address}")

    async def add_known_learner(
        self, member_id: MemberId, instance: InstanceId, address: str
    ) -> ProposalResult:
        """Add a member whose id is known as a learner.

        ``can_be_added`` must be true for it.
        """
        self._links.get_or_create(instance, address)
        self._links.record_contact(member_id, instance)
        record = MemberRecord(member_id, instance, address, False)
        return await self._submit(partial(AddLearner, member=record))

    def contact(self, instance: InstanceId, address: str) -> MemberIdentity | None:
        """Keep a link to a process; return the identity last reported on it.

        None is returned before the first report.
        """
        link = self._links.get_or_create(instance, address)
        return None if link is None else link.identity

    def newcomers(self) -> list[tuple[InstanceId, MemberIdentity, float]]:
        """Return the processes without a cluster on the instances of members.

        They have lost the disks of these members.  Each comes with the
        identity that it reported and the time of its latest answer.
        """
        if self._core is None:
            return []
        members = self._core.configuration.members
        instances = {member.instance for member in members}
        answered_at = self._links.answered_at_by_member()
        return [
            (instance, identity, answered_at[identity.member])
            for instance, identity in self._links.identities_by_instance().items()
            if instance in instances
            and not identity.cluster
            and self.can_be_added(identity.member, identity.cluster)
        ]

    def can_be_added(self, member_id: MemberId, cluster: str) -> bool:
        """Return whether a member may be added, given its disk's cluster."""
        core = self._core
        return (
            core is not None
            and cluster in ("", self._disk.cluster)
            and core.configuration.find(member_id) is None
        )

    async def promote(self, learner: MemberId) -> ProposalResult:
        """Make a learner a voter; it must have caught up."""
        return await self._submit(lambda number: Promote(number, learner))

    async def replace(self, voter: MemberId, learner: MemberId) -> ProposalResult:
        """Let a learner that has caught up take the vote of a voter.

        Returns once the voter is no longer a member, or, with a result in
        doubt, when this member ceases to lead before that.
        """
        result = await self._submit(lambda number: Replace(number, voter, learner))
        while isinstance(result, Applied) and self._is_replacing(voter):
            if not self.is_leader:
                return InDoubt("this member has lost the leadership")
            await asyncio.sleep(MEMBER_CHANGE_POLL_SECONDS)
        return result

    async def _wait_no_replacement(self, deadline: float) -> None:
        """Wait until a replacement that an earlier leader began has ended."""
        while self._core is not None and self._core.configuration.is_joint:
            if self._clock.monotonic() >= deadline:
                return
            await asyncio.sleep(MEMBER_CHANGE_POLL_SECONDS)

    def _is_replacing(self, voter: MemberId) -> bool:
        core = self._core
        return core is not None and any(
            configuration.find(voter) is not None
            for configuration in (core.committed_configuration, core.configuration)
        )

    async def remove(self, member_id: MemberId) -> ProposalResult:
        """Remove a member from the configuration."""
        return await self._submit(lambda number: Remove(number, member_id))

    async def replace_member(
        self,
        old: InstanceId,
        new_id: InstanceId,
        new_address: str,
        timeout: float = 60.0,
    ) -> ProposalResult:
        """Replace the voter on ``old`` by a new member on ``new_id``.

        Both may be the same instance, when it has lost its disk.  The new
        member first catches up as a learner, for ``timeout`` seconds at most.
        An interrupted call can be repeated with the same arguments; it
        resumes after the last completed step.
        """
        deadline = self._clock.monotonic() + timeout
        await self._wait_no_replacement(deadline)
        old_record = self._find_record(old, voter=True)
        learner = self._find_record(new_id, voter=False)
        if learner is None and (
            new_id == old or self._find_record(new_id, voter=True) is None
        ):
            result = await self.add_learner(new_id, new_address)
            if not isinstance(result, Applied):
                return result
            learner = self._find_record(new_id, voter=False)
        if learner is not None:
            caught_up = await self._wait_caught_up(learner.id, deadline)
            if not caught_up:
                return InDoubt(f"{new_id} has been added but has not caught up")
            return await self._give_vote(learner, old_record, deadline)
        if old_record is not None:
            # The new member votes already.  An earlier release added its vote
            # before it removed the old one, so that may be all that is left.
            if self._voter_count() % 2 == 1:
                return NotProposed(f"{new_id} votes already, beside {old}")
            return await self.remove(old_record.id)
        return Applied(self._state.index, Accepted())

    async def _give_vote(
        self, learner: MemberRecord, old: MemberRecord | None, deadline: float
    ) -> ProposalResult:
        """Give a learner a vote, that of ``old`` if there is such a voter.

        Tries again if the learner has fallen behind meanwhile.
        """
        while True:
            if old is None:
                result = await self.promote(learner.id)
            else:
                result = await self.replace(old.id, learner.id)
            if not isinstance(result, NotProposed) or not await self._wait_caught_up(
                learner.id, deadline
            ):
                return result
            await asyncio.sleep(MEMBER_CHANGE_POLL_SECONDS)

    async def _wait_caught_up(self, member_id: MemberId, deadline: float) -> bool:
        while self.is_leader and self._core is not None:
            now = self._clock.monotonic()
            if self._core.has_caught_up(now, member_id):
                return True
            if now >= deadline:
                return False
            await asyncio.sleep(MEMBER_CHANGE_POLL_SECONDS)
        return False

    def has_answered(self, member_id: MemberId) -> bool:
        """Return whether a member has just answered this leader.

        The result is false unless this member is the leader.
        """
        core = self._core
        if core is None:
            return False
        return core.has_answered(self._clock.monotonic(), member_id)

    def has_caught_up(self, member_id: MemberId) -> bool:
        """Return whether a member lacks few enough entries to be promoted.

        The result is false unless this member is the leader.
        """
        core = self._core
        if core is None:
            return False
        return core.has_caught_up(self._clock.monotonic(), member_id)

    def add_membership_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call when the members may have to change.

        It is called on the leader each time that a learner answers again or
        has caught up, and when a process has reported its identity.
        """
        self._membership_listeners.append(listener)

    def _report_learners(self) -> None:
        core = self._core
        able: frozenset[tuple[MemberId, bool]] = frozenset()
        if core is not None and core.role is Role.LEADER:
            now = self._clock.monotonic()
            able = frozenset(
                (member.id, core.has_caught_up(now, member.id))
                for member in core.configuration.members
                if not member.voter and core.has_answered(now, member.id)
            )
        if not able <= self._able_learners:
            self._call_membership_listeners()
        self._able_learners = able

    def _call_membership_listeners(self) -> None:
        for listener in self._membership_listeners:
            listener()

    def _voter_count(self) -> int:
        return 0 if self._core is None else len(self._core.configuration.voters)

    def _find_record(self, instance: InstanceId, *, voter: bool) -> MemberRecord | None:
        core = self._core
        if core is None:
            return None
        for member in core.configuration.members:
            if member.instance == instance and member.voter == voter:
                return member
        return None

    # The task that owns the core.

    async def _run(self) -> None:
        if self.is_suspended:
            await self._resume_when_writable()
        while self._core is not None:
            try:
                events = await self._next_events(self._core)
                effects: list[Effect] = []
                for event in events:
                    effects += self._step(self._core, event)
                await self._perform(effects)
                self._release_barriers()
            except DiskError as error:
                self._suspend_after(error)
                await self._resume_when_writable()

    def _step(self, core: Member, event: Event) -> list[Effect]:
        """Process an event, and the entries that can follow it."""
        now = self._clock.monotonic()
        if self._early_entries.hold(now, event, core.log.last_index, core.term):
            return []
        effects = core.step(now, event)
        while (held := self._early_entries.take(now, core.log.last_index)) is not None:
            effects += core.step(now, held)
        return effects

    def _suspend_after(self, error: Exception) -> None:
        """Stop taking part, since the protocol state is ahead of the disk.

        All queued events are dropped: the protocol repeats what is still
        needed, and proposals end with a result.
        """
        self.disk_outages.record_failure(error)
        self._shut_down(f"the member's disk failed: {error}")
        while not self._queue.empty():
            item = self._queue.get_nowait()
            if isinstance(item, _Barrier):
                self._barriers.append(item)
        self._release_barriers()

    async def _resume_when_writable(self) -> None:
        """Start again from the durable state once the disk takes writes.

        The new protocol state supports no candidate at first, as after a
        restart of the process.  Raises ``StorageError`` if the stored state
        is damaged.
        """
        delay = MIN_DISK_RETRY_SECONDS
        while True:
            await asyncio.sleep(delay * self._rng.uniform(0.75, 1.25))
            delay = min(2 * delay, MAX_DISK_RETRY_SECONDS)
            try:
                saved = await self._run_on_disk(self._load)
            except (DiskError, OSError) as error:
                logger.debug("disk still fails", error=str(error))
                continue
            break
        self._stop_reason = ""
        self._start_core(saved)
        self.disk_outages.record_recovery()
        self._update_leadership()

    def _release_barriers(self) -> None:
        for barrier in self._barriers:
            barrier.reached.set()
        self._barriers.clear()

    async def _next_events(self, core: Member) -> list[Event]:
        """Wait for an event or the next tick, and return all queued events.

        Queued proposals are merged into one event, so that they share a sync.
        """
        items: list[Any] = []
        try:
            async with asyncio.timeout_at(core.next_tick_at):
                items.append(await self._queue.get())
        except TimeoutError:
            pass
        while not self._queue.empty():
            items.append(self._queue.get_nowait())
        events: list[Event] = []
        proposals: list[tuple[int, bytes]] = []
        for item in items:
            match item:
                case Propose(payloads_by_number=payloads):
                    proposals.extend(payloads)
                case _Barrier():
                    self._barriers.append(item)
                case _ClusterDiscovered(cluster=cluster):
                    await self._join_cluster(cluster)
                case _BootstrapCheck():
                    await self._bootstrap_if_complete()
                case _:
                    events.append(item)
        if proposals:
            events.append(Propose(tuple(proposals)))
        events.append(Tick())
        return events

    async def _perform(self, effects: list[Effect]) -> None:
        # Recorded before the write: from here on a proposal may commit even
        # if the disk fails, so its result is then in doubt.
        for effect in effects:
            if isinstance(effect, Appended):
                self._proposals.record_appended(
                    effect.number, effect.index, effect.term
                )
        saved = select_save_effects(effects)
        if saved:
            await self._run_on_disk(self._disk.save, saved)
        for effect in effects:
            match effect:
                case Send(receiver=receiver, message=message):
                    self._send(receiver, message)
                case Apply(entries=entries):
                    for entry in entries:
                        if entry.index <= self._state.index:
                            continue  # Applied before the disk failed.
                        outcome = self._state.apply(entry)
                        self._proposals.resolve_applied(
                            entry.index, entry.term, outcome
                        )
                case LoadSnapshot(snapshot=snapshot):
                    if snapshot.index > self._state.index:
                        self._state.restore(snapshot)
                case Refused(number=number, detail=detail):
                    self._proposals.resolve_refused(number, detail, self.leader)
        self._update_leadership()
        self._report_learners()
        self._start_snapshot_if_due()

    def _update_leadership(self) -> None:
        core = self._core
        self._ready_to_lead = core is not None and core.has_committed_in_term
        leadership: _Leadership | None = None
        last = self._last_leadership
        if core is not None:
            leadership = _Leadership(
                core.term, core.leader, core.role, core.has_committed_in_term
            )
            if core.role is not Role.LEADER or (
                last is not None and last.term != core.term
            ):
                self._proposals.resolve_in_doubt("this member has lost the leadership")
            for member in core.configuration.members:
                self._links.get_or_create(member.instance, member.address)
        if leadership == last:
            return
        if last is not None and last.role is Role.LEADER:
            self._log_ended_leadership(last, leadership)
        self._last_leadership = leadership
        if core is not None:
            logger.info(
                "leadership changed",
                role=core.role.value,
                leader=self.leader,
                term=core.term,
                ready=core.has_committed_in_term,
            )
        self._leadership_changed.set()
        self._leadership_changed = asyncio.Event()

    def _log_ended_leadership(
        self, last: _Leadership, present: _Leadership | None
    ) -> None:
        """Log why this member no longer leads in the term of ``last``."""
        report = self.report()
        if present is None or report is None:
            cause = self._stop_reason
        elif present.term > last.term:
            cause = f"term {present.term} has begun"
        elif present.role is Role.LEADER:
            return
        elif not report.is_member:
            cause = "removed from the configuration"
        else:
            cause = "no quorum has answered in time"
        logger.info(
            "leadership ended",
            cause=cause,
            term=last.term,
            was_ready=last.ready,
            silent_seconds_by_voter=report.rounded_silence() if report else None,
        )

    # Snapshots.

    def _start_snapshot_if_due(self) -> None:
        state = self._state
        room = self._shares.log
        due = (
            state.index - state.snapshot_index >= self._snapshot_entries
            or state.log_bytes
            >= min(max(MIN_LOG_SHARE * room, 2 * state.snapshot_bytes), room)
        )
        if not due or self._snapshot_running or self._core is None:
            return
        if self._core.commit_index < self._state.index:
            # After a disk failure the new core does not know yet that the
            # applied entries are committed.
            return
        self._snapshot_running = True
        self._spawn("control snapshot", self._take_snapshot(self._state.index))

    async def _take_snapshot(self, index: LogIndex) -> None:
        """Encode the state at an index in a worker thread."""
        core = self._core
        log_bytes = self._state.log_bytes
        encode = self._state.to_snapshot()
        data = await asyncio.get_running_loop().run_in_executor(
            self._snapshot_executor, encode
        )
        self._snapshot_running = False
        if self._core is not core:
            return  # The disk failed; see _start_snapshot_if_due.
        logger.info("snapshot taken", index=index, size=len(data))
        self._state.record_snapshot(index, len(data), log_bytes)
        self._queue.put_nowait(SnapshotTaken(index, data))

    # Other members.

    def _identity(self, *, with_state: bool = False) -> MemberIdentity:
        """Return this member's identity.

        Its state is included while it knows of no leader.
        """
        core = self._core
        told = core is not None and (with_state or core.leader is None)
        return MemberIdentity(
            self._disk.member_id,
            self._disk.cluster,
            self._own_address,
            tuple(sorted(self._configured_addresses)),
            accepts_compressed=True,
            state=make_member_state(core) if told and core is not None else None,
            accepts_early_entries=True,
        )

    def _instance_of(self, member_id: MemberId) -> InstanceId | None:
        if self._core is not None:
            record = self._core.configuration.find(member_id)
            if record is not None:
                return record.instance
        return self._links.instance_of(member_id)

    def _run_link(self, link: MemberLink) -> None:
        self._spawn(f"link to {link.instance}", link.run())

    def _send(self, receiver: MemberId, message: MemberMessage) -> None:
        if isinstance(message, InstallSnapshot):
            self._log_transfer(receiver, message)
        replies = self._replies_by_member.get(receiver)
        if replies is not None:
            replies.append(self._codec.encode(message))
            return
        instance = self._instance_of(receiver)
        if instance is not None:
            self._links.send(
                instance,
                receiver,
                self._codec.encode(message),
                make_transfer_key(message),
            )

    def _log_transfer(self, receiver: MemberId, message: InstallSnapshot) -> None:
        """Log the first chunk of a transfer, but none that is sent again."""
        transfer = (message.term, message.index)
        if message.data and self._logged_transfers.get(receiver) != transfer:
            self._logged_transfers[receiver] = transfer
            logger.info(
                "snapshot transfer started",
                member=receiver,
                index=message.index,
                offset=message.offset,
                size=message.total,
            )

    def _on_identity(self) -> None:
        if not self._disk.cluster:
            self._queue.put_nowait(_BootstrapCheck())
        self._call_membership_listeners()

    async def _handle_identity(
        self, message: MemberIdentity, connection: PeerConnection
    ) -> object:
        if self._core is None:
            return _not_running_failure(self._stop_reason)
        self._links.get_or_create(connection.peer, message.address)
        self._links.record_contact(message.member, connection.peer)
        # A member without a leader tells its state to be told that of others.
        return self._identity(with_state=message.state is not None)

    async def _handle_batch(
        self, batch: MemberBatch, connection: PeerConnection
    ) -> object:
        if self._core is None:
            return _not_running_failure(self._stop_reason)
        own = self._disk.member_id
        if batch.receiver == own:
            self._links.record_contact(batch.sender, connection.peer)
            if not self._disk.cluster:
                self._queue.put_nowait(_ClusterDiscovered(batch.cluster))
            elif batch.cluster == self._disk.cluster:
                return Received(own, await self._process_batch(batch))
        return Received(own)

    async def _process_batch(self, batch: MemberBatch) -> tuple[bytes, ...]:
        """Process a batch and return the Raft core's messages to its sender.

        Messages that are not ready in time, because the disk is slow, are
        sent over this member's own link instead.
        """
        replies: list[bytes] = []
        self._replies_by_member[batch.sender] = replies
        reached = asyncio.Event()
        self._on_messages(batch.sender, _unpack(batch))
        self._queue.put_nowait(_Barrier(reached))
        try:
            await wait_at_most(RESPONSE_TIMEOUT_SECONDS / 2, reached.wait())
        finally:
            if self._replies_by_member.get(batch.sender) is replies:
                del self._replies_by_member[batch.sender]
        return tuple(replies)

    def _on_messages(self, sender: MemberId, messages: tuple[bytes, ...]) -> None:
        for data in messages:
            message: object
            try:
                message = self._codec.decode(data)
                fault = find_fault(message)
            except CodecError as error:
                fault = str(error)
            if fault is None and isinstance(message, get_args(MemberMessage)):
                if isinstance(message, PreVoteReply):
                    self._record_vote_reply(sender, message)
                self._queue.put_nowait(Receive(sender, message))
            else:
                # The protocol repeats what it needs; a member that sends
                # such messages must not end this one.
                logger.warning(
                    "malformed message of a member dropped",
                    sender=sender,
                    error=fault or "not a message between members",
                )

    def _record_vote_reply(self, sender: MemberId, reply: PreVoteReply) -> None:
        core = self._core
        if reply.granted:
            self._vote_refused_at.pop(sender, None)
        elif core is not None and core.configuration.find(sender) is not None:
            self._vote_refused_at[sender] = self._clock.monotonic()

    # Bootstrap of a new cluster.

    async def _bootstrap_if_complete(self) -> None:
        """Bootstrap the cluster once every configured member is known.

        Only the member whose instance id sorts first does so, so that no
        second cluster can arise.
        """
        if self._founding_rule is not FoundingRule.ALL:
            return
        founder = min(self._configured_addresses, default=None)
        if self._disk.cluster or founder != self.instance or self._core is None:
            return
        identities = self._links.identities_by_instance()
        identities[self.instance] = self._identity()
        entry = make_bootstrap_entry(self._configured_addresses, identities)
        if entry is None:
            return
        logger.info(
            "bootstrapping cluster from configured members",
            members=tuple(sorted(self._configured_addresses)),
        )
        cluster = secrets.token_hex(8)
        self._start_core(await self._run_on_disk(self._disk.bootstrap, cluster, entry))

    async def _join_cluster(self, cluster: str) -> None:
        """Join the cluster of a member that has contacted this one.

        Does nothing if this member already belongs to a cluster.
        """
        if self._disk.cluster or not cluster:
            return
        await self._run_on_disk(self._disk.join, cluster)


def _not_running_failure(detail: str) -> Failure:
    return Failure(RefusalReason.NO_LEADER, detail, Verdict.NOT_RUN)


def _unpack(batch: MemberBatch) -> tuple[bytes, ...]:
    try:
        return batch.unpack()
    except CompressionError as error:
        logger.warning(
            "malformed batch of a member dropped",
            sender=batch.sender,
            error=str(error),
        )
        return ()
