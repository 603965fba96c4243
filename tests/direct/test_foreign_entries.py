"""Tests of odd objects of other writers: one of them must not hide the others."""

import orjson
import pytest

from tests.direct.site import make_order, make_site

DEEP = b"[" * 100_000 + b"]" * 100_000
#: Bytes of a value, each of which some decoder rejects, or some encoder.
ODD_VALUES = {
    "nested 100,000 levels": DEEP,
    "nested 1,100 levels": b"[" * 1100 + b"]" * 1100,
    "nested 300 levels": b"[" * 300 + b"]" * 300,
    "nested objects": b'{"a":' * 2000 + b"1" + b"}" * 2000,
    "400 digits": b"9" * 400,
    "beyond a float": b"1e999",
    "no number": b"NaN",
    "lone surrogate": b'"\\ud800"',
    "Latin-1": b'"k\xf6ping"',
    "control character": b'"a\x01b"',
    "brackets in a string": b'"]}],[{\\"]\x01"',
    "escaped quotes": b'"\\\\\\"]}\\\\\xf6"',
    "null": b"null",
    "text": b'"text"',
    "list": b"[1, 2]",
}
#: Members of an otherwise valid entry of an upstream.
ODD_FIELDS = [
    ("slots", value)
    for value in ("400 digits", "beyond a float", "nested 1,100 levels", "no number")
] + [("zone", "Latin-1"), ("service", "lone surrogate"), ("x", "nested 300 levels")]
ODD_NAMES = [
    b'"i-k\xf6ping"',
    b'"\\ud800"',
    b'"a,b"',
    b'"a\\r\\nX-Y: z"',
    b'"a b&c=%00#?"',
    b'"\xc3\xa9"',
    b'""',
    b"5",
    b"1e999",
    b'"' + 5000 * b"n" + b'"',
    DEEP,
]


def put_raw(store, kind, name, value):
    """Put an object whose name and value are given as JSON text."""
    store.put(kind, name, orjson.Fragment(value), orjson.Fragment(name))


def encode_entry(site, **odd_fields):
    """Return the JSON text of an entry with the address of an upstream that exists."""
    entry = dict(site.store.objects["servers"]["da"]["spec"])
    entry.update({name: orjson.Fragment(value) for name, value in odd_fields.items()})
    return orjson.dumps(entry)


def serve_lookups(site, n_lookups=12):
    """Send lookups to all nodes in turn; return the statuses and who answered."""
    outcomes = set()
    for number in range(n_lookups):
        caller = site.connect(site.nodes[number % len(site.nodes)])
        caller.send_request("/order/x", request_id=f"r{site.version}-{number}")
        status, headers, _ = caller.read_response()
        outcomes.add((status, headers.get("response-seal", "").partition(".")[0]))
        caller.sock.close()
    return outcomes


def check_that_others_are_followed(site):
    """Check that upstreams and routes that change are used by all nodes, and new ones.

    The upstreams of the desk are replaced, then a node starts, as after a restart.
    """
    for name in ("da", "db"):
        site.upstreams[name].announce("draining")
        site.store.delete("servers", name)
    site.add_upstream("dc", "desk")
    site.publish([make_order(type="safe")])
    site.run_for(1.2)
    assert serve_lookups(site) == {(200, "dc")}
    site.start_node(seeds=[_format_peer(node) for node in site.nodes])
    site.run_until(lambda: site.nodes[-1].is_ready)
    assert serve_lookups(site) == {(200, "dc")}
    assert not site.loop_errors.find("handler failed")
    assert not any(log.find("store lost") for log in site.logs)


def _format_peer(node):
    return "{}:{}".format(*node.settings.peers_address)


@pytest.fixture
def site():
    return make_site(n_nodes=3)


@pytest.mark.parametrize("value", ODD_VALUES)
@pytest.mark.parametrize("kind", ["servers", "evacuations", "heatherpick-nodes"])
def test_odd_value_hides_no_other_object(site, kind, value):
    # Guards against lists of upstreams that nobody follows any more.
    put_raw(site.store, kind, b'"odd"', ODD_VALUES[value])
    check_that_others_are_followed(site)


@pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
def test_odd_field_of_an_entry_hides_no_other_entry(site, field, value):
    entry = encode_entry(site, **{field: ODD_VALUES[value]})
    put_raw(site.store, "servers", b'"odd"', entry)
    check_that_others_are_followed(site)


@pytest.mark.parametrize("name", ODD_NAMES, ids=range(len(ODD_NAMES)))
@pytest.mark.parametrize("kind", ["servers", "evacuations", "heatherpick-nodes"])
def test_odd_name_hides_no_other_object(site, kind, name):
    put_raw(site.store, kind, name, encode_entry(site))
    check_that_others_are_followed(site)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:70000", "nowhere:x", "127.0.0.1:0", ":"]
)
def test_node_entry_with_an_odd_address_stops_no_polls(site, address):
    value = {
        "address": address,
        "search_address": address,
        "data_centre": "a",
        "link_mbps": 1e6,
    }
    put_raw(site.store, "heatherpick-nodes", b'"odd"', orjson.dumps(value))
    check_that_others_are_followed(site)


def test_odd_objects_in_a_list_after_the_history_is_gone(site):
    for number, value in enumerate(ODD_VALUES.values()):
        name = b'"odd-%d"' % number
        put_raw(site.store, "servers", name, value)
        put_raw(site.store, "config", name, value)
    site.store.forget_history()
    check_that_others_are_followed(site)


def test_entry_that_is_overwritten_with_odd_bytes_is_not_used(site):
    site.publish([make_order(type="safe")])
    put_raw(site.store, "servers", b'"da"', ODD_VALUES["beyond a float"])
    site.run_for(1.2)
    assert serve_lookups(site) == {(200, "db")}
