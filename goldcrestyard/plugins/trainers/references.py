"""References from batches to stored bodies, which keep these from deletion."""

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.trainers.manifests import decode_manifest
from goldcrestyard.plugins.trainers.slices import StepsSlice


async def referenced_bodies(
    steps: StepsSlice, bodies: BodyClient
) -> set[BodyDigest] | None:
    """Return the digests of the manifests and chunks of open batches.

    Returns None if a manifest cannot be read, since its chunks are then
    unknown.
    """
    referenced: set[BodyDigest] = set()
    for batch in steps.open_batches():
        body = await bodies.get(batch.manifest)
        if body is None:
            return None
        referenced.add(batch.manifest)
        referenced |= decode_manifest(body).chunks
    return referenced
