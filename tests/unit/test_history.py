from dataclasses import replace

import pytest

from standins.arrivals import PlannedRequest
from standins.hits import compute_hits
from standins.records import Record
from standins.response_check import find_response_fault
from tests.process.history import History, VersionSample, find_violations

PLAN = (
    PlannedRequest(0, 0.0, "lookup", "pine", shard_set="s"),
    PlannedRequest(1, 0.1, "entry", {"item": 1}, key="k"),
    PlannedRequest(2, 0.2, "entry", {"item": 1}, key="k"),
)


def search(number=0, outcome="answered", query="pine", covered=((0, 7), (1, 7)), n=2):
    hits = [hit for shard, v in covered for hit in compute_hits("s", v, shard, query)]
    missing = sorted(set(range(n)) - {shard for shard, _ in covered})
    coverage = {"n_shards": n, "n_covered": n - len(missing), "missing": missing}
    answer = {"outcome": outcome, "coverage": coverage, "index_version": 7}
    fault = find_response_fault("s", "pine", answer | {"hits": hits})
    return Record(number, "lookup", 0.0, 0.0, 0.1, "n", outcome, fault=fault)


def order(number, outcome="answered", body="a/1", node="n"):
    return Record(number, "entry", 0.1, 0.1, 0.2, node, outcome, key="k", body=body)


def refuse(number, key=""):
    return Record(number, "x", 0.0, 0.0, 0.1, "n", "not run", key=key)


CORRECT_HISTORY = History(
    plan=PLAN,
    records=(search(), order(1), order(2)),
    n_runs_by_key={"k": 1},
    queries_run=frozenset({"pine"}),
    claims={"k": "a/1"},
    version_samples=(
        VersionSample("n.1", {"d": 2}),
        VersionSample("n.2", {"d": 1}),
        VersionSample("n.1", {"d": 3}),
        VersionSample("n.2", {"d": 3}),
    ),
)

CORRECT_CHANGES = {
    "nothing": {},
    "partial response with correct coverage": {
        "records": (search(outcome="partial", covered=((0, 7),)), order(1), order(2))
    },
    "refused repeat of an order that ran": {
        "records": (search(), order(1), refuse(2, "k"))
    },
    "response lost with its killed node": {
        "records": (search(), order(1, "lost", None, "dead"), order(2)),
        "killed_addresses": frozenset({"dead"}),
    },
    "search refused that never ran": {
        "records": (refuse(0), order(1), order(2)),
        "queries_run": frozenset(),
    },
}

VIOLATIONS = {
    "order ran twice": ({"n_runs_by_key": {"k": 2}}, "ran 2 times"),
    "two outcomes of one key": (
        {"records": (search(), order(1), order(2, body="a/2"))},
        "has the outcomes",
    ),
    "claim records another outcome": ({"claims": {"k": "b/9"}}, "otherwise"),
    "order ran unclaimed": ({"claims": {}}, "without a claim"),
    "order answered that never ran": ({"n_runs_by_key": {}}, "never ran"),
    "order refused as not run that ran": (
        {"records": (search(), refuse(1, "k"), refuse(2, "k"))},
        "refused as not run",
    ),
    "search refused as not run that ran": (
        {"records": (refuse(0), order(1), order(2))},
        "refused as not run",
    ),
    "two index versions in one response": (
        {"records": (search(covered=((0, 7), (1, 8))), order(1), order(2))},
        "another query or version",
    ),
    "response to another query": (
        {"records": (search(query="oak"), order(1), order(2))},
        "another query or version",
    ),
    "coverage overstated": (
        {"records": (search(covered=((0, 7),)), order(1), order(2))},
        "does not agree with the coverage",
    ),
    "request without a result": ({"records": (search(), order(1))}, "ended 0 times"),
    "request with two results": (
        {"records": (search(), search(), order(1), order(2))},
        "ended 2 times",
    ),
    "connection lost though its node was not killed": (
        {"records": (search(), order(1, "lost", None), order(2))},
        "got no answer",
    ),
    "document reverted": (
        {
            "version_samples": (
                VersionSample("n.1", {"d": 2}),
                VersionSample("n.1", {"d": 1}),
            )
        },
        "went back",
    ),
    "document forgotten": (
        {"version_samples": (VersionSample("n.1", {"d": 2}), VersionSample("n.1", {}))},
        "went back",
    ),
}


@pytest.mark.parametrize("changes", CORRECT_CHANGES.values(), ids=CORRECT_CHANGES)
def test_correct_history_has_no_violation(changes):
    assert find_violations(replace(CORRECT_HISTORY, **changes)) == []


@pytest.mark.parametrize(
    ("changes", "message_part"), VIOLATIONS.values(), ids=VIOLATIONS
)
def test_seeded_violation_is_found(changes, message_part):
    assert any(
        message_part in line
        for line in find_violations(replace(CORRECT_HISTORY, **changes))
    )
