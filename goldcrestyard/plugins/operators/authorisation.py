"""The check of an operator's key."""

import hashlib
import hmac
import uuid

from aiohttp import web

from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import RequestId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import correlation_id_of, safe_id
from goldcrestyard.plugins.operators.planning import Author
from goldcrestyard.plugins.operators.settings import OperatorSettings


def operator_of(request: web.Request, settings: OperatorSettings) -> str | None:
    """Return the operator whose key a request carries, or None."""
    _, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode()).hexdigest()
    # All hashes are compared, so that the time tells nothing of a match.
    found = [
        name
        for name, known in settings.key_sha256_by_name.items()
        if hmac.compare_digest(digest, known.lower())
    ]
    return found[0] if found else None


def unknown_operator() -> web.Response:
    """Return the answer to a request without an operator's key."""
    return refuse(Refusal(RefusalReason.INVALID_KEY, "unknown operator key"))


class OperatorAuthorisation:
    """Knows the operators by the hashes of their keys."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings

    def author(self, request: web.Request) -> Author | Refusal:
        """Return the operator who sent a request, or why it is refused."""
        operator = operator_of(request, self._settings)
        if operator is None:
            return Refusal(RefusalReason.INVALID_KEY, "unknown operator key")
        sent = safe_id(request.headers.get(REQUEST_ID_HEADER))
        return Author(
            operator,
            RequestId(sent or uuid.uuid4().hex),
            correlation_id_of(request),
        )
