import itertools
import json
import re
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from heatherpick._declarations import decode
from heatherpick._declarations.kinds import KINDS
from heatherpick._ini import value_types
from heatherpick._settings.node import NODE_VALUE_TYPES
from heatherpick.declarations import (
    Drains,
    decode_declarations,
    decode_drains,
    encode_declarations,
    encode_drains,
    load_declarations,
)
from heatherpick.errors import DeclarationError, SettingsError
from heatherpick.settings import NodeSettings

DETERMINISTIC = settings(
    max_examples=200, derandomize=True, deadline=None, database=None
)

KEYS = sorted(
    {key for kind in KINDS.values() for key in kind.value_types} | {*NODE_VALUE_TYPES}
)
NAMES = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9._-]{0,8}", fullmatch=True)

TOKENS = st.sampled_from([*KINDS, *KEYS, "node", "a", "0", "1", "yes", "1.1.1.1:1"])
FRAGMENTS = st.one_of(
    TOKENS,
    st.sampled_from(["[", "]", "=", "\n", " ", "\t", "#", ";", "\r", "%", "@", "-"]),
    st.text(max_size=5),
    TOKENS.map(lambda token: f"\n[{token} a]\n"),
    TOKENS.map(lambda token: f"\n{token} = "),
)
TEXTS = st.lists(FRAGMENTS, max_size=30).map("".join)
CONTENTS = TEXTS.map(lambda text: text.encode("utf-8", "surrogatepass")) | st.binary()

JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.text(max_size=5) | TOKENS,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3) | TOKENS, inner, max_size=4)
    ),
    max_leaves=20,
)


@DETERMINISTIC
@given(content=CONTENTS)
def test_settings_raise_only_settings_errors(tmp_path_factory, content):
    path = tmp_path_factory.getbasetemp() / "node.ini"
    path.write_bytes(content)
    with pytest.raises(SettingsError) as caught:
        NodeSettings.from_file(path)
    assert caught.value.findings


@DETERMINISTIC
@given(content=CONTENTS)
def test_declarations_raise_only_declaration_errors(tmp_path_factory, content):
    path = tmp_path_factory.getbasetemp() / "set.ini"
    path.write_bytes(content)
    try:
        load_declarations([path])
    except DeclarationError as error:
        assert error.findings


@DETERMINISTIC
@given(lines=st.lists(st.sampled_from(["a = 1", "  b = 2", "[x]", "", "# c", "z"])))
def test_every_finding_names_a_line_of_the_file(tmp_path_factory, lines):
    path = tmp_path_factory.getbasetemp() / "lines.ini"
    path.write_text("\n".join(["[node]", *lines]))
    with pytest.raises(SettingsError) as caught:
        NodeSettings.from_file(path)
    for finding in caught.value.findings:
        assert 1 <= finding.line <= len(lines) + 1


@DETERMINISTIC
@given(content=JSON, kinds=JSON, body=st.text())
def test_decoders_raise_only_declaration_errors(content, kinds, body):
    wrapped = {"format": 1, "kinds": kinds}
    drains_content = {"format": 1, "data_centres": content, "upstreams": kinds}
    bodies = [body, *map(json.dumps, (content, wrapped, drains_content))]
    decoders = (decode_declarations, decode_drains)
    for decoder, text in itertools.product(decoders, bodies):
        try:
            decoder(text)
        except DeclarationError as error:
            assert error.findings


@st.composite
def declared_texts(draw):
    """Draw the text of a valid set with varying sizes, numbers and flags."""
    n_shards = draw(st.integers(1, 9))
    numbers = st.floats(0, 1e4, allow_subnormal=False).map(repr)
    coverage = draw(st.floats(0, 1))
    lines = ["[region r]", f"between_data_centres_ms = {draw(numbers)}"]
    lines += [f"to_callers_ms = {draw(numbers)}", "[data-centre a]", "region = r"]
    lines += ["[deadline d]", "total_ms = 3e6", f"margin_ms = {draw(numbers)}"]
    lines += ["[limit l]", "n_slots = 3", "n_cold_slots = 1", "n_connections = 9"]
    lines += [f"connect_ms = {draw(numbers)}", "n_batch = 1", "[shard-set f]"]
    lines += [f"index_version = {draw(st.integers(1, 10**15))}"]
    lines += [f"n_shards = {n_shards}", "n_group = 2"]
    shard_subsets = st.sets(st.integers(0, n_shards - 1), min_size=1)
    shards_by_upstream = [
        set(range(n_shards)),
        *draw(st.lists(shard_subsets, max_size=4)),
    ]
    for number, shards in enumerate(shards_by_upstream):
        lines += [f"[upstream u{number}]", "data_centre = a", "limit = l"]
        lines += [f"address = 10.0.0.1:{number + 1}", "shard_set = f"]
        lines += ["shards = " + " ".join(map(str, shards))]
    lines += [f"[service {draw(NAMES)}]", "shard_set = f", "deadline = d"]
    lines += [f"least_coverage = {coverage!r}", "weigh = coverage"]
    lines += [f"repeatable = {draw(st.sampled_from(['yes', 'no']))}"]
    return "\n".join(lines)


@DETERMINISTIC
@given(text=declared_texts())
def test_declarations_round_trip_through_their_document(tmp_path_factory, text):
    path = tmp_path_factory.getbasetemp() / "whole.ini"
    path.write_text(text)
    declarations = load_declarations([path])
    body = encode_declarations(declarations)
    assert decode_declarations(body) == declarations
    assert encode_declarations(decode_declarations(body)) == body


@DETERMINISTIC
@given(data_centres=st.frozensets(NAMES), upstreams=st.frozensets(NAMES))
def test_drains_round_trip_through_their_document(data_centres, upstreams):
    drains = Drains(data_centres, upstreams)
    assert decode_drains(encode_drains(drains)) == drains


EXAMPLE = json.loads(encode_declarations(load_declarations(["examples/kuusiketju"])))
ROW_NAMES = [row[0] for row in EXAMPLE["kinds"]["upstream"]["rows"]]
CELLS = (
    TOKENS
    | NAMES
    | st.none()
    | st.sampled_from(ROW_NAMES)
    | st.text(max_size=4)
    | st.just("findings")
)


@st.composite
def damaged_bodies(draw):
    """Draw the body of an example with one cell or key changed, inserted or removed."""
    content = json.loads(json.dumps(EXAMPLE))
    table = content["kinds"][draw(st.sampled_from(sorted(KINDS)))]
    lists = [table["keys"], draw(st.sampled_from(table["rows"]))]
    damaged_list = draw(st.sampled_from(lists))
    position = draw(st.integers(0, len(damaged_list) - 1))
    damaged_list[position : position + draw(st.integers(0, 1))] = draw(
        st.lists(CELLS, max_size=1)
    )
    return json.dumps(content)


def decode_or_none(body):
    try:
        return decode_declarations(body)
    except DeclarationError:
        return None


@DETERMINISTIC
@given(body=damaged_bodies())
def test_fast_decoding_agrees_with_decoding_that_reports_faults(body):
    fast_result = decode_or_none(body)
    with mock.patch.object(decode, "_decode_fast", lambda tables: None):
        assert decode_or_none(body) == fast_result


ADDRESSES = st.builds(
    "{}:{}".format,
    st.ip_addresses(v=4).map(str) | st.from_regex(r"[0-9.]{7,9}", fullmatch=True),
    st.integers(0, 70_000) | st.from_regex(r"0?[0-9]{1,5}", fullmatch=True),
)


@DETERMINISTIC
@given(text=ADDRESSES)
def test_canonical_address_parsing_agrees_with_ipaddress(text):
    address = value_types.AddressType()
    fast_result = address.parse(text)
    with mock.patch.object(value_types, "_CANONICAL_IPV4_ADDRESS", re.compile("(?!)")):
        assert address.parse(text) == fast_result
