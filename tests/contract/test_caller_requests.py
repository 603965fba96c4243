"""The HTTP API for callers: invalid requests, responses, and disconnects."""

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
from tests.memory_transport import connect_protocol, make_reactor

MAX_BODY_BYTES = 200
QUERY = b'{"query": {"text": "oak"}}'
ORDER = b'{"order": {"item": "bread"}}'
TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


class Catalogue:
    """Service catalogue with a search service and an order service."""

    def has_service(self, name):
        return name in ("find", "buy")

    def is_repeatable(self, name):
        return name == "find"

    def describe(self, now):
        return {"now": now}


class NullLogs:
    """Logs that discard everything."""

    def report(self, message, **fields):
        pass

    def start_request(self, request_id, service):
        return self

    def add_success_fields(self, **fields):
        pass

    def finish(self):
        pass


class CallerApiHarness:
    """A `CallerApi` on an in-memory reactor that records its events."""

    def __init__(self, ready=True):
        self.events = []
        self.reactor = make_reactor()
        self.metrics = Metrics()
        self.caller_api = CallerApi(
            self.events.append,
            self.reactor,
            Catalogue(),
            self.metrics,
            NoTracer(),
            NullLogs(),
        )
        self.site = self.caller_api.build_site(MAX_BODY_BYTES)
        self.execute_effect(SetReadiness(ready))

    def execute_effect(self, effect):
        self.caller_api.effect_handlers[type(effect)](effect)

    def send_request(
        self, body=QUERY, path="/v1/services/find", method="POST", headers=()
    ):
        transport = connect_protocol(self.site.buildProtocol(None))
        lines = [f"{method} {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}"]
        text = "\r\n".join([*lines, *headers, "", ""]).encode("latin-1")
        transport.protocol.dataReceived(text + body)
        return transport

    def get_response(self, path):
        return parse_response(self.send_request(b"", path, "GET"))


def parse_response(transport):
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


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "expected_text"), BAD_REQUESTS
)
def test_invalid_request_is_rejected_naming_the_field(
    path, body, headers, status, expected_text
):
    harness = CallerApiHarness()
    status_code, _, text = parse_response(
        harness.send_request(body, path, headers=headers)
    )
    assert status_code == status and harness.events == []
    assert expected_text in orjson.loads(text)["error"]


def test_deeply_nested_query_is_rejected(monkeypatch):
    harness = CallerApiHarness()
    site = harness.caller_api.build_site(10_000)
    harness.site = site
    body = b'{"query": ' + b"[" * 600 + b"]" * 600 + b"}"
    assert parse_response(harness.send_request(body))[0] == 400


def test_wrong_method_is_rejected():
    assert CallerApiHarness().get_response(FIND)[0] == 405


def test_oversize_chunked_body_is_rejected_and_discarded(monkeypatch):
    monkeypatch.setattr(request_bodies, "MAX_DISCARDED_BYTES", 1000)
    harness = CallerApiHarness()
    transport = connect_protocol(harness.site.buildProtocol(None))
    head = f"POST {FIND} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    transport.protocol.dataReceived(head.encode())
    chunk = b"64\r\n" + b"x" * 100 + b"\r\n"
    for _ in range(3):
        transport.protocol.dataReceived(chunk)
    assert parse_response(transport)[0] == 413 and not transport.disconnected
    for _ in range(10):
        transport.protocol.dataReceived(chunk)
    assert transport.disconnected and harness.events == []


def test_query_becomes_an_event():
    harness = CallerApiHarness()
    headers = ("Deadline-Ms: 150", f"traceparent: {TRACEPARENT}", KEY)
    harness.send_request(headers=headers)
    (event,) = harness.events
    assert (event.service, event.body) == ("find", '{"text":"oak"}')
    assert (event.deadline_ms, event.traceparent) == (150.0, TRACEPARENT)
    assert event.key == "" and len(event.request_id) == 32


def test_order_event_has_its_idempotency_key():
    harness = CallerApiHarness()
    harness.send_request(ORDER, BUY, headers=(KEY,))
    assert harness.events[0].key == "week-14"


RESPONSES = [
    (Outcome.ANSWERED, 200, "answered"),
    (Outcome.PARTIAL, 200, "partial"),
    (Outcome.NOT_RUN, 503, "not run"),
    (Outcome.UNKNOWN, 504, "unknown"),
]


@pytest.mark.parametrize(("outcome", "status", "outcome_name"), RESPONSES)
def test_response_states_outcome_and_coverage(outcome, status, outcome_name):
    harness = CallerApiHarness()
    transport = harness.send_request()
    request_id = harness.events[0].request_id
    harness.execute_effect(
        AnswerCaller(request_id, outcome, "why", ({"id": "h"},), "", 3, 2, (1,), 7)
    )
    status_code, _, body = parse_response(transport)
    assert status_code == status
    assert orjson.loads(body) == {
        "outcome": outcome_name,
        "reason": "why",
        "hits": [{"id": "h"}],
        "coverage": {"n_shards": 3, "n_covered": 2, "missing": [1]},
        "index_version": 7,
        "body": None,
    }


def test_responses_out_of_order_reach_their_own_callers():
    harness = CallerApiHarness()
    transports = [harness.send_request() for _ in range(3)]
    for event in reversed(harness.events):
        harness.execute_effect(
            AnswerCaller(event.request_id, Outcome.ANSWERED, event.body)
        )
        harness.execute_effect(AnswerCaller(event.request_id, Outcome.UNKNOWN))
    assert len({event.request_id for event in harness.events}) == 3
    for transport in transports:
        assert transport.value().count(b"HTTP/1.1") == 1
        assert parse_response(transport)[0] == 200


def test_disconnect_is_reported_once_and_the_late_answer_is_dropped():
    harness = CallerApiHarness()
    transport = harness.send_request()
    transport.protocol.connectionLost(Failure(ConnectionLost()))
    request_id = harness.events[0].request_id
    assert harness.events[1:] == [CallerGone(request_id)]
    harness.execute_effect(AnswerCaller(request_id, Outcome.ANSWERED))
    assert "answers_without_caller_total 1" in harness.metrics.format()


def test_hits_that_are_not_json_serialisable_give_an_error_response():
    harness = CallerApiHarness()
    transport = harness.send_request()
    request_id = harness.events[0].request_id
    harness.execute_effect(AnswerCaller(request_id, Outcome.ANSWERED, hits=(b"\xff",)))
    assert parse_response(transport)[0] == 500


def test_readiness_follows_the_reducer():
    harness = CallerApiHarness(ready=False)
    assert harness.get_response("/-/ready")[0] == 503
    harness.execute_effect(SetReadiness(True))
    assert harness.get_response("/-/ready")[0] == 200


def test_stopping_node_responds_and_closes_the_connection():
    harness = CallerApiHarness()
    transport = harness.send_request()
    harness.execute_effect(SetReadiness(False))
    harness.execute_effect(AnswerCaller(harness.events[0].request_id, Outcome.ANSWERED))
    status_code, head, _ = parse_response(transport)
    assert status_code == 200 and b"connection: close" in head
    assert transport.disconnecting


def test_node_without_declarations_responds_not_run_for_any_service():
    status_code, _, body = parse_response(
        CallerApiHarness(ready=False).send_request(path="/v1/services/absent")
    )
    assert status_code == 503 and orjson.loads(body)["outcome"] == "not run"


def test_status_and_metrics_pages_are_served():
    harness = CallerApiHarness()
    assert orjson.loads(harness.get_response("/-/status")[2]) == {"now": 0.0}
    assert b"heatherpick_ready 1" in harness.get_response("/-/metrics")[2]
