"""Benchmarks of scheduling, renewals, load digests, manifests and rollouts."""

import asyncio
import time
from types import SimpleNamespace
from typing import Any, cast

from bench.measure import allocated_bytes, report_columns
from bench.stand_ins import MODEL, fill_targets, full_codec, machine, target
from goldcrestyard.core.ids import (
    BodyDigest,
    InstanceId,
    OrganisationId,
    Region,
    SampleId,
    TargetId,
    WeightVersion,
)
from goldcrestyard.core.records import Organisation, PublishedWeights
from goldcrestyard.core.states import Priority
from goldcrestyard.kernel.clock import Clock
from goldcrestyard.membership.leader_link import LeaderLink
from goldcrestyard.plugins.orders.client import OrderClient
from goldcrestyard.plugins.orders.outbox import OrderOutbox
from goldcrestyard.plugins.orders.sender import OrderSender
from goldcrestyard.plugins.orders.settings import OrderSettings
from goldcrestyard.plugins.orders.settlements import SettlementBatcher
from goldcrestyard.plugins.rollout.rollout import RolloutManager
from goldcrestyard.plugins.rollout.settings import RolloutSettings
from goldcrestyard.plugins.scheduling.load_digests import (
    BATCH_INTERVAL_SECONDS,
    TargetLoadChannel,
    TargetLoadMerger,
)
from goldcrestyard.plugins.scheduling.scheduler import Grant, Scheduler, WorkRequest
from goldcrestyard.plugins.scheduling.settings import SchedulingSettings
from goldcrestyard.plugins.targets.homes import Load, TargetHome
from goldcrestyard.plugins.targets.slices import TargetsSlice
from goldcrestyard.plugins.trainers.commands import FixBatch, StepKey
from goldcrestyard.plugins.trainers.manifests import (
    Manifest,
    StoredSample,
    decode_manifest,
    encode_manifest,
)
from goldcrestyard.policy.routing import (
    LoadReport,
    RequestNeeds,
    TargetStatistics,
    choose_target,
)
from tests.fakes.member import FakeMember
from tests.plugins.rollout.test_rollout import FakeEngine, FakeEngines

GRANT_COUNT = 200
RENEWAL_COUNT = 20_000
LOAD_ROUNDS = 4
ROLLOUT_POLL_SECONDS = 0.02


def scheduling(count: int) -> dict[str, float]:
    """Measure ``choose_target``, and a scheduler's grant with its release."""
    state = machine(fan_out_only=True)
    fill_targets(state, count)
    slice_ = state.get(TargetsSlice)
    needs = RequestNeeds(400.0, Priority.INTERACTIVE)
    candidates = slice_.serving(MODEL)
    statistics = {t.id: TargetStatistics(float(t.max_concurrency)) for t in candidates}
    started = time.process_time()
    for _ in range(GRANT_COUNT):
        choose_target(
            candidates, statistics, needs, Region("region-0"), frozenset(), 0.0
        )
    chosen = time.process_time() - started

    async def grant_all() -> float:
        scheduler = Scheduler(slice_, Clock(), Region("region-0"), SchedulingSettings())
        work = WorkRequest(MODEL, Organisation(OrganisationId("o")), needs)
        started = time.process_time()
        for _ in range(GRANT_COUNT):
            async with scheduler.acquire(work) as granted:
                assert isinstance(granted, Grant)
        return time.process_time() - started

    granted = asyncio.run(grant_all())
    return {
        "choose_target|us a choice": chosen / GRANT_COUNT * 1e6,
        "scheduler, grant and release|us a grant": granted / GRANT_COUNT * 1e6,
    }


def homes(count: int) -> dict[str, float]:
    """Measure target renewals at their home, without HTTP."""
    return asyncio.run(_renew(count))


async def _renew(count: int) -> dict[str, float]:
    home = TargetHome(
        InstanceId("entry-1"), cast(LeaderLink, None), Clock(), lost_seconds=6.0
    )
    targets = [target(number) for number in range(count)]
    for known in targets:
        home.track(known.id, known.incarnation)
    load = Load(1, 1000, 0.5, 0.0)
    started = time.process_time()
    for number in range(RENEWAL_COUNT):
        known = targets[number % count]
        assert home.renew(known.id, known.incarnation, load)
    return {"renewal|us": (time.process_time() - started) / RENEWAL_COUNT * 1e6}


def loads(count: int) -> dict[str, float]:
    """Measure a summary of load reports with those of half of the targets.

    Each target renews every 2 s and each entry every second, so half of the
    targets have reported a new load since an entry's last renewal.
    """
    return asyncio.run(_share_loads(count))


async def _share_loads(count: int) -> dict[str, float]:
    codec, clock = full_codec(), Clock()
    here = Region("region-0")
    merger = TargetLoadMerger(codec, clock, lambda _: here, lambda _: here)
    learned: dict[TargetId, LoadReport] = {}
    reports: dict[TargetId, LoadReport] = {}
    entry = TargetLoadChannel(
        lambda: iter(reports.items()), learned.__setitem__, codec, clock
    )
    size = merging = summing = learning = 0.0
    for round_number in range(LOAD_ROUNDS):
        # A report must be newer by more than the rounding of its age.
        at = clock.monotonic() - 10.0 + round_number
        for number in range(round_number % 2, count, 2):
            report = LoadReport(float(1000 + number), at)
            reports = {target(number).id: report}
            digest = entry.collect()
            started = time.process_time()
            merger.merge(InstanceId("home"), digest)
            merging += time.process_time() - started
        # The first summary builds the batch for all entries, outside the
        # measured time.
        await asyncio.sleep(BATCH_INTERVAL_SECONDS)
        merger.summary(InstanceId("entry-0"))
        started = time.process_time()
        summary = merger.summary(InstanceId("entry-1"))
        summed = time.process_time()
        entry.receive(summary)
        summing += summed - started
        learning += time.process_time() - summed
        size += len(summary)
    return {
        "summary|KB": size / LOAD_ROUNDS / 1e3,
        "summary at the leader|us": summing / LOAD_ROUNDS * 1e6,
        "summary at the entry|us": learning / LOAD_ROUNDS * 1e6,
        "merge of one report|us": merging / (LOAD_ROUNDS * count / 2) * 1e6,
    }


def manifests(count: int) -> dict[str, float]:
    """Measure a step's manifest and the ``FixBatch`` command that names it."""
    samples = tuple(
        StoredSample(
            SampleId(f"step-1/group-{n // 8}/{n % 8}"),
            BodyDigest(f"{n // 64:064x}"),
            n % 64 * 16_000,
            16_000,
        )
        for n in range(count)
    )
    codec = full_codec()
    digest = BodyDigest("f" * 64)
    started = time.process_time()
    body = encode_manifest(Manifest(samples))
    encoded = time.process_time()
    assert len(decode_manifest(body).samples) == count
    decoded = time.process_time()
    key = StepKey(OrganisationId("o"), cast(Any, MODEL), cast(Any, 1))
    fix = FixBatch(key, 1, digest, digest, count, (WeightVersion(1),))
    return {
        "encode the manifest|ms": (encoded - started) * 1e3,
        "decode the manifest|ms": (decoded - encoded) * 1e3,
        "manifest|KB": len(body) / 1e3,
        "FixBatch in the log|B": float(len(codec.encode(fix))),
        "memory of the manifest|KB": (
            allocated_bytes(lambda: decode_manifest(body)) / 1e3
        ),
    }


def rollout(count: int) -> dict[str, float]:
    """Measure a rollout to fake engines that answer an order in 0.3 s."""
    return asyncio.run(_roll_out(count))


async def _roll_out(count: int) -> dict[str, float]:
    state = machine(fan_out_only=False)
    fill_targets(state, count)
    engines = FakeEngines({target(n).address: FakeEngine() for n in range(count)})
    published: dict[str, list[PublishedWeights]] = {MODEL: []}
    clock = Clock()
    member = FakeMember(state, clock)
    member.lead(1)
    options = OrderSettings()
    fake: Any = member
    client = OrderClient(
        cast(Any, engines), options, member.holds_lease, member.instance
    )
    sender = OrderSender(
        fake, client, cast(Any, engines), SettlementBatcher(fake), clock, options
    )
    rollouts = RolloutManager(
        fake,
        cast(Any, SimpleNamespace(published_by_model=published)),
        OrderOutbox(fake),
        engines,
        clock,
        RolloutSettings(),
    )
    tasks = [asyncio.create_task(sender.run()), asyncio.create_task(rollouts.run())]
    # A new leader sends no order before its quiet period is over.
    await asyncio.sleep(options.order_quiet_seconds + 0.5)
    before, started = time.process_time(), time.monotonic()
    published[MODEL].append(
        PublishedWeights(cast(Any, MODEL), WeightVersion(2), "store/2", "digest")
    )
    running = engines.by_address.values()
    while not all(engine.staged for engine in running):  # noqa: ASYNC110
        await asyncio.sleep(ROLLOUT_POLL_SECONDS)
    staged = time.monotonic()
    while not any(engine.active == 2 for engine in running):  # noqa: ASYNC110
        await asyncio.sleep(ROLLOUT_POLL_SECONDS)
    first = time.monotonic()
    while not all(engine.active == 2 for engine in running):  # noqa: ASYNC110
        await asyncio.sleep(ROLLOUT_POLL_SECONDS)
    ended = time.monotonic()
    used = time.process_time() - before
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return {
        "publication until all have staged|s": staged - started,
        "first activation until all are active|s": ended - first,
        "publication until all are active|s": ended - started,
        "processor time at the leader with the stand-ins|s": used,
    }


def run_scheduling() -> None:
    """Print the cost of a grant against the number of targets."""
    report_columns((8, 64, 256, 1024), scheduling)


def run_loads() -> None:
    """Print the cost of load digests against the number of targets."""
    report_columns((100, 300, 930, 2000), loads)


def run_homes() -> None:
    """Print the cost of a renewal against the targets at the home."""
    report_columns((3, 30, 300, 930), homes)


def run_manifests() -> None:
    """Print the cost of a step's manifest against its number of samples."""
    report_columns((512, 1024, 2048, 4096), manifests)


def run_rollout() -> None:
    """Print the time of a rollout against the number of engines."""
    report_columns((100, 300, 600, 930), rollout)
