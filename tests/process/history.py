"""Checks of the history of a run: what callers, upstreams and operators observed."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from standins.records import ANSWERED_OUTCOMES

__all__ = ["History", "VersionSample", "find_violations"]

NOT_RUN = "not run"
#: Outcomes of requests that got no response.
UNANSWERED = frozenset({"lost", "timeout", "error", "not sent"})


@dataclass(frozen=True, slots=True)
class VersionSample:
    """Versions of the shared documents that one incarnation of a node reported."""

    incarnation: str
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class History:
    """Everything recorded of one run.

    Parameters
    ----------
    plan : tuple of standins.arrivals.PlannedRequest
        Requests that were to be sent.
    records : tuple of standins.records.Record
        Results at the callers, in the order of completion.
    n_runs_by_key : dict of str to int
        Number of times that upstreams ran each order, by key.
    queries_run : frozenset of str
        Queries of which upstreams started at least one leg.
    claims : dict of str to object
        Recorded outcome of each claimed key, None while it is pending.
    version_samples : tuple of VersionSample
        Samples in chronological order.
    killed_addresses : frozenset of str
        Addresses of nodes that were killed; their responses may be lost.
    """

    plan: tuple = ()
    records: tuple = ()
    n_runs_by_key: dict = None
    queries_run: frozenset = frozenset()
    claims: dict = None
    version_samples: tuple = ()
    killed_addresses: frozenset = frozenset()


def find_violations(history):
    """Return one line for each invariant that a `History` violates, [] for none."""
    return [line for rule in _RULES for line in rule(history)]


def _find_lost_responses(history):
    n_records = Counter(record.number for record in history.records)
    for request in history.plan:
        if n_records[request.number] != 1:
            yield f"request {request.number} ended {n_records[request.number]} times"
    for record in history.records:
        if record.outcome in UNANSWERED and record.node not in history.killed_addresses:
            yield f"request {record.number} got no answer: {record.outcome}"


def _find_incorrect_responses(history):
    for record in history.records:
        if record.fault:
            yield f"request {record.number}: {record.fault}"


def _find_incorrect_refusals(history):
    for request, record in _pair_searches(history):
        if record.outcome == NOT_RUN and request.content in history.queries_run:
            yield f"search {record.number} was refused as not run, but ran"
    for key, records in _group_by_key(history).items():
        if history.n_runs_by_key.get(key) and all(
            each.outcome == NOT_RUN for each in records
        ):
            yield f"order {key} was refused as not run, but ran"


def _find_repeated_orders(history):
    for key, n_runs in history.n_runs_by_key.items():
        if n_runs > 1:
            yield f"order {key} ran {n_runs} times"


def _find_invented_outcomes(history):
    for key, records in _group_by_key(history).items():
        if not history.n_runs_by_key.get(key) and any(
            _is_answered(each) for each in records
        ):
            yield f"order {key} was answered, but never ran"


def _find_unequal_outcomes(history):
    """Each key is a write-once register: every response must have the same value."""
    for key, records in _group_by_key(history).items():
        outcomes = {str(each.body) for each in records if _is_answered(each)}
        if len(outcomes) > 1:
            yield f"order {key} has the outcomes {sorted(outcomes)}"
        claimed = history.claims.get(key)
        if claimed is not None and outcomes - {str(claimed)}:
            yield f"order {key} was answered otherwise than its claim records"


def _find_unclaimed_runs(history):
    for key, n_runs in history.n_runs_by_key.items():
        if n_runs and key not in history.claims:
            yield f"order {key} ran without a claim"


def _find_reverted_documents(history):
    newest_by_incarnation = defaultdict(dict)
    for sample in history.version_samples:
        newest_versions = newest_by_incarnation[sample.incarnation]
        for name, version in newest_versions.items():
            if sample.versions.get(name, 0) < version:
                yield f"{sample.incarnation} went back from {name} {version}"
        newest_versions.update(sample.versions)


def _pair_searches(history):
    requests = {each.number: each for each in history.plan}
    for record in history.records:
        request = requests.get(record.number)
        if request is not None and not request.is_order:
            yield request, record


def _group_by_key(history):
    groups = defaultdict(list)
    for record in history.records:
        if record.key:
            groups[record.key].append(record)
    return groups


def _is_answered(record):
    return record.outcome in ANSWERED_OUTCOMES


_RULES = (
    _find_lost_responses,
    _find_incorrect_responses,
    _find_incorrect_refusals,
    _find_repeated_orders,
    _find_invented_outcomes,
    _find_unequal_outcomes,
    _find_unclaimed_runs,
    _find_reverted_documents,
)
