"""Priority queue of the legs that wait for a slot of one upstream."""

from dataclasses import dataclass
from heapq import heapify, heappop, heappush

from heatherpick._core.messages import LegBatch, LegSpec

__all__ = ["LegQueue", "QueuedLeg", "clamp_priority"]

#: Number of priority classes. Other values from a peer are clamped to the nearest.
N_CLASSES = 10

#: Number by which closed entries may exceed open ones before a queue is compacted.
MAX_CLOSED_EXCESS = 64


@dataclass(slots=True, eq=False)
class QueuedLeg:
    """A leg at its owner, from arrival to outcome.

    Parameters
    ----------
    source : str
        Node that sent it.
    batch : LegBatch
        Message in which it arrived.
    spec : LegSpec
        The leg itself.
    priority : int
        Class, 0 to ``N_CLASSES - 1``; 0 goes first.
    deadline : float
        Time in seconds from which its outcome is of no use.
    arrived_at : float
        Time of arrival in seconds.
    siblings : dict
        Open legs of the same query by leg id, including this one.
    call : UpstreamCall or None
        Call in which it was sent; None while it is queued.
    is_open : bool
        Whether its outcome has not been reported yet.
    """

    source: str
    batch: LegBatch
    spec: LegSpec
    priority: int
    deadline: float
    arrived_at: float
    siblings: dict[int, "QueuedLeg"]
    call: object = None
    is_open: bool = True


def clamp_priority(priority):
    """Return the class for the ``priority`` of a message."""
    return min(max(priority, 0), N_CLASSES - 1)


class LegQueue:
    """Legs in order of priority, then deadline, then arrival.

    A leg that is closed elsewhere is only counted by `mark_closed`, and its entry is
    skipped later, so that no search in the middle of a heap is needed.

    Attributes
    ----------
    n_open : int
        Open legs in the queue.
    """

    def __init__(self):
        self._heaps = {}
        self._n_open_by_priority = {}
        self._n_entries = 0
        self._sequence = 0
        self.n_open = 0

    def push(self, leg):
        """Add an open leg."""
        priority = leg.priority
        if priority not in self._heaps:
            self._heaps[priority] = []
            self._n_open_by_priority[priority] = 0
            self._heaps = dict(sorted(self._heaps.items()))
        self._sequence += 1
        heappush(self._heaps[priority], (leg.deadline, self._sequence, leg))
        self._n_open_by_priority[priority] += 1
        self._n_entries += 1
        self.n_open += 1

    def pop(self):
        """Remove and return the first open leg, or None if there is none."""
        for heap in self._heaps.values():
            while heap:
                leg = heappop(heap)[2]
                self._n_entries -= 1
                if leg.is_open:
                    self._decrement_counts(leg)
                    return leg
        return None

    def mark_closed(self, leg):
        """Record that a queued leg was closed elsewhere."""
        self._decrement_counts(leg)
        if self._n_entries > 2 * self.n_open + MAX_CLOSED_EXCESS:
            self._compact()

    def count_ahead(self, priority):
        """Return the number of legs that go before a new one of ``priority``."""
        if len(self._n_open_by_priority) == 1 and priority in self._n_open_by_priority:
            return self.n_open
        return sum(
            n_open
            for other_priority, n_open in self._n_open_by_priority.items()
            if other_priority <= priority
        )

    def peek_below(self, priority):
        """Return the leg that `pop_below` would remove, or None."""
        for other_priority in reversed(self._heaps):
            if other_priority <= priority:
                return None
            heap = self._heaps[other_priority]
            while heap:
                if heap[-1][2].is_open:
                    return heap[-1][2]
                heap.pop()
                self._n_entries -= 1
        return None

    def pop_below(self, priority):
        """Remove and return a leg of the lowest class below ``priority``, or None.

        The leg is the last entry of its heap. It is in the later half by deadline, but
        not always the latest, which is precise enough for shedding.
        """
        leg = self.peek_below(priority)
        if leg is None:
            return None
        self._heaps[leg.priority].pop()
        self._n_entries -= 1
        self._decrement_counts(leg)
        return leg

    def pop_all(self):
        """Remove and return all open legs in order."""
        legs = []
        while (leg := self.pop()) is not None:
            legs.append(leg)
        return legs

    def _decrement_counts(self, leg):
        self._n_open_by_priority[leg.priority] -= 1
        self.n_open -= 1

    def _compact(self):
        for heap in self._heaps.values():
            heap[:] = [entry for entry in heap if entry[2].is_open]
            heapify(heap)
        self._n_entries = sum(len(heap) for heap in self._heaps.values())
