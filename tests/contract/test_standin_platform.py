import pytest
from twisted.internet.task import Clock

from standins.platform import Platform
from standins.store import MAX_BODY_BYTES
from tests.wire_client import LOST, WireClient

NAME = "shared/declarations"
SEED = 11


class Rig(WireClient):
    """The stand-in with short names for its calls."""

    def __init__(self):
        self.clock = Clock()
        self.platform = Platform(self.clock, SEED)
        super().__init__(self.platform.app, self.clock)

    def put(self, expected, body="x", name=NAME):
        path = f"/v1/objects/{name}"
        return self.call("PUT", path, {"body": body}, If_Match=str(expected))

    def get(self, name=NAME):
        return self.call("GET", f"/v1/objects/{name}")

    def watch(self, since, timeout_ms=5000, prefix="shared/"):
        query = f"prefix={prefix}&since={since}&timeout_ms={timeout_ms}"
        return self.call("GET", f"/v1/watch?{query}")

    def break_by(self, kind, **fields):
        ((status, _),) = self.call("POST", "/_control/faults", {"kind": kind} | fields)
        assert status == 200

    def count(self):
        return self.call("GET", "/_control/counters")[0][1]


@pytest.fixture
def rig():
    return Rig()


def test_version_rises_by_one_with_each_write(rig):
    assert [rig.put(n)[0] for n in range(3)] == [
        (200, {"version": n + 1}) for n in range(3)
    ]
    assert rig.get() == [(200, {"name": NAME, "version": 3, "body": "x"})]


@pytest.mark.parametrize("expected", [0, 2, 99])
def test_write_over_another_version_is_a_conflict_that_shows_the_object(rig, expected):
    rig.put(0, "first")
    current = {"name": NAME, "version": 1, "body": "first"}
    assert rig.put(expected, "second") == [(409, current)]
    assert rig.get() == [(200, current)]


def test_write_over_an_absent_object_is_a_conflict_with_version_zero(rig):
    assert rig.put(3) == [(409, {"name": NAME, "version": 0, "body": ""})]
    assert rig.get()[0][0] == 404


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
def test_malformed_call_is_told_what_is_wrong(rig, method, path, body, headers):
    ((status, content),) = rig.call(method, path, body, **headers)
    assert status == 400
    assert content["error"]


def test_body_over_the_cap_is_refused_and_a_body_at_the_cap_is_not(rig):
    assert rig.put(0, "x" * (MAX_BODY_BYTES + 1))[0][0] == 413
    assert rig.put(0, "x" * MAX_BODY_BYTES)[0][0] == 200


#: Fault, its fields, answer at once, answer 1 s later, version afterwards.
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


def list_statuses(answers):
    return [each if each is LOST else each[0] for each in answers]


@pytest.mark.parametrize(("kind", "fields", "at_once", "later", "version"), FAULTS)
def test_write_under_a_fault(rig, kind, fields, at_once, later, version):
    rig.break_by(kind, **fields)
    answers = rig.put(0)
    assert list_statuses(answers) == at_once
    rig.advance(1.0)
    assert list_statuses(answers) == later
    stored = rig.platform.store.read(NAME)
    assert (stored.version if stored else 0) == version


@pytest.mark.parametrize(("kind", "version"), [("slow", 0), ("slow_answer", 1)])
def test_slow_write_takes_effect_late_or_at_once(rig, kind, version):
    rig.break_by(kind, delay_ms=500)
    rig.put(0)
    stored = rig.platform.store.read(NAME)
    assert (stored.version if stored else 0) == version


def test_slow_write_takes_effect_though_its_caller_has_gone(rig):
    rig.break_by("slow", delay_ms=500)
    rig.put(0)
    rig.close()
    rig.advance(1.0)
    assert rig.platform.store.read(NAME).version == 1


def test_fault_for_the_next_calls_ends_after_them(rig):
    rig.break_by("outage", n_next=2)
    assert [rig.put(0)[0][0] for _ in range(3)] == [503, 503, 200]


def test_faults_are_cleared(rig):
    rig.break_by("outage")
    rig.call("DELETE", "/_control/faults")
    assert rig.put(0)[0][0] == 200


def test_faults_by_probability_repeat_with_the_seed():
    def draw():
        rig = Rig()
        rig.break_by("outage", probability=0.5)
        return [rig.get()[0][0] for _ in range(40)]

    first = draw()
    assert first == draw()
    assert set(first) == {404, 503}


def test_watch_answers_at_once_with_what_has_changed(rig):
    rig.put(0)
    rig.put(0, name="claims/x")
    objects = [{"name": NAME, "version": 1, "body": "x"}]
    assert rig.watch(since=0) == [(200, {"revision": 2, "objects": objects})]


def test_watch_waits_for_its_prefix_and_counts_as_one_call(rig):
    answers = rig.watch(since=0)
    rig.put(0, name="claims/x")
    assert answers == []
    assert rig.count()["n_waiting"] == 1
    rig.put(0)
    rig.flush()
    assert answers[0][1]["revision"] == 2
    counts = rig.count()
    assert counts["n_waiting"] == 0
    assert counts["calls"] == {"watch": 1, "put": 2}


def test_watch_ends_empty_after_its_time(rig):
    answers = rig.watch(since=0, timeout_ms=2000)
    rig.advance(2.0)
    assert answers == [(200, {"revision": 0, "objects": []})]


def test_watch_of_a_caller_that_went_away_waits_no_longer(rig):
    rig.watch(since=0)
    rig.close()
    assert rig.count()["n_waiting"] == 0


@pytest.mark.parametrize(
    ("kind", "seen"), [("outage", [503]), ("hang", []), ("lose_answers", [LOST])]
)
def test_waiting_watch_feels_a_fault_that_starts(rig, kind, seen):
    answers = rig.watch(since=0)
    rig.break_by(kind)
    rig.advance(6.0)
    assert list_statuses(answers) == seen


def test_refused_calls_count_too(rig):
    rig.break_by("outage")
    rig.put(0)
    rig.get()
    assert rig.count()["calls"] == {"put": 1, "get": 1}
    assert rig.count()["seconds"] == [{"second": 0, "put": 1, "get": 1}]


def test_list_of_vms_lags(rig):
    old = {"live": ["a", "b"], "leaving": []}
    rig.call("POST", "/_control/vms", old)
    new = {"live": ["a"], "leaving": ["b"]}
    rig.call("POST", "/_control/vms", new | {"lag_ms": 3000})
    assert rig.call("GET", "/v1/vms")[0][1] == old
    rig.advance(2.9)
    assert rig.call("GET", "/v1/vms")[0][1] == old
    rig.advance(0.2)
    assert rig.call("GET", "/v1/vms")[0][1] == new
