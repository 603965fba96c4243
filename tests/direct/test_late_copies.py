"""Tests of second copies of responses, which arrive on the connection of the first."""

from collections import Counter

import pytest

from heatherpick._net.callers import build_response
from tests.direct.site import make_order, make_site

NOT_RUN_STATUSES = (408, 421, 429, 503)


class RepeatingUpstream:
    """Rejects the first requests, and repeats each rejection on its connection.

    The second copy is sent when the next request arrives, just before its own response.

    Parameters
    ----------
    upstream : UpstreamStandIn
        The upstream whose handler is replaced.
    n_rejections : int
        Number of requests that are rejected.
    """

    def __init__(self, upstream, n_rejections):
        self.runs = Counter()
        self._upstream = upstream
        self._n_rejections = n_rejections
        self._copies = {}
        upstream.handler = self.serve

    def serve(self, request):
        request_id = request.by_name[b"request-id"]
        copy = self._copies.pop(request.connection, None)
        if copy is not None:
            request.connection.write(copy)
        if self._n_rejections:
            self._n_rejections -= 1
            headers = [(b"Request-Id", request_id), (b"Not-Executed", b"1")]
            self._copies[request.connection] = build_response(503, headers, b"", False)
            request.respond(503, headers, b"")
            return
        self.runs[request_id] += 1
        self._upstream.serve(request)


def make_site_with_retries():
    """Return a site with one node that may repeat as many legs as it likes."""
    site = make_site(n_nodes=0)
    node = site.start_node(extra_slack=100_000.0)
    site.run_until(lambda: node.is_ready)
    return site


def send_orders(site, n_orders):
    """Send orders one after the other; return the status of each by its id."""
    statuses = {}
    caller = site.connect()
    for number in range(n_orders):
        request_id = f"r{number}"
        caller.send_request("/order/x", "POST", b"body", request_id=request_id)
        statuses[request_id.encode()] = caller.read_response()[0]
    return statuses


@pytest.mark.parametrize("n_rejections", [1, 2])
def test_copy_of_a_rejection_is_no_answer_to_the_next_attempt_of_the_order(
    n_rejections,
):
    # Guards against orders that run twice, or run although they were refused.
    site = make_site_with_retries()
    upstreams = [
        RepeatingUpstream(site.upstreams[name], n_rejections) for name in ("da", "db")
    ]
    statuses = send_orders(site, 3)
    runs = upstreams[0].runs + upstreams[1].runs
    assert all(n_runs == 1 for n_runs in runs.values()), runs
    refused = [each for each, status in statuses.items() if status in NOT_RUN_STATUSES]
    assert not [each for each in refused if runs[each]]
    assert set(statuses.values()) == {200}


def test_copies_on_as_many_connections_as_are_allowed_do_not_block_an_order():
    # All connections of the only upstream may have carried a rejection of the order.
    site = make_site_with_retries()
    site.publish([make_order(attempts=1)])
    site.store.delete("servers", "db")
    site.run_for(0.3)
    upstream = RepeatingUpstream(site.upstreams["da"], 4)
    statuses = send_orders(site, 1)
    assert statuses == {b"r0": 200}
    assert upstream.runs == {b"r0": 1}
