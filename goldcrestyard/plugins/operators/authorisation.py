"""The check of an operator's key."""

import hashlib
import hmac
import uuid

from aiohttp import web

from goldcrestyard.core.ids import RequestId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.middleware import correlation_id_of, safe_id
from goldcrestyard.plugins.operators.planning import Author
from goldcrestyard.plugins.operators.settings import OperatorSettings

REQUEST_ID_HEADER = "x-request-id"


class OperatorAuthorisation:
    """Knows the operators by the hashes of their keys."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings

    def author(self, request: web.Request) -> Author | Refusal:
        """Return the operator who sent a request, or why it is refused."""
        _, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        found = [
            name
            for name, known in self._settings.key_sha256_by_name.items()
            if hmac.compare_digest(digest, known.lower())
        ]
        if not found:
            return Refusal(RefusalReason.INVALID_KEY, "unknown operator key")
        sent = safe_id(request.headers.get(REQUEST_ID_HEADER))
        return Author(
            found[0],
            RequestId(sent or uuid.uuid4().hex),
            correlation_id_of(request),
        )
