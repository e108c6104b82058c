"""Runs a control member: storage, replication and the state machine."""

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from concurrent.futures import Executor, ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any, get_args

import structlog

from goldcrestyard.consensus.applied import AppliedState
from goldcrestyard.consensus.configuration import MemberId, MemberRecord
from goldcrestyard.consensus.disk import MemberDisk
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
    Send,
    SnapshotTaken,
    Tick,
)
from goldcrestyard.consensus.founding import founding_entry
from goldcrestyard.consensus.link import (
    ANSWER_SECONDS,
    Dialer,
    MemberBatch,
    MemberIdentity,
    MemberLink,
    Received,
)
from goldcrestyard.consensus.links import MemberLinks
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.messages import MemberMessage
from goldcrestyard.consensus.proposals import WaitingProposals
from goldcrestyard.consensus.records import LoggedCommand
from goldcrestyard.consensus.results import (
    Applied,
    InDoubt,
    NotProposed,
    ProposalResult,
)
from goldcrestyard.consensus.roles import Role
from goldcrestyard.consensus.saved import SavedState, saves
from goldcrestyard.consensus.status import MemberStatus, status_of
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
from goldcrestyard.kernel.waiting import wait_at_most
from goldcrestyard.state.commands import Accepted, Command
from goldcrestyard.state.machine import StateMachine
from goldcrestyard.storage.exceptions import DiskError
from goldcrestyard.storage.files import DiskFiles, Files
from goldcrestyard.storage.folder_lock import FolderLock
from goldcrestyard.wire.codec import Codec
from goldcrestyard.wire.connection import Handlers, PeerConnection
from goldcrestyard.wire.messages import Failure, NotLeader

logger = structlog.get_logger(__name__)

MAX_WAITING_PROPOSALS = 10_000
"""More than two seconds of claims at 4,100 requests a second."""

REPLACE_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class _Joined:
    """A cluster's member has addressed this one, which has none yet."""

    cluster: str


@dataclass(frozen=True, slots=True)
class _Marker:
    """Everything that was queued before it has been performed."""

    performed: asyncio.Event


@dataclass(frozen=True, slots=True)
class _IdentityLearned:
    """Another named member has said who it is."""


def _one_thread() -> Executor:
    return ThreadPoolExecutor(1, "control")


class ControlMember:
    """This instance's member of the replicated log."""

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
        timing: Timing = Timing(),  # noqa: B008 - immutable
        snapshot_entries: int = 10_000,
        files: Files | None = None,
        make_executor: Callable[[], Executor] = _one_thread,
        rng: random.Random | None = None,
    ) -> None:
        self.instance = instance
        self.machine = machine
        self._state = AppliedState(machine, codec)
        self._folder = data_folder
        self._codec = codec
        self._clock = clock
        self._named = dict(addresses_by_instance)
        self._own_address = self._named.get(instance, own_address)
        self._timing = timing
        self._snapshot_entries = snapshot_entries
        self._rng = rng or random.Random(secrets.randbits(64))
        self._disk = MemberDisk(data_folder, files or DiskFiles(), codec)
        self._lock: FolderLock | None = None
        self._core: Member | None = None
        self._failure = ""
        self._queue: asyncio.Queue[Any] = asyncio.Queue()
        # Two threads, so that encoding a snapshot does not delay a sync.
        self._writer = make_executor()
        self._encoder = make_executor()
        self._markers: list[_Marker] = []
        self._answers_by_member: dict[MemberId, list[bytes]] = {}
        self._links = MemberLinks(
            instance,
            self._named,
            dialer,
            self._identity,
            self._on_identity,
            self._on_messages,
            self._run_link,
        )
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._ended: asyncio.Future[None] | None = None
        self._proposals = WaitingProposals()
        self._snapshot_running = False
        self._serving = False
        """Whether this leader has applied all entries of earlier terms."""
        self._seen: tuple[object, ...] = ()
        self._leadership_changed = asyncio.Event()

    # Leadership.

    @property
    def is_leader(self) -> bool:
        """Whether this member leads, as far as it can know.

        After a pause of the process this is false at once, before the
        member has run again.
        """
        core = self._core
        return (
            core is not None
            and core.role is Role.LEADER
            and self._clock.monotonic() < core.step_down_at
        )

    def holds_lease(self) -> bool:
        """Return whether no other member can lead at this moment."""
        core = self._core
        return (
            core is not None
            and self._serving
            and self._clock.monotonic() < core.lease_expires_at
        )

    @property
    def leader(self) -> InstanceId | None:
        """The instance that leads, if it is known."""
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

    def not_leader(self) -> NotLeader:
        """Return the answer for who takes this member for the leader."""
        return NotLeader(self.leader, self.leader_address)

    @property
    def member_id(self) -> MemberId:
        """The identity that this member's disk gives it."""
        return self._disk.member_id

    @property
    def is_member(self) -> bool:
        """Whether this member is in the configuration that it knows."""
        core = self._core
        return core is not None and core.configuration.find(core.id) is not None

    @property
    def has_failed(self) -> bool:
        """Whether this member has stopped for good, as after a disk fault."""
        return self._core is None and bool(self._failure)

    @property
    def term(self) -> Term:
        """The latest term that this member knows."""
        return self._core.term if self._core is not None else Term(0)

    @property
    def leadership_started_at(self) -> float:
        """When this member last began to lead, on the monotonic clock."""
        if self._core is None:
            return float("-inf")
        return self._core.leadership_started_at

    async def wait_leadership_change(self) -> None:
        """Wait until the leader, the term or its readiness changes."""
        await self._leadership_changed.wait()

    def listen_restore(self, listener: Callable[[Revision], None]) -> None:
        """Call a function when a snapshot has replaced the state."""
        self._state.listen_restore(listener)

    # Life cycle.

    def register(self, handlers: Handlers) -> None:
        """Serve the messages of other members."""
        handlers.add(MemberIdentity, self._on_identity_request)
        handlers.add(MemberBatch, self._on_batch)

    async def start(self) -> None:
        """Load the log and start to take part."""
        loop = asyncio.get_running_loop()
        self._ended = loop.create_future()
        saved = await loop.run_in_executor(self._writer, self._load)
        self._begin(saved)
        for instance, address in self._named.items():
            self._links.ensure(instance, address)
        await self._form_if_complete()
        self._spawn("control member", self._run())

    async def wait_ended(self) -> None:
        """Raise the error of a task that failed; otherwise never return."""
        assert self._ended is not None
        await self._ended

    async def stop(self) -> None:
        """Stop taking part and close the files."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._end("the member has stopped")
        self._writer.shutdown(wait=True)
        self._encoder.shutdown(wait=True)
        self._disk.close()
        if self._lock is not None:
            self._lock.close()
            self._lock = None

    def _load(self) -> SavedState:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = FolderLock(self._folder)
        return self._disk.load(self.instance)

    def _begin(self, saved: SavedState) -> None:
        if saved.snapshot is not None:
            self._state.restore(saved.snapshot)
        self._core = Member(
            self._disk.member_id,
            saved,
            self._timing,
            self._rng,
            self._clock.monotonic(),
        )

    def _spawn(self, name: str, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine, name=name)
        self._tasks[name] = task
        task.add_done_callback(self._task_ended)

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.pop(task.get_name(), None)
        if task.cancelled() or task.exception() is None:
            return
        self._end("the member has failed; see its log")
        if self._ended is not None and not self._ended.done():
            error = task.exception()
            assert error is not None
            self._ended.set_exception(error)

    def _end(self, detail: str) -> None:
        """Step down and answer nothing from now on."""
        self._failure = detail
        self._core = None
        self._proposals.end(detail)
        self._notice_change()

    # Proposals.

    async def propose(
        self,
        command: Command,
        author: str = "",
        correlation_id: CorrelationId = CorrelationId(""),  # noqa: B008 - immutable
    ) -> ProposalResult:
        """Commit a command and return its outcome.

        This member is its author, unless another one is named.
        """
        if not self.is_leader:
            return NotProposed("this member does not lead", self.leader)
        if not self._serving:
            return NotProposed("this leader has not applied the log yet", self.leader)
        if self._proposals.queued >= MAX_WAITING_PROPOSALS:
            return NotProposed("too many proposals are waiting", self.instance)
        logged = LoggedCommand(
            self._codec.encode(command),
            author or self.instance,
            correlation_id,
            self._state.advance_time(self._clock.wall()),
        )
        payload = self._codec.encode(logged)
        return await self._submit(lambda number: Propose(((number, payload),)))

    async def _submit(self, make_event: Callable[[int], Event]) -> ProposalResult:
        if self._core is None:
            return NotProposed(self._failure or "the member has not started")
        number, future = self._proposals.add()
        self._queue.put_nowait(make_event(number))
        return await future

    # Members.

    def members(self) -> list[MemberStatus]:
        """Return the members as this one knows them."""
        core = self._core
        if core is None:
            return []
        now = self._clock.monotonic()
        return [status_of(core, member, now) for member in core.configuration.members]

    async def add_learner(
        self, instance: InstanceId, address: str, timeout: float = 10.0
    ) -> ProposalResult:
        """Add an instance that receives the log but does not vote yet."""
        link = self._links.ensure(instance, address)
        deadline = self._clock.monotonic() + timeout
        while self._core is not None and self._clock.monotonic() < deadline:
            identity = link.identity if link is not None else None
            if identity is not None and self._may_join(self._core, identity):
                record = MemberRecord(identity.member, instance, address, False)
                return await self._submit(partial(AddLearner, member=record))
            await asyncio.sleep(REPLACE_POLL_SECONDS)
        return NotProposed(f"no new member answers at {address}")

    def _may_join(self, core: Member, identity: MemberIdentity) -> bool:
        return (
            identity.cluster in ("", self._disk.cluster)
            and core.configuration.find(identity.member) is None
        )

    async def promote(self, instance: InstanceId) -> ProposalResult:
        """Make a learner that has caught up a voter."""
        member = self._find_record(instance, voter=False)
        if member is None:
            return NotProposed(f"{instance} is not a learner")
        return await self._submit(lambda number: Promote(number, member.id))

    async def remove(self, member_id: MemberId) -> ProposalResult:
        """Remove a member."""
        return await self._submit(lambda number: Remove(number, member_id))

    async def replace_member(
        self,
        old: InstanceId,
        new_id: InstanceId,
        new_address: str,
        timeout: float = 60.0,
    ) -> ProposalResult:
        """Replace a voter by a new member, which may be the same instance.

        The new member first catches up as a learner.  A call that was cut
        off is repeated with the same arguments and continues where it was.
        """
        deadline = self._clock.monotonic() + timeout
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
        if old_record is not None and not self._answers(old_record.id):
            # A lost voter counts against the quorum, so it goes first.
            result = await self.remove(old_record.id)
            if not isinstance(result, Applied):
                return result
            old_record = None
        result = Applied(self._state.index, Accepted())
        if learner is not None:
            result = await self.promote(new_id)
        if old_record is not None and isinstance(result, Applied):
            result = await self.remove(old_record.id)
        return result

    async def _wait_caught_up(self, member_id: MemberId, deadline: float) -> bool:
        while self.is_leader and self._core is not None:
            now = self._clock.monotonic()
            if self._core.has_caught_up(now, member_id):
                return True
            if now >= deadline:
                return False
            await asyncio.sleep(REPLACE_POLL_SECONDS)
        return False

    def has_caught_up(self, member_id: MemberId) -> bool:
        """Return whether a member lacks few entries, as the leader sees it."""
        core = self._core
        if core is None:
            return False
        return core.has_caught_up(self._clock.monotonic(), member_id)

    def _answers(self, member_id: MemberId) -> bool:
        core = self._core
        if core is None or member_id == core.id:
            return core is not None
        progress = core.progress_by_id.get(member_id)
        if progress is None:
            return False
        silent = self._clock.monotonic() - progress.last_contact_at
        return silent < self._timing.election_timeout_min

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
        while self._core is not None:
            try:
                events = await self._next_events(self._core)
                effects: list[Effect] = []
                for event in events:
                    effects += self._core.step(self._clock.monotonic(), event)
                await self._perform(effects)
                for marker in self._markers:
                    marker.performed.set()
                self._markers.clear()
            except DiskError as error:
                logger.error("the disk failed; the member stops", error=str(error))
                self._end(f"the disk failed: {error}")

    async def _next_events(self, core: Member) -> list[Event]:
        """Wait for events or the next tick; join all waiting proposals."""
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
                case _Marker():
                    self._markers.append(item)
                case _Joined(cluster=cluster):
                    await self._join(cluster)
                case _IdentityLearned():
                    await self._form_if_complete()
                case _:
                    events.append(item)
        if proposals:
            events.append(Propose(tuple(proposals)))
        events.append(Tick())
        return events

    async def _perform(self, effects: list[Effect]) -> None:
        # Proposals in the log may commit even if the disk fails now.
        for effect in effects:
            if isinstance(effect, Appended):
                self._proposals.append(effect.number, effect.index)
        saved = saves(effects)
        if saved:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(self._writer, self._disk.save, saved)
        for effect in effects:
            match effect:
                case Send(receiver=receiver, message=message):
                    self._send(receiver, message)
                case Apply(entries=entries):
                    for entry in entries:
                        outcome = self._state.apply(entry)
                        self._proposals.apply(entry.index, outcome)
                case LoadSnapshot(snapshot=snapshot):
                    self._state.restore(snapshot)
                case Refused(number=number, detail=detail):
                    self._proposals.refuse(number, detail, self.leader)
        self._notice_change()
        self._take_snapshot_if_due()

    def _notice_change(self) -> None:
        core = self._core
        self._serving = core is not None and core.has_committed_in_term
        seen: tuple[object, ...] = ()
        if core is not None:
            leads = core.role is Role.LEADER
            seen = (core.term, core.leader, leads, core.has_committed_in_term)
            if not leads or (self._seen and self._seen[0] != core.term):
                self._proposals.doubt("this member has lost the lead")
            for member in core.configuration.members:
                self._links.ensure(member.instance, member.address)
        if seen == self._seen:
            return
        self._seen = seen
        if core is not None:
            logger.info(
                "leadership changed",
                term=core.term,
                leader=self.leader,
                role=core.role.value,
                ready=core.has_committed_in_term,
            )
        self._leadership_changed.set()
        self._leadership_changed = asyncio.Event()

    # Snapshots.

    def _take_snapshot_if_due(self) -> None:
        due = self._state.index - self._state.snapshot_index >= self._snapshot_entries
        if not due or self._snapshot_running or self._core is None:
            return
        self._snapshot_running = True
        self._spawn("control snapshot", self._take_snapshot(self._state.index))

    async def _take_snapshot(self, index: LogIndex) -> None:
        """Encode the present state in a thread."""
        encode = self._state.to_snapshot()
        data = await asyncio.get_running_loop().run_in_executor(self._encoder, encode)
        self._state.snapshot_index = index
        self._snapshot_running = False
        self._queue.put_nowait(SnapshotTaken(index, data))

    # Other members.

    def _identity(self) -> MemberIdentity:
        return MemberIdentity(
            self._disk.member_id,
            self._disk.cluster,
            self._own_address,
            tuple(sorted(self._named)),
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
        answers = self._answers_by_member.get(receiver)
        if answers is not None:
            answers.append(self._codec.encode(message))
            return
        instance = self._instance_of(receiver)
        if instance is not None:
            self._links.send(instance, receiver, self._codec.encode(message))

    def _on_identity(self) -> None:
        if not self._disk.cluster:
            self._queue.put_nowait(_IdentityLearned())

    async def _on_identity_request(
        self, message: MemberIdentity, connection: PeerConnection
    ) -> object:
        if self._core is None:
            return _stopped(self._failure)
        self._links.note(message.member, connection.peer)
        self._links.ensure(connection.peer, message.address)
        return self._identity()

    async def _on_batch(self, batch: MemberBatch, connection: PeerConnection) -> object:
        if self._core is None:
            return _stopped(self._failure)
        own = self._disk.member_id
        if batch.receiver == own:
            self._links.note(batch.sender, connection.peer)
            if not self._disk.cluster:
                self._queue.put_nowait(_Joined(batch.cluster))
            elif batch.cluster == self._disk.cluster:
                return Received(own, await self._answers_to(batch))
        return Received(own)

    async def _answers_to(self, batch: MemberBatch) -> tuple[bytes, ...]:
        """Take a batch and return what the core sends back at once.

        If the disk is slow, the answers follow over the own link.
        """
        answers: list[bytes] = []
        self._answers_by_member[batch.sender] = answers
        performed = asyncio.Event()
        self._on_messages(batch.sender, batch.messages)
        self._queue.put_nowait(_Marker(performed))
        try:
            await wait_at_most(ANSWER_SECONDS / 2, performed.wait())
        finally:
            if self._answers_by_member.get(batch.sender) is answers:
                del self._answers_by_member[batch.sender]
        return tuple(answers)

    def _on_messages(self, sender: MemberId, messages: tuple[bytes, ...]) -> None:
        for data in messages:
            message = self._codec.decode(data)
            if isinstance(message, get_args(MemberMessage)):
                self._queue.put_nowait(Receive(sender, message))

    # Formation of a new cluster.

    async def _form_if_complete(self) -> None:
        """Found the cluster; only the first named member does, by name."""
        first = min(self._named, default=None)
        if self._disk.cluster or first != self.instance or self._core is None:
            return
        identities = self._links.identities_by_instance()
        identities[self.instance] = self._identity()
        entry = founding_entry(self._named, identities)
        if entry is None:
            return
        logger.info("founding the cluster", members=tuple(sorted(self._named)))
        loop = asyncio.get_running_loop()
        cluster = secrets.token_hex(8)
        self._begin(
            await loop.run_in_executor(self._writer, self._disk.form, cluster, entry)
        )

    async def _join(self, cluster: str) -> None:
        """Belong to the cluster whose member has addressed this one."""
        if self._disk.cluster or not cluster:
            return
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self._writer, self._disk.join, cluster)


def _stopped(detail: str) -> Failure:
    return Failure(RefusalReason.NO_LEADER, detail, Verdict.NOT_RUN)
