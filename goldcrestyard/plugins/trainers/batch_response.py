"""Responses that hand out a fixed batch to its trainer."""

from collections.abc import AsyncIterator

import msgspec

from goldcrestyard.core.refusals import Refusal, RefusalReason
from goldcrestyard.core.verdicts import Verdict
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.trainers.commands import Batch, StepKey
from goldcrestyard.plugins.trainers.manifests import Manifest, decode_manifest

_RESPONSE_END = b"]}"


class BatchResponse:
    """JSON response with a batch, read from the body store chunk by chunk.

    It depends only on the batch, so all entries answer a repeated request
    with the same bytes.
    """

    def __init__(
        self, head: bytes, batch: Batch, manifest: Manifest, bodies: BodyClient
    ) -> None:
        self._head = head
        self._batch = batch
        self._manifest = manifest
        self._bodies = bodies

    @property
    def length(self) -> int:
        """The length of the complete response in bytes."""
        samples = self._manifest.samples
        commas = max(0, len(samples) - 1)
        content = sum(sample.length for sample in samples)
        return len(self._head) + content + commas + len(_RESPONSE_END)

    async def parts(self) -> AsyncIterator[bytes | Refusal]:
        """Yield the response in parts.

        If a chunk cannot be read, a refusal is the last item.
        """
        yield self._head
        chunk_digest, chunk = None, b""
        for position, sample in enumerate(self._manifest.samples):
            if sample.chunk != chunk_digest:
                body = await self._bodies.get(sample.chunk)
                if body is None:
                    yield body_unavailable(f"chunk {sample.chunk}")
                    return
                chunk_digest, chunk = sample.chunk, body
            separator = b"," if position else b""
            yield separator + chunk[sample.offset : sample.offset + sample.length]
        yield _RESPONSE_END


async def open_response(
    key: StepKey, attempt: int, batch: Batch, bodies: BodyClient
) -> BatchResponse | Refusal:
    """Read a batch's manifest and return the response to send."""
    body = await bodies.get(batch.manifest)
    if body is None:
        return body_unavailable(f"manifest {batch.manifest}")
    head = msgspec.json.encode(
        {
            "batch": batch.id,
            "model": key.model,
            "step": key.number,
            "attempt": attempt,
            "count": batch.count,
            "versions": batch.versions,
            "samples": [],
        }
    )
    return BatchResponse(
        head.removesuffix(_RESPONSE_END), batch, decode_manifest(body), bodies
    )


def body_unavailable(description: str) -> Refusal:
    """Return the refusal for a body that no control member returned.

    ``description`` names the body in the refusal's text.
    """
    return Refusal(
        RefusalReason.UNKNOWN_OUTCOME,
        f"{description} cannot be read from the body store at the moment; ask again",
        Verdict.MAY_HAVE_RUN,
        retry_after_seconds=1.0,
    )
