"""What became of each request, one JSON line each, and the sum of them."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass

import orjson
from hdrh.histogram import HdrHistogram

__all__ = ["ANSWERS", "Record", "Summary"]

_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
_MAX_LATENCY_US = 600 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 90, 99, 99.9)
#: Outcomes that bring hits or a receipt.
ANSWERS = frozenset({"answered", "partial"})


@dataclass(frozen=True, slots=True)
class Record:
    """One request from its planned arrival to its end.

    Parameters
    ----------
    number : int
        Position in the plan.
    service : str
        Service that was asked.
    scheduled, sent, ended : float
        Planned arrival, first byte out and end, in seconds of the runtime's clock.
    node : str
        Node that had it last, "" if none was ready.
    outcome : str
        The node's own word; ``lost`` if the connection broke, ``timeout`` if no
        answer came, ``not sent`` if no node took it, ``error`` for another status.
    status : int
        Status of the answer, 0 if there was none.
    reason : str
        Why, as far as it is known.
    key : str
        Idempotency key of an order, "" for a search.
    n_shards, n_covered : int
        Coverage that the answer states.
    missing : tuple of int
        Shards that the answer says to lack.
    version : int
        Index version that the answer states.
    fault : str or None
        What is wrong with the answer, "" if it is true, None if there is nothing
        to check.
    body : object
        Outcome of an order as the upstream gave it.
    """

    number: int
    service: str
    scheduled: float
    sent: float
    ended: float
    node: str
    outcome: str
    status: int = 0
    reason: str = ""
    key: str = ""
    n_shards: int = 0
    n_covered: int = 0
    missing: tuple[int, ...] = ()
    version: int = 0
    fault: str | None = None
    body: object = None

    @property
    def correct(self):
        """Whether the answer is true, None if there is nothing to check."""
        return None if self.fault is None else not self.fault

    @property
    def latency(self):
        """Time from the planned arrival to the end, in seconds."""
        return self.ended - self.scheduled

    def to_line(self):
        """Return the record as a line of JSON."""
        return orjson.dumps(asdict(self) | {"correct": self.correct}) + b"\n"


class Summary:
    """Sum of all records and of those of each service."""

    def __init__(self):
        self._total = _Sum()
        self._by_service = defaultdict(_Sum)

    def add(self, record):
        """Add one `Record`."""
        self._total.add(record)
        self._by_service[record.service].add(record)

    def to_json(self):
        """Return the sums as a JSON object; latencies in milliseconds."""
        services = {name: each.to_json() for name, each in self._by_service.items()}
        return self._total.to_json() | {"services": services}


class _Sum:
    def __init__(self):
        self._outcomes = Counter()
        self._reasons = Counter()
        self._n_incorrect = 0
        self._n_checked = 0
        self._n_shards = 0
        self._n_covered = 0
        self._latency = _make_histogram()

    def add(self, record):
        self._outcomes[record.outcome] += 1
        if record.reason:
            self._reasons[f"{record.outcome}: {record.reason}"] += 1
        if record.correct is not None:
            self._n_checked += 1
            self._n_incorrect += not record.correct
        if record.outcome in ANSWERS:
            self._n_shards += record.n_shards
            self._n_covered += record.n_covered
            latency_us = max(1, round(record.latency * _US_PER_S))
            self._latency.record_value(min(latency_us, _MAX_LATENCY_US))

    def to_json(self):
        return {
            "n_requests": self._outcomes.total(),
            "outcomes": dict(self._outcomes),
            "reasons": dict(self._reasons),
            "n_checked": self._n_checked,
            "n_incorrect": self._n_incorrect,
            "coverage": self._n_covered / self._n_shards if self._n_shards else None,
            "latency_ms": self._list_percentiles(),
        }

    def _list_percentiles(self):
        if not self._latency.get_total_count():
            return {}
        found = {
            f"p{percentile:g}": self._latency.get_value_at_percentile(percentile)
            for percentile in _PERCENTILES
        }
        found["max"] = self._latency.get_max_value()
        return {name: value / _US_PER_MS for name, value in found.items()}


def _make_histogram():
    return HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
