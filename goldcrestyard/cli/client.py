"""Requests of ``goldcrest`` to the operators' interface of any instance."""

import asyncio
import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from goldcrestyard.cli.profile import Profile
from goldcrestyard.core.attempts import describe_error
from goldcrestyard.core.headers import CORRELATION_HEADER, REQUEST_ID_HEADER

CONNECT_SECONDS = 2.0
ANSWER_SECONDS = 20.0
"""More than a confirmation waits for a change to be in force (10 s)."""

ROUNDS = 3
PAUSE_SECONDS = 1.5
"""Three rounds with this pause outlast an election, which takes up to 3 s."""

TRY_ANOTHER = frozenset({"draining", "entry_lease_expired", "no_leader"})
UNCLEAR = "unknown_outcome"


@dataclass(frozen=True, slots=True)
class Answer:
    """What an instance answered."""

    data: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Refused:
    """An instance refused; nothing was changed."""

    code: str
    message: str


@dataclass(frozen=True, slots=True)
class Unanswered:
    """No instance gave an answer that settles the request."""

    message: str


Reply = Answer | Refused | Unanswered


class OperatorClient:
    """Tries one instance after the other with the same request id.

    Every operation of the interface may be repeated under the same request
    id, so a lost answer never makes a change happen twice.
    """

    def __init__(self, profile: Profile, pause_seconds: float = PAUSE_SECONDS) -> None:
        self._profile = profile
        self._pause_seconds = pause_seconds

    async def send(
        self,
        method: str,
        path: str,
        body: object = None,
        query: Mapping[str, str] | None = None,
    ) -> Reply:
        """Send a request until an instance settles it."""
        request_id = uuid.uuid4().hex
        headers = {
            "authorization": f"Bearer {self._profile.key}",
            REQUEST_ID_HEADER: request_id,
            CORRELATION_HEADER: request_id,
            "content-type": "application/json",
        }
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS, connect=CONNECT_SECONDS)
        failures: list[str] = []
        async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
            for round_number in range(ROUNDS):
                if round_number:
                    await asyncio.sleep(self._pause_seconds)
                for server in self._profile.servers:
                    url = f"http://{server}/operator/v1{path}"
                    reply = await _send_once(session, method, url, body, query)
                    if not isinstance(reply, Unanswered):
                        return reply
                    failures.append(f"{server}: {reply.message}")
        latest = failures[-len(self._profile.servers) :]
        return Unanswered("no instance settled the request; " + "; ".join(latest))


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
            content = await answer.read()
            status = answer.status
    except (aiohttp.ClientError, TimeoutError) as error:
        return Unanswered(describe_error(error))
    try:
        data = msgspec.json.decode(content, type=dict[str, Any])
    except msgspec.DecodeError:
        return Unanswered(f"answered {status} without JSON; is this an admin address?")
    if status < 400:
        return Answer(data)
    error_fields = data.get("error", {})
    code = str(error_fields.get("code", status))
    message = str(error_fields.get("message", "no explanation"))
    if code in TRY_ANOTHER or code == UNCLEAR:
        return Unanswered(f"{code}: {message}")
    return Refused(code, message)
