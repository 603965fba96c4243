"""Encoding of the messages between nodes: msgpack arrays of a tag and the fields.

Decoding is strict: a frame is either exactly one known message, with every field of
its declared type, or it raises a `FrameError`. The field types of the message classes
are inspected once, at import, to build one converter per field.
"""

from dataclasses import fields, is_dataclass
from enum import IntEnum
from math import isfinite
from operator import attrgetter
from typing import get_args, get_origin, get_type_hints

import msgpack

from heatherpick._core import messages
from heatherpick._shell.documents import decode_document, encode_document
from heatherpick.errors import FrameError

__all__ = ["MAX_FRAME_BYTES", "decode_message", "encode_message"]

#: Maximum size of a frame, sent or received, in bytes.
MAX_FRAME_BYTES = 8 * 1024 * 1024

#: Message tags on the wire. A tag is never reused for another message.
_TAGS = {
    messages.Hello: 1,
    messages.Heartbeat: 2,
    messages.LegBatch: 3,
    messages.LegResults: 4,
    messages.LegCancel: 5,
    messages.KeyedCall: 6,
    messages.KeyedResult: 7,
    messages.DocumentRequest: 8,
    messages.DocumentReply: 9,
}


def encode_message(message):
    """Encode a message as a frame without its length prefix.

    Parameters
    ----------
    message : object
        Instance of a class of `heatherpick._core.messages`.

    Returns
    -------
    bytes

    Raises
    ------
    FrameError
        The message is of an unknown class, contains a value that msgpack cannot
        encode, or exceeds `MAX_FRAME_BYTES`.
    """
    encode = _ENCODERS.get(type(message))
    if encode is None:
        raise FrameError(f"{type(message).__name__} is not a known message class")
    try:
        frame = msgpack.packb((_TAGS[type(message)], *encode(message)))
    except (TypeError, ValueError, OverflowError) as error:
        raise FrameError(
            f"{type(message).__name__} cannot be encoded: {error}"
        ) from error
    if len(frame) > MAX_FRAME_BYTES:
        raise FrameError(
            f"{type(message).__name__} of {len(frame)} bytes is too large;"
            f" the limit is {MAX_FRAME_BYTES}"
        )
    return frame


def decode_message(frame):
    """Decode the message in a frame.

    Parameters
    ----------
    frame : bytes
        One frame, without its length prefix.

    Returns
    -------
    object
        Instance of a class of `heatherpick._core.messages`.

    Raises
    ------
    FrameError
        The bytes are not exactly one message of a known class.
    """
    try:
        values = msgpack.unpackb(frame, use_list=False)
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        raise FrameError(f"frame is not valid msgpack: {error}") from error
    if type(values) is not tuple or not values or type(values[0]) is not int:
        raise FrameError("frame does not start with a message tag")
    decode = _DECODERS.get(values[0])
    if decode is None:
        raise FrameError(f"unknown message tag {values[0]}")
    return decode(values[1:])


def _build_encoder(cls):
    names = [field.name for field in fields(cls)]
    hints = get_type_hints(cls)
    nested = {
        index: encode
        for index, name in enumerate(names)
        if (encode := _build_value_encoder(hints[name])) is not None
    }
    if len(names) == 1:
        get_value = attrgetter(names[0])
        get_values = lambda message: (get_value(message),)  # noqa: E731
    else:
        get_values = attrgetter(*names)
    if not nested:
        return get_values

    def encode(message):
        values = list(get_values(message))
        for index, encode_value in nested.items():
            values[index] = encode_value(values[index])
        return values

    return encode


def _build_value_encoder(hint):
    """Return a function that makes a value packable, or None if it already is."""
    if is_dataclass(hint):
        return _build_encoder(hint)
    if get_origin(hint) is tuple and get_args(hint)[-1] is Ellipsis:
        encode_item = _build_value_encoder(get_args(hint)[0])
        if encode_item is not None:
            return lambda values: [encode_item(value) for value in values]
    return None


class _FieldTypeError(Exception):
    """Raised when a decoded value does not match the type of its field."""


def _build_decoder(cls):
    hints = get_type_hints(cls)
    names = [field.name for field in fields(cls)]
    wire_types = tuple(_choose_wire_type(hints[name]) for name in names)
    converters = {
        index: convert
        for index, name in enumerate(names)
        if (convert := _build_converter(hints[name])) is not None
    }

    def decode(values):
        # The types of all fields are compared at once: a comparison per field would
        # take longer than msgpack itself.
        if type(values) is not tuple or tuple(map(type, values)) != wire_types:
            values = _widen_numbers(cls, values, wire_types)
        if not converters:
            return cls(*values)
        values = list(values)
        try:
            for index, convert in converters.items():
                values[index] = convert(values[index])
        except _FieldTypeError as error:
            raise FrameError(f"{cls.__name__} contains {error}") from error
        return cls(*values)

    return decode


def _choose_wire_type(hint):
    """Return the type that msgpack decodes for a field of this type."""
    if is_dataclass(hint) or get_origin(hint) is tuple:
        return tuple
    if issubclass(hint, IntEnum):
        return int
    return hint


def _widen_numbers(cls, values, wire_types):
    """Return the values with ints converted to float in float fields.

    Raises `FrameError` if the number of fields or a type is wrong.
    """
    if type(values) is not tuple or len(values) != len(wire_types):
        raise FrameError(f"{cls.__name__} must have {len(wire_types)} fields")
    widened = [
        float(value) if wire_type is float and type(value) is int else value
        for value, wire_type in zip(values, wire_types, strict=True)
    ]
    if tuple(map(type, widened)) != wire_types:
        found = ", ".join(type(value).__name__ for value in values)
        raise FrameError(f"{cls.__name__} has fields of wrong types: ({found})")
    return widened


def _build_converter(hint):
    """Return a function that validates and converts a decoded value, or None."""
    if is_dataclass(hint):
        return _build_decoder(hint)
    if get_origin(hint) is tuple:
        return _build_tuple_converter(get_args(hint))
    if issubclass(hint, IntEnum):
        return _build_enum_converter(hint)
    return _check_finite if hint is float else None


def _check_finite(value):
    if not isfinite(value):
        raise _FieldTypeError(f"{value!r} instead of a finite number")
    return value


def _build_enum_converter(enum):
    members = {int(member): member for member in enum}

    def convert(value):
        member = members.get(value)
        if member is None:
            raise _FieldTypeError(f"{value} instead of a member of {enum.__name__}")
        return member

    return convert


def _build_tuple_converter(args):
    if args[-1] is Ellipsis:
        return _build_items_converter(args[0])
    wire_types = tuple(_choose_wire_type(arg) for arg in args)

    def convert(values):
        if tuple(map(type, values)) != wire_types:
            raise _FieldTypeError(
                f"a value that is no tuple of {len(wire_types)} correctly typed items"
            )
        return values

    return convert


def _build_items_converter(hint):
    wire_type = _choose_wire_type(hint)
    convert_item = _build_converter(hint)

    def convert(values):
        if any(type(value) is not wire_type for value in values):
            raise _FieldTypeError(f"items that are not {wire_type.__name__}")
        if convert_item is None:
            return values
        return tuple([convert_item(value) for value in values])

    return convert


_ENCODERS = {cls: _build_encoder(cls) for cls in _TAGS}
_DECODERS = {tag: _build_decoder(cls) for cls, tag in _TAGS.items()}
_ENCODERS[messages.DocumentReply] = encode_document
_DECODERS[_TAGS[messages.DocumentReply]] = decode_document
