"""Client of the platform's interface for usage reports and rentals."""

import aiohttp
import msgspec
import structlog

from goldcrestyard.core.attempts import describe_error
from goldcrestyard.core.ids import InstanceId
from goldcrestyard.fleet.duties import Permit
from goldcrestyard.fleet.metering.commands import WindowCounts
from goldcrestyard.fleet.metering.reporting import ReportOutcome
from goldcrestyard.fleet.rentals.autoscaler import RentalOrder, RentalOutcome
from goldcrestyard.kernel.http_client import GuardedBody
from goldcrestyard.platform.names import (
    DUTY_HOLDER_HEADER,
    FENCE_HEADER,
    RENTAL_PATH,
    USAGE_PATH,
)
from goldcrestyard.platform.targets.client import HttpTargetClient

logger = structlog.get_logger(__name__)

ANSWER_TIMEOUT_SECONDS = 1.5

NO_CAPACITY_STATUS = 409
RETRYABLE_STATUSES = frozenset({408, 429})


class DutiesClient:
    """Sends the leader's usage reports and rental orders to the platform.

    Each call contains the leader's instance id as holder of the duty, and a
    fence, a number that increases with each change of leader.
    """

    def __init__(
        self, client: HttpTargetClient, address: str, holder: InstanceId
    ) -> None:
        self._client = client
        self._address = address
        self._holder = holder
        self._timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)

    async def report(self, counts: WindowCounts, permit: Permit) -> ReportOutcome:
        """Send the counts of a window once."""
        body = {
            "window_id": counts.window,
            "counts": counts.counts_by_organisation,
        }
        status = await self._post(USAGE_PATH, body, permit)
        if status is None or status >= 500 or status in RETRYABLE_STATUSES:
            return ReportOutcome.UNKNOWN
        return ReportOutcome.ACCEPTED if status < 300 else ReportOutcome.REFUSED

    async def rent(self, order: RentalOrder, permit: Permit) -> RentalOutcome:
        """Send a rental order once."""
        body = {
            "service": order.service,
            "zone": order.data_centre,
            # Total number of targets, including those already rented.  In a
            # submitted job the same field is the number of wanted groups.
            "group_count": order.count,
        }
        status = await self._post(RENTAL_PATH, body, permit)
        if status == NO_CAPACITY_STATUS:
            return RentalOutcome.EXHAUSTED
        if status is not None and status < 300:
            return RentalOutcome.ACCEPTED
        return RentalOutcome.UNKNOWN

    async def _post(self, path: str, body: object, permit: Permit) -> int | None:
        """Send a request once; return the HTTP status, or None on failure."""
        try:
            async with self._client.single_session.post(
                f"http://{self._address}{path}",
                data=GuardedBody(msgspec.json.encode(body), permit.holds),
                headers={
                    DUTY_HOLDER_HEADER: self._holder,
                    FENCE_HEADER: str(permit.fence),
                },
                timeout=self._timeout,
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            logger.info(
                "platform did not answer", path=path, error=describe_error(error)
            )
            return None
