"""Compression of the messages between control members.

The texts of items make up most of what the leader replicates, and each member
in another region receives them over a link that is billed by volume.
"""

import zlib

import cbor2

from goldcrestyard.core.decoding import DECODE_ERRORS

MIN_COMPRESSED_BYTES = 1024
"""Size from which messages are compressed.  Heartbeats are smaller."""

COMPRESSION_LEVEL = 1
"""Level of zlib; higher ones cost more time than the bytes they save."""

MAX_MESSAGES_BYTES = 16 * 1024 * 1024
"""Largest size of uncompressed messages.  A batch holds about 1 MiB, and a
single message at most what one entry of the log holds."""


class CompressionError(Exception):
    """Compressed messages are malformed, or too large when uncompressed."""


def compress(messages: tuple[bytes, ...]) -> bytes | None:
    """Return messages as one compressed block, or None if it does not pay."""
    size = sum(map(len, messages))
    if size < MIN_COMPRESSED_BYTES or size > MAX_MESSAGES_BYTES // 2:
        return None
    block = zlib.compress(cbor2.dumps(messages), COMPRESSION_LEVEL)
    return block if len(block) < size else None


def decompress(block: bytes) -> tuple[bytes, ...]:
    """Return the messages in a compressed block.

    Raises ``CompressionError`` if there are none.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(block, MAX_MESSAGES_BYTES)
        if not decompressor.eof:
            raise CompressionError("the block is truncated or too large")
        messages = cbor2.loads(data)
    except (zlib.error, cbor2.CBORDecodeError, *DECODE_ERRORS) as error:
        raise CompressionError(f"the block cannot be decompressed: {error}") from error
    if not isinstance(messages, list) or not all(
        isinstance(message, bytes) for message in messages
    ):
        raise CompressionError("the block holds no messages")
    return tuple(messages)
