"""The stored bodies that batches still need."""

from goldcrestyard.core.ids import BodyDigest
from goldcrestyard.membership.body_client import BodyClient
from goldcrestyard.plugins.trainers.manifests import decode_manifest
from goldcrestyard.plugins.trainers.slices import StepsSlice


async def referenced_bodies(
    steps: StepsSlice, bodies: BodyClient
) -> set[BodyDigest] | None:
    """Return the manifests and chunks of the batches not yet acknowledged.

    Returns None if a manifest cannot be read, since its chunks are then not
    known.
    """
    referenced: set[BodyDigest] = set()
    for batch in steps.open_batches():
        body = await bodies.get(batch.manifest)
        if body is None:
            return None
        referenced.add(batch.manifest)
        referenced |= decode_manifest(body).chunks
    return referenced
