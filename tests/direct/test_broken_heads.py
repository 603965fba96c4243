"""Tests of answers that break off, at any byte of their head or framed body.

An answer that breaks off must reach no caller as a success and no search as a part. The
connection has carried a whole answer before each one that breaks off.
"""

import pytest

from heatherpick._net.callers import build_response
from heatherpick._net.groups import encode_answer
from heatherpick._serving import effects as fx
from tests.direct.site import make_gather, make_order, make_site
from tests.direct.test_groups import site as make_grouping_site

grouping_site = make_grouping_site

RECORD = b"whole record 16."


def encode_with_length(upstream, request):
    return build_response(200, make_headers(upstream, request), RECORD, False)


def encode_in_chunks(upstream, request):
    head = build_response(200, make_headers(upstream, request), b"", False)
    head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"8\r\n" + RECORD[:8] + b"\r\n8\r\n" + RECORD[8:] + b"\r\n0\r\n\r\n"


def encode_head_without_length(upstream, request):
    """Return a head after which the body would end with the connection."""
    head = build_response(200, make_headers(upstream, request), b"", False)
    return head.replace(b"Content-Length: 0\r\n", b"")


def make_headers(upstream, request):
    request_id = request.by_name[b"request-id"]
    seal = f"{upstream.id}.{request_id.decode()}".encode()
    return [(b"Request-Id", request_id), (b"Response-Seal", seal)]


ENCODERS = [encode_with_length, encode_in_chunks, encode_head_without_length]


class BreakingUpstream:
    """Answers whole requests whose id begins with ``w``, and breaks off the others.

    Parameters
    ----------
    upstream : UpstreamStandIn
        The upstream whose handler is replaced.
    encode : callable
        Returns the bytes of a whole response.

    Attributes
    ----------
    n_bytes : int
        Number of bytes that are sent of the next answers.
    n_whole_bytes : int
        Length of the last whole answer.
    """

    def __init__(self, upstream, encode):
        self.n_bytes = 0
        self.n_whole_bytes = 0
        self._upstream = upstream
        self._encode = encode
        upstream.handler = self.serve

    def serve(self, request):
        data = self._encode(self._upstream, request)
        self.n_whole_bytes = len(data)
        if request.by_name[b"request-id"].startswith(b"w"):
            self._upstream.serve(request)
            return
        request.connection.write(data[: self.n_bytes])
        request.connection.abort()


def list_cuts(site, upstreams, caller, path):
    """Yield the id of one request for each byte at which its answers break off."""
    n_bytes = 0
    while True:
        for upstream in upstreams:
            upstream.n_bytes = n_bytes
        whole_id, request_id = f"w{n_bytes:05d}", f"r{n_bytes:05d}"
        caller.send_request(path, request_id=whole_id)
        assert caller.read_response()[0] == 200
        yield request_id
        n_bytes += 1
        if n_bytes >= max(upstream.n_whole_bytes for upstream in upstreams):
            return


def make_breaking_site(encode, names):
    site = make_site(n_nodes=0)
    node = site.start_node()
    allow_all_retries(site)
    site.publish(
        [
            make_gather(["p0", "p1", "p2"]),
            make_order(),
            make_order(name="lookup", type="safe", **{"path-prefix": "/lookup/"}),
        ]
    )
    site.run_until(lambda: node.is_ready)
    site.run_for(0.5)
    return site, [BreakingUpstream(site.upstreams[name], encode) for name in names]


def allow_all_retries(site):
    """Let the nodes send extra legs without a limit, so that no search waits."""
    for node in site.nodes:
        node._reducer.set_extra_allowance(0.2, 1e6)


def count_arrivals(site, request_id):
    return [
        upstream.id
        for upstream in site.upstreams.values()
        for request in upstream.requests
        if request.by_name[b"request-id"].decode() == request_id
    ]


@pytest.mark.parametrize("encode", ENCODERS)
@pytest.mark.parametrize(
    ("path", "n_upstreams"),
    [("/order/x", 1), ("/lookup/x", 2)],
    ids=["order", "lookup"],
)
def test_broken_off_answer_is_no_success(path, n_upstreams, encode):
    # Guards against callers that get an empty or short body, framed as whole.
    site, upstreams = make_breaking_site(encode, ["da", "db"])
    caller = site.connect()
    n_requests = 0
    for request_id in list_cuts(site, upstreams, caller, path):
        caller.send_request(path, request_id=request_id)
        status, headers, body = caller.read_response()
        assert status in (502, 504), request_id
        assert "response-seal" not in headers
        assert RECORD[:4] not in body
        assert len(count_arrivals(site, request_id)) == n_upstreams
        n_requests += 1
    assert n_requests > 60


@pytest.mark.parametrize("encode", ENCODERS)
def test_broken_off_part_is_not_merged(encode):
    site, upstreams = make_breaking_site(encode, ["p0a", "p0b"])
    caller = site.connect()
    for request_id in list_cuts(site, upstreams, caller, "/find/x"):
        caller.send_request("/find/x", request_id=request_id)
        check_partial_answer(request_id, *caller.read_response())


def check_partial_answer(request_id, status, headers, body):
    """Check that the answer is the merge of the two shards that answered whole."""
    assert (status, headers["parts-missing"]) == (200, "1"), request_id
    seals = headers["part-seals"].split(", ")
    assert {seal.rpartition(".")[2] for seal in seals} == {request_id}
    assert len(seals) == 2
    assert not any("0" in seal.partition(".")[0] for seal in seals)
    assert body == b"".join(name.ljust(16, b".") for name in (b"p2", b"p1"))


@pytest.mark.parametrize("encode", ENCODERS)
def test_broken_off_part_of_a_group_is_not_merged(grouping_site, encode):
    site = grouping_site
    allow_all_retries(site)
    upstreams = [
        BreakingUpstream(site.upstreams[name], encode) for name in ("q0x", "q0y")
    ]
    caller = site.connect(site.nodes[0])
    for request_id in list_cuts(site, upstreams, caller, "/find/x"):
        caller.send_request("/find/x", request_id=request_id)
        check_partial_answer(request_id, *caller.read_response())
    assert "heatherpick_groups_gathered" in site.nodes[1]._counters.format_metrics({})


def test_broken_off_answer_of_a_gatherer_is_not_merged(grouping_site):
    site = grouping_site
    allow_all_retries(site)
    gateway = site.nodes[1]._gateway
    n_bytes = 0
    n_whole_bytes = 1

    def break_off(effect):
        nonlocal n_whole_bytes
        request_id = effect.request.by_name[b"request-id"]
        headers = [(b"Request-Id", request_id), *encode_answer(effect.outcomes)]
        data = build_response(200, headers, effect.body, False)
        n_whole_bytes = len(data)
        effect.request.connection.write(data[:n_bytes])
        effect.request.connection.abort()

    gateway._handlers[fx.AnswerGroup] = break_off
    n_groups = 0
    while n_bytes < n_whole_bytes:
        caller = site.connect(site.nodes[0])
        request_id = f"r{n_bytes:05d}"
        caller.send_request("/find/x", request_id=request_id)
        status, headers, body = caller.read_response()
        if status == 200:
            seals = headers["part-seals"].split(", ")
            assert len(seals) == 3 - int(headers["parts-missing"])
            assert {seal.rpartition(".")[2] for seal in seals} == {request_id}
            shards = sorted(seal.partition(".")[0][1] for seal in seals)
            expected = [b"p" + shard.encode() for shard in reversed(shards)]
            assert body == b"".join(name.ljust(16, b".") for name in expected)
        else:
            assert status in (502, 504)
        assert len(set(count_arrivals(site, request_id))) <= 6
        (lost,) = [
            fields
            for fields in site.logs[0].find("group of legs lost")
            if fields["request"] == request_id
        ] or [None]
        n_groups += lost is not None
        caller.sock.close()
        # The gatherer is given no group for a while after each that it lost.
        site.nodes[0]._reducer._gatherers._paused_until.clear()
        n_bytes += 7
    assert n_groups > 10
