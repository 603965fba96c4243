"""Encoding of documents in frames between nodes: the body is zlib-compressed."""

import zlib

from heatherpick._core.messages import DocumentReply
from heatherpick.errors import FrameError

__all__ = ["MAX_DOCUMENT_BYTES", "decode_document", "encode_document"]

#: Maximum size of a decompressed body, in bytes; the platform stores no larger ones.
MAX_DOCUMENT_BYTES = 1024 * 1024

#: Each node compresses the body anew for each request, so this is the fastest level.
_COMPRESSION_LEVEL = 1

_FIELD_TYPES = (str, int, bytes)


def encode_document(message):
    """Return the wire fields of a `DocumentReply`."""
    body = zlib.compress(message.body.encode(), _COMPRESSION_LEVEL)
    return message.name, message.version, body


def decode_document(values):
    """Return the `DocumentReply` for wire fields from `encode_document`.

    Raises
    ------
    FrameError
        A field has a wrong type, or the body is not compressed UTF-8 text of at most
        `MAX_DOCUMENT_BYTES`.
    """
    if tuple(map(type, values)) != _FIELD_TYPES:
        found = ", ".join(type(value).__name__ for value in values)
        raise FrameError(f"DocumentReply has fields of wrong types: ({found})")
    name, version, compressed = values
    return DocumentReply(name, version, _decompress(compressed))


def _decompress(compressed):
    # The decompressor enforces the limit, as a small frame may expand to any size.
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
        is_complete = decompressor.eof and not decompressor.unused_data
        text = body.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise FrameError(
            f"body of DocumentReply is not compressed text: {error}"
        ) from error
    if not is_complete:
        raise FrameError(
            "body of DocumentReply is truncated, has trailing data or exceeds"
            f" {MAX_DOCUMENT_BYTES} bytes"
        )
    return text
