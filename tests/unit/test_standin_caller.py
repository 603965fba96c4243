import orjson
import pytest
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock
from twisted.python.failure import Failure
from twisted.web.client import ResponseDone, ResponseNeverReceived

from standins.arrivals import Load, PlannedRequest, plan_requests
from standins.balancer import Balancer
from standins.caller import Caller
from standins.hits import compute_hits
from standins.records import Summary
from standins.response_check import find_response_fault

NODES = ("127.0.0.1:1", "127.0.0.1:2")
LOAD = Load(
    rate=50.0,
    seconds=4.0,
    searches=(("lookup", "findings"),),
    orders=("entry",),
    order_share=0.2,
    n_repeats=2,
    repeat_after_ms=700,
    seed=3,
)
SEARCH = PlannedRequest(0, 0.5, "lookup", "pine", "findings")
ORDER = PlannedRequest(0, 0.5, "entry", {}, key="k")


def build_response(query="pine", version=7, covered=(0, 1), missing=()):
    hits = [
        hit
        for shard in covered
        for hit in compute_hits("findings", version, shard, query)
    ]
    n_shards = len(covered) + len(missing)
    return {
        "outcome": "partial" if missing else "answered",
        "reason": "",
        "hits": hits,
        "coverage": {
            "n_shards": n_shards,
            "n_covered": len(covered),
            "missing": list(missing),
        },
        "index_version": version,
        "body": None,
    }


class FakeResponse:
    length = 1

    def __init__(self, code, content):
        self.code = code
        self._body = orjson.dumps(content)

    def deliverBody(self, protocol):
        protocol.dataReceived(self._body)
        protocol.connectionLost(Failure(ResponseDone()))


class FakeAgent:
    """Calls ``responses[node]`` for responses; nodes not in ``unready`` are ready."""

    def __init__(self, responses, unready=()):
        self.responses = responses
        self.unready = unready
        self.posts = []

    def request(self, method, uri, headers=None, body=None):
        node = uri.decode().split("/")[2]
        if method == b"GET":
            return succeed(FakeResponse(503 if node in self.unready else 200, {}))
        self.posts.append((node, headers))
        return self.responses[node]()


def respond_with(content, code=200):
    return lambda: succeed(FakeResponse(code, content))


def fail_with(error):
    return lambda: fail(error)


def run_caller(agent, *plan, seconds=30, timeout_s=5.0):
    clock = Clock()
    records = []
    caller = Caller(
        clock, agent, Balancer(NODES), records.append, timeout_s, deadline_ms=210
    )
    results = []
    caller.run(plan).addBoth(results.append)
    clock.pump([0.1] * round(seconds / 0.1))
    assert len(results) == 1
    assert not clock.getDelayedCalls()
    return records


def test_plan_is_reproducible_from_its_seed():
    assert plan_requests(LOAD) == plan_requests(LOAD)
    numbers = [each.number for each in plan_requests(LOAD)]
    assert numbers == list(range(len(numbers)))


def test_plan_repeats_each_order_with_the_same_key():
    orders = [each for each in plan_requests(LOAD) if each.is_order]
    by_key = {}
    for each in orders:
        by_key.setdefault(each.key, []).append(each)
    assert by_key
    for attempts in by_key.values():
        assert [
            round(each.arrival_s - attempts[0].arrival_s, 6) for each in attempts
        ] == [
            0,
            0.7,
            1.4,
        ]
        assert len({str(each.content) for each in attempts}) == 1


def test_plan_has_at_most_n_requests():
    load = Load(rate=1000.0, seconds=100.0, orders=("entry",), n_requests=70)
    assert len(plan_requests(load)) == 70


def test_latency_counts_from_the_planned_arrival():
    slow = Deferred()
    clock = Clock()
    records = []
    agent = FakeAgent(dict.fromkeys(NODES, lambda: slow))
    caller = Caller(clock, agent, Balancer(NODES), records.append, timeout_s=5.0)
    caller.run([SEARCH])
    # The event loop runs late: the request was due long before.
    clock.advance(2.0)
    slow.callback(FakeResponse(200, build_response()))
    ((latency_s, sent),) = [(each.latency_s, each.sent) for each in records]
    assert (latency_s, sent) == (1.5, 2.0)


#: Function that gives the nodes' responses, recorded outcome and status, number of
#: requests sent.
NODE_BEHAVIOURS = [
    (respond_with(build_response()), "answered", 200, 1),
    (respond_with({"outcome": "not run", "reason": "shed"}, 503), "not run", 503, 1),
    (respond_with({"outcome": "unknown"}, 504), "unknown", 504, 1),
    (respond_with({"error": "no such service"}, 404), "error", 404, 1),
    (respond_with([1]), "error", 200, 1),
    (fail_with(ResponseNeverReceived([])), "lost", 0, 1),
    (fail_with(ConnectionRefusedError()), "not sent", 0, 2),
    (Deferred, "timeout", 0, 1),
]


@pytest.mark.parametrize(("respond", "outcome", "status", "n_sent"), NODE_BEHAVIOURS)
@pytest.mark.parametrize("request_", [SEARCH, ORDER], ids=["search", "order"])
def test_record_holds_the_outcome_of_the_node(
    request_, respond, outcome, status, n_sent
):
    agent = FakeAgent(dict.fromkeys(NODES, respond))
    (record,) = run_caller(agent, request_)
    assert (record.outcome, record.status) == (outcome, status)
    assert len(agent.posts) == n_sent


def test_request_goes_to_the_next_node_when_a_connection_is_refused():
    responses = {
        NODES[0]: fail_with(ConnectionRefusedError()),
        NODES[1]: respond_with(build_response()),
    }
    (record,) = run_caller(FakeAgent(responses), SEARCH)
    assert (record.outcome, record.node) == ("answered", NODES[1])


def test_balancer_chooses_ready_nodes_in_turn():
    agent = FakeAgent(dict.fromkeys(NODES, respond_with(build_response())))
    run_caller(agent, *[SEARCH] * 4)
    assert [node for node, _ in agent.posts] == [*NODES, *NODES]
    agent = FakeAgent(agent.responses, unready=NODES[:1])
    run_caller(agent, *[SEARCH] * 3)
    assert {node for node, _ in agent.posts} == {NODES[1]}


def test_order_states_its_key_and_deadline():
    agent = FakeAgent(dict.fromkeys(NODES, respond_with({"outcome": "not run"}, 503)))
    run_caller(agent, ORDER)
    ((_, headers),) = agent.posts
    assert headers.getRawHeaders("Idempotency-Key") == ["k"]
    assert headers.getRawHeaders("Deadline-Ms") == ["210"]


def build_partial_response(**changes):
    response = build_response(covered=(0, 2), missing=(1,))
    for name, value in changes.items():
        section = response["coverage"] if name in response["coverage"] else response
        section[name] = value
    return response


HITS = build_response(covered=(0, 2))["hits"]
#: Response with one fault, and a part of the text that describes the fault.
RESPONSE_FAULTS = [
    (build_partial_response(missing=[7]), "does not exist"),
    (build_partial_response(n_covered=3), "add up"),
    (build_partial_response(missing=[], n_covered=3), "does not agree"),
    (build_partial_response(outcome="answered"), "does not agree"),
    (build_partial_response(hits=HITS[:-1]), "are missing"),
    (build_partial_response(hits=HITS + HITS[:1]), "twice"),
    (
        build_partial_response(hits=build_response("oak", covered=(0, 2))["hits"]),
        "another query",
    ),
    (
        build_partial_response(hits=build_response(covered=(0, 1, 2))["hits"]),
        "not covered",
    ),
    (build_partial_response(index_version=8), "another query or version"),
]


def test_correct_response_has_no_fault():
    assert find_response_fault("findings", "pine", build_partial_response()) == ""


@pytest.mark.parametrize(("response", "expected_text"), RESPONSE_FAULTS)
def test_fault_of_a_response_is_found(response, expected_text):
    assert expected_text in find_response_fault("findings", "pine", response)


def test_summary_counts_outcomes_coverage_and_incorrect_responses():
    responses = {
        NODES[0]: respond_with(build_partial_response()),
        NODES[1]: respond_with(build_response("oak")),
    }
    summary = Summary()
    for record in run_caller(FakeAgent(responses), SEARCH, SEARCH):
        summary.add(record)
        assert orjson.loads(record.to_json_line())["correct"] is record.is_correct
    total = summary.to_json()
    assert total["outcomes"] == {"partial": 1, "answered": 1}
    assert (total["n_checked"], total["n_incorrect"]) == (2, 1)
    assert total["coverage"] == 4 / 5
    assert set(total["services"]) == {"lookup"}
