"""The decoders under test: what they get, and how they may end.

Each case runs one decoder on changed input.  Whatever the input, it returns a
value, a refusal or an error of its own kind; any other exception would end a
task or a process.
"""

import asyncio
import math
import random
import tempfile
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import cbor2
import msgspec
from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_parser import HttpRequestParser
from hypothesis import strategies as st

from goldcrestyard.consensus.compression import (
    CompressionError,
    compress,
    decompress,
)
from goldcrestyard.consensus.configuration import (
    Configuration,
    MemberId,
    MemberRecord,
)
from goldcrestyard.consensus.events import Propose, Receive, Tick
from goldcrestyard.consensus.member import Member
from goldcrestyard.consensus.messages import (
    Append,
    AppendReply,
    Entry,
    EntryKind,
    InstallSnapshot,
    MemberMessage,
    PreVote,
    PreVoteReply,
    SnapshotReply,
    Vote,
    VoteReply,
    find_fault,
)
from goldcrestyard.consensus.persistent_state import PersistentState
from goldcrestyard.consensus.timing import Timing
from goldcrestyard.core.attempts import Answered
from goldcrestyard.core.decoding import (
    MAX_PORT,
    MAX_WHOLE_NUMBER,
    Malformed,
    bytes_of,
    decode_json,
    encodable,
    parse_count,
    parse_decimal,
    split_address,
)
from goldcrestyard.core.ids import InstanceId, LogIndex, TargetId, Term
from goldcrestyard.core.refusals import Refusal
from goldcrestyard.core.serving import ServingConfig
from goldcrestyard.fleet.jobs.apps import JobsConfig
from goldcrestyard.fleet.jobs.commands import SubmitJob
from goldcrestyard.fleet.serving.commands import PutServing
from goldcrestyard.fleet.tracking.tracker import TargetTracker
from goldcrestyard.kernel import registry
from goldcrestyard.kernel import settings as kernel_settings
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.platform import (
    documents,
    event_stream,
    heartbeats,
    submissions,
)
from goldcrestyard.platform import settings as platform_settings
from goldcrestyard.plugins.control.apps import ControlConfig
from goldcrestyard.plugins.engines import event_stream as engine_stream
from goldcrestyard.plugins.engines.requests import (
    InferenceFields,
    InferenceRequest,
    parse_request,
)
from goldcrestyard.plugins.engines.token_counts import (
    StreamTokenCounter,
    token_count_of_answer,
)
from goldcrestyard.plugins.operators import declarations
from goldcrestyard.plugins.orders.connection import read_answer
from goldcrestyard.plugins.scheduling.load_digests import encode_loads
from goldcrestyard.plugins.targets.commands import AnnounceTarget
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.plugins.targets.views import Announcement, TargetRequest
from goldcrestyard.plugins.trainers.questions import parse_question
from goldcrestyard.policy.configuration_review import review
from goldcrestyard.policy.hand_out import parse_version
from goldcrestyard.policy.routing import LoadReport
from goldcrestyard.policy.serving import ServingTable
from goldcrestyard.policy.splits import pick_service
from goldcrestyard.policy.weight_sources import retry_after_seconds
from goldcrestyard.storage.exceptions import CorruptFileError, CorruptLogError
from goldcrestyard.storage.log_segments import LogRecord, SegmentedLog
from goldcrestyard.storage.snapshots import SnapshotFile, SnapshotRecord
from goldcrestyard.storage.vote_file import VoteFile, VoteRecord
from goldcrestyard.wire.client import PeerAddress
from goldcrestyard.wire.codec import Codec, CodecError
from goldcrestyard.wire.connection import Handlers, PeerConnection
from tests.fakes.files import MemoryFiles
from tests.fakes.member import FakeMember, machine_of
from tests.fuzz.mutations import (
    changed_bytes,
    changed_cbor,
    changed_json,
    changed_text,
)
from tests.platform.test_documents import DOCUMENT
from tests.platform.test_heartbeats import BEAT

ROOT = Path(__file__).parent.parent.parent
EXAMPLE_SETTINGS = ROOT / "examples" / "tejo" / "lisboa-a-1.toml"

MEMBERS = Configuration(
    tuple(
        MemberRecord(MemberId(f"{name}#1"), InstanceId(name), f"{name}:1", True)
        for name in "abc"
    )
)
ENTRIES = (
    Entry(Term(1), LogIndex(1), EntryKind.CONFIGURATION, b"", MEMBERS),
    Entry(Term(1), LogIndex(2), EntryKind.COMMAND, b"two"),
    Entry(Term(2), LogIndex(3), EntryKind.COMMAND, b"three"),
)
MEMBER_MESSAGES: list[MemberMessage] = [
    PreVote(Term(3), LogIndex(3), Term(2)),
    PreVoteReply(Term(2), Term(3), True),
    Vote(Term(3), LogIndex(3), Term(2)),
    VoteReply(Term(3), True),
    Append(Term(3), LogIndex(0), Term(0), ENTRIES, LogIndex(2), 1.0),
    Append(
        Term(3),
        LogIndex(3),
        Term(2),
        (Entry(Term(3), LogIndex(4), EntryKind.NO_OP),),
        LogIndex(4),
        1.0,
    ),
    AppendReply(Term(3), True, LogIndex(4), Term(0), 1.0),
    AppendReply(Term(3), False, LogIndex(2), Term(1), 1.0),
    InstallSnapshot(Term(3), LogIndex(9), Term(2), MEMBERS, 0, 4, b"data", 1.0),
    SnapshotReply(Term(3), LogIndex(9), 4, True, 1.0),
]
LOT = {
    "step": 7,
    "model": "m",
    "least_required": 6,
    "group_count": 1,
    "requests": [
        {
            "id": "e5b2907c14da6f38",
            "path": "/p/3",
            "headers": {
                "X-Goldcrestyard-Model": "m",
                "X-Goldcrestyard-Length-Hint": "9",
            },
            "body": "q83vEjRWeJA=",
            "tokens": 940,
            "group": "g1",
            "scorer": {"id": "40c8", "host": "h", "path": "/s", "body": "3q2+7w=="},
        }
    ],
}
ANNOUNCEMENT = {
    "id": "t",
    "kind": "engine",
    "address": "10.0.0.9:80",
    "region": "r",
    "data_centre": "d",
    "serves": ["m"],
    "incarnation": "1",
    "max_concurrency": 8,
}
RENEWAL = {
    "incarnation": "1",
    "load": {"queue_length": 2, "running_tokens": 900, "age_seconds": 0.5},
}
COMPLETION = {"model": "m", "prompt": ["a"], "max_tokens": 3, "extra": {"seed": 1}}
QUESTION = {
    "model": "m",
    "prompts": [{"group": "g", "messages": [{"role": "user", "content": "a"}]}],
    "samples_per_prompt": 2,
    "max_tokens": 8,
    "top_k": 4,
    "wait_seconds": 1.5,
}
USAGE = {"id": "x", "usage": {"prompt_tokens": 3, "completion_tokens": 9}}
ANSWER = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"
ANSWER_ERRORS = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError)
DECLARATION = """
[organisations.o]
share = 2.0
tokens_per_minute = 500
[services.s]
routes = [{ prefix = "/q/" }]
"""
STREAM = (
    b"id: 1\ndata: a\n\n: ping\n\n"
    b"id: 2\ndata: b\nx-goldcrestyard-weight-versions: 3\n\n"
)
ENGINE_STREAM = b'id: 4\ndata: {"id":"x","choices":[]}\r\n\r\ndata: [DONE]\n\n'
PLATFORM_SETTINGS: dict[str, Any] = {
    "node": "store-a-1",
    "serves": ["store", "control", "directory"],
    "ip": "10.1.0.7",
    "zone": "a",
    "region": "r",
    "listen": {"ctl": "10.1.0.7:8405", "dir": "10.1.0.7:8406"},
    "port_range": [7660, 7675],
    "seeds": ["10.1.0.11:8407"],
    "bootstrap": True,
    "data_dir": "/data",
    "fault_budget": {"machines": 1},
    "bounds": {"revoke_ms": 5000},
    "cloud": {"addr": "10.200.0.60:8408", "duties": ["usage"]},
}


@dataclass(frozen=True)
class Decoder:
    """A decoder, its input, and the errors that it may raise."""

    name: str
    inputs: st.SearchStrategy[bytes]
    run: Callable[[bytes], object]
    may_raise: tuple[type[Exception], ...] = ()


def _codec() -> Codec:
    codec = Codec()
    for plugin in registry.discover_plugins():
        codec.register(*plugin.messages)
    codec.register(*ControlConfig.messages, *JobsConfig.messages, PutServing)
    return codec


CODEC = _codec()


def _tree_of(message: object) -> Any:
    return cbor2.loads(CODEC.encode(message))


def _decode_frame(data: bytes) -> object:
    connection = PeerConnection(
        None,  # type: ignore[arg-type]
        CODEC,
        Handlers(),
        InstanceId("peer"),
    )
    return connection._decode_frame(data)


def _step_members(data: bytes) -> None:
    """Pass a message to a follower and a leader, as a control member does."""
    message = CODEC.decode(data)
    if find_fault(message) is not None or not isinstance(message, MemberMessage):
        return
    for lead in (False, True):
        saved = PersistentState(Term(2), None, None, ENTRIES)
        member = Member(MemberId("a#1"), saved, Timing(), random.Random(1), 0.0)
        now = 10.0
        if lead:
            member.step(now, Tick())
            voter = MemberId("b#1")
            term = Term(member.term + 1)
            member.step(now, Receive(voter, PreVoteReply(member.term, term, True)))
            member.step(now, Receive(voter, VoteReply(member.term, True)))
            member.step(now, Propose(((1, b"command"),)))
        for event in (Receive(MemberId("b#1"), message), Tick()):
            member.step(now + 0.01, event)


def _read_stream(data: bytes) -> None:
    async def chunks() -> AsyncIterator[bytes]:
        yield data[: len(data) // 2]
        yield data[len(data) // 2 :]

    async def read() -> None:
        async for _ in event_stream.read_events(chunks):
            pass

    asyncio.run(read())


def _read_engine_stream(data: bytes) -> None:
    async def read() -> None:
        loop = asyncio.get_running_loop()
        reader = StreamReader(BaseProtocol(loop), 2**16, loop=loop)
        reader.feed_data(data)
        reader.feed_eof()
        async for _ in engine_stream.read_events(reader):
            pass

    asyncio.run(read())


def _file_bytes(write: Callable[[MemoryFiles], Path]) -> bytes:
    files = MemoryFiles()
    return files.read(write(files)) or b""


def _write_log(files: MemoryFiles) -> Path:
    log = SegmentedLog(Path("/log"), files)
    log.append([LogRecord(Term(1), LogIndex(i), 0, b"payload") for i in range(1, 4)])
    return next(path for path in files.paths() if path.name.endswith(".log"))


def _write_snapshot(files: MemoryFiles) -> Path:
    record = SnapshotRecord(LogIndex(4), Term(1), b"configuration", b"data")
    SnapshotFile(Path("/d"), files).write(record)
    return Path("/d/snapshot")


def _write_vote(files: MemoryFiles) -> Path:
    VoteFile(Path("/d"), files).write(VoteRecord("a#1", "cluster", 3, "b#1"))
    return Path("/d/vote")


def _files_with(path: str, data: bytes) -> MemoryFiles:
    files = MemoryFiles()
    files.append(Path(path), data)
    return files


LOG_PATH = "/log/00000000000000000001.log"


def _load_log(data: bytes) -> object:
    return SegmentedLog(Path("/log"), _files_with(LOG_PATH, data)).load()


def _load_settings(data: bytes) -> object:
    classes = {
        plugin.settings_section: plugin.settings_class
        for plugin in registry.discover_plugins()
        if plugin.settings_section is not None and plugin.settings_class is not None
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.toml"
        path.write_bytes(data)
        return kernel_settings.load(path, classes)


def _load_platform_settings(data: bytes) -> object:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(data)
        return platform_settings.decode(path)


def _check_numbers(data: bytes) -> None:
    """Use what is read of a header in the arithmetic that follows."""
    text = data.decode("utf-8", "surrogateescape")
    count, decimal = parse_count(text), parse_decimal(text)
    assert count is None or count / 1000 <= MAX_WHOLE_NUMBER
    assert decimal is None or abs(decimal) < math.inf
    address = split_address(text)
    assert address is None or 0 <= address[1] <= MAX_PORT
    parse_version(text)
    retry_after_seconds(text, 0.0, 1.0)
    encodable(text).encode()
    bytes_of(text)


def _check_announcement(data: bytes) -> None:
    announcement = decode_json(data, Announcement)
    if not isinstance(announcement, Malformed) and announcement.is_valid():
        CODEC.encode(AnnounceTarget(announcement.to_target(), InstanceId("e")))
        PeerAddress.parse(announcement.address)


def _check_load(data: bytes) -> None:
    """Pass a target's load on as its entry does."""
    request = decode_json(data, TargetRequest)
    if isinstance(request, Malformed) or request.load is None:
        return
    load = request.load.to_load(100.0)
    waiting = float(load.running_tokens + load.queue_length * 256)
    encode_loads(CODEC, {TargetId("t"): LoadReport(waiting, load.measured_at)}, 100.0)


def _check_inference(data: bytes) -> None:
    """Pass a completion request on, deeper in the stack than it was read."""
    body = decode_json(data, dict[str, Any])
    if isinstance(body, Malformed):
        return
    request = parse_request("/v1/completions", body)
    if isinstance(request, Refusal):
        return

    def encode(depth: int) -> bytes:
        return encode(depth - 1) if depth else msgspec.json.encode(request.body)

    encode(400)


def _check_job(data: bytes) -> None:
    job = submissions.decode("j", None, "h", "/p", data)
    if not isinstance(job, Refusal):
        CODEC.encode(SubmitJob(job))


def _check_configuration(data: bytes) -> None:
    reviewed = documents.decode_for_review(data)
    if isinstance(reviewed, ServingConfig):
        review(reviewed, reviewed)
    config = documents.decode(data)
    if isinstance(config, Refusal):
        return
    CODEC.encode(PutServing(config, b""))
    size = config.limits.header_bytes
    loop = asyncio.new_event_loop()
    HttpRequestParser(None, loop, 2**16, max_line_size=size, max_field_size=size)
    loop.close()
    for route in ServingTable(config).config.routes:
        pick_service(route, random.Random(1))


def _check_heartbeat(data: bytes) -> None:
    """Take a heartbeat as the tracker does, and send its id in a header."""
    beat = heartbeats.decode("i-1", data)
    if isinstance(beat, Refusal):
        return
    machine = machine_of(TargetsSlice)
    member: Any = FakeMember(machine, Clock())

    async def take() -> None:
        await TargetTracker(member, {}, 1.0, Clock()).heartbeat(beat)

    asyncio.run(take())
    for command in member.proposed:
        CODEC.encode(command)
    PeerAddress.parse(beat.address)


def _read_question(data: bytes) -> None:
    body = decode_json(data, dict[str, Any])
    if not isinstance(body, Malformed):
        question = parse_question(body)
        if not isinstance(question, Refusal):
            msgspec.json.encode(question)


def _count_tokens(data: bytes) -> None:
    count = token_count_of_answer(Answered(200, "", data))
    assert count is None or float(count.prompt + count.generated) >= 0.0
    body = decode_json(data, dict[str, Any])
    if not isinstance(body, Malformed):
        request = InferenceRequest("/v1/completions", InferenceFields("m"), {})  # type: ignore[arg-type]
        StreamTokenCounter(request).add(body)


def _read_declaration(data: bytes) -> None:
    plugins = registry.discover_plugins()
    kinds = [kind for plugin in plugins for kind in plugin.declared_kinds]
    declarations.read(data.decode("utf-8", "replace"), kinds)


def _read_order_answer(data: bytes) -> None:
    async def read() -> None:
        reader = asyncio.StreamReader()
        reader.feed_data(data)
        reader.feed_eof()
        await read_answer(reader)

    asyncio.run(read())


DECODERS = [
    Decoder(
        "peer_frame",
        st.one_of(*(changed_cbor([0, 7, CODEC.encode(m)]) for m in MEMBER_MESSAGES)),
        _decode_frame,
        (CodecError,),
    ),
    Decoder(
        "compressed_messages",
        changed_bytes(compress((b"one" * 500, b"two")) or b""),
        decompress,
        (CompressionError,),
    ),
    Decoder(
        "message_of_a_member",
        st.one_of(*(changed_cbor(_tree_of(m)) for m in MEMBER_MESSAGES)),
        _step_members,
        (CodecError,),
    ),
    Decoder("job", changed_json(LOT), _check_job),
    Decoder("configuration", changed_json(DOCUMENT), _check_configuration),
    Decoder("heartbeat", changed_json(BEAT), _check_heartbeat),
    Decoder("announcement", changed_json(ANNOUNCEMENT), _check_announcement),
    Decoder("load_of_a_target", changed_json(RENEWAL), _check_load),
    Decoder("inference_request", changed_json(COMPLETION), _check_inference),
    Decoder("question", changed_json(QUESTION), _read_question),
    Decoder("answer_with_usage", changed_json(USAGE), _count_tokens),
    Decoder(
        "answer_to_an_order", changed_bytes(ANSWER), _read_order_answer, ANSWER_ERRORS
    ),
    Decoder("declaration", changed_text(DECLARATION), _read_declaration),
    Decoder("count", changed_text("120"), _check_numbers),
    Decoder("decimal", changed_text("1.5"), _check_numbers),
    Decoder("address", changed_text("10.0.0.9:8080"), _check_numbers),
    Decoder("stream", changed_bytes(STREAM), _read_stream),
    Decoder("engine_stream", changed_bytes(ENGINE_STREAM), _read_engine_stream),
    Decoder(
        "log_file",
        changed_bytes(_file_bytes(_write_log)),
        _load_log,
        (CorruptLogError,),
    ),
    Decoder(
        "snapshot_file",
        changed_bytes(_file_bytes(_write_snapshot)),
        lambda d: SnapshotFile(Path("/d"), _files_with("/d/snapshot", d)).read(),
        (CorruptFileError,),
    ),
    Decoder(
        "vote_file",
        changed_bytes(_file_bytes(_write_vote)),
        lambda d: VoteFile(Path("/d"), _files_with("/d/vote", d)).read(),
        (CorruptFileError,),
    ),
    Decoder("settings", changed_bytes(EXAMPLE_SETTINGS.read_bytes()), _load_settings),
    Decoder(
        "platform_settings", changed_json(PLATFORM_SETTINGS), _load_platform_settings
    ),
]
