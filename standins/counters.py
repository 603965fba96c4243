"""Counts of the platform's calls, in total and second by second."""

from collections import Counter

__all__ = ["CallCounters"]

#: Seconds that the record second by second goes back.
_N_SECONDS = 900


class CallCounters:
    """Calls by operation and by the first part of the object's name.

    Parameters
    ----------
    started : float
        Time from which seconds are counted, in seconds.
    """

    def __init__(self, started):
        self._started = started
        self._by_operation = Counter()
        self._by_prefix = Counter()
        self._by_second = {}
        self._n_waiting = 0
        self._max_waiting = 0

    def count(self, operation, name, now):
        """Count one call, whatever becomes of it."""
        self._by_operation[operation.value] += 1
        self._by_prefix[f"{operation.value} {name.split('/')[0]}"] += 1
        second = int(now - self._started)
        if second not in self._by_second:
            self._by_second[second] = Counter()
            self._forget()
        self._by_second[second][operation.value] += 1

    def start_waiting(self):
        """Count a watch that waits from now on."""
        self._n_waiting += 1
        self._max_waiting = max(self._max_waiting, self._n_waiting)

    def stop_waiting(self):
        """Count a watch that waits no longer."""
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

    def _forget(self):
        while len(self._by_second) > _N_SECONDS:
            del self._by_second[min(self._by_second)]
