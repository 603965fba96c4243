"""Documents on the wire between nodes: the body travels compressed."""

import zlib

from heatherpick._core.messages import DocumentReply
from heatherpick.errors import FrameError

__all__ = ["MAX_DOCUMENT_BYTES", "decode_document", "encode_document"]

#: Largest body that is accepted, in bytes; the platform stores no larger ones.
MAX_DOCUMENT_BYTES = 1024 * 1024

#: A body is encoded by each node that is asked for it, so the fastest level is used.
_COMPRESSION_LEVEL = 1

_FIELD_TYPES = (str, int, bytes)


def encode_document(message):
    """Return the fields of a `DocumentReply` as they travel."""
    body = zlib.compress(message.body.encode(), _COMPRESSION_LEVEL)
    return message.name, message.version, body


def decode_document(values):
    """Return the `DocumentReply` of fields as `encode_document` gives them.

    Raises
    ------
    FrameError
        If a field is of another type, or the body is not compressed text of at
        most `MAX_DOCUMENT_BYTES`.
    """
    if tuple(map(type, values)) != _FIELD_TYPES:
        found = ", ".join(type(value).__name__ for value in values)
        raise FrameError(f"DocumentReply does not hold ({found})")
    name, version, compressed = values
    return DocumentReply(name, version, _decompress(compressed))


def _decompress(compressed):
    # The limit is given to the decompressor: a small frame may expand to anything.
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
        is_complete = decompressor.eof and not decompressor.unused_data
        text = body.decode()
    except (zlib.error, UnicodeDecodeError) as error:
        raise FrameError(f"DocumentReply holds no compressed text: {error}") from error
    if not is_complete:
        raise FrameError(
            f"DocumentReply is cut short or above {MAX_DOCUMENT_BYTES} bytes"
        )
    return text
