"""Tests of planned stops: what a stopping node takes, it answers before it exits."""

import pytest

from heatherpick._net.callers import NEW_CONNECTION_S
from heatherpick._net.node import (
    ACCEPT_AFTER_STOP_S,
    ANSWER_DEADLINE_SHARE,
    EXIT_DEADLINE_SHARE,
    STOP_POLL_S,
)
from tests.direct.site import make_gather, make_order, make_site
from tests.direct.test_aggregators import wait_for_node_lists

#: Grace period of the nodes, in seconds.
GRACE_S = 4.0
#: Time after which a request that was sent must not be lost, in seconds.
LOSS_SLACK_S = 0.2


def make_stopping_site(n_nodes=1, **limits):
    """Return a site with one node, two shards, and two kinds of requests to a desk."""
    site = make_site(n_nodes=0, **{"idle-timeout-ms": 10_000, **limits})
    for _ in range(n_nodes):
        site.start_node(stop_grace_s=GRACE_S)
    fields = {"timeout-ms": 20_000, "slo-ms": 200}
    site.publish(
        [
            make_order(**fields),
            make_order(
                **fields, name="lookup", type="safe", **{"path-prefix": "/lookup/"}
            ),
            make_gather(["p0", "p1"], **fields),
        ]
    )
    site.run_until(lambda: all(node.is_ready for node in site.nodes))
    site.run_for(0.5)
    site.loop._is_running = True
    return site


def set_delay(site, delay_s):
    for upstream in site.upstreams.values():
        upstream.delay_s = delay_s


def warm_up(site, path):
    """Let the node learn how long requests to a path take."""
    caller = site.connect()
    for number in range(12):
        caller.send_request(path, request_id=f"w{number}", extra=["Deadline-Ms: 9000"])
        assert caller.read_response()[0] == 200


class SteadyCaller:
    """Sends requests one after the other, on one connection for as long as it is open.

    Attributes
    ----------
    statuses : list of int
        Status of each answer.
    cut : list of (str, float)
        Ids of the requests whose connection ended without an answer, and the times for
        which they had been waiting in seconds.
    """

    def __init__(self, site, name, path):
        self._site = site
        self._name = name
        self._path = path
        self._caller = None
        self._n_sent = 0
        self._request_id = None
        self._sent_at = 0.0
        self.statuses = []
        self.cut = []

    def step(self):
        """Read an answer, or send the next request if there is none to wait for."""
        if self._caller is None:
            self._caller = self._site.connect()
        if self._request_id is None:
            self._n_sent += 1
            self._request_id = f"{self._name}-{self._n_sent}"
            self._sent_at = self._site.loop.seconds()
            self._caller.send_request(self._path, request_id=self._request_id)
            return
        if self._caller._has_response():
            status, headers, _ = self._caller.read_response()
            self.statuses.append(status)
            self._request_id = None
            if headers.get("connection") == "close":
                self._caller.sock.close()
                self._caller = None
        elif self._caller.is_closed:
            self._record_cut()
            self._caller = None

    def end(self):
        """Record a request that is still open when the process is gone."""
        if self._request_id is not None and not self._caller._has_response():
            self._record_cut()

    def _record_cut(self):
        waited_s = self._site.loop.seconds() - self._sent_at
        self.cut.append((self._request_id, waited_s))
        self._request_id = None


def list_received_ids(site):
    """Return the ids of the requests that any upstream has received."""
    return {
        request.by_name[b"request-id"].decode()
        for upstream in site.upstreams.values()
        for request in upstream.requests
    }


def is_gone(site):
    return not site.loop._is_running


def play_until_exit(site, callers):
    """Stop the node, and let callers send until its process would be gone."""
    site.nodes[0].begin_stop()
    started_at = site.loop.seconds()
    while not is_gone(site):
        for caller in callers:
            caller.step()
        site.loop.run_once(0.005)
    for caller in callers:
        caller.end()
    return site.loop.seconds() - started_at


@pytest.mark.parametrize("path", ["/order/x", "/lookup/x", "/find/x"])
def test_stopping_node_cuts_no_request_of_callers_that_stay(path):
    # Guards against requests that are taken late in the grace period and then cut.
    site = make_stopping_site()
    set_delay(site, 0.4)
    warm_up(site, path)
    callers = [SteadyCaller(site, f"c{number}", path) for number in range(6)]
    elapsed_s = play_until_exit(site, callers)
    statuses = [status for caller in callers for status in caller.statuses]
    # A request that crosses the exit was not read, and is sent again elsewhere.
    sent_on = list_received_ids(site)
    cut = [each for caller in callers for each in caller.cut]
    assert not [each for each in cut if each[0] in sent_on or each[1] > LOSS_SLACK_S]
    assert statuses.count(200) >= 18
    assert set(statuses) == {200, 503}
    assert elapsed_s <= EXIT_DEADLINE_SHARE * GRACE_S + 0.3


def test_refused_order_of_a_stopping_node_has_not_run():
    site = make_stopping_site()
    set_delay(site, 60.0)
    lasting_caller = site.connect()
    lasting_caller.send_request("/lookup/x", extra=["Deadline-Ms: 15000"])
    site.run_for(0.1)
    site.nodes[0].begin_stop()
    site.run_for((ANSWER_DEADLINE_SHARE - 0.04) * GRACE_S)
    caller = site.connect()
    caller.send_request("/order/x", "POST", b"b", request_id="late")
    status, headers, _ = caller.read_response()
    assert (status, headers["connection"]) == (503, "close")
    assert float(headers["retry-after"]) < 0.2
    assert "late" not in list_received_ids(site)


def test_request_that_outlasts_the_grace_period_is_answered_before_the_exit():
    # Guards against a connection that ends in silence at the end of the grace period.
    site = make_stopping_site()
    set_delay(site, 60.0)
    callers = []
    for path in ("/order/x", "/lookup/x", "/find/x"):
        caller = site.connect()
        caller.send_request(path, request_id=path, extra=["Deadline-Ms: 15000"])
        callers.append(caller)
    site.run_for(0.1)
    site.nodes[0].begin_stop()
    started_at = site.loop.seconds()
    statuses = [caller.read_response()[0] for caller in callers]
    assert site.loop.seconds() - started_at >= ANSWER_DEADLINE_SHARE * GRACE_S - 0.1
    assert set(statuses) <= {502, 504}
    for caller in callers:
        caller.sock.close()
    site.run_until(lambda: is_gone(site), 1.0)


def test_partial_search_is_answered_with_what_there_is_before_the_exit():
    site = make_stopping_site()
    for name in ("p0a", "p0b"):
        site.upstreams[name].delay_s = 60.0
    site.publish(
        [make_gather(["p0", "p1"], **{"timeout-ms": 20_000, "slo-ms": 15_000})]
    )
    site.run_for(0.5)
    caller = site.connect()
    caller.send_request("/find/x", extra=["Deadline-Ms: 15000"])
    site.run_for(0.1)
    site.nodes[0].begin_stop()
    status, headers, _ = caller.read_response()
    assert (status, headers["parts-missing"]) == (200, "1")


def test_pipelined_requests_are_all_answered_by_a_stopping_node():
    # Guards against requests that were read and are dropped with the connection.
    site = make_stopping_site()
    set_delay(site, 0.2)
    caller = site.connect()
    for number in range(5):
        caller.send_request("/order/x", "POST", b"b", request_id=f"r{number}")
    site.run_for(0.05)
    site.nodes[0].begin_stop()
    answers = [caller.read_response()[:2] for _ in range(5)]
    assert [status for status, _ in answers] == 5 * [200]
    assert [headers.get("connection") for _, headers in answers] == 4 * [None] + [
        "close"
    ]


def test_pipelined_requests_are_refused_once_the_end_is_near():
    site = make_stopping_site()
    set_delay(site, 1.5)
    warm_caller = site.connect()
    warm_caller.send_request("/order/x", extra=["Deadline-Ms: 9000"])
    assert warm_caller.read_response()[0] == 200
    caller = site.connect()
    for number in range(5):
        caller.send_request("/order/x", "POST", b"b", request_id=f"r{number}")
    site.run_for(0.05)
    site.nodes[0].begin_stop()
    statuses = [caller.read_response()[0] for _ in range(5)]
    assert statuses[0] == 200
    assert set(statuses[1:]) <= {200, 502, 503, 504}
    assert statuses[-1] == 503


def test_new_connection_to_a_stopping_node_is_kept_until_its_request():
    # Guards against connections that close while their first request is on the way.
    site = make_stopping_site()
    set_delay(site, 60.0)
    lasting_caller = site.connect()
    lasting_caller.send_request("/lookup/x", extra=["Deadline-Ms: 15000"])
    site.run_for(0.1)
    set_delay(site, 0.0)
    site.nodes[0].begin_stop()
    site.run_for(ACCEPT_AFTER_STOP_S + 0.2)
    caller = site.connect()
    site.run_for(2.5 * STOP_POLL_S)
    caller.send_request("/order/x", "POST", b"b")
    assert caller.read_response()[0] == 200
    silent_caller = site.connect()
    silent_caller.read(wait_s=NEW_CONNECTION_S + 3.0 * STOP_POLL_S)
    assert silent_caller.is_closed


@pytest.mark.parametrize("links_mbps", [[100.0, 10.0], [10.0, 10.0]])
def test_stop_of_both_nodes_of_a_search_cuts_nothing(links_mbps):
    # The first node runs the second one's searches, if its link is that much faster.
    site = make_site(links_mbps=links_mbps)
    wait_for_node_lists(site)
    set_delay(site, 0.3)
    callers = [site.connect(node) for node in site.nodes for _ in range(4)]
    for number, caller in enumerate(callers):
        path = ("/find/x", "/order/x")[number % 2]
        caller.send_request(path, request_id=f"r{number}")
    site.run_for(0.1)
    for node in site.nodes:
        node.begin_stop()
    answers = [caller.read_response() for caller in callers]
    assert [status for status, _, _ in answers] == 8 * [200]
    searches = [headers for _, headers, _ in answers[::2]]
    assert [headers["parts-missing"] for headers in searches] == 4 * ["0"]


def test_search_that_an_aggregator_runs_when_both_exit_is_refused_not_cut():
    site = make_site(links_mbps=[100.0, 10.0])
    site.publish([make_gather(["p0", "p1"], **{"timeout-ms": 20_000})])
    wait_for_node_lists(site)
    site.run_for(0.5)
    set_delay(site, 60.0)
    caller = site.connect(site.nodes[1])
    caller.send_request("/find/x", extra=["Deadline-Ms: 15000"])
    site.run_for(0.1)
    assert site.nodes[0]._gateway.n_active_connections == 1
    for node in site.nodes:
        node.begin_stop()
    caller.read(wait_s=7.0)
    status, headers, _ = caller.read_response()
    assert status in (502, 504)
    assert headers["connection"] == "close"
