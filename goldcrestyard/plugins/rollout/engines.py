"""Client of the engines' HTTP interface for weight versions.

``GET /weights`` reports the served and the staged versions.  ``POST
/weights/stage`` loads a version beside the one that is served, and ``POST
/weights/activate`` switches to it; both are sent as orders and may be
repeated.
"""

import asyncio
from typing import Protocol

import aiohttp
import msgspec

from goldcrestyard.core.decoding import Count, Malformed, decode_json
from goldcrestyard.core.ids import OrderId, WeightVersion
from goldcrestyard.core.records import PublishedWeights, Target
from goldcrestyard.kernel.http_client import MAX_REPORT_BYTES, read_at_most
from goldcrestyard.plugins.orders.commands import Order, Receiver, ReceiverId
from goldcrestyard.policy.orders import Guards
from goldcrestyard.policy.rollouts import (
    Activate,
    Stage,
    VersionsReported,
    VersionsUnknown,
)

STAGE_ORDER_TTL_SECONDS = 300.0
ACTIVATE_ORDER_TTL_SECONDS = 60.0
"""Lifetime of an order.  An activation expires early, so that it cannot arrive
long after a newer version; the engine is then queried and ordered again."""


class _VersionsBody(msgspec.Struct):
    active: Count | None = None
    staged: tuple[Count, ...] = ()


class _OrderBody(msgspec.Struct, omit_defaults=True):
    model: str
    version: int
    path: str = ""
    """Path at which the engine's home entry serves the weights.  From the
    store, each engine would fetch them over the link between regions."""
    digest: str = ""


class VersionClient(Protocol):
    """Source of the weight versions that engines report."""

    async def query(self, target: Target) -> VersionsReported | VersionsUnknown:
        """Return the versions that an engine reports, or why it did not."""


class HttpVersionClient:
    """Queries engines over HTTP, a limited number at the same time."""

    def __init__(
        self, session: aiohttp.ClientSession, timeout_seconds: float, concurrency: int
    ) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)
        self._slots = asyncio.Semaphore(concurrency)

    async def query(self, target: Target) -> VersionsReported | VersionsUnknown:
        """Return the versions that an engine reports, or why it did not."""
        url = f"http://{target.address}/weights"
        async with self._slots:
            try:
                async with self._session.get(url, timeout=self._timeout) as response:
                    if response.status != 200:
                        return VersionsUnknown(f"answered {response.status}")
                    reported = decode_json(
                        await read_at_most(response, MAX_REPORT_BYTES), _VersionsBody
                    )
            except (aiohttp.ClientError, TimeoutError) as error:
                return VersionsUnknown(str(error) or "timeout")
        if isinstance(reported, Malformed):
            return VersionsUnknown(f"malformed answer: {reported.detail}")
        active = WeightVersion(reported.active) if reported.active is not None else None
        return VersionsReported(active, tuple(map(WeightVersion, reported.staged)))


def order_for_step(
    step: Stage | Activate, target: Target, weights: PublishedWeights, attempt: int
) -> Order:
    """Return the order for a step of an engine.

    The order id is derived from the step and the attempt, so that a new
    leader does not place the same order again.
    """
    guards = Guards(checks_fencing=target.checks_fencing, honours_keys=True)
    receiver = Receiver(ReceiverId(f"engine/{target.id}"), target.address, guards)
    match step:
        case Stage():
            kind, ttl_seconds = "stage", STAGE_ORDER_TTL_SECONDS
            path = f"/weights/{weights.model}/{weights.version}"
            body = _OrderBody(weights.model, weights.version, path, weights.digest)
        case Activate():
            kind, ttl_seconds = "activate", ACTIVATE_ORDER_TTL_SECONDS
            body = _OrderBody(weights.model, weights.version)
    attempt_key = f"{target.id}/{target.incarnation}/{attempt}"
    return Order(
        OrderId(f"weights/{weights.model}/{weights.version}/{kind}/{attempt_key}"),
        receiver,
        f"{kind}_weights",
        f"/weights/{kind}",
        msgspec.json.encode(body),
        seconds_to_live=ttl_seconds,
    )
