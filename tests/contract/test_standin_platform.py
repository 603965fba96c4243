import pytest
from twisted.internet.task import Clock

from standins.platform import Platform
from standins.store import MAX_BODY_BYTES
from tests.standin_client import LOST, StandinClient

NAME = "shared/declarations"
SEED = 11


class PlatformClient(StandinClient):
    """Client of a stand-in platform on a simulated clock."""

    def __init__(self):
        self.clock = Clock()
        self.platform = Platform(self.clock, SEED)
        super().__init__(self.platform.app, self.clock)

    def put(self, expected_version, body="x", name=NAME):
        path = f"/v1/objects/{name}"
        return self.call("PUT", path, {"body": body}, If_Match=str(expected_version))

    def get(self, name=NAME):
        return self.call("GET", f"/v1/objects/{name}")

    def watch(self, since, timeout_ms=5000, prefix="shared/"):
        query = f"prefix={prefix}&since={since}&timeout_ms={timeout_ms}"
        return self.call("GET", f"/v1/watch?{query}")

    def add_fault(self, kind, **fields):
        ((status, _),) = self.call("POST", "/_control/faults", {"kind": kind} | fields)
        assert status == 200

    def read_counters(self):
        return self.call("GET", "/_control/counters")[0][1]


@pytest.fixture
def client():
    return PlatformClient()


def test_each_write_increments_the_version(client):
    assert [client.put(n)[0] for n in range(3)] == [
        (200, {"version": n + 1}) for n in range(3)
    ]
    assert client.get() == [(200, {"name": NAME, "version": 3, "body": "x"})]


@pytest.mark.parametrize("expected_version", [0, 2, 99])
def test_write_over_another_version_conflicts_and_returns_the_object(
    client, expected_version
):
    client.put(0, "first")
    current = {"name": NAME, "version": 1, "body": "first"}
    assert client.put(expected_version, "second") == [(409, current)]
    assert client.get() == [(200, current)]


def test_update_of_an_absent_object_conflicts_and_returns_version_zero(client):
    assert client.put(3) == [(409, {"name": NAME, "version": 0, "body": ""})]
    assert client.get()[0][0] == 404


@pytest.mark.parametrize(
    ("method", "path", "body", "headers"),
    [
        ("PUT", "/v1/objects/a", {"body": "x"}, {}),
        ("PUT", "/v1/objects/a", {"body": "x"}, {"If_Match": "-1"}),
        ("PUT", "/v1/objects/a", {"body": 7}, {"If_Match": "0"}),
        ("PUT", "/v1/objects/a", ["x"], {"If_Match": "0"}),
        ("GET", "/v1/watch?since=soon", None, {}),
        ("POST", "/_control/faults", {"kind": "storm"}, {}),
        ("POST", "/_control/faults", {"kind": "slow", "delay": 3}, {}),
    ],
)
def test_malformed_call_is_rejected_with_its_error(client, method, path, body, headers):
    ((status, content),) = client.call(method, path, body, **headers)
    assert status == 400
    assert content["error"]


def test_body_over_the_size_limit_is_rejected_and_one_at_the_limit_accepted(client):
    assert client.put(0, "x" * (MAX_BODY_BYTES + 1))[0][0] == 413
    assert client.put(0, "x" * MAX_BODY_BYTES)[0][0] == 200


#: Fault, its fields, response at once, response after 1 s, version afterwards.
FAULTS = [
    ("outage", {}, [503], [503], 0),
    ("hang", {}, [], [], 0),
    ("slow", {"delay_ms": 500}, [], [200], 1),
    ("slow_answer", {"delay_ms": 500}, [], [200], 1),
    ("lose_answers", {}, [LOST], [LOST], 1),
    ("lose_answers", {"prefix": "claims/"}, [200], [200], 1),
    ("lose_answers", {"operations": ["get"]}, [200], [200], 1),
    ("outage", {"probability": 0.0}, [200], [200], 1),
]


def list_outcomes(responses):
    return [each if each is LOST else each[0] for each in responses]


@pytest.mark.parametrize(("kind", "fields", "immediate", "delayed", "version"), FAULTS)
def test_write_under_a_fault(client, kind, fields, immediate, delayed, version):
    client.add_fault(kind, **fields)
    responses = client.put(0)
    assert list_outcomes(responses) == immediate
    client.advance(1.0)
    assert list_outcomes(responses) == delayed
    stored = client.platform.store.read(NAME)
    assert (stored.version if stored else 0) == version


@pytest.mark.parametrize(("kind", "version"), [("slow", 0), ("slow_answer", 1)])
def test_slow_faults_delay_the_write_or_only_its_response(client, kind, version):
    client.add_fault(kind, delay_ms=500)
    client.put(0)
    stored = client.platform.store.read(NAME)
    assert (stored.version if stored else 0) == version


def test_slow_write_takes_effect_after_its_caller_disconnects(client):
    client.add_fault("slow", delay_ms=500)
    client.put(0)
    client.close()
    client.advance(1.0)
    assert client.platform.store.read(NAME).version == 1


def test_fault_with_n_next_ends_after_that_many_calls(client):
    client.add_fault("outage", n_next=2)
    assert [client.put(0)[0][0] for _ in range(3)] == [503, 503, 200]


def test_cleared_faults_have_no_effect(client):
    client.add_fault("outage")
    client.call("DELETE", "/_control/faults")
    assert client.put(0)[0][0] == 200


def test_faults_with_a_probability_are_reproducible_from_the_seed():
    def collect_statuses():
        client = PlatformClient()
        client.add_fault("outage", probability=0.5)
        return [client.get()[0][0] for _ in range(40)]

    first = collect_statuses()
    assert first == collect_statuses()
    assert set(first) == {404, 503}


def test_watch_returns_earlier_changes_at_once(client):
    client.put(0)
    client.put(0, name="claims/x")
    objects = [{"name": NAME, "version": 1, "body": "x"}]
    assert client.watch(since=0) == [(200, {"revision": 2, "objects": objects})]


def test_watch_waits_for_a_change_under_its_prefix_and_counts_as_one_call(client):
    responses = client.watch(since=0)
    client.put(0, name="claims/x")
    assert responses == []
    assert client.read_counters()["n_waiting"] == 1
    client.put(0)
    client.flush()
    assert responses[0][1]["revision"] == 2
    counts = client.read_counters()
    assert counts["n_waiting"] == 0
    assert counts["calls"] == {"watch": 1, "put": 2}


def test_watch_returns_no_objects_after_its_timeout(client):
    responses = client.watch(since=0, timeout_ms=2000)
    client.advance(2.0)
    assert responses == [(200, {"revision": 0, "objects": []})]


def test_watch_ends_when_its_caller_disconnects(client):
    client.watch(since=0)
    client.close()
    assert client.read_counters()["n_waiting"] == 0


@pytest.mark.parametrize(
    ("kind", "expected_outcomes"),
    [("outage", [503]), ("hang", []), ("lose_answers", [LOST])],
)
def test_new_fault_affects_a_waiting_watch(client, kind, expected_outcomes):
    responses = client.watch(since=0)
    client.add_fault(kind)
    client.advance(6.0)
    assert list_outcomes(responses) == expected_outcomes


def test_refused_calls_are_counted(client):
    client.add_fault("outage")
    client.put(0)
    client.get()
    assert client.read_counters()["calls"] == {"put": 1, "get": 1}
    assert client.read_counters()["seconds"] == [{"second": 0, "put": 1, "get": 1}]


def test_list_of_vms_shows_a_change_after_its_lag(client):
    old = {"live": ["a", "b"], "leaving": []}
    client.call("POST", "/_control/vms", old)
    new = {"live": ["a"], "leaving": ["b"]}
    client.call("POST", "/_control/vms", new | {"lag_ms": 3000})
    assert client.call("GET", "/v1/vms")[0][1] == old
    client.advance(2.9)
    assert client.call("GET", "/v1/vms")[0][1] == old
    client.advance(0.2)
    assert client.call("GET", "/v1/vms")[0][1] == new
