"""Records of requests, written as JSON lines, and their summary."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass

import orjson
from hdrh.histogram import HdrHistogram

__all__ = ["ANSWERED_OUTCOMES", "Record", "Summary"]

_US_PER_S = 1_000_000
_US_PER_MS = 1000.0
_MAX_LATENCY_US = 600 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50, 90, 99, 99.9)
#: Outcomes of requests whose response holds hits or a receipt.
ANSWERED_OUTCOMES = frozenset({"answered", "partial"})


@dataclass(frozen=True, slots=True)
class Record:
    """One request, from its planned arrival to its end.

    Parameters
    ----------
    number : int
        Position in the plan.
    service : str
        Service that the request addressed.
    scheduled, sent, ended : float
        Times of the planned arrival, of the start of sending and of the end, in
        seconds of the reactor's clock.
    node : str
        Address of the last node that it was sent to, "" if no node was ready.
    outcome : str
        Outcome that the response states; ``lost`` if the connection broke,
        ``timeout`` if no response came in time, ``not sent`` if no node accepted the
        connection or too many requests were in flight, ``error`` if the response
        states no outcome.
    status : int
        HTTP status of the response, 0 if there was none.
    reason : str
        Reason of the outcome, "" if it is unknown.
    key : str
        Idempotency key of an order, "" for a search.
    n_shards, n_covered : int
        Number of shards, and of those covered, that the response states.
    missing : tuple of int
        Missing shards that the response states.
    version : int
        Index version that the response states.
    fault : str or None
        Fault of the response, "" if it is correct, None if there is nothing to check.
    body : object
        Result of an order as the upstream returned it.
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
    def is_correct(self):
        """Whether the response is correct, None if there is nothing to check."""
        return None if self.fault is None else not self.fault

    @property
    def latency_s(self):
        """Time from the planned arrival to the end."""
        return self.ended - self.scheduled

    def to_json_line(self):
        """Return the record as one line of JSON, in bytes."""
        return orjson.dumps(asdict(self) | {"correct": self.is_correct}) + b"\n"


class Summary:
    """Statistics of all records and of those of each service."""

    def __init__(self):
        self._total = _Statistics()
        self._by_service = defaultdict(_Statistics)

    def add(self, record):
        """Add one `Record`."""
        self._total.add(record)
        self._by_service[record.service].add(record)

    def to_json(self):
        """Return the statistics as a JSON object; latencies are in milliseconds."""
        services = {name: each.to_json() for name, each in self._by_service.items()}
        return self._total.to_json() | {"services": services}


class _Statistics:
    def __init__(self):
        self._outcomes = Counter()
        self._reasons = Counter()
        self._n_incorrect = 0
        self._n_checked = 0
        self._n_shards = 0
        self._n_covered = 0
        self._latencies_us = _make_histogram()

    def add(self, record):
        self._outcomes[record.outcome] += 1
        if record.reason:
            self._reasons[f"{record.outcome}: {record.reason}"] += 1
        if record.is_correct is not None:
            self._n_checked += 1
            self._n_incorrect += not record.is_correct
        if record.outcome in ANSWERED_OUTCOMES:
            self._n_shards += record.n_shards
            self._n_covered += record.n_covered
            latency_us = max(1, round(record.latency_s * _US_PER_S))
            self._latencies_us.record_value(min(latency_us, _MAX_LATENCY_US))

    def to_json(self):
        return {
            "n_requests": self._outcomes.total(),
            "outcomes": dict(self._outcomes),
            "reasons": dict(self._reasons),
            "n_checked": self._n_checked,
            "n_incorrect": self._n_incorrect,
            "coverage": self._n_covered / self._n_shards if self._n_shards else None,
            "latency_ms": self._compute_percentiles_ms(),
        }

    def _compute_percentiles_ms(self):
        if not self._latencies_us.get_total_count():
            return {}
        percentiles_us = {
            f"p{percentile:g}": self._latencies_us.get_value_at_percentile(percentile)
            for percentile in _PERCENTILES
        }
        percentiles_us["max"] = self._latencies_us.get_max_value()
        return {name: value / _US_PER_MS for name, value in percentiles_us.items()}


def _make_histogram():
    return HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
