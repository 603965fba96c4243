import json

import pytest
from twisted.internet.defer import Deferred

from heatherpick._commands.command import ExitCode
from heatherpick._commands.http import MAX_RESPONSE_BYTES
from heatherpick.errors import InvalidArgument, OperationFailed, RequestFailed
from tests.contract.fake_platform import FakePlatform, answer

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


def test_query_shows_answer_coverage_and_time(node, capsys):
    node.answers = [answer(200, PARTIAL)]
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


def test_order_carries_its_key(node):
    node.answers = [answer(200, {"outcome": "answered", "body": "{}"})]
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
def test_status_of_the_answer_decides_the_exit_code(node, status, code):
    node.answers = [answer(status, {"outcome": "not run"})]
    assert node.run("query", "lookup", *NODE, "--query", "x") is code


@pytest.mark.parametrize("content", [None, [], "text"])
def test_answer_that_is_no_object_is_a_failure(node, content):
    node.answers = [answer(200, content)]
    error = node.run("query", "lookup", *NODE, "--query", "x")
    assert isinstance(error, OperationFailed)


@pytest.mark.parametrize(
    "content",
    [{"coverage": 1}, {"hits": 1}, {"hits": [None]}, {"coverage": {"n_shards": 1}}],
)
def test_answer_of_odd_shape_is_printed_as_far_as_it_goes(node, content):
    node.answers = [answer(200, content)]
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


class SilentNode(FakePlatform):
    """A node that takes a request and never answers."""

    def request(self, *arguments, **options):
        return Deferred()


def test_silent_node_is_given_up_after_the_time_limit():
    assert isinstance(SilentNode().run("status", *NODE), RequestFailed)


class EndlessNode(FakePlatform):
    """A node whose answer is longer than any that is kept."""

    async def collect(self, response, collector):
        for _ in range(MAX_RESPONSE_BYTES // 2**20 + 1):
            collector(bytes(2**20))


def test_answer_too_large_is_refused():
    node = EndlessNode()
    node.statuses = [{}]
    error = node.run("status", *NODE)
    assert isinstance(error, RequestFailed)
    assert "exceeds" in str(error)
