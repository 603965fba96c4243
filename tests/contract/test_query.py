import json

import pytest
from twisted.internet.defer import Deferred

from heatherpick._commands.command import ExitCode
from heatherpick._commands.http import MAX_RESPONSE_BYTES
from heatherpick.errors import InvalidArgument, OperationFailed, RequestFailed
from tests.contract.fake_platform import FakePlatform, make_response

NODE = ("--node", "127.0.0.1:8080")
PARTIAL = {
    "outcome": "partial",
    "reason": "deadline",
    "hits": [{"id": 1}],
    "coverage": {"n_shards": 12, "n_covered": 11, "missing": [3]},
    "index_version": 7,
}


@pytest.fixture
def node():
    return FakePlatform()


def test_query_prints_outcome_coverage_and_trace(node, capsys):
    node.responses = [make_response(200, PARTIAL)]
    argv = ("query", "lookup", *NODE, "--query", "sawmill", "--deadline-ms", "210")
    assert node.run(*argv) is ExitCode.OK
    ((method, url, content, headers),) = node.requests
    assert (method, url) == ("POST", "http://127.0.0.1:8080/v1/services/lookup")
    assert content == {"query": "sawmill"}
    assert headers["Deadline-Ms"] == "210"
    out = capsys.readouterr().out
    assert "outcome: partial" in out
    assert "coverage: 11 of 12 shards, missing: 3" in out
    assert f"trace: {headers['traceparent'].split('-')[1]}" in out


def test_order_is_sent_with_its_idempotency_key(node):
    node.responses = [make_response(200, {"outcome": "answered", "body": "{}"})]
    argv = ("query", "corrective-action", *NODE, "--order", '{"a":1}', "--key", "k1")
    assert node.run(*argv) is ExitCode.OK
    ((_, _, content, headers),) = node.requests
    assert content == {"order": {"a": 1}}
    assert headers["Idempotency-Key"] == "k1"


@pytest.mark.parametrize(
    ("status", "code"),
    [(503, ExitCode.FAILED), (504, ExitCode.FAILED)]
    + [(status, ExitCode.BAD_INPUT) for status in (400, 404, 413)],
)
def test_response_status_determines_the_exit_code(node, status, code):
    node.responses = [make_response(status, {"outcome": "not run"})]
    assert node.run("query", "lookup", *NODE, "--query", "x") is code


@pytest.mark.parametrize("content", [None, [], "text"])
def test_response_that_is_not_an_object_is_a_failure(node, content):
    node.responses = [make_response(200, content)]
    error = node.run("query", "lookup", *NODE, "--query", "x")
    assert isinstance(error, OperationFailed)


@pytest.mark.parametrize(
    "content",
    [{"coverage": 1}, {"hits": 1}, {"hits": [None]}, {"coverage": {"n_shards": 1}}],
)
def test_malformed_response_is_printed_as_far_as_possible(node, content):
    node.responses = [make_response(200, content)]
    assert node.run("query", "lookup", *NODE, "--query", "x") is ExitCode.OK


@pytest.mark.parametrize(
    "argv",
    [
        ("lookup", "--order", "{}"),
        ("lookup", "--order", "{", "--key", "k"),
        ("a/b", "--query", "x"),
        ("lookup", "--query", "x", "--key", "a\r\nb"),
        ("lookup", "--query", "x", "--key", "é"),
    ],
)
def test_faulty_request_is_not_sent(node, argv):
    error = node.run("query", *argv, *NODE)
    assert isinstance(error, InvalidArgument)
    assert node.requests == []


def test_status_is_printed_as_json(node, capsys):
    node.statuses = [{"b": 1, "a": {}}]
    assert node.run("status", *NODE) is ExitCode.OK
    assert json.loads(capsys.readouterr().out) == {"b": 1, "a": {}}


class UnresponsiveNode(FakePlatform):
    """A node that accepts a request and never responds."""

    def request(self, *arguments, **options):
        return Deferred()


def test_unresponsive_node_fails_the_request_after_the_timeout():
    assert isinstance(UnresponsiveNode().run("status", *NODE), RequestFailed)


class OversizedResponseNode(FakePlatform):
    """A node whose response exceeds `MAX_RESPONSE_BYTES`."""

    async def collect(self, response, collector):
        for _ in range(MAX_RESPONSE_BYTES // 2**20 + 1):
            collector(bytes(2**20))


def test_oversized_response_is_refused():
    node = OversizedResponseNode()
    node.statuses = [{}]
    error = node.run("status", *NODE)
    assert isinstance(error, RequestFailed)
    assert "exceeds" in str(error)
