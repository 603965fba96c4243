"""Faults that can be injected into the responses of an upstream."""

from collections import deque
from enum import Enum

__all__ = ["ResponseFault", "ResponseFaultQueue", "apply_fault"]


class ResponseFault(Enum):
    """Fault of one response; the call's work is done with every fault but FAIL."""

    #: Close the connection without a response.
    DROP = "drop"
    #: Omit one hit of each leg, although ``n_hits`` still counts it.
    TRUNCATE_HITS = "truncate_hits"
    #: Close the connection in the middle of the response.
    TRUNCATE_BYTES = "truncate_bytes"
    #: Send the response of the call that finished before.
    PREVIOUS = "previous"
    #: Rotate the ids of the legs, so that each id has the content of another leg.
    MIXED = "mixed"
    #: Reorder the legs, which is harmless.
    SHUFFLED = "shuffled"
    #: Repeat every leg.
    DOUBLED = "doubled"
    #: Report that the work failed.
    FAIL = "fail"


class ResponseFaultQueue:
    """Queue of faults, each for one response, in the order of calls."""

    def __init__(self):
        self._queue = deque()

    def add(self, fault, n_next):
        """Assign ``fault`` to the next ``n_next`` responses without one."""
        self._queue.extend([fault] * n_next)

    def clear(self):
        """Remove every fault."""
        self._queue.clear()

    def pop(self):
        """Remove and return the `ResponseFault` of the next response, or None."""
        return self._queue.popleft() if self._queue else None


def apply_fault(fault, legs):
    """Return the legs of a response as a fault changes them.

    Parameters
    ----------
    fault : ResponseFault or None
        The fault; some faults concern the whole response and leave its legs unchanged.
    legs : list of dict
        Correct legs of the response.
    """
    transform = _LEG_TRANSFORMS.get(fault)
    return transform(legs) if transform else legs


def _truncate_hits(legs):
    return [leg | {"hits": leg["hits"][:-1]} for leg in legs]


def _rotate_ids(legs):
    ids = [leg["id"] for leg in legs]
    return [leg | {"id": ids[(n + 1) % len(ids)]} for n, leg in enumerate(legs)]


def _reorder(legs):
    return legs[1:][::-1] + legs[:1]


def _repeat(legs):
    return legs + legs


def _fail(legs):
    failed = {"status": "failed", "n_hits": 0, "hits": []}
    return [leg | failed for leg in legs]


_LEG_TRANSFORMS = {
    ResponseFault.TRUNCATE_HITS: _truncate_hits,
    ResponseFault.MIXED: _rotate_ids,
    ResponseFault.SHUFFLED: _reorder,
    ResponseFault.DOUBLED: _repeat,
    ResponseFault.FAIL: _fail,
}
