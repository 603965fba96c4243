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


def build_answer(query="pine", version=7, covered=(0, 1), missing=()):
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


class Response:
    length = 1

    def __init__(self, code, content):
        self.code = code
        self._body = orjson.dumps(content)

    def deliverBody(self, protocol):
        protocol.dataReceived(self._body)
        protocol.connectionLost(Failure(ResponseDone()))


class FakeAgent:
    """Answers by node; every node is ready unless it is among ``unready``."""

    def __init__(self, answers, unready=()):
        self.answers = answers
        self.unready = unready
        self.posts = []

    def request(self, method, uri, headers=None, body=None):
        node = uri.decode().split("/")[2]
        if method == b"GET":
            return succeed(Response(503 if node in self.unready else 200, {}))
        self.posts.append((node, headers))
        return self.answers[node]()


def answer_with(content, code=200):
    return lambda: succeed(Response(code, content))


def break_with(error):
    return lambda: fail(error)


def run(agent, *plan, seconds=30, timeout_s=5.0):
    clock = Clock()
    records = []
    caller = Caller(
        clock, agent, Balancer(NODES), records.append, timeout_s, deadline_ms=210
    )
    ended = []
    caller.run(plan).addBoth(ended.append)
    clock.pump([0.1] * round(seconds / 0.1))
    assert len(ended) == 1
    assert not clock.getDelayedCalls()
    return records


def test_plan_repeats_with_its_seed():
    assert plan_requests(LOAD) == plan_requests(LOAD)
    numbers = [each.number for each in plan_requests(LOAD)]
    assert numbers == list(range(len(numbers)))


def test_plan_sends_each_order_again_with_its_key():
    orders = [each for each in plan_requests(LOAD) if each.is_order]
    by_key = {}
    for each in orders:
        by_key.setdefault(each.key, []).append(each)
    assert by_key
    for sendings in by_key.values():
        assert [
            round(each.arrival_s - sendings[0].arrival_s, 6) for each in sendings
        ] == [
            0,
            0.7,
            1.4,
        ]
        assert len({str(each.content) for each in sendings}) == 1


def test_plan_keeps_to_its_bound():
    load = Load(rate=1000.0, seconds=100.0, orders=("entry",), n_requests=70)
    assert len(plan_requests(load)) == 70


def test_latency_counts_from_the_planned_arrival():
    slow = Deferred()
    clock = Clock()
    records = []
    agent = FakeAgent(dict.fromkeys(NODES, lambda: slow))
    caller = Caller(clock, agent, Balancer(NODES), records.append, timeout_s=5.0)
    caller.run([SEARCH])
    # One late turn of the loop: the request was due long before.
    clock.advance(2.0)
    slow.callback(Response(200, build_answer()))
    ((latency_s, sent),) = [(each.latency_s, each.sent) for each in records]
    assert (latency_s, sent) == (1.5, 2.0)


#: What a node does, outcome and status that are recorded, nodes that were asked.
NODE_FAULTS = [
    (answer_with(build_answer()), "answered", 200, 1),
    (answer_with({"outcome": "not run", "reason": "shed"}, 503), "not run", 503, 1),
    (answer_with({"outcome": "unknown"}, 504), "unknown", 504, 1),
    (answer_with({"error": "no such service"}, 404), "error", 404, 1),
    (answer_with([1]), "error", 200, 1),
    (break_with(ResponseNeverReceived([])), "lost", 0, 1),
    (break_with(ConnectionRefusedError()), "not sent", 0, 2),
    (Deferred, "timeout", 0, 1),
]


@pytest.mark.parametrize(("act", "outcome", "status", "n_asked"), NODE_FAULTS)
@pytest.mark.parametrize("request_", [SEARCH, ORDER], ids=["search", "order"])
def test_record_of_what_a_node_does(request_, act, outcome, status, n_asked):
    agent = FakeAgent(dict.fromkeys(NODES, act))
    (record,) = run(agent, request_)
    assert (record.outcome, record.status) == (outcome, status)
    assert len(agent.posts) == n_asked


def test_refused_connection_goes_to_the_next_node():
    answers = {
        NODES[0]: break_with(ConnectionRefusedError()),
        NODES[1]: answer_with(build_answer()),
    }
    (record,) = run(FakeAgent(answers), SEARCH)
    assert (record.outcome, record.node) == ("answered", NODES[1])


def test_balancer_goes_round_the_ready_nodes():
    agent = FakeAgent(dict.fromkeys(NODES, answer_with(build_answer())))
    run(agent, *[SEARCH] * 4)
    assert [node for node, _ in agent.posts] == [*NODES, *NODES]
    agent = FakeAgent(agent.answers, unready=NODES[:1])
    run(agent, *[SEARCH] * 3)
    assert {node for node, _ in agent.posts} == {NODES[1]}


def test_order_carries_its_key_and_every_request_its_deadline():
    agent = FakeAgent(dict.fromkeys(NODES, answer_with({"outcome": "not run"}, 503)))
    run(agent, ORDER)
    ((_, headers),) = agent.posts
    assert headers.getRawHeaders("Idempotency-Key") == ["k"]
    assert headers.getRawHeaders("Deadline-Ms") == ["210"]


def spoil(**changes):
    answer = build_answer(covered=(0, 2), missing=(1,))
    for name, value in changes.items():
        part = answer["coverage"] if name in answer["coverage"] else answer
        part[name] = value
    return answer


HITS = build_answer(covered=(0, 2))["hits"]
#: An answer with one fault each, and a word of what is said of it.
ANSWER_FAULTS = [
    (spoil(missing=[7]), "does not exist"),
    (spoil(n_covered=3), "add up"),
    (spoil(missing=[], n_covered=3), "does not agree"),
    (spoil(outcome="answered"), "does not agree"),
    (spoil(hits=HITS[:-1]), "are missing"),
    (spoil(hits=HITS + HITS[:1]), "twice"),
    (spoil(hits=build_answer("oak", covered=(0, 2))["hits"]), "another query"),
    (spoil(hits=build_answer(covered=(0, 1, 2))["hits"]), "not covered"),
    (spoil(index_version=8), "another query or version"),
]


def test_true_answer_has_no_fault():
    assert find_response_fault("findings", "pine", spoil()) == ""


@pytest.mark.parametrize(("answer", "word"), ANSWER_FAULTS)
def test_fault_of_an_answer_is_named(answer, word):
    assert word in find_response_fault("findings", "pine", answer)


def test_summary_counts_outcomes_coverage_and_incorrect_answers():
    answers = {
        NODES[0]: answer_with(spoil()),
        NODES[1]: answer_with(build_answer("oak")),
    }
    summary = Summary()
    for record in run(FakeAgent(answers), SEARCH, SEARCH):
        summary.add(record)
        assert orjson.loads(record.to_json_line())["correct"] is record.is_correct
    total = summary.to_json()
    assert total["outcomes"] == {"partial": 1, "answered": 1}
    assert (total["n_checked"], total["n_incorrect"]) == (2, 1)
    assert total["coverage"] == 4 / 5
    assert set(total["services"]) == {"lookup"}
