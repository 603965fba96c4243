"""Counters of the calls to the platform, in total and per second."""

from collections import Counter

__all__ = ["CallCounters"]

#: Number of the most recent seconds for which counts per second are kept.
_MAX_SECONDS = 900


class CallCounters:
    """Counts calls by operation and by the first part of the object's name.

    Parameters
    ----------
    started_at : float
        Time from which seconds are counted, in seconds.
    """

    def __init__(self, started_at):
        self._started_at = started_at
        self._by_operation = Counter()
        self._by_prefix = Counter()
        self._by_second = {}
        self._n_waiting = 0
        self._max_waiting = 0

    def count_call(self, operation, name, now):
        """Count one call, whatever its outcome."""
        self._by_operation[operation.value] += 1
        self._by_prefix[f"{operation.value} {name.split('/')[0]}"] += 1
        second = int(now - self._started_at)
        if second not in self._by_second:
            self._by_second[second] = Counter()
            self._drop_old_seconds()
        self._by_second[second][operation.value] += 1

    def add_waiting_watch(self):
        """Count a watch that starts to wait."""
        self._n_waiting += 1
        self._max_waiting = max(self._max_waiting, self._n_waiting)

    def remove_waiting_watch(self):
        """Count a watch that stops waiting."""
        self._n_waiting -= 1

    def to_json(self):
        """Return all counts as a JSON object."""
        return {
            "calls": dict(self._by_operation),
            "by_prefix": dict(self._by_prefix),
            "n_waiting": self._n_waiting,
            "max_waiting": self._max_waiting,
            "seconds": [
                {"second": second} | counts
                for second, counts in sorted(self._by_second.items())
            ],
        }

    def _drop_old_seconds(self):
        while len(self._by_second) > _MAX_SECONDS:
            del self._by_second[min(self._by_second)]
