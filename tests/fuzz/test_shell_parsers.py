"""For arbitrary input, each parser returns a value or raises its documented error."""

import dataclasses
import typing

import msgpack
import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherpick._core import messages as msg
from heatherpick._core.effects import CalledLeg
from heatherpick._shell.codec import _TAGS, decode_message, encode_message
from heatherpick._shell.exchanges import HttpResponse
from heatherpick._shell.request_checks import (
    check_content,
    check_deadline,
    check_key,
    check_traceparent,
)
from heatherpick._shell.upstream_responses import (
    parse_legs_response,
    parse_order_response,
)
from heatherpick.errors import FrameError, InvalidArgument

fuzz = settings(derandomize=True, deadline=None, max_examples=300, database=None)

JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(["id", "legs", "status", "shard", "hits", "n_hits", "x"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
STATUSES = st.sampled_from([200, 409, 500, 503])


def build_values(hint):
    """Return a strategy for values of a message field's type."""
    if dataclasses.is_dataclass(hint):
        hints = typing.get_type_hints(hint)
        names = [field.name for field in dataclasses.fields(hint)]
        return st.builds(hint, *[build_values(hints[name]) for name in names])
    args = typing.get_args(hint)
    if args and args[-1] is Ellipsis:
        return st.lists(build_values(args[0]), max_size=3).map(tuple)
    if args:
        return st.tuples(*[build_values(arg) for arg in args])
    if hint is tuple:
        return st.lists(st.dictionaries(st.text(), st.integers(0, 9))).map(tuple)
    if hint is float:
        return st.floats(allow_nan=False, allow_infinity=False)
    if hint is int:
        return st.integers(-(2**63), 2**64 - 1)
    return st.from_type(hint)


MESSAGES = st.one_of([build_values(cls) for cls in _TAGS])


@fuzz
@given(MESSAGES)
def test_message_round_trips(message):
    decoded = decode_message(encode_message(message))
    assert decoded == message and type(decoded) is type(message)


@fuzz
@given(st.binary(max_size=200))
def test_any_bytes_decode_or_raise_a_frame_error(frame):
    try:
        decode_message(frame)
    except FrameError:
        pass


@fuzz
@given(MESSAGES, st.data())
def test_corrupted_frame_decodes_or_raises_a_frame_error(message, data):
    frame = bytearray(encode_message(message))
    for _ in range(data.draw(st.integers(1, 3))):
        frame[data.draw(st.integers(0, len(frame) - 1))] = data.draw(
            st.integers(0, 255)
        )
    try:
        decode_message(bytes(frame))
    except FrameError:
        pass


@fuzz
@given(st.sampled_from(sorted(_TAGS.values())), st.lists(JSON, max_size=10))
def test_any_fields_decode_or_raise_a_frame_error(tag, values):
    try:
        message = decode_message(msgpack.packb([tag, *values]))
    except FrameError:
        return
    assert decode_message(encode_message(message)) == message


@fuzz
@given(STATUSES, JSON.map(orjson.dumps) | st.binary(max_size=60))
def test_any_response_gives_every_leg_one_outcome(status, body):
    legs = tuple(
        CalledLeg(index, msg.LegSpec(index, "u", shard), "r", 1, "{}", "")
        for index, shard in enumerate((0, 1, 7))
    )
    response = HttpResponse(status, body)
    ended = parse_legs_response(1, legs, response, 1.0)
    assert [outcome.leg_id for outcome in ended.outcomes] == [0, 1, 2]
    assert type(parse_order_response(1, "k", response, 1.0).status) is msg.LegStatus


@fuzz
@given(
    st.binary(max_size=80)
    | st.dictionaries(st.sampled_from(["query", "order", "x"]), JSON).map(orjson.dumps)
)
def test_any_body_parses_or_raises_an_invalid_argument(body):
    try:
        kind, text = check_content(body)
    except InvalidArgument:
        return
    assert kind in ("query", "order")
    orjson.loads(text)


@fuzz
@given(st.text(max_size=60) | st.floats().map(str))
def test_any_header_parses_or_raises_an_invalid_argument(text):
    assert check_traceparent(text) in ("", text)
    for check in (check_deadline, lambda value: check_key("order", value)):
        try:
            check(text)
        except InvalidArgument:
            pass
