"""The HTTP interface to callers: bad input, answers and callers that leave."""

import orjson
import pytest
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from heatherpick._core.effects import AnswerCaller, SetReadiness
from heatherpick._core.events import CallerGone
from heatherpick._core.messages import Outcome
from heatherpick._shell import request_bodies
from heatherpick._shell.caller_api import CallerApi
from heatherpick._shell.metrics import Metrics
from heatherpick._shell.traces import NoTracer
from tests.wires import attach, make_reactor

MAX_BODY_BYTES = 200
QUERY = b'{"query": {"text": "oak"}}'
ORDER = b'{"order": {"item": "bread"}}'
TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class Catalogue:
    """Declares a search service and an order service."""

    def has_service(self, name):
        return name in ("find", "buy")

    def is_repeatable(self, name):
        return name == "find"

    def describe(self, now):
        return {"now": now}


class QuietLogs:
    """Logs without a destination."""

    def report(self, message, **fields):
        pass

    def start_request(self, request_id, service):
        return self

    def add_success_fields(self, **fields):
        pass

    def finish(self):
        pass


class Front:
    """CallerApi on a reactor in memory, with the events that came of them."""

    def __init__(self, ready=True):
        self.events = []
        self.reactor = make_reactor()
        self.metrics = Metrics()
        self.callers = CallerApi(
            self.events.append,
            self.reactor,
            Catalogue(),
            self.metrics,
            NoTracer(),
            QuietLogs(),
        )
        self.site = self.callers.build_site(MAX_BODY_BYTES)
        self.carry_out(SetReadiness(ready))

    def carry_out(self, effect):
        self.callers.effect_handlers[type(effect)](effect)

    def send(self, body=QUERY, path="/v1/services/find", method="POST", headers=()):
        transport = attach(self.site.buildProtocol(None))
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        text = "\r\n".join([*lines, *headers, "", ""]).encode("latin-1")
        transport.protocol.dataReceived(text + body)
        return transport

    def get(self, path):
        return read_answer(self.send(b"", path, "GET"))


def read_answer(transport):
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), head.lower(), body


KEY = "Idempotency-Key: week-14"
BUY = "/v1/services/buy"
FIND = "/v1/services/find"
BAD_REQUESTS = [
    (FIND, b"", (), 400, "body"),
    (FIND, b"{", (), 400, "body"),
    (FIND, b"\xff\xfe", (), 400, "body"),
    (FIND, b"[]", (), 400, "body"),
    (FIND, b"{}", (), 400, "body"),
    (FIND, b'{"query": 1, "order": 2}', (), 400, "body"),
    (FIND, b'{"query": 1, "limit": 2}', (), 400, "limit"),
    (FIND, b'{"query": NaN}', (), 400, "body"),
    (FIND, QUERY, ("Deadline-Ms: soon",), 400, "Deadline-Ms"),
    (FIND, QUERY, ("Deadline-Ms: nan",), 400, "Deadline-Ms"),
    (FIND, QUERY, ("Deadline-Ms: inf",), 400, "Deadline-Ms"),
    (FIND, QUERY, ("Deadline-Ms: -5",), 400, "Deadline-Ms"),
    (FIND, QUERY, ("Deadline-Ms: 0",), 400, "Deadline-Ms"),
    (FIND, QUERY, ("Deadline-Ms: 1e9",), 400, "Deadline-Ms"),
    (FIND, QUERY, ("Deadline-Ms: " + "1" * 400,), 400, "Deadline-Ms"),
    (FIND, ORDER, (KEY,), 400, "order"),
    (BUY, QUERY, (KEY,), 400, "query"),
    (BUY, ORDER, (), 400, "Idempotency-Key"),
    (BUY, ORDER, ("Idempotency-Key:",), 400, "Idempotency-Key"),
    (BUY, ORDER, ("Idempotency-Key: " + "k" * 129,), 400, "Idempotency-Key"),
    (BUY, ORDER, ("Idempotency-Key: a\x07b",), 400, "Idempotency-Key"),
    (BUY, ORDER, ("Idempotency-Key: ä",), 400, "Idempotency-Key"),
    ("/v1/services/absent", QUERY, (), 404, "absent"),
    ("/v1/services/", QUERY, (), 404, "Not Found"),
    ("/v2", QUERY, (), 404, "Not Found"),
    (FIND, b" " * (MAX_BODY_BYTES + 1), (), 413, "body"),
]


@pytest.mark.parametrize(("path", "body", "headers", "status", "named"), BAD_REQUESTS)
def test_bad_request_is_refused_naming_the_field(path, body, headers, status, named):
    front = Front()
    code, _, text = read_answer(front.send(body, path, headers=headers))
    assert code == status and front.events == []
    assert named in orjson.loads(text)["error"]


def test_deeply_nested_query_is_refused(monkeypatch):
    front = Front()
    site = front.callers.build_site(10_000)
    front.site = site
    body = b'{"query": ' + b"[" * 600 + b"]" * 600 + b"}"
    assert read_answer(front.send(body))[0] == 400


def test_wrong_method_is_refused():
    assert Front().get(FIND)[0] == 405


def test_oversize_body_in_chunks_is_refused_and_not_kept(monkeypatch):
    monkeypatch.setattr(request_bodies, "MAX_DISCARDED_BYTES", 1000)
    front = Front()
    transport = attach(front.site.buildProtocol(None))
    head = f"POST {FIND} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    transport.protocol.dataReceived(head.encode())
    chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
    for _ in range(3):
        transport.protocol.dataReceived(chunk)
    assert read_answer(transport)[0] == 413 and not transport.disconnected
    for _ in range(10):
        transport.protocol.dataReceived(chunk)
    assert transport.disconnected and front.events == []


def test_query_becomes_an_event():
    front = Front()
    headers = ("Deadline-Ms: 150", f"traceparent: {TRACEPARENT}", KEY)
    front.send(headers=headers)
    (event,) = front.events
    assert (event.service, event.body) == ("find", '{"text":"oak"}')
    assert (event.deadline_ms, event.traceparent) == (150.0, TRACEPARENT)
    assert event.key == "" and len(event.request_id) == 32


def test_order_carries_its_key():
    front = Front()
    front.send(ORDER, BUY, headers=(KEY,))
    assert front.events[0].key == "week-14"


ANSWERS = [
    (Outcome.ANSWERED, 200, "answered"),
    (Outcome.PARTIAL, 200, "partial"),
    (Outcome.NOT_RUN, 503, "not run"),
    (Outcome.UNKNOWN, 504, "unknown"),
]


@pytest.mark.parametrize(("outcome", "status", "word"), ANSWERS)
def test_answer_states_outcome_and_coverage(outcome, status, word):
    front = Front()
    transport = front.send()
    request_id = front.events[0].request_id
    front.carry_out(
        AnswerCaller(request_id, outcome, "why", ({"id": "h"},), "", 3, 2, (1,), 7)
    )
    code, _, body = read_answer(transport)
    assert code == status
    assert orjson.loads(body) == {
        "outcome": word,
        "reason": "why",
        "hits": [{"id": "h"}],
        "coverage": {"n_shards": 3, "n_covered": 2, "missing": [1]},
        "index_version": 7,
        "body": None,
    }


def test_crossed_answers_reach_their_own_callers():
    front = Front()
    transports = [front.send() for _ in range(3)]
    for event in reversed(front.events):
        front.carry_out(AnswerCaller(event.request_id, Outcome.ANSWERED, event.body))
        front.carry_out(AnswerCaller(event.request_id, Outcome.UNKNOWN))
    assert len({event.request_id for event in front.events}) == 3
    for transport in transports:
        assert transport.value().count(b"HTTP/1.1") == 1
        assert read_answer(transport)[0] == 200


def test_caller_that_leaves_is_told_once_and_its_answer_dropped():
    front = Front()
    transport = front.send()
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    request_id = front.events[0].request_id
    assert front.events[1:] == [CallerGone(request_id)]
    front.carry_out(AnswerCaller(request_id, Outcome.ANSWERED))
    assert "answers_without_caller_total 1" in front.metrics.format()


def test_hits_that_json_cannot_carry_end_in_an_error_answer():
    front = Front()
    transport = front.send()
    request_id = front.events[0].request_id
    front.carry_out(AnswerCaller(request_id, Outcome.ANSWERED, hits=(b"\xff",)))
    assert read_answer(transport)[0] == 500


def test_readiness_follows_the_reducer():
    front = Front(ready=False)
    assert front.get("/-/ready")[0] == 503
    front.carry_out(SetReadiness(True))
    assert front.get("/-/ready")[0] == 200


def test_stopping_node_answers_and_closes_the_connection():
    front = Front()
    transport = front.send()
    front.carry_out(SetReadiness(False))
    front.carry_out(AnswerCaller(front.events[0].request_id, Outcome.ANSWERED))
    code, head, _ = read_answer(transport)
    assert code == 200 and b"connection: close" in head
    assert transport.disconnecting


def test_node_without_declarations_says_not_run_for_any_service():
    code, _, body = read_answer(Front(ready=False).send(path="/v1/services/absent"))
    assert code == 503 and orjson.loads(body)["outcome"] == "not run"


def test_operators_pages_are_served():
    front = Front()
    assert orjson.loads(front.get("/-/status")[2]) == {"now": 0.0}
    assert b"heatherpick_ready 1" in front.get("/-/metrics")[2]
