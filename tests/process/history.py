"""Checks the history of a run: what callers, upstreams and operators saw."""

from collections import Counter, defaultdict
from dataclasses import dataclass

from standins.records import ANSWERED_OUTCOMES

__all__ = ["History", "Sighting", "find_faults"]

NOT_RUN = "not run"
#: Ends of a request that are no answer to it.
UNANSWERED = frozenset({"lost", "timeout", "error", "not sent"})


@dataclass(frozen=True, slots=True)
class Sighting:
    """Versions of the shared documents that one start of a node showed once."""

    start: str
    versions: dict[str, int]


@dataclass(frozen=True, slots=True)
class History:
    """Everything recorded of one run.

    Parameters
    ----------
    plan : tuple of standins.arrivals.PlannedRequest
        What was to be asked.
    records : tuple of standins.records.Record
        What callers got, in the order of the ends.
    runs : dict of str to int
        Times that upstreams ran each order, by key.
    queries_run : frozenset of str
        Queries of which upstreams started at least one leg.
    claims : dict of str to object
        Recorded outcome of each claimed key, None while it is open.
    sightings : tuple of Sighting
        In the order of time.
    killed : frozenset of str
        Addresses of nodes that were killed; what they held may be lost.
    """

    plan: tuple = ()
    records: tuple = ()
    runs: dict = None
    queries_run: frozenset = frozenset()
    claims: dict = None
    sightings: tuple = ()
    killed: frozenset = frozenset()


def find_faults(history):
    """Return one line for each promise that a `History` breaks, [] for none."""
    return [line for rule in _RULES for line in rule(history)]


def _find_lost_answers(history):
    n_ends = Counter(record.number for record in history.records)
    for request in history.plan:
        if n_ends[request.number] != 1:
            yield f"request {request.number} ended {n_ends[request.number]} times"
    for record in history.records:
        if record.outcome in UNANSWERED and record.node not in history.killed:
            yield f"request {record.number} got no answer: {record.outcome}"


def _find_false_answers(history):
    for record in history.records:
        if record.fault:
            yield f"request {record.number}: {record.fault}"


def _find_false_refusals(history):
    for request, record in _pair_searches(history):
        if record.outcome == NOT_RUN and request.content in history.queries_run:
            yield f"search {record.number} was refused as not run, but ran"
    for key, records in _group_by_key(history).items():
        if history.runs.get(key) and all(each.outcome == NOT_RUN for each in records):
            yield f"order {key} was refused as not run, but ran"


def _find_doubled_orders(history):
    for key, n_runs in history.runs.items():
        if n_runs > 1:
            yield f"order {key} ran {n_runs} times"


def _find_invented_outcomes(history):
    for key, records in _group_by_key(history).items():
        if not history.runs.get(key) and any(_is_done(each) for each in records):
            yield f"order {key} was answered, but never ran"


def _find_unequal_outcomes(history):
    """Each key is a register written once: every answer reads the same value."""
    for key, records in _group_by_key(history).items():
        outcomes = {str(each.body) for each in records if _is_done(each)}
        if len(outcomes) > 1:
            yield f"order {key} has the outcomes {sorted(outcomes)}"
        claimed = history.claims.get(key)
        if claimed is not None and outcomes - {str(claimed)}:
            yield f"order {key} was answered otherwise than its claim records"


def _find_unclaimed_runs(history):
    for key, n_runs in history.runs.items():
        if n_runs and key not in history.claims:
            yield f"order {key} ran without a claim"


def _find_reverted_documents(history):
    newest = defaultdict(dict)
    for sighting in history.sightings:
        held = newest[sighting.start]
        for name, version in held.items():
            if sighting.versions.get(name, 0) < version:
                yield f"{sighting.start} went back from {name} {version}"
        held.update(sighting.versions)


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


def _is_done(record):
    return record.outcome in ANSWERED_OUTCOMES


_RULES = (
    _find_lost_answers,
    _find_false_answers,
    _find_false_refusals,
    _find_doubled_orders,
    _find_invented_outcomes,
    _find_unequal_outcomes,
    _find_unclaimed_runs,
    _find_reverted_documents,
)
