"""Tests of the decoding of the platform's documents and settings file."""

import copy
import math
import socket
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherpick._net.http_client import Exchange
from heatherpick._net.telemetry import Counters
from heatherpick.errors import SettingsError
from heatherpick.platform.settings import PATH_VARIABLE, PlatformSettings
from heatherpick.platform.store import PlatformStore
from heatherpick.platform.wire import decode_snapshot, decode_upstream

ENTRY = {
    "service": "parts",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold-remaining-ms": 1500,
    "seq": 4,
    "born": 1700000000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "find",
            "host": "Search.Example",
            "path-prefix": "/find/",
            "type": "safe",
            "timeout-ms": 500,
            "slo-ms": 95,
            "priority": 2,
            "gather": ["p1", "p2"],
            "attempts": 2,
            "top-k": 5,
            "min-coverage": 0.75,
        },
        {
            "name": "order",
            "host": "search.example",
            "path-prefix": "/order/",
            "type": "unsafe",
            "timeout-ms": 5001,
            "slo-ms": 800,
            "priority": 2,
            "service": "desk",
            "attempts": 2,
        },
        {
            "name": "both",
            "host": "search.example",
            "path-prefix": "/both/",
            "type": "safe",
            "timeout-ms": 100,
            "split": [
                {"service": "desk", "weight": 3},
                {"service": "other", "weight": 1},
            ],
            "attempts": 1,
        },
    ],
    "services": [{"name": "p1", "max-connections": 60, "cold-per-s": 4.0}],
    "limits": {
        "max-header-bytes": 100,
        "max-body-bytes": 200,
        "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    },
}
SETTINGS = {
    "node-name": "n1",
    "zone": "a",
    "ip": "10.1.0.9",
    "seeds": ["10.1.0.9:8106", "10.2.0.21:8106"],
    "listen": {
        "front": "10.1.0.9:8104",
        "ready": "10.1.0.9:8108",
        "control": "10.1.0.9:8106",
    },
    "bounds": {
        "retry-budget-ratio": 0.2,
        "retry-slack": 104,
        "grace-s": 6,
        "config-apply-ms": 3000,
        "drain-ms": 4000,
        "evacuate-ms": 5000,
    },
    "platform": {"address": "10.200.1.7:8102"},
    "internal-ports": [7380, 7395],
    "limits": {"link-mbps": 350.0},
}


def test_entry_is_decoded_to_an_upstream():
    upstream = decode_upstream("i-1", ENTRY)
    assert (upstream.host, upstream.port) == ("10.128.0.9", 8080)
    assert (upstream.data_centre, upstream.n_slots) == ("a", 3)
    assert (upstream.is_draining, upstream.cold_ms) == (False, 1500.0)
    assert upstream.started_ms == 1700000000000


def test_draining_entry_is_decoded_as_draining():
    assert decode_upstream("i-1", {**ENTRY, "state": "draining"}).is_draining


@pytest.mark.parametrize("field", ["service", "address", "zone", "slots", "state"])
def test_entry_without_a_required_field_is_ignored(field):
    entry = {key: value for key, value in ENTRY.items() if key != field}
    assert decode_upstream("i-1", entry) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", 5),
        ("service", ""),
        ("address", "10.128.0.9"),
        ("address", "host:80"),
        ("address", "10.128.0.900:80"),
        ("address", "10.128.0.9:x"),
        ("address", None),
        ("address", "10.128.0.9:0"),
        ("address", "10.128.0.9:65536"),
        ("address", "10.128.0.9:70000"),
        ("address", "10.128.0.9:" + 400 * "9"),
        ("address", "10.128.0.9:\u00b2"),
        ("address", "10.128.0.9:\u0663"),
        ("address", "010.128.0.9:80"),
        ("address", "10.128.0.9:80 "),
        ("address", "10.128.0.9:80\r\nX: y"),
        ("zone", ["a"]),
        ("slots", "3"),
        ("slots", None),
        ("slots", -1),
        ("slots", True),
        ("slots", 10**400),
        ("slots", float("inf")),
        ("slots", float("nan")),
        ("state", "resting"),
        ("state", 1),
        ("cold-remaining-ms", "soon"),
        ("cold-remaining-ms", 1e300),
        ("cold-remaining-ms", False),
        ("born", "yesterday"),
        ("born", float("inf")),
    ],
)
def test_entry_with_an_invalid_field_is_ignored(field, value):
    assert decode_upstream("i-1", {**ENTRY, field: value}) is None


@pytest.mark.parametrize(
    "name",
    [
        "",
        "i k",
        "i,k",
        "i\r\nX: y",
        "i-k\ufffdping",
        "i-k\u00f6ping",
        "\ud800",
        201 * "i",
    ],
)
def test_entry_whose_name_cannot_be_sent_in_a_header_is_ignored(name):
    # Guards against names that end a group of legs, or add headers to a request.
    assert decode_upstream(name, ENTRY) is None


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda values: st.lists(values) | st.dictionaries(st.text(), values),
    max_leaves=5,
)


@given(st.text(), st.dictionaries(st.sampled_from([*ENTRY, "x"]), json_values))
def test_entry_of_any_shape_is_usable_or_ignored(name, fields):
    entry = decode_upstream(name, {**ENTRY, **fields})
    if entry is not None:
        assert f"{entry.id}".encode("latin-1").isalnum() or entry.id.isprintable()
        assert socket.inet_aton(entry.host)
        assert 0 < entry.port < 65536
        assert 0 < entry.n_slots < 10**6
        assert math.isfinite(entry.cold_ms)


@pytest.mark.parametrize("value", [None, [], "text", 5, {}])
def test_entry_of_another_type_is_ignored(value):
    assert decode_upstream("i-1", value) is None


def test_configuration_is_decoded_to_a_snapshot():
    snapshot = decode_snapshot(CONFIGURATION)
    find = snapshot.find_route("search.example", "/find/x")
    assert (find.is_gather, find.services, find.max_upstreams) == (
        True,
        ("p1", "p2"),
        2,
    )
    assert (find.n_records, find.least_coverage) == (5, 0.75)
    order = snapshot.find_route("search.example", "/order/")
    assert (order.repeatable, order.objective_ms) == (False, 800.0)
    both = snapshot.find_route("search.example", "/both/")
    assert (both.services, both.weights) == (("desk", "other"), (3.0, 1.0))
    assert both.objective_ms == 100.0
    assert snapshot.services["p1"].cold_requests_per_s == 4.0
    assert snapshot.limits.max_body_bytes == 200


@pytest.mark.parametrize("field", ["version", "routes", "services"])
def test_configuration_without_a_required_field_raises(field):
    configuration = copy.deepcopy(CONFIGURATION)
    del configuration[field]
    with pytest.raises((KeyError, TypeError, ValueError)):
        decode_snapshot(configuration)


def test_settings_are_read_from_the_parsed_file():
    settings = PlatformSettings.from_toml(SETTINGS, "local.toml")
    assert settings.store_address == ("10.200.1.7", 8102)
    assert settings.extra_slack == 104.0
    assert settings.news_s == 3.0
    assert settings.seeds[1] == "10.2.0.21:8106"
    assert settings.search_address == ("10.1.0.9", 7380)
    assert settings.link_mbps == 350.0


def test_all_invalid_settings_are_reported_together():
    invalid = copy.deepcopy(SETTINGS)
    del invalid["zone"]
    invalid["listen"]["front"] = "nowhere"
    invalid["bounds"]["grace-s"] = "six"
    with pytest.raises(SettingsError) as caught:
        PlatformSettings.from_toml(invalid, "local.toml")
    subjects = [finding.subject for finding in caught.value.findings]
    assert subjects == ["zone", "listen.front", "bounds.grace-s"]


def test_empty_list_of_internal_ports_is_reported():
    invalid = {**copy.deepcopy(SETTINGS), "internal-ports": []}
    with pytest.raises(SettingsError) as caught:
        PlatformSettings.from_toml(invalid, "local.toml")
    assert [each.subject for each in caught.value.findings] == ["internal-ports"]


def test_settings_file_that_is_not_utf_8_is_reported(tmp_path, monkeypatch):
    path = tmp_path / "local.toml"
    path.write_bytes(b'node-name = "\xff"\n')
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    with pytest.raises(SettingsError) as caught:
        PlatformSettings.from_environment()
    assert [each.subject for each in caught.value.findings] == ["file"]


class ManualLoop:
    """Records the timers of the store's client; none expires."""

    def call_later(self, delay_s, callback, *args):
        return SimpleNamespace(cancel=lambda: None)


def test_cancelled_put_does_not_replace_an_object_that_exists(monkeypatch):
    exchanges = []
    store = PlatformStore(ManualLoop(), "127.0.0.1", 1, Counters())
    monkeypatch.setattr(store, "_pool", SimpleNamespace(send=exchanges.append))
    results = []
    cancel = store.put_object("nodes", "n1", {}, results.append)
    conflict = SimpleNamespace(status=409, body=b"{}")
    exchanges[0].on_done(exchanges[0], conflict, True, None)
    assert len(exchanges) == 2
    cancelled = []
    monkeypatch.setattr(Exchange, "cancel", lambda self: cancelled.append(self))
    cancel()
    assert (cancelled, results) == ([exchanges[1]], [])
