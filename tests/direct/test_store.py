"""Tests of the client of the store, with responses that hold odd objects."""

from types import SimpleNamespace

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherpick._fleet.copies import Listing, StoreFailure
from heatherpick._net.json_pieces import decode_leniently
from heatherpick._net.telemetry import Counters
from heatherpick.platform.store import PlatformStore
from tests.direct.test_foreign_entries import ODD_NAMES, ODD_VALUES

values = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**53), 2**53) | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
odd_texts = st.sampled_from(
    [ODD_VALUES[name] for name in ("nested 1,100 levels", "400 digits", "no number")]
    + [ODD_VALUES[name] for name in ("Latin-1", "brackets in a string")]
)


@given(values)
def test_valid_text_is_decoded_as_it_is(value):
    assert decode_leniently(orjson.dumps(value), n_levels=3) == value


@given(st.lists(values | odd_texts), st.sampled_from([b",", b" ,\n"]))
def test_odd_elements_become_none_and_leave_the_others(elements, separator):
    texts = [
        each if isinstance(each, bytes) else orjson.dumps(each) for each in elements
    ]
    expected = [None if isinstance(each, bytes) else each for each in elements]
    text = b'{"items": [' + separator.join(texts) + b'], "at-rev": 5}'
    document = decode_leniently(text, n_levels=2)
    assert document == {"items": expected, "at-rev": 5}


@given(st.binary(max_size=60), st.integers(0, 4))
def test_any_bytes_are_decoded_to_something(text, n_levels):
    for bracketed in (text, b"[" + text + b"]", b'{"a":' + text + b"}"):
        decode_leniently(bracketed, n_levels)


class ScriptedStore:
    """A client whose calls are recorded and answered by the test."""

    def __init__(self, monkeypatch):
        self.targets = []
        self._exchanges = []
        loop = SimpleNamespace(call_later=self._call_later)
        self.client = PlatformStore(loop, "127.0.0.1", 1, Counters())
        pool = SimpleNamespace(send=self._send)
        monkeypatch.setattr(self.client, "_pool", pool)

    @staticmethod
    def _call_later(_delay_s, _function, *_args):
        return SimpleNamespace(cancel=lambda: None)

    def _send(self, exchange):
        self._exchanges.append(exchange)
        self.targets.append(exchange.request_bytes.split(b" ")[1].decode())

    def answer(self, items, has_more, revision=7):
        body = b'{"items":[%s],"more":%s,"at-rev":%d}' % (
            b",".join(items),
            b"true" if has_more else b"false",
            revision,
        )
        exchange = self._exchanges[-1]
        response = SimpleNamespace(status=200, body=body)
        exchange.on_done(exchange, response, True, "")


@pytest.fixture
def scripted(monkeypatch):
    return ScriptedStore(monkeypatch)


def make_item(name, value=b"{}"):
    return b'{"meta":{"name":%s,"revision":3},"spec":%s}' % (name, value)


def test_next_page_begins_behind_the_quoted_last_name(scripted):
    results = []
    scripted.client.list_objects("servers", results.append)
    scripted.answer([make_item(b'"a"'), make_item(b'"b c&d=%\\u00e9"')], True, 9)
    scripted.answer([make_item(b'"z"')], False, 8)
    assert scripted.targets == [
        "/api/objects/servers",
        "/api/objects/servers?after=b%20c%26d%3D%25%C3%A9",
    ]
    assert [each.name for each in results[0].objects] == ["a", "b c&d=%\xe9", "z"]
    assert results[0].revision == 8


@pytest.mark.parametrize("name", ODD_NAMES, ids=range(len(ODD_NAMES)))
def test_page_of_one_odd_object_does_not_end_the_list(scripted, name):
    # A large object fills a page of its own, so no other name tells where to go on.
    results = []
    scripted.client.list_objects("servers", results.append)
    scripted.answer([make_item(b'"a"')], True)
    scripted.answer([make_item(name, ODD_VALUES["beyond a float"])], True)
    if not results:
        assert scripted.targets[-1] != scripted.targets[-2]
        scripted.answer([make_item(b'"z"')], False)
    assert "a" in {each.name for each in results[0].objects}
    is_text = name.startswith(b'"') and name != b'""'
    assert ("z" in {each.name for each in results[0].objects}) == is_text


@pytest.mark.parametrize(
    "body", [b"", b"{}", b"[]", b"null", b'{"items":[1e999]}', b'{"at-rev":1e999}']
)
def test_document_of_another_shape_is_a_failure(scripted, body):
    results = []
    for call in (
        lambda: scripted.client.list_objects("servers", results.append),
        lambda: scripted.client.watch_objects("servers", 1, results.append),
        lambda: scripted.client.read_revision(results.append),
    ):
        call()
        exchange = scripted._exchanges[-1]
        response = SimpleNamespace(status=200, body=body)
        exchange.on_done(exchange, response, True, "")
    assert [type(each) for each in results] == 3 * [StoreFailure]


def test_list_whose_items_cannot_be_split_is_a_failure(scripted):
    # An empty list would take all upstreams out of use.
    results = []
    scripted.client.list_objects("servers", results.append)
    scripted.answer([b'{"meta":{"name":"a"},"spec":"'], False)
    assert type(results[0]) is StoreFailure


def test_cancelled_list_reads_no_further_page(scripted, monkeypatch):
    results, cancelled = [], []
    cancel = scripted.client.list_objects("servers", results.append)
    scripted.answer([make_item(b'"a"')], True)
    exchange = scripted._exchanges[-1]
    monkeypatch.setattr(
        type(exchange), "cancel", lambda exchange: cancelled.append(exchange)
    )
    cancel()
    assert cancelled == [exchange]
    assert results == []


def test_value_that_cannot_be_passed_on_counts_as_undecodable(scripted):
    results = []
    scripted.client.list_objects("servers", results.append)
    items = [make_item(b'"a"', ODD_VALUES["nested 300 levels"]), make_item(b'"b"')]
    scripted.answer(items, False)
    assert type(results[0]) is Listing
    assert [(each.name, each.value) for each in results[0].objects] == [
        ("a", None),
        ("b", {}),
    ]
