"""Ways in which an upstream spoils its answers on demand."""

from collections import deque
from enum import Enum

__all__ = ["AnswerFault", "AnswerFaults", "spoil_legs"]


class AnswerFault(Enum):
    """What happens to one answer; the work has been done in every case but FAIL."""

    #: Close the connection without an answer.
    DROP = "drop"
    #: Leave hits out although ``n_hits`` counts them.
    TRUNCATE_HITS = "truncate_hits"
    #: Close the connection in the middle of the answer.
    TRUNCATE_BYTES = "truncate_bytes"
    #: Send the answer of the call that finished before.
    PREVIOUS = "previous"
    #: Give each leg's id the content of another leg of the call.
    MIXED = "mixed"
    #: Reorder the legs of the answer, which is harmless.
    SHUFFLED = "shuffled"
    #: Repeat every leg of the answer.
    DOUBLED = "doubled"
    #: Say that the work failed.
    FAIL = "fail"


class AnswerFaults:
    """Queue of faults, each for one answer in the order of calls."""

    def __init__(self):
        self._queue = deque()

    def add(self, fault, n_next):
        """Spoil the ``n_next`` next answers."""
        self._queue.extend([fault] * n_next)

    def clear(self):
        """Spoil no answers any more."""
        self._queue.clear()

    def take(self):
        """Return the `AnswerFault` of the next answer, or None."""
        return self._queue.popleft() if self._queue else None


def spoil_legs(fault, legs):
    """Return the legs of an answer as a fault leaves them.

    Parameters
    ----------
    fault : AnswerFault or None
        The fault; those of the connection leave the legs alone.
    legs : list of dict
        True legs of the answer.
    """
    spoil = _SPOILERS.get(fault)
    return spoil(legs) if spoil else legs


def _truncate_hits(legs):
    return [leg | {"hits": leg["hits"][:-1]} for leg in legs]


def _mix(legs):
    ids = [leg["id"] for leg in legs]
    return [leg | {"id": ids[(n + 1) % len(ids)]} for n, leg in enumerate(legs)]


def _shuffle(legs):
    return legs[1:][::-1] + legs[:1]


def _double(legs):
    return legs + legs


def _fail(legs):
    failed = {"status": "failed", "n_hits": 0, "hits": []}
    return [leg | failed for leg in legs]


_SPOILERS = {
    AnswerFault.TRUNCATE_HITS: _truncate_hits,
    AnswerFault.MIXED: _mix,
    AnswerFault.SHUFFLED: _shuffle,
    AnswerFault.DOUBLED: _double,
    AnswerFault.FAIL: _fail,
}
