import pytest
from twisted.internet.task import Clock

from standins.connections import ConnectionLimiter
from standins.hits import compute_hits
from standins.upstream import Upstream
from standins.upstream_config import UpstreamConfig
from standins.upstream_control import UpstreamControl
from tests.wire_client import LOST, WireClient

#: Seconds after which every call of `CONFIG` has ended.
LONG = 1.0
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


class Listener:
    """What the control needs of a listener."""

    def __init__(self, upstream):
        self.upstream = upstream


class Rig(WireClient):
    """One upstream with its control, and short names for its calls."""

    def __init__(self, **changes):
        self.clock = Clock()
        config = UpstreamConfig.from_json(CONFIG | changes)
        self.upstream = Upstream(config, self.clock)
        listeners = {"u": Listener(self.upstream)}
        self._control = WireClient(UpstreamControl(listeners, self.clock).app, None)
        super().__init__(self.upstream.app, self.clock)

    def ask(self, *shards, version=7, deadline_ms=1000, query="pine"):
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

    def order(self, key="k"):
        body = {"key": key, "order": {}, "deadline_ms": 1000}
        return self.call("POST", "/v1/orders", body)

    def change(self, action, **fields):
        ((status, _),) = self._control.call("POST", f"/_control/{action}", fields)
        assert status == 200

    def read(self, name):
        ((_, state),) = self._control.call("GET", "/_control/state")
        return state["u"][name]

    def warm_up(self):
        for _ in range(COLD["n_warm_up"]):
            self.ask(0)
            self.advance(LONG)


def legs_of(answers):
    ((status, content),) = answers
    assert status == 200
    return content["legs"]


@pytest.mark.parametrize(
    ("version", "shard", "status"),
    [(7, 0, "answered"), (7, 1, "answered"), (8, 0, "answered"), (8, 1, "gone")]
    + [(6, 0, "gone"), (7, 2, "gone")],
)
def test_leg_is_answered_where_shard_and_version_are_served(version, shard, status):
    rig = Rig()
    answers = rig.ask(shard, version=version)
    assert answers == []
    rig.advance(LONG)
    (leg,) = legs_of(answers)
    true = compute_hits("index", version, shard, "pine") if status != "gone" else []
    assert leg == {
        "id": 10,
        "status": status,
        "shard": shard,
        "version": version,
        "query_hash": "h-pine",
        "n_hits": len(true),
        "hits": true,
    }


def test_hits_depend_on_shard_set_version_shard_and_query():
    asked = [("a", 1, 0, "x"), ("b", 1, 0, "x"), ("a", 2, 0, "x"), ("a", 1, 1, "x")]
    asked.append(("a", 1, 0, "y"))
    ids = [tuple(hit["score"] for hit in compute_hits(*each)) for each in asked]
    assert len(set(ids)) == len(asked)


def test_repartition_moves_shards_between_versions():
    rig = Rig()
    rig.change("serve", served={"9": [4]})
    old, new = rig.ask(0, version=7), rig.ask(4, version=9)
    rig.advance(LONG)
    assert legs_of(old)[0]["status"] == "gone"
    assert legs_of(new)[0]["status"] == "answered"


#: Fault, what each of two legs shows: id, number of hits left out, status.
ANSWER_FAULTS = [
    ("truncate_hits", [(10, 1, "answered"), (11, 1, "answered")]),
    ("shuffled", [(11, 0, "answered"), (10, 0, "answered")]),
    ("doubled", [(10, 0, "answered"), (11, 0, "answered")] * 2),
    ("fail", [(10, 0, "failed"), (11, 0, "failed")]),
]


@pytest.mark.parametrize(("kind", "shown"), ANSWER_FAULTS)
def test_answer_spoiled_in_its_legs(kind, shown):
    rig = Rig()
    rig.change("answers", kind=kind)
    spoiled, whole = rig.ask(0, 1), rig.ask(0, 1)
    rig.advance(LONG)
    legs = legs_of(spoiled)
    assert [
        (leg["id"], leg["n_hits"] - len(leg["hits"]), leg["status"]) for leg in legs
    ] == shown
    assert [leg["id"] for leg in legs_of(whole)] == [10, 11]


@pytest.mark.parametrize("kind", ["drop", "truncate_bytes"])
def test_answer_lost_on_the_way_after_the_work(kind):
    rig = Rig()
    rig.change("answers", kind=kind)
    answers = rig.ask(0)
    rig.advance(LONG)
    assert answers == [LOST]
    assert rig.read("n_finished") == 1


def test_mixed_answer_gives_an_id_the_content_of_another_leg():
    rig = Rig()
    rig.change("answers", kind="mixed")
    answers = rig.ask(0, 1)
    rig.advance(LONG)
    assert [(leg["id"], leg["shard"]) for leg in legs_of(answers)] == [(11, 0), (10, 1)]


def test_previous_answer_comes_again_for_another_query():
    rig = Rig()
    rig.ask(0, query="pine")
    rig.advance(LONG)
    rig.change("answers", kind="previous")
    answers = rig.ask(0, query="oak")
    rig.advance(LONG)
    assert legs_of(answers)[0]["hits"] == compute_hits("index", 7, 0, "pine")


def test_warm_upstream_sheds_above_its_slots():
    rig = Rig()
    taken = [rig.ask(0), rig.ask(0)]
    assert rig.ask(0) == [(503, {"instance": "u.0.0", "status": "shed"})]
    rig.advance(LONG)
    assert all(legs_of(each) for each in taken)
    assert rig.read("max_running") == 2


def test_cold_upstream_falls_over_above_its_cold_slots_and_returns_cold():
    rig = Rig(**COLD)
    first, second = rig.ask(0), rig.ask(0)
    rig.flush()
    assert (first, second) == ([LOST], [LOST])
    assert rig.ask(0) == [LOST]
    rig.advance(0.5)
    answers = rig.ask(0)
    rig.advance(LONG)
    assert answers[0][1]["instance"] == "u.0.1"
    assert rig.read("phase") == "cold"
    seen = {name: rig.read(name) for name in ("n_falls", "n_cold_overruns")}
    assert seen == {"n_falls": 1, "n_cold_overruns": 1}


@pytest.mark.parametrize("warm", ["calls", "time"])
def test_cold_upstream_warms_up(warm):
    changes = COLD if warm == "calls" else {"cold": True, "warm_up_ms": 3000}
    rig = Rig(**changes)
    rig.warm_up()
    assert rig.read("phase") == "warm"
    answers = [rig.ask(0), rig.ask(0)]
    rig.advance(LONG)
    assert all(legs_of(each) for each in answers)


def test_upstream_that_turns_cold_unannounced_sheds_first_and_then_falls():
    rig = Rig(**COLD)
    rig.warm_up()
    rig.change("cold", n_grace=1)
    running = rig.ask(0)
    assert rig.ask(0)[0][0] == 503
    assert rig.ask(0) == [LOST]
    assert running == [LOST]


def test_closing_the_connection_cancels_the_work():
    rig = Rig()
    rig.ask(0)
    rig.close()
    assert rig.read("n_running") == 0
    assert rig.read("n_cancelled") == 1


def test_work_stops_at_its_deadline():
    rig = Rig()
    answers = rig.ask(0, deadline_ms=40)
    rig.advance(0.05)
    assert legs_of(answers)[0]["status"] == "failed"
    assert rig.read("n_running") == 0


#: Fault, what the caller sees, runs of the order.
ORDER_FAULTS = [
    (None, 200, 1),
    ("drop", LOST, 1),
    ("truncate_bytes", LOST, 1),
    ("fail", 409, 0),
]


@pytest.mark.parametrize(("kind", "seen", "n_runs"), ORDER_FAULTS)
def test_order_is_counted_by_key_whatever_becomes_of_its_answer(kind, seen, n_runs):
    rig = Rig()
    if kind:
        rig.change("answers", kind=kind)
    answers = rig.order()
    assert answers == []
    rig.advance(LONG)
    (answer,) = answers
    assert (answer if answer is LOST else answer[0]) == seen
    assert rig.read("orders").get("k", 0) == n_runs


def test_order_runs_though_its_caller_closes_the_connection():
    rig = Rig()
    rig.order()
    rig.close()
    assert rig.read("orders") == {"k": 1}


def test_straggler_takes_longer_by_its_factor():
    rig = Rig()
    rig.change("straggle", factor=5)
    answers = rig.ask(0)
    rig.advance(0.49)
    assert answers == []
    rig.advance(0.02)
    assert legs_of(answers)


def test_load_report_lags_and_can_mislead():
    rig = Rig()
    rig.ask(0)
    assert rig.call("GET", "/v1/load")[0][1]["load"] == 0.0
    rig.change("load", load=0.9)
    assert rig.call("GET", "/v1/load")[0][1]["load"] == 0.9


def test_calls_after_the_drain_are_counted():
    rig = Rig()
    rig.ask(0)
    rig.change("drain")
    rig.advance(2.0)
    rig.ask(0)
    assert rig.read("n_calls_after_drain") == 1
    assert rig.read("last_call_after_drain_s") == 2.0


def test_gate_makes_connections_wait_in_turn_and_refuses_above_its_limit():
    limiter = ConnectionLimiter(limit=3, accept_s=0.5)
    assert [limiter.admit(10.0) for _ in range(4)] == [0.5, 1.0, 1.5, None]
    limiter.release()
    assert limiter.admit(11.0) == 1.0
    assert (limiter.n_accepted, limiter.n_refused) == (4, 1)


@pytest.mark.parametrize("body", [{}, {"deadline_ms": 1, "legs": [{"id": 1}]}, [1]])
def test_malformed_call_is_told_what_is_wrong(body):
    ((status, content),) = Rig().call("POST", "/v1/legs", body)
    assert status == 400
    assert content["error"]


def test_config_names_a_key_that_it_does_not_know():
    with pytest.raises(ValueError, match="n_slot'"):
        UpstreamConfig.from_json(CONFIG | {"n_slot": 1})
