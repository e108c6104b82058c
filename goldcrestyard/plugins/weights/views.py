"""HTTP interface from which engines and other entries fetch weights."""

import hashlib
import hmac

from aiohttp import web

from goldcrestyard.core.decoding import bytes_of, parse_count
from goldcrestyard.core.ids import ModelName, WeightVersion
from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.plugins.listeners.errors import refuse
from goldcrestyard.plugins.weights.cache import WeightCache
from goldcrestyard.plugins.weights.fetching import PROOF_HEADER, WeightFetcher
from goldcrestyard.plugins.weights.slices import WeightsSlice

DIGEST_HEADER = "x-weights-digest"


class WeightViews:
    """Serves ``/weights``."""

    def __init__(
        self,
        weights: WeightsSlice,
        cache: WeightCache,
        fetcher: WeightFetcher,
        token_sha256: str,
    ) -> None:
        self._weights = weights
        self._cache = cache
        self._fetcher = fetcher
        self._token_sha256 = token_sha256

    async def weights(self, request: web.Request) -> web.StreamResponse:
        """Send a published version to an engine or to another entry."""
        proof = request.headers.get(PROOF_HEADER)
        if proof is None and not self._has_target_token(request):
            return refuse(Refusal(RefusalReason.INVALID_KEY, "unknown target token"))
        version = parse_count(request.match_info["version"])
        if version is None:
            detail = "the version is not a number"
            return refuse(Refusal(RefusalReason.BAD_REQUEST, detail))
        weights = self._weights.find(
            ModelName(request.match_info["model"]), WeightVersion(version)
        )
        if weights is None:
            return refuse(
                Refusal(
                    RefusalReason.NOT_FOUND,
                    "no such version, or not replicated to this entry yet",
                    retry_after_seconds=1.0,
                )
            )
        if proof is not None and not self._fetcher.is_valid_proof(proof, weights):
            return refuse(Refusal(RefusalReason.INVALID_KEY, "invalid peer proof"))
        path = await self._fetcher.obtain(weights, for_entry=proof is not None)
        if isinstance(path, Refusal):
            return refuse(path)
        with self._cache.pinned(weights.digest):
            response = web.FileResponse(
                path,
                headers={
                    "content-type": "application/octet-stream",
                    DIGEST_HEADER: weights.digest,
                },
            )
            await response.prepare(request)
        return response

    def _has_target_token(self, request: web.Request) -> bool:
        _, _, token = request.headers.get("authorization", "").partition(" ")
        digest = hashlib.sha256(bytes_of(token.strip())).hexdigest()
        return hmac.compare_digest(digest, self._token_sha256.lower())
