import pytest
from twisted.internet.task import Clock

from standins.connections import ConnectionLimiter
from standins.hits import compute_hits
from standins.upstream import Upstream
from standins.upstream_config import UpstreamConfig
from standins.upstream_control import UpstreamControl
from tests.standin_client import LOST, StandinClient

#: Seconds after which every call to an upstream with `CONFIG` has ended.
MAX_CALL_S = 1.0
CONFIG = {
    "name": "u",
    "shard_set": "index",
    "served": {"7": [0, 1], "8": [0]},
    "n_slots": 2,
    "service_ms": 100,
    "service_spread": 0,
    "leg_ms": 0,
    "load_lag_ms": 2000,
    "restart_ms": 500,
}
COLD = {"cold": True, "n_warm_up": 3}


class FakeListener:
    """The attribute of a listener that the control reads."""

    def __init__(self, upstream):
        self.upstream = upstream


class UpstreamClient(StandinClient):
    """Client of one stand-in upstream and its control port, on a simulated clock."""

    def __init__(self, **changes):
        self.clock = Clock()
        config = UpstreamConfig.from_json(CONFIG | changes)
        self.upstream = Upstream(config, self.clock)
        listeners = {"u": FakeListener(self.upstream)}
        self._control = StandinClient(UpstreamControl(listeners, self.clock).app, None)
        super().__init__(self.upstream.app, self.clock)

    def call_legs(self, *shards, version=7, deadline_ms=1000, query="pine"):
        legs = [
            {
                "id": 10 + n,
                "shard": shard,
                "version": version,
                "query_hash": f"h-{query}",
                "query": query,
            }
            for n, shard in enumerate(shards)
        ]
        body = {"deadline_ms": deadline_ms, "legs": legs}
        return self.call("POST", "/v1/legs", body)

    def run_order(self, key="k"):
        body = {"key": key, "order": {}, "deadline_ms": 1000}
        return self.call("POST", "/v1/orders", body)

    def run_action(self, action, **fields):
        ((status, _),) = self._control.call("POST", f"/_control/{action}", fields)
        assert status == 200

    def read_state(self, name):
        ((_, state),) = self._control.call("GET", "/_control/state")
        return state["u"][name]

    def warm_up(self):
        for _ in range(COLD["n_warm_up"]):
            self.call_legs(0)
            self.advance(MAX_CALL_S)


def read_legs(responses):
    ((status, content),) = responses
    assert status == 200
    return content["legs"]


@pytest.mark.parametrize(
    ("version", "shard", "status"),
    [(7, 0, "answered"), (7, 1, "answered"), (8, 0, "answered"), (8, 1, "gone")]
    + [(6, 0, "gone"), (7, 2, "gone")],
)
def test_leg_is_answered_if_its_shard_and_version_are_served(version, shard, status):
    client = UpstreamClient()
    responses = client.call_legs(shard, version=version)
    assert responses == []
    client.advance(MAX_CALL_S)
    (leg,) = read_legs(responses)
    expected = compute_hits("index", version, shard, "pine") if status != "gone" else []
    assert leg == {
        "id": 10,
        "status": status,
        "shard": shard,
        "version": version,
        "query_hash": "h-pine",
        "n_hits": len(expected),
        "hits": expected,
    }


def test_hits_depend_on_shard_set_version_shard_and_query():
    arguments = [("a", 1, 0, "x"), ("b", 1, 0, "x"), ("a", 2, 0, "x"), ("a", 1, 1, "x")]
    arguments.append(("a", 1, 0, "y"))
    ids = [tuple(hit["score"] for hit in compute_hits(*each)) for each in arguments]
    assert len(set(ids)) == len(arguments)


def test_served_shards_can_change():
    client = UpstreamClient()
    client.run_action("serve", served={"9": [4]})
    old, new = client.call_legs(0, version=7), client.call_legs(4, version=9)
    client.advance(MAX_CALL_S)
    assert read_legs(old)[0]["status"] == "gone"
    assert read_legs(new)[0]["status"] == "answered"


#: Fault, and id, number of omitted hits and status of each leg of the response.
LEG_FAULTS = [
    ("truncate_hits", [(10, 1, "answered"), (11, 1, "answered")]),
    ("shuffled", [(11, 0, "answered"), (10, 0, "answered")]),
    ("doubled", [(10, 0, "answered"), (11, 0, "answered")] * 2),
    ("fail", [(10, 0, "failed"), (11, 0, "failed")]),
]


@pytest.mark.parametrize(("kind", "expected_legs"), LEG_FAULTS)
def test_fault_changes_the_legs_of_one_response(kind, expected_legs):
    client = UpstreamClient()
    client.run_action("answers", kind=kind)
    faulty, correct = client.call_legs(0, 1), client.call_legs(0, 1)
    client.advance(MAX_CALL_S)
    legs = read_legs(faulty)
    assert [
        (leg["id"], leg["n_hits"] - len(leg["hits"]), leg["status"]) for leg in legs
    ] == expected_legs
    assert [leg["id"] for leg in read_legs(correct)] == [10, 11]


@pytest.mark.parametrize("kind", ["drop", "truncate_bytes"])
def test_response_is_lost_after_the_work_is_done(kind):
    client = UpstreamClient()
    client.run_action("answers", kind=kind)
    responses = client.call_legs(0)
    client.advance(MAX_CALL_S)
    assert responses == [LOST]
    assert client.read_state("n_finished") == 1


def test_mixed_response_gives_each_id_the_content_of_another_leg():
    client = UpstreamClient()
    client.run_action("answers", kind="mixed")
    responses = client.call_legs(0, 1)
    client.advance(MAX_CALL_S)
    assert [(leg["id"], leg["shard"]) for leg in read_legs(responses)] == [
        (11, 0),
        (10, 1),
    ]


def test_previous_response_is_sent_for_another_query():
    client = UpstreamClient()
    client.call_legs(0, query="pine")
    client.advance(MAX_CALL_S)
    client.run_action("answers", kind="previous")
    responses = client.call_legs(0, query="oak")
    client.advance(MAX_CALL_S)
    assert read_legs(responses)[0]["hits"] == compute_hits("index", 7, 0, "pine")


def test_warm_upstream_sheds_above_its_slots():
    client = UpstreamClient()
    running = [client.call_legs(0), client.call_legs(0)]
    assert client.call_legs(0) == [(503, {"instance": "u.0.0", "status": "shed"})]
    client.advance(MAX_CALL_S)
    assert all(read_legs(each) for each in running)
    assert client.read_state("max_running") == 2


def test_cold_upstream_crashes_above_its_cold_slots_and_restarts_cold():
    client = UpstreamClient(**COLD)
    first, second = client.call_legs(0), client.call_legs(0)
    client.flush()
    assert (first, second) == ([LOST], [LOST])
    assert client.call_legs(0) == [LOST]
    client.advance(0.5)
    responses = client.call_legs(0)
    client.advance(MAX_CALL_S)
    assert responses[0][1]["instance"] == "u.0.1"
    assert client.read_state("phase") == "cold"
    counts = {name: client.read_state(name) for name in ("n_falls", "n_cold_overruns")}
    assert counts == {"n_falls": 1, "n_cold_overruns": 1}


@pytest.mark.parametrize("trigger", ["calls", "time"])
def test_cold_upstream_warms_up(trigger):
    changes = COLD if trigger == "calls" else {"cold": True, "warm_up_ms": 3000}
    client = UpstreamClient(**changes)
    client.warm_up()
    assert client.read_state("phase") == "warm"
    responses = [client.call_legs(0), client.call_legs(0)]
    client.advance(MAX_CALL_S)
    assert all(read_legs(each) for each in responses)


def test_upstream_that_turns_cold_sheds_its_grace_calls_and_then_crashes():
    client = UpstreamClient(**COLD)
    client.warm_up()
    client.run_action("cold", n_grace=1)
    running = client.call_legs(0)
    assert client.call_legs(0)[0][0] == 503
    assert client.call_legs(0) == [LOST]
    assert running == [LOST]


def test_closing_the_connection_cancels_the_work():
    client = UpstreamClient()
    client.call_legs(0)
    client.close()
    assert client.read_state("n_running") == 0
    assert client.read_state("n_cancelled") == 1


def test_work_stops_at_its_deadline():
    client = UpstreamClient()
    responses = client.call_legs(0, deadline_ms=40)
    client.advance(0.05)
    assert read_legs(responses)[0]["status"] == "failed"
    assert client.read_state("n_running") == 0


#: Fault, outcome for the caller, number of runs of the order.
ORDER_FAULTS = [
    (None, 200, 1),
    ("drop", LOST, 1),
    ("truncate_bytes", LOST, 1),
    ("fail", 409, 0),
]


@pytest.mark.parametrize(("kind", "expected_outcome", "n_runs"), ORDER_FAULTS)
def test_order_runs_are_counted_by_key_whatever_the_response(
    kind, expected_outcome, n_runs
):
    client = UpstreamClient()
    if kind:
        client.run_action("answers", kind=kind)
    responses = client.run_order()
    assert responses == []
    client.advance(MAX_CALL_S)
    (response,) = responses
    assert (response if response is LOST else response[0]) == expected_outcome
    assert client.read_state("orders").get("k", 0) == n_runs


def test_order_runs_even_if_its_caller_disconnects():
    client = UpstreamClient()
    client.run_order()
    client.close()
    assert client.read_state("orders") == {"k": 1}


def test_straggling_call_takes_longer_by_the_factor():
    client = UpstreamClient()
    client.run_action("straggle", factor=5)
    responses = client.call_legs(0)
    client.advance(0.49)
    assert responses == []
    client.advance(0.02)
    assert read_legs(responses)


def test_reported_load_lags_and_can_be_overridden():
    client = UpstreamClient()
    client.call_legs(0)
    assert client.call("GET", "/v1/load")[0][1]["load"] == 0.0
    client.run_action("load", load=0.9)
    assert client.call("GET", "/v1/load")[0][1]["load"] == 0.9


def test_calls_after_the_drain_are_counted():
    client = UpstreamClient()
    client.call_legs(0)
    client.run_action("drain")
    client.advance(2.0)
    client.call_legs(0)
    assert client.read_state("n_calls_after_drain") == 1
    assert client.read_state("last_call_after_drain_s") == 2.0


def test_connections_are_accepted_in_turn_and_refused_above_the_limit():
    limiter = ConnectionLimiter(limit=3, accept_s=0.5)
    assert [limiter.admit(10.0) for _ in range(4)] == [0.5, 1.0, 1.5, None]
    limiter.release()
    assert limiter.admit(11.0) == 1.0
    assert (limiter.n_accepted, limiter.n_refused) == (4, 1)


@pytest.mark.parametrize("body", [{}, {"deadline_ms": 1, "legs": [{"id": 1}]}, [1]])
def test_malformed_call_is_rejected_with_its_error(body):
    ((status, content),) = UpstreamClient().call("POST", "/v1/legs", body)
    assert status == 400
    assert content["error"]


def test_config_error_names_an_unknown_key():
    with pytest.raises(ValueError, match="n_slot'"):
        UpstreamConfig.from_json(CONFIG | {"n_slot": 1})
