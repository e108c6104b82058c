"""Authentication of operators by their keys."""

import hashlib
import hmac
import uuid

from aiohttp import web

from goldcrestyard.core.decoding import bytes_of
from goldcrestyard.core.headers import REQUEST_ID_HEADER
from goldcrestyard.core.ids import RequestId
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.listeners.middleware import correlation_id_of, validated_id
from goldcrestyard.plugins.operators.planning import Author
from goldcrestyard.plugins.operators.settings import OperatorSettings


def operator_of(request: web.Request, settings: OperatorSettings) -> str | None:
    """Return the name of the operator whose key is sent, or None."""
    _, _, token = request.headers.get("authorization", "").partition(" ")
    digest = hashlib.sha256(bytes_of(token.strip())).hexdigest()
    # Every hash is compared, so that the response time does not reveal
    # whether or where a key matched.
    matching = [
        name
        for name, known in settings.key_sha256_by_name.items()
        if hmac.compare_digest(digest, known.lower())
    ]
    return matching[0] if matching else None


def unknown_operator() -> web.Response:
    """Return the response to a request without a valid operator key."""
    return refuse(Refusal(RefusalReason.INVALID_KEY, "missing or unknown operator key"))


class OperatorAuthorisation:
    """Authenticates operators against the key hashes in the settings."""

    def __init__(self, settings: OperatorSettings) -> None:
        self._settings = settings

    def author(self, request: web.Request) -> Author | Refusal:
        """Return the operator and the ids of a request, or a refusal.

        Without a valid request id from the caller a new one is generated.
        """
        operator = operator_of(request, self._settings)
        if operator is None:
            return Refusal(RefusalReason.INVALID_KEY, "missing or unknown operator key")
        sent = validated_id(request.headers.get(REQUEST_ID_HEADER))
        return Author(
            operator,
            RequestId(sent or uuid.uuid4().hex),
            correlation_id_of(request),
        )
