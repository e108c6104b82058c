"""Encoding of data classes as CBOR, for peer messages and stored data."""

from typing import Any

import cbor2
import msgspec

from goldcrestyard.core.decoding import DECODE_ERRORS


class CodecError(Exception):
    """Data cannot be decoded, perhaps because of an incompatible release."""


class Codec:
    """Encodes registered data classes as ``[class name, fields by name]``.

    Fields are identified by name, so that processes of two releases can
    communicate during an upgrade: unknown fields are ignored, and missing
    ones take their default.
    """

    def __init__(self) -> None:
        self._classes_by_tag: dict[str, type] = {}

    def register(self, *message_classes: type) -> None:
        """Register data classes under their class names.

        Raises ``ValueError`` if another class has the same name.
        """
        for message_class in message_classes:
            known = self._classes_by_tag.setdefault(
                message_class.__name__, message_class
            )
            if known is not message_class:
                raise ValueError(f"Two message classes named {known.__name__}.")

    def encode(self, message: object) -> bytes:
        """Return the encoded message.

        Raises ``ValueError`` if its class is not registered.
        """
        tag = type(message).__name__
        if self._classes_by_tag.get(tag) is not type(message):
            raise ValueError(f"{tag} is not registered with the codec.")
        fields = msgspec.to_builtins(message, builtin_types=(bytes,))
        return cbor2.dumps([tag, fields])

    def decode(self, data: bytes) -> Any:
        """Return the message, or raise ``CodecError``."""
        try:
            tag, fields = cbor2.loads(data)
            message_class = self._classes_by_tag[tag]
            return msgspec.convert(fields, message_class, builtin_types=(bytes,))
        except (cbor2.CBORDecodeError, msgspec.ValidationError) as error:
            raise CodecError(f"Message cannot be decoded: {error}") from error
        except (KeyError, TypeError, *DECODE_ERRORS) as error:
            raise CodecError(f"Unknown or malformed message: {error}") from error
