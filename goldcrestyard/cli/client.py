"""Client of the operators' API, which tries several instances in turn."""

import asyncio
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from goldcrestyard.cli.profile import Profile
from goldcrestyard.core.attempts import describe_error
from goldcrestyard.core.decoding import Malformed, decode_json
from goldcrestyard.core.headers import CORRELATION_HEADER, REQUEST_ID_HEADER
from goldcrestyard.kernel.http_client import (
    MAX_ANSWER_BYTES,
    BoundedConnector,
    read_at_most,
)

CONNECT_TIMEOUT_SECONDS = 2.0
REQUEST_TIMEOUT_SECONDS = 20.0
"""Longer than the server waits for a change to be in force (10 s)."""

MAX_ROUNDS = 3
ROUND_INTERVAL_SECONDS = 1.5
"""Pause between rounds.  Three rounds outlast an election, which takes up to
3 s."""

RETRYABLE_CODES = frozenset({"draining", "entry_lease_expired", "no_leader"})
UNKNOWN_OUTCOME_CODE = "unknown_outcome"


@dataclass(frozen=True, slots=True)
class Answer:
    """A successful answer; ``data`` is its JSON body."""

    data: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Refused:
    """An instance refused the request; nothing was changed."""

    code: str
    message: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No instance gave a final answer; a change may have been made."""

    message: str


Reply = Answer | Refused | Unanswered


class OperatorClient:
    """Sends a request to one instance after another with one request id.

    Every operation of the API can be repeated with the same request id, so
    that a repeat after a lost answer does not make a change twice.
    """

    def __init__(
        self, profile: Profile, pause_seconds: float = ROUND_INTERVAL_SECONDS
    ) -> None:
        self._profile = profile
        self._pause_seconds = pause_seconds

    async def send(
        self,
        method: str,
        path: str,
        body: object = None,
        query: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send a request until an instance accepts or refuses it."""
        request_id = uuid.uuid4().hex
        headers = {
            "authorization": f"Bearer {self._profile.key}",
            REQUEST_ID_HEADER: request_id,
            CORRELATION_HEADER: request_id,
            "content-type": "application/json",
        }
        timeout = aiohttp.ClientTimeout(
            total=REQUEST_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
        )
        failures: list[str] = []
        async with aiohttp.ClientSession(
            headers=headers, timeout=timeout, connector=BoundedConnector()
        ) as session:
            for round_number in range(MAX_ROUNDS):
                if round_number:
                    await asyncio.sleep(self._pause_seconds)
                for server in self._profile.servers:
                    url = f"http://{server}/operator/v1{path}"
                    reply = await _send_once(session, method, url, body, query)
                    if not isinstance(reply, Unanswered):
                        return reply
                    failures.append(f"{server}: {reply.message}")
        latest = failures[-len(self._profile.servers) :]
        return Unanswered(
            "no instance accepted or refused the request; " + "; ".join(latest)
        )


async def _send_once(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    body: object,
    query: Mapping[str, str] | None,
) -> Reply:
    try:
        async with session.request(
            method,
            url,
            data=None if body is None else msgspec.json.encode(body),
            params=query,
        ) as answer:
            content = await read_at_most(answer, MAX_ANSWER_BYTES)
            status = answer.status
    except (aiohttp.ClientError, TimeoutError) as error:
        return Unanswered(describe_error(error))
    data = decode_json(content, dict[str, Any])
    if isinstance(data, Malformed):
        return Unanswered(
            f"answered {status} without JSON; use the instance's admin address"
        )
    if status < 400:
        return Answer(data)
    error_fields = data.get("error", {})
    code = str(error_fields.get("code", status))
    message = str(error_fields.get("message", "no details given"))
    if code in RETRYABLE_CODES or code == UNKNOWN_OUTCOME_CODE:
        return Unanswered(f"{code}: {message}")
    return Refused(code, message)
