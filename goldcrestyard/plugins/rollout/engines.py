"""The engines' interface for weights.

``POST /weights/stage`` loads a version beside the one that is served, ``POST
/weights/activate`` serves it, and ``GET /weights`` says what is served and
staged.  Both orders may be repeated.
"""

import asyncio
from typing import Protocol

import aiohttp
import msgspec

from goldcrestyard.core.ids import OrderId, WeightVersion
from goldcrestyard.core.records import PublishedWeights, Target
from goldcrestyard.plugins.orders.commands import Order, Receiver, ReceiverId
from goldcrestyard.policy.orders import Guards
from goldcrestyard.policy.rollouts import (
    Activate,
    Stage,
    VersionsReported,
    VersionsUnknown,
)

STAGE_SECONDS = 300.0
ACTIVATE_SECONDS = 60.0
"""After this an activation is given up, so that it cannot come long after a
newer version; the engine is asked and ordered again."""


class _State(msgspec.Struct):
    active: int | None = None
    staged: tuple[int, ...] = ()


class _Body(msgspec.Struct, omit_defaults=True):
    model: str
    version: int
    path: str = ""
    """Where the engine's home entry serves the weights: from the store each
    engine would fetch them over the link between the regions."""
    digest: str = ""


class Engines(Protocol):
    """Asks engines what they serve."""

    async def ask(self, target: Target) -> VersionsReported | VersionsUnknown:
        """Return what an engine says."""


class HttpEngines:
    """Asks over HTTP, a bounded number of engines at the same time."""

    def __init__(
        self, session: aiohttp.ClientSession, ask_seconds: float, concurrency: int
    ) -> None:
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=ask_seconds)
        self._slots = asyncio.Semaphore(concurrency)

    async def ask(self, target: Target) -> VersionsReported | VersionsUnknown:
        """Return what an engine says that it serves."""
        url = f"http://{target.address}/weights"
        async with self._slots:
            try:
                async with self._session.get(url, timeout=self._timeout) as response:
                    if response.status != 200:
                        return VersionsUnknown(f"answered {response.status}")
                    state = msgspec.json.decode(await response.read(), type=_State)
            except (aiohttp.ClientError, TimeoutError) as error:
                return VersionsUnknown(str(error) or "timeout")
            except msgspec.DecodeError as error:
                return VersionsUnknown(f"malformed answer: {error}")
        active = WeightVersion(state.active) if state.active is not None else None
        return VersionsReported(active, tuple(map(WeightVersion, state.staged)))


def to_order(
    step: Stage | Activate, target: Target, weights: PublishedWeights, attempt: int
) -> Order:
    """Return an order to an engine; the same step has the same id."""
    guards = Guards(checks_fencing=target.checks_fencing, honours_keys=True)
    receiver = Receiver(ReceiverId(f"engine/{target.id}"), target.address, guards)
    match step:
        case Stage():
            kind, seconds = "stage", STAGE_SECONDS
            path = f"/weights/{weights.model}/{weights.version}"
            body = _Body(weights.model, weights.version, path, weights.digest)
        case Activate():
            kind, seconds = "activate", ACTIVATE_SECONDS
            body = _Body(weights.model, weights.version)
    run = f"{target.id}/{target.incarnation}/{attempt}"
    return Order(
        OrderId(f"weights/{weights.model}/{weights.version}/{kind}/{run}"),
        receiver,
        f"{kind}_weights",
        f"/weights/{kind}",
        msgspec.json.encode(body),
        seconds_to_live=seconds,
    )
