"""Document frames between nodes: compressed when sent, bounded when decoded."""

import zlib

import msgpack
import pytest

from bench.shapes import Shape, build_declarations
from heatherpick._core.messages import DocumentReply
from heatherpick._shell.codec import decode_message, encode_message
from heatherpick._shell.documents import MAX_DOCUMENT_BYTES
from heatherpick.declarations import encode_declarations
from heatherpick.errors import FrameError

TAG = encode_message(DocumentReply("d", 1, ""))[1]


def pack(*fields):
    return msgpack.packb((TAG, *fields))


def test_declarations_of_the_planned_size_compress_to_a_quarter():
    body = encode_declarations(build_declarations(Shape(8000, 15)))
    reply = DocumentReply("shared/declarations", 7, body)
    frame = encode_message(reply)
    assert len(frame) < len(body) / 4
    assert decode_message(frame) == reply


@pytest.mark.parametrize(
    "fields",
    [
        ("d", 1, "text"),
        ("d", 1.0, zlib.compress(b"a")),
        ("d", 1),
        ("d", 1, b"not compressed"),
        ("d", 1, zlib.compress(b"a" * 100)[:-5]),
        ("d", 1, zlib.compress(b"a") + b"more"),
        ("d", 1, zlib.compress(b"\xff")),
        ("d", 1, zlib.compress(b"a" * (MAX_DOCUMENT_BYTES + 1))),
    ],
)
def test_document_frame_with_invalid_fields_is_rejected(fields):
    with pytest.raises(FrameError):
        decode_message(pack(*fields))
