"""The account of lost worth, on small reports and logs."""

import json

import pytest

from tools.losses import (
    ALL_ASKED,
    KNOWN_ISOLATED,
    LATE,
    NEVER_ASKED,
    NO_NODE,
    NOT_KNOWN_ISOLATED,
    NOT_RUN_ONLY,
    REFUSED,
    RequestKind,
    account_losses,
    format_table,
    read_kinds,
    read_log,
)

KINDS = [
    RequestKind("find", 80.0, 2.0, 0.1, True),
    RequestKind("look", 250.0, 1.0, 0.5, False),
]


def make_line(at, message="request ended", node="n1", **fields):
    values = {"message": message, "status": 200, "ms": 10.0, "priority": 1, **fields}
    if message == "request ended":
        values = {"objective_ms": 90.0, "shards": 10, "answered": 10, **values}
    return f"  {at:8.3f} {node} {json.dumps(values)}\n"


def account(lines, n=2, worth=0.0):
    lines = [make_line(-9.0, "started", data_centre="a"), *lines]
    windows = [{"name": "0", "n": n, "worth": worth}]
    return account_losses(KINDS, windows, read_log(lines))


def sum_by_cause(losses):
    amounts = {}
    for loss in losses:
        amounts[loss.cause] = amounts.get(loss.cause, 0.0) + loss.amount
    return amounts


def make_partial(**shard):
    values = {"service": "p", "sent": 1, "asked": ["u1"], "listed": 2, "trouble": []}
    return make_line(0.5, answered=9, missing=[{**values, **shard}])


@pytest.mark.parametrize(
    ("shard", "cause"),
    [
        ({"asked": ["u1", "u2"], "trouble": ["u1: silent for 9 ms"]}, ALL_ASKED),
        ({"trouble": ["u1: not run, status 503"]}, NOT_RUN_ONLY),
        ({"trouble": ["u1: silent for 9 ms"]}, NEVER_ASKED),
    ],
)
def test_missing_part_costs_the_square_of_the_coverage(shard, cause):
    losses = account([make_partial(**shard)], n=1, worth=0.81)
    assert sum_by_cause(losses) == {cause: pytest.approx(2.0 * (1.0 - 0.9**2))}
    assert (losses[0].data_centre, losses[0].kind) == ("a", "find")


def test_late_answer_costs_all_but_the_late_share():
    losses = account([make_line(0.5, ms=95.0)], n=1, worth=0.1)
    assert sum_by_cause(losses) == {LATE: pytest.approx(1.8)}


def test_refusals_before_and_after_the_detection_of_isolation_are_told_apart():
    lines = [
        make_line(0.2, status=502),
        make_line(0.3, status=503, outcome="isolated"),
        make_line(0.4, "isolated"),
        make_line(0.6, status=503),
        make_line(1.0, "no longer isolated"),
        make_line(1.5, status=502),
    ]
    losses = account(lines, n=4)
    causes = {NOT_KNOWN_ISOLATED: 2.0, KNOWN_ISOLATED: 4.0, REFUSED: 2.0}
    assert sum_by_cause(losses) == pytest.approx(causes)


def test_loss_that_no_line_explains_is_of_callers_who_reached_no_node():
    losses = account([make_line(0.5)], n=4, worth=0.5)
    assert sum_by_cause(losses) == {NO_NODE: pytest.approx(4.0)}


def test_refusals_of_requests_that_were_served_later_are_scaled_down():
    losses = account([make_line(0.1, status=502), make_line(0.2)], n=1, worth=0.75)
    assert sum_by_cause(losses) == {REFUSED: pytest.approx(0.5)}


def test_lines_of_other_requests_are_left_out():
    lines = [
        make_line(0.1, status=502, priority=0),
        make_line(0.2, status=502, for_peer=True),
        "   0.300 n1 {cut\n",
    ]
    assert account(lines, n=0, worth=1.0) == []


def test_kinds_are_read_from_the_day():
    fields = {"name": "find", "aim_ms": 80, "worth": 2, "late_worth": 0.1}
    site = {"day": [{"name": "one", "classes": [{**fields, "gather": {"top": 5}}]}]}
    assert read_kinds(site, "one") == KINDS[:1]


def test_table_states_shares_in_order():
    losses = account([make_line(0.1, status=502), make_line(0.2, ms=99.0)], n=2)
    lines = format_table(losses, "cause")
    assert lines[0].startswith(REFUSED)
    assert "%" in lines[0]
