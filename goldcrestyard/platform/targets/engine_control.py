"""HTTP client for the control interface of engines: orders and reports."""

import asyncio

import aiohttp
import msgspec
import structlog

from goldcrestyard.core.attempts import describe_error
from goldcrestyard.core.decoding import Count, Malformed, decode_json
from goldcrestyard.core.ids import InstanceId, ModelName, WeightVersion
from goldcrestyard.core.records import Target
from goldcrestyard.fleet.duties import Permit
from goldcrestyard.fleet.versions.orders import (
    EngineReport,
    LoadOrder,
    OrderOutcome,
)
from goldcrestyard.kernel.http_client import (
    MAX_REPORT_BYTES,
    GuardedBody,
    read_at_most,
)
from goldcrestyard.platform.names import ORDER_PATH, REPORT_PATH, TARGET_ID_HEADER
from goldcrestyard.platform.targets.client import HttpTargetClient

logger = structlog.get_logger(__name__)

ANSWER_TIMEOUT_SECONDS = 1.0
LOAD_MODE = "retain"
"""Mode of a load in which running generations continue with the new version;
the other modes end or delay them."""

_OUTCOMES_BY_STATUS = {
    200: OrderOutcome.HOLDS,
    202: OrderOutcome.ACCEPTED,
    409: OrderOutcome.CONFLICT,
}


class _Model(msgspec.Struct):
    name: str
    version: Count


class _Report(msgspec.Struct):
    seq: Count = 0
    """Number of accepted orders.  In a heartbeat the same field is the
    heartbeat's sequence number."""
    in_flight: bool = False
    """Whether the engine is carrying out an order, not a request."""
    models: list[_Model] = []
    born: Count = 0
    """Start of this run of the engine, as Unix milliseconds; 0 if missing."""


class HttpEngineControl:
    """Reads the reports of engines and sends them orders to load weights."""

    def __init__(self, client: HttpTargetClient, holder: InstanceId) -> None:
        self._client = client
        self._holder = holder
        self._timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)

    async def report(self, target: Target) -> EngineReport | None:
        """Return the report of an engine, or None if it cannot be obtained."""
        if self._client.is_evacuated(target):
            return None
        clock = asyncio.get_running_loop().time
        began = clock()
        try:
            async with self._client.session(target.address).get(
                f"http://{target.address}{REPORT_PATH}",
                headers={TARGET_ID_HEADER: target.id},
                timeout=self._timeout,
            ) as response:
                if response.status != 200:
                    self._client.note_leaving(target, response, clock() - began)
                    return None
                report = decode_json(
                    await read_at_most(response, MAX_REPORT_BYTES), _Report
                )
                if not isinstance(report, Malformed) and (
                    report.born == 0 or str(report.born) == target.incarnation
                ):
                    self._client.note_leaving(target, response, clock() - began)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            await self._client.discard_connections(target.address)
            self._log_failure(target, describe_error(error))
            return None
        if isinstance(report, Malformed):
            self._log_failure(target, report.detail)
            return None
        return EngineReport(
            report.seq,
            report.in_flight,
            {ModelName(m.name): WeightVersion(m.version) for m in report.models},
            str(report.born) if report.born else "",
        )

    async def load(
        self, target: Target, order: LoadOrder, permit: Permit
    ) -> OrderOutcome:
        """Send an order to load a weight version once."""
        if self._client.is_leaving(target) or self._client.is_evacuated(target):
            return OrderOutcome.NOT_SENT
        clock = asyncio.get_running_loop().time
        began = clock()
        fields = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "mode": LOAD_MODE,
            "owner": self._holder,
            "fence": order.fence,
            "expect": order.expected_orders,
        }
        body = GuardedBody(msgspec.json.encode(fields), permit.holds)
        try:
            async with self._client.single_session.post(
                f"http://{target.address}{ORDER_PATH}",
                data=body,
                headers={TARGET_ID_HEADER: target.id},
                timeout=self._timeout,
            ) as response:
                self._client.note_leaving(target, response, clock() - began)
                return _OUTCOMES_BY_STATUS.get(response.status, OrderOutcome.REFUSED)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            self._log_failure(target, describe_error(error))
            return OrderOutcome.NOT_SENT if body.refused else OrderOutcome.UNKNOWN

    def _log_failure(self, target: Target, error: str) -> None:
        logger.info("engine did not answer", target=target.id, error=error)
