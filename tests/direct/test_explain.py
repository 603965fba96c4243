"""Tests of the command `explain` on the log lines of nodes."""

import io
import json

import pytest

from heatherpick.__main__ import main
from tests.direct.site import make_site


def run_explain(monkeypatch, capsys, request_id, lines):
    log_text = "\n".join(json.dumps(line, default=repr) for line in lines)
    monkeypatch.setattr("sys.stdin", io.StringIO(log_text))
    code = main(["explain", request_id])
    return code, capsys.readouterr()


def collect_log_lines(site):
    return [
        {"time": 100.0, "node": f"n{k}", "message": message, **fields}
        for k, reports in enumerate(site.logs)
        for message, fields in reports
    ]


@pytest.fixture
def site():
    return make_site()


def test_partial_search_names_the_silent_upstreams(site, monkeypatch, capsys):
    for upstream_id in ("p0a", "p0b"):
        site.upstreams[upstream_id].handler = lambda request: None
    caller = site.connect()
    caller.send_request("/find/x", request_id="thin-1")
    caller.read_response()
    code, output = run_explain(monkeypatch, capsys, "thin-1", collect_log_lines(site))
    assert code == 0
    assert "outcome: partial, status 200" in output.out
    assert "without an answer: p0, 2 legs, 2 upstreams listed" in output.out
    assert "p0a: silent for" in output.out


def test_refused_order_names_the_upstreams_that_refused(site, monkeypatch, capsys):
    for upstream_id in ("da", "db"):
        site.upstreams[upstream_id].handler = lambda request: request.respond(
            503, [(b"Not-Executed", b"1")], b""
        )
    caller = site.connect()
    caller.send_request("/order/x", "POST", b"b", request_id="refused-1")
    assert caller.read_response()[0] == 503
    _, output = run_explain(monkeypatch, capsys, "refused-1", collect_log_lines(site))
    assert "status 503" in output.out
    assert "da: not run, status 503" in output.out


def test_timed_out_order_is_explained_with_earlier_log_lines(site, monkeypatch, capsys):
    for upstream_id in ("da", "db"):
        site.upstreams[upstream_id].handler = lambda request: None
    caller = site.connect()
    caller.send_request("/order/x", "POST", b"b", request_id="late-1")
    assert caller.read_response()[0] == 504
    _, output = run_explain(monkeypatch, capsys, "late-1", collect_log_lines(site))
    assert "no answer in time, status 504" in output.out
    assert "routes adopted version=1" in output.out


def test_path_without_route_is_explained_with_the_routes_version(
    site, monkeypatch, capsys
):
    caller = site.connect()
    caller.send_request("/none/x", request_id="lost-1")
    caller.read_response()
    _, output = run_explain(monkeypatch, capsys, "lost-1", collect_log_lines(site))
    assert "no such route, status 404" in output.out
    assert "routes of version 1" in output.out


def test_handed_over_search_is_explained_by_both_nodes(monkeypatch, capsys):
    site = make_site(links_mbps=[100.0, 10.0])
    site.run_until(
        lambda: site.logs[1].find("nodes listed")[-1]["n_nodes"] == 2, wait_s=10.0
    )
    for upstream_id in ("p0a", "p0b"):
        site.upstreams[upstream_id].handler = lambda request: None
    caller = site.connect(site.nodes[1])
    caller.send_request("/find/x", request_id="handed-1")
    assert caller.read_response()[0] == 200
    _, output = run_explain(monkeypatch, capsys, "handed-1", collect_log_lines(site))
    search_host, *_ = site.nodes[0].settings.search_address
    assert "run for another node, which serves the caller" in output.out
    assert f"run by the node that takes searches at {search_host}" in output.out
    assert "p0b: silent for" in output.out


def test_group_with_a_late_leg_is_explained_with_the_node_that_gathered(
    monkeypatch, capsys
):
    ended = {
        "message": "request ended",
        "request": "r1",
        "node": "n0",
        "time": 9.0,
        "route": "find",
        "groups": 2,
    }
    gathered = {
        "message": "legs gathered",
        "request": "r1",
        "node": "n7",
        "time": 8.9,
        "legs": 5,
        "answered": 4,
        "ms": 18.5,
    }
    others = [{**gathered, "request": f"s{n}"} for n in range(3)]
    lines = [*others, gathered, ended]
    code, output = run_explain(monkeypatch, capsys, "r1", lines)
    assert code == 0
    assert "groups of legs sent by other nodes: 2" in output.out
    assert output.out.count("n7 answered with 4 of 5 legs after 18.5 ms") == 1


def test_request_missing_from_the_logs_is_an_error_with_a_remedy(monkeypatch, capsys):
    code, output = run_explain(monkeypatch, capsys, "r", [{"message": "started"}])
    assert code == 1
    assert "give the logs of all nodes" in output.err
